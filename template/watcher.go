package template

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// Defaults of WatcherOptions.
const (
	// ConvergenceBound is the maximum time until an approved version is in
	// force on every entry that accepts new work.
	ConvergenceBound = 4 * time.Second

	// maxPeerAge is the time for which an entry stays fresh after the last
	// message from a peer. It is shorter than ConvergenceBound because the peer
	// itself may read a new version with a delay of one poll interval plus one
	// call that timed out.
	maxPeerAge = ConvergenceBound / 2

	defaultPollInterval = time.Second
	defaultSettleTime   = 2 * time.Second
	fetchTimeout        = time.Second
	retryDelay          = 500 * time.Millisecond
	// hedgeDelay is the delay before the next peer is queried while an earlier
	// one has not answered.
	hedgeDelay = 100 * time.Millisecond
	// maxClaims bounds the number of peers whose reported versions are
	// recorded.
	maxClaims = 32
)

// FetchFunc fetches a version of a template from a peer.
type FetchFunc func(ctx context.Context, peer, name string, version uint64) (*Template, error)

// WatcherOptions configures a Watcher. The zero value selects the defaults and
// has no peers.
type WatcherOptions struct {
	// Fetch gets a version from a peer that reported it; nil disables fetching
	// from peers.
	Fetch FetchFunc
	// PollInterval is the interval between two reads of the head; the default
	// is 1 s.
	PollInterval time.Duration
	// SettleTime is the time for which a new process that cannot read the table
	// collects the versions of its peers before it uses the highest one. The
	// default is 2 s, twice the period of state updates.
	SettleTime time.Duration
	// Log receives a line for each change; nil disables logging.
	Log *logrus.Entry
}

// Watcher maintains the version of one template that is in force on this entry.
//
// It applies the highest version that the table or a peer reports, and never a
// lower one than before. Run polls the table and fetches from peers in two
// goroutines. All methods are safe for concurrent use.
type Watcher struct {
	store *Store
	name  string
	opts  WatcherOptions
	log   *logrus.Entry

	// current is the version in force, which requests use. highest is the
	// highest version held, that is, fetched and validated. It is put in force
	// only once the entry is ready, so that no request uses a version that a
	// peer has already replaced.
	current atomic.Pointer[Index]
	highest atomic.Pointer[Index]
	ready   atomic.Bool
	wake    chan struct{}

	// applyMu makes a change of highest and current atomic, and orders the
	// callbacks.
	applyMu  sync.Mutex
	onChange []func(*Template)

	mu sync.Mutex
	// confirmedTable and confirmedPeer are the last times at which the table
	// and a peer were reached and reported no version above the one held.
	// peersSince is the start of the current uninterrupted period of such peer
	// messages. All are zero until the first one.
	confirmedTable, confirmedPeer, peersSince time.Time
	// claims maps each peer to the version that it reported, if that is above
	// the highest one held. claimedAt is the time of the last claim, and head
	// is the highest version in any head that was read from the table. behind
	// is set while a claim or head is assumed to be above the version held.
	claims    map[string]uint64
	claimedAt time.Time
	head      uint64
	behind    bool
	// tableDown is set when the last read of the table failed.
	tableDown bool
}

// NewWatcher returns a Watcher of the named template. It is idle until Run is
// called.
func NewWatcher(store *Store, name string, opts WatcherOptions) *Watcher {
	if opts.PollInterval <= 0 {
		opts.PollInterval = defaultPollInterval
	}
	if opts.SettleTime <= 0 {
		opts.SettleTime = defaultSettleTime
	}
	log := nolog.Or(opts.Log)
	return &Watcher{
		store:  store,
		name:   name,
		opts:   opts,
		log:    log,
		wake:   make(chan struct{}, 1),
		claims: make(map[string]uint64),
	}
}

// Current returns the version in force, or nil before the entry is ready. A
// request calls it once and uses the result until it ends.
func (w *Watcher) Current() *Template { return w.current.Load().template() }

// Index returns the version in force with its lookup tables, or nil before the
// entry is ready.
func (w *Watcher) Index() *Index { return w.current.Load() }

// Version returns the number of the version in force, or 0 before the entry is
// ready. The entry reports it to its peers.
func (w *Watcher) Version() uint64 { return w.current.Load().version() }

// Ready reports whether the highest version of the table and the peers has come
// into force. Once true, it stays true.
func (w *Watcher) Ready() bool { return w.ready.Load() }

// Fresh reports whether the entry may accept new work: it is ready, and its
// version was confirmed by the table within ConvergenceBound or by peers within
// half of that.
//
// An entry that rejoins its peers and cannot read the table first collects
// their versions for the settle time, like a new process, because the first
// peer that it reaches may have been partitioned as well.
func (w *Watcher) Fresh() bool {
	if !w.ready.Load() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return within(now, w.confirmedTable, ConvergenceBound) || w.peersConfirmLocked(now)
}

// peersConfirmLocked reports whether peers have been reachable for the settle
// time, and until now, without reporting a higher version.
func (w *Watcher) peersConfirmLocked(now time.Time) bool {
	reachableFor := w.confirmedPeer.Sub(w.peersSince)
	return within(now, w.confirmedPeer, maxPeerAge) && reachableFor >= w.opts.SettleTime
}

// OnChange registers f to be called with each version that comes into force, in
// order, and immediately with the current version if there is one. f must not
// block or call OnChange.
func (w *Watcher) OnChange(f func(*Template)) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	w.onChange = append(w.onChange, f)
	if t := w.Current(); t != nil {
		f(t)
	}
}

// RecordPeerContact records that a message from a peer has arrived. It has no
// effect while a higher version than the one held is assumed to exist.
func (w *Watcher) RecordPeerContact() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.behind {
		return
	}
	now := time.Now()
	if !within(now, w.confirmedPeer, maxPeerAge) {
		w.peersSince = now
	}
	w.confirmedPeer = now
}

// Observe records the version that the peer from reports, 0 for none. It
// triggers a fetch if the version is higher than the one held.
func (w *Watcher) Observe(version uint64, from string) {
	higher := w.recordClaim(version, from)
	w.RecordPeerContact()
	if higher || !w.Ready() {
		w.signal()
	}
}

// Run polls the head and fetches versions that peers report until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.poll(ctx) })
	g.Go(func() error { return w.fetchClaims(ctx) })
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// within reports whether at is no longer than d before now. It returns false
// for a zero time.
func within(now, at time.Time, d time.Duration) bool {
	return !at.IsZero() && now.Sub(at) <= d
}

func (w *Watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
