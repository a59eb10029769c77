package app

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// feedSpread spreads the first reads of entries that start together.
	feedSpread = 100 * time.Millisecond
	// feedWait is how long one call of a feed waits. Keep-alive finds dead
	// connections sooner. With askWait it is below freshFor, so that entries
	// that follow through a peer know their configuration to be fresh.
	feedWait = 9 * time.Second
	// feedPause is how long an entry waits after changes before it asks for
	// more, for each entry that reads the feed. Changes must be in force within
	// two seconds.
	feedPause = 7 * time.Millisecond
	// sharedPause takes its place where few entries read for many: replicas
	// come and go several times a second there.
	sharedPause = 400 * time.Millisecond
	// registryQuiet is how long the registry may tell nothing to its readers
	// until those that follow through them look elsewhere: replicas write there
	// every second or so, each of them.
	registryQuiet = 1500 * time.Millisecond
	// readersPerDomain is how many entries of a failure domain read the feeds
	// for the others in it: one may fail.
	readersPerDomain = 2
	// readAlone is up to how many members each reads by itself.
	readAlone = 16
)

// Names of the feeds among peers.
const (
	configFeed   = "configuration"
	registryFeed = "registry"
)

// followers follow the feeds of configuration and registry.
type followers struct {
	config   *follow.Follower
	registry *follow.Follower
	source   *configSource
	// histories are by feed.
	histories map[string]*follow.History
	registrar *member.Registry
	// mesh is filled in once it exists.
	mesh *peer.Mesh
}

// configSource takes in configurations from the feed and from peers, and keeps
// the newest as it was written, for peers that ask for it.
type configSource struct {
	around GatewayDeps
	holder *config.Holder
	log    *logrus.Entry
	// fetching holds one token while a configuration is fetched from a peer.
	fetching chan struct{}

	mu      sync.Mutex
	raw     json.RawMessage
	version uint64
}

func newFollowers(s GatewayDeps, r *member.Registry, holder *config.Holder, set *replica.Set, limiter *quota.Limiter, log *logrus.Entry) *followers {
	source := &configSource{around: s, holder: holder, log: log, fetching: make(chan struct{}, 1)}
	holder.OnChange(limiter.SetConfiguration)
	rows := &registryRows{around: s, set: set, log: log}
	f := &followers{source: source, registrar: r, histories: map[string]*follow.History{
		configFeed: follow.NewHistory(0), registryFeed: follow.NewHistory(registryQuiet),
	}}
	f.config = follow.New(f.shared(configFeed, s.Config, log), source, f.options(configFeed, log))
	o := f.options(registryFeed, log)
	o.OnBack = set.RegistryRecovered
	f.registry = follow.New(f.shared(registryFeed, s.Registry, log), rows, o)
	return f
}

func (f *followers) options(feed string, log *logrus.Entry) follow.Options {
	return follow.Options{
		Name: feed, Wait: feedWait, Spread: feedSpread, History: f.histories[feed], Log: log,
		Pause: func() time.Duration {
			members := f.registrar.Members()
			if len(members) > readAlone {
				return sharedPause
			}
			return time.Duration(len(members)) * feedPause
		},
	}
}

// shared returns a feed that is read through the peers that read it for this
// entry.
func (f *followers) shared(feed string, direct infra.Feed, log *logrus.Entry) infra.Feed {
	return follow.NewShared(direct, follow.SharedOptions{
		Name:    feed,
		Readers: func() []string { return readersFor(f.registrar.Self(), f.registrar.Members()) },
		Ask: func(ctx context.Context, id string, after uint64, wait time.Duration) (infra.Update, error) {
			return f.mesh.Changes(ctx, id, feed, after, wait)
		},
		Log: log,
	})
}

// since answers a peer that follows a feed through this entry.
func (f *followers) since(ctx context.Context, feed string, after uint64, wait time.Duration) (infra.Update, error) {
	h := f.histories[feed]
	if h == nil {
		return infra.Update{}, fmt.Errorf("feed %q is not followed here", feed)
	}
	return h.Since(ctx, after, wait)
}

// readersFor returns the members that read the feeds for one, the first to be
// asked first, or none where it reads them by itself. Members that know the
// same others agree on the readers.
func readersFor(self member.Member, members []member.Member) []string {
	if len(members) <= readAlone {
		return nil
	}
	var near []string
	for _, m := range members {
		if m.FailureDomain == self.FailureDomain && (m.State == member.Live || m.ID == self.ID) {
			near = append(near, m.ID)
		}
	}
	byHash(near, "")
	readers := near[:min(len(near), readersPerDomain)]
	if slices.Contains(readers, self.ID) {
		return nil
	}
	byHash(readers, self.ID)
	return readers
}

// byHash sorts IDs in an order that differs with the salt.
func byHash(ids []string, salt string) {
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Compare(xxhash.Sum64String(salt+"/"+x), xxhash.Sum64String(salt+"/"+y))
	})
}

func runFollowers(lc fx.Lifecycle, l *Loops, f *followers) {
	l.Go(lc, f.config.Run)
	l.Go(lc, f.registry.Run)
}

// Replace implements follow.Handler.
func (c *configSource) Replace(rows []infra.Row) {
	for _, r := range rows {
		c.take(r.Key, r.Value, "store")
	}
}

// Change implements follow.Handler.
func (c *configSource) Change(change infra.Change) {
	if !change.Deleted {
		c.take(change.Key, change.Value, "store")
	}
}

func (c *configSource) take(key string, value []byte, from string) {
	if !c.around.IsConfig(key) {
		return
	}
	c.offer(value, from)
}

// offer puts a configuration in force if it is newer than the one that is.
func (c *configSource) offer(raw json.RawMessage, from string) {
	next, err := c.around.DecodeConfig(raw)
	if err != nil {
		c.log.WithError(err).WithField("from", from).Error("app: configuration can't be read.")
		return
	}
	c.mu.Lock()
	if next.Version > c.version {
		c.raw, c.version = raw, next.Version
	}
	c.mu.Unlock()
	if c.holder.Offer(next) {
		c.log.WithFields(logrus.Fields{"configuration": next.Version, "from": from, "routes": len(next.Routes)}).Info("app: configuration in force.")
	}
}

// fetch returns the newest configuration as it was written, if it is at least
// of the version.
func (c *configSource) fetch(version uint64) (json.RawMessage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw, c.raw != nil && c.version >= version
}

// registryRows takes in the rows of the registry.
type registryRows struct {
	around GatewayDeps
	set    *replica.Set
	log    *logrus.Entry
}

// Replace implements follow.Handler.
func (g *registryRows) Replace(rows []infra.Row) {
	entries := make([]replica.Registration, 0, len(rows))
	for _, r := range rows {
		e, err := g.around.DecodeReplica(r.Key, r.Value)
		if err != nil {
			g.log.WithError(err).Warn("app: registry row is left out.")
			continue
		}
		entries = append(entries, e)
	}
	g.set.Replace(entries)
}

// Change implements follow.Handler.
func (g *registryRows) Change(c infra.Change) {
	if c.Deleted {
		g.set.Remove(c.Key)
		return
	}
	e, err := g.around.DecodeReplica(c.Key, c.Value)
	if err != nil {
		g.log.WithError(err).Warn("app: registry row is left out.")
		g.set.Remove(c.Key)
		return
	}
	g.set.Put(e)
}

// fromPeer gets a configuration that a peer has and this entry has not,
// after the feed has had its chance.
func (c *configSource) fromPeer(ctx context.Context, version uint64, fetch func(context.Context) (json.RawMessage, bool, error)) {
	if c.known(version) {
		return
	}
	select {
	case <-time.After(peerConfigDelay):
	case <-ctx.Done():
		return
	}
	// One at a time: all neighbours tell of a version, and as many copies at
	// once could be more than the host's link carries in time.
	select {
	case c.fetching <- struct{}{}:
		defer func() { <-c.fetching }()
	case <-ctx.Done():
		return
	}
	if c.known(version) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	raw, found, err := fetch(ctx)
	if err != nil || !found {
		c.log.WithError(err).WithField("configuration", version).Warn("app: configuration not had from a peer.")
		return
	}
	c.offer(raw, "peer")
}

const (
	// peerConfigDelay lets the feed bring a configuration before a peer is
	// asked. A change must be in force two seconds after it was acknowledged.
	peerConfigDelay = 300 * time.Millisecond
	// peerConfigTimeout bounds the call to a peer.
	peerConfigTimeout = time.Second
)

func (c *configSource) known(version uint64) bool {
	current := c.holder.Current()
	return current != nil && current.Version >= version
}
