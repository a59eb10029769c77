package template

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// Defaults of WatcherOptions.
const (
	// ConvergenceBound is how long an approved version may take to be in
	// force on every entry that takes new work.
	ConvergenceBound = 4 * time.Second

	// catchUpBound is how long an entry that knows of a higher version may go
	// on with the one it has. What is left of ConvergenceBound is for learning
	// of it: one poll, and one call that timed out.
	catchUpBound = 2 * time.Second

	defaultPoll   = time.Second
	defaultSettle = 2 * time.Second
	fetchTimeout  = time.Second
	retryPause    = 500 * time.Millisecond
	// hedgePause is how long one peer is waited for before the next is asked.
	hedgePause = 100 * time.Millisecond
	// maxClaims bounds the peers whose versions are remembered.
	maxClaims = 64
)

// FetchFunc asks a peer for a version of a template.
type FetchFunc func(ctx context.Context, peer, name string, version uint64) (*Template, error)

// WatcherOptions tune a Watcher. The zero value takes the defaults and has no
// peers.
type WatcherOptions struct {
	// Fetch asks a peer that showed a higher version for it; nil for none.
	Fetch FetchFunc
	// Poll is the time between two readings of the head; 1 s by default.
	Poll time.Duration
	// Settle is how long a new process that can't read the table listens to
	// its peers before it takes the highest version among them; 2 s by
	// default, twice the period of digests.
	Settle time.Duration
	// Log gets a line for each change; nil for none.
	Log *logrus.Entry
}

// Watcher keeps the version of one template that is in force on this entry.
//
// It applies the highest version it sees, whoever shows it, and never an older
// one. All methods are safe for concurrent use.
type Watcher struct {
	store *Store
	name  string
	opts  WatcherOptions
	log   *logrus.Entry

	// current is what requests see. highest runs ahead of it until the entry
	// is ready, so that no request sees a version that a peer has left behind.
	current atomic.Pointer[Index]
	highest atomic.Pointer[Index]
	ready   atomic.Bool
	wake    chan struct{}

	// applying makes a change of highest and current one step, and keeps
	// callbacks in order.
	applying sync.Mutex
	onChange []func(*Template)

	mu sync.Mutex
	// heard is when the table or a peer was last reached; before the first
	// time it is zero.
	heard time.Time
	// firstPeer is when the first peer was heard.
	firstPeer time.Time
	// claims holds the version that each peer, or the table, shows where it is
	// above the highest one held; behind is since when there has been one.
	claims map[string]uint64
	behind time.Time
	// tableDown is set while the last reading of the table has failed.
	tableDown bool
	// tableSeen is set once the head was read.
	tableSeen bool
}

// NewWatcher returns a Watcher of the named template. It does nothing until
// Run is called.
func NewWatcher(store *Store, name string, opts WatcherOptions) *Watcher {
	if opts.Poll <= 0 {
		opts.Poll = defaultPoll
	}
	if opts.Settle <= 0 {
		opts.Settle = defaultSettle
	}
	log := opts.Log
	if log == nil {
		log = discard()
	}
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
// request calls it once and keeps the result to its end.
func (w *Watcher) Current() *Template { return w.current.Load().template() }

// Index returns the version in force with its look-up tables, or nil before
// the entry is ready.
func (w *Watcher) Index() *Index { return w.current.Load() }

// Version returns the number of the version in force, or 0 before the entry is
// ready. It is what the entry shows its peers.
func (w *Watcher) Version() uint64 { return w.current.Load().version() }

// Ready says that the highest version of the table and the peers is in force.
// Once true it stays so.
func (w *Watcher) Ready() bool { return w.ready.Load() }

// Fresh says that new work may be taken: the entry is ready, has reached the
// table or a peer within ConvergenceBound, and has not known of a higher
// version for long without having it.
func (w *Watcher) Fresh() bool {
	if !w.ready.Load() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.heard.IsZero() || now.Sub(w.heard) > ConvergenceBound {
		return false
	}
	return w.behind.IsZero() || now.Sub(w.behind) <= catchUpBound
}

// OnChange registers f to be called with each version that comes into force,
// in order, and at once where one is. f must not block or call OnChange.
func (w *Watcher) OnChange(f func(*Template)) {
	w.applying.Lock()
	defer w.applying.Unlock()
	w.onChange = append(w.onChange, f)
	if t := w.Current(); t != nil {
		f(t)
	}
}

// Touch notes that a peer was heard just now.
func (w *Watcher) Touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.touchLocked(time.Now())
	if w.firstPeer.IsZero() {
		w.firstPeer = time.Now()
	}
}

// Observe notes the version that the peer from shows. A higher one is fetched
// at once.
func (w *Watcher) Observe(version uint64, from string) {
	w.Touch()
	if w.claim(version, from) {
		w.signal()
	}
}

// Run polls the head and fetches what peers show until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.poll(ctx) })
	g.Go(func() error { return w.follow(ctx) })
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (w *Watcher) touchLocked(at time.Time) {
	if at.After(w.heard) {
		w.heard = at
	}
}

func (w *Watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
