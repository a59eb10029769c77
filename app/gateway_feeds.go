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
	"github.com/coltsfootcleat/coltsfootcleat/infra/rowcopy"
	"github.com/coltsfootcleat/coltsfootcleat/lease"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

const (
	// feedJitter is the maximum delay of the first read, which is random so
	// that entries that start together do not read at the same time. Over 20 ms,
	// the two feeds of 58 entries are 5,800 reads a second; the platform admits
	// 6,000. A refused read is repeated after about minBackoff of package follow.
	feedJitter = 20 * time.Millisecond
	// feedWait is how long one call of a feed waits for changes. Keep-alive
	// detects broken connections sooner. Its sum with the wait of a call to a
	// peer is below the maximum age of a configuration in package gateway, so
	// that entries that follow a feed through a peer have a fresh
	// configuration.
	feedWait = 9 * time.Second
	// pausePerReader, times the number of entries that read the feed, is how
	// long an entry waits after changes before it requests more. Changes must
	// be in force within two seconds.
	pausePerReader = 7 * time.Millisecond
	// sharedFeedPause is the pause where a few entries read the feed for many:
	// in deployments of that size, replicas register and drain several times a
	// second.
	sharedFeedPause = 400 * time.Millisecond
	// registryReaderWait is how long a call of an entry that reads the registry
	// for others waits for changes. Replicas write to the registry only when
	// they change, so most calls return without one.
	registryReaderWait = 1200 * time.Millisecond
	// registryIdleTimeout is how long the registry feed may confirm nothing to
	// its readers before the entries that follow through them change to another
	// source. It is longer than sharedFeedPause and registryReaderWait together.
	registryIdleTimeout = 2 * time.Second
	// startPause is the minimum pause between two reads of a feed until the
	// members are known: the entry may be one of hundreds that read directly.
	startPause = 600 * time.Millisecond
	// readersPerDomain is the number of entries of a failure domain that read
	// the feeds for the others in it, so that one of them may fail.
	readersPerDomain = 2
	// maxDirectReaders is the number of members up to which each of them reads
	// the feeds directly.
	maxDirectReaders = 16
)

// configurationCopyPrefix begins the keys of the rows with the copy of a large
// configuration.
const configurationCopyPrefix = "copy/configuration/"

// Names of the feeds in messages between peers.
const (
	configFeed   = "configuration"
	registryFeed = "registry"
)

// followers holds the followers of the configuration feed and the registry
// feed.
type followers struct {
	config   *follow.Follower
	registry *follow.Follower
	source   *configSource
	// histories holds the history of each feed by name.
	histories map[string]*follow.History
	members   *member.Registry
	// copy keeps the copy of a large configuration.
	copy *rowcopy.Writer
	// mesh is set by newGatewayMesh, which depends on the followers.
	mesh *peer.Mesh
}

// configSource applies configurations from the feed and from peers. It retains
// the newest one in its encoded form for peers that request it.
type configSource struct {
	deps   GatewayDeps
	holder *config.Holder
	// rollouts receives the orders in the rows.
	rollouts *rollouts
	log      *logrus.Entry
	// fetchSlot holds a token while a configuration is fetched from a peer.
	fetchSlot chan struct{}

	mu      sync.Mutex
	raw     json.RawMessage
	version uint64
}

func newFollowers(deps GatewayDeps, copies rowcopy.Options, l *lease.Lease, r *member.Registry, holder *config.Holder, set *replica.Set, limiter *quota.Limiter, orders *rollouts, log *logrus.Entry) *followers {
	source := &configSource{deps: deps, holder: holder, rollouts: orders, log: log, fetchSlot: make(chan struct{}, 1)}
	holder.OnChange(limiter.SetConfiguration)
	rows := &registryHandler{deps: deps, set: set, log: log}
	f := &followers{source: source, members: r, histories: map[string]*follow.History{
		configFeed: follow.NewHistory(0), registryFeed: follow.NewHistory(registryIdleTimeout),
	}}
	f.copy = rowcopy.NewWriter(rowcopy.WriterOptions{
		Options: copies, Rows: f.histories[configFeed].Rows, Held: func() bool {
			_, held := l.Held()
			return held
		},
		// The call in progress may wait for feedWait.
		OnBegin: func() { f.config.Refresh() },
	})
	// A call that met an outage may hang long after it. The first call of any kind
	// that is answered again shows that the store is back.
	storeBack := func() {
		set.RegistryRecovered()
		f.config.Refresh()
		f.registry.Refresh()
	}
	r.OnTableBack(storeBack)
	o := f.options(configFeed, deps, log)
	o.OnRecovered = storeBack
	f.config = follow.New(f.sharedFeed(configFeed, rowcopy.NewFeed(deps.Config, copies), feedWait, log), source, o)
	o = f.options(registryFeed, deps, log)
	o.OnRecovered = storeBack
	f.registry = follow.New(f.sharedFeed(registryFeed, deps.Registry, registryReaderWait, log), rows, o)
	return f
}

func (f *followers) options(feed string, deps GatewayDeps, log *logrus.Entry) follow.Options {
	return follow.Options{
		Name: feed, Wait: feedWait, StartJitter: feedJitter, History: f.histories[feed], Epoch: deps.Epoch, Log: log,
		Pause: func() time.Duration {
			members := f.members.Count()
			switch {
			case members > maxDirectReaders:
				return sharedFeedPause
			case !f.members.IsSettled():
				return startPause
			default:
				return time.Duration(members) * pausePerReader
			}
		},
	}
}

// sharedFeed returns a feed that reads changes through the peers that are
// readers for this entry, or from direct if there are none. An entry that reads
// for others waits for changes for at most readerWait.
func (f *followers) sharedFeed(feed string, direct infra.Feed, readerWait time.Duration, log *logrus.Entry) infra.Feed {
	return follow.NewShared(direct, follow.SharedOptions{
		Name: feed,
		ReaderWait: func() time.Duration {
			switch {
			case f.keepsCopyOf(feed):
				return rowcopy.RenewPeriod
			case f.members.Count() <= maxDirectReaders:
				return feedWait
			}
			return readerWait
		},
		Readers: func() []string {
			if f.keepsCopyOf(feed) {
				return nil
			}
			return readersFor(f.members.Self(), f.members.Members())
		},
		ChangesFrom: func(ctx context.Context, id string, after uint64, wait time.Duration) (infra.Update, error) {
			return f.mesh.Changes(ctx, id, feed, after, wait)
		},
		Log: log,
	})
}

// keepsCopyOf reports whether this entry keeps the copy of a feed. It then reads the
// service directly, as a peer may return a version that is as old as feedWait.
func (f *followers) keepsCopyOf(feed string) bool { return feed == configFeed && f.copy.Writing() }

// newConfigurationCopy returns the options of the copy of a large configuration.
func newConfigurationCopy(table infra.Table, m *telemetry.Metrics, log *logrus.Entry) rowcopy.Options {
	return rowcopy.Options{Table: table, Prefix: configurationCopyPrefix, Count: m.ConfigurationCopied, Log: log}
}

// changesSince serves a peer that follows a feed through this entry.
func (f *followers) changesSince(ctx context.Context, feed string, after uint64, wait time.Duration) (infra.Update, error) {
	h := f.histories[feed]
	if h == nil {
		return infra.Update{}, fmt.Errorf("feed %q is not followed by this entry", feed)
	}
	return h.Since(ctx, after, wait)
}

// readersFor returns the members that read the feeds for self, in order of
// preference, or none if self reads them directly. Members with the same view
// of the membership agree on the readers.
func readersFor(self member.Member, members []member.Member) []string {
	if len(members) <= maxDirectReaders {
		return nil
	}
	var candidates []string
	for _, m := range members {
		if m.FailureDomain == self.FailureDomain && (m.State == member.Live || m.ID == self.ID) {
			candidates = append(candidates, m.ID)
		}
	}
	sortByHash(candidates, "")
	readers := candidates[:min(len(candidates), readersPerDomain)]
	if slices.Contains(readers, self.ID) {
		return nil
	}
	sortByHash(readers, self.ID)
	return readers
}

// sortByHash sorts IDs in a pseudo-random order that depends on the salt.
func sortByHash(ids []string, salt string) {
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Compare(xxhash.Sum64String(salt+"/"+x), xxhash.Sum64String(salt+"/"+y))
	})
}

func runFollowers(lc fx.Lifecycle, l *Loops, f *followers) {
	l.Go(lc, f.config.Run)
	l.Go(lc, f.registry.Run)
	l.Go(lc, f.copy.Run)
}

// Replace implements follow.Handler.
func (c *configSource) Replace(rows []infra.Row) {
	c.rollouts.replace(rows)
	for _, r := range rows {
		c.applyRow(r.Key, r.Value, "store")
	}
}

// Change implements follow.Handler.
func (c *configSource) Change(change infra.Change) {
	c.rollouts.change(change)
	if !change.Deleted {
		c.applyRow(change.Key, change.Value, "store")
	}
}

func (c *configSource) applyRow(key string, value []byte, from string) {
	if !c.deps.IsConfig(key) {
		return
	}
	c.apply(value, from)
}

// apply puts a configuration in force if it is newer than the current one.
func (c *configSource) apply(raw json.RawMessage, from string) {
	next, err := c.deps.DecodeConfig(raw)
	if err != nil {
		c.log.WithError(err).WithField("from", from).Error("app: configuration can't be decoded.")
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

// encoded returns the newest configuration in its encoded form if its version
// is at least the given one.
func (c *configSource) encoded(version uint64) (json.RawMessage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw, c.raw != nil && c.version >= version
}

// registryHandler applies the rows of the registry to the set of replicas.
type registryHandler struct {
	deps GatewayDeps
	set  *replica.Set
	log  *logrus.Entry
}

// Replace implements follow.Handler.
func (h *registryHandler) Replace(rows []infra.Row) {
	registrations := make([]replica.Registration, 0, len(rows))
	for _, r := range rows {
		registration, err := h.deps.DecodeReplica(r.Key, r.Value)
		if err != nil {
			h.log.WithError(err).Warn("app: invalid registry row ignored.")
			continue
		}
		registrations = append(registrations, registration)
	}
	h.set.Replace(registrations)
}

// Change implements follow.Handler.
func (h *registryHandler) Change(c infra.Change) {
	if c.Deleted {
		h.set.Remove(c.Key)
		return
	}
	registration, err := h.deps.DecodeReplica(c.Key, c.Value)
	if err != nil {
		h.log.WithError(err).Warn("app: invalid registry row ignored.")
		h.set.Remove(c.Key)
		return
	}
	h.set.Put(registration)
}

// fetchFromPeer fetches a configuration that a peer has and this entry lacks,
// after a delay in which the feed may deliver it.
func (c *configSource) fetchFromPeer(ctx context.Context, version uint64, fetch func(context.Context) (json.RawMessage, bool, error)) {
	if c.hasVersion(version) {
		return
	}
	select {
	case <-time.After(peerConfigDelay):
	case <-ctx.Done():
		return
	}
	// Only one fetch runs at a time: all neighbours announce a version, and
	// fetching it from all of them at once could exceed what the link of the
	// host transfers in time.
	select {
	case c.fetchSlot <- struct{}{}:
		defer func() { <-c.fetchSlot }()
	case <-ctx.Done():
		return
	}
	if c.hasVersion(version) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	raw, found, err := fetch(ctx)
	if err != nil || !found {
		c.log.WithError(err).WithField("configuration", version).Warn("app: configuration can't be fetched from a peer.")
		return
	}
	c.apply(raw, "peer")
}

const (
	// peerConfigDelay is the time in which the feed may deliver a configuration
	// before a peer is called. A change must be in force two seconds after it
	// was acknowledged.
	peerConfigDelay = 300 * time.Millisecond
	// peerConfigTimeout bounds the call to a peer.
	peerConfigTimeout = time.Second
)

func (c *configSource) hasVersion(version uint64) bool {
	current := c.holder.Current()
	return current != nil && current.Version >= version
}
