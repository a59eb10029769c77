package app

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

const (
	// feedSpread spreads the first reads of entries that start together.
	feedSpread = 100 * time.Millisecond
	// feedWait is how long one call of a feed waits. Keep-alive finds dead
	// connections sooner.
	feedWait = 12 * time.Second
	// feedPause is how long a reader waits after changes for each member there
	// is, up to longestFeedPause: calls then don't grow with members times
	// changes. Changes must be in force within two seconds.
	feedPause        = 7 * time.Millisecond
	longestFeedPause = 500 * time.Millisecond
)

// followers follow the feeds of configuration and registry.
type followers struct {
	config   *follow.Follower
	registry *follow.Follower
	source   *configSource
}

// configSource takes in configurations from the feed and from peers, and keeps
// the newest as it was written, for peers that ask for it.
type configSource struct {
	around Surroundings
	holder *config.Holder
	log    *logrus.Entry

	mu      sync.Mutex
	raw     json.RawMessage
	version uint64
}

func newFollowers(s Surroundings, r *member.Registry, holder *config.Holder, set *replica.Set, limiter *quota.Limiter, log *logrus.Entry) *followers {
	source := &configSource{around: s, holder: holder, log: log}
	holder.OnChange(limiter.SetConfiguration)
	rows := &registryRows{around: s, set: set, log: log}
	pause := func() time.Duration {
		return min(longestFeedPause, time.Duration(r.Count())*feedPause)
	}
	return &followers{
		config: follow.New(s.Config, source, follow.Options{Name: "configuration", Wait: feedWait, Spread: feedSpread, Pause: pause, Log: log}),
		registry: follow.New(s.Registry, rows, follow.Options{
			Name: "registry", Wait: feedWait, Spread: feedSpread, Pause: pause,
			OnBack: set.RegistryBack, Log: log,
		}),
		source: source,
	}
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
	around Surroundings
	set    *replica.Set
	log    *logrus.Entry
}

// Replace implements follow.Handler.
func (g *registryRows) Replace(rows []infra.Row) {
	entries := make([]replica.Entry, 0, len(rows))
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
