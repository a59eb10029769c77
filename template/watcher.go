package template

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Defaults of WatcherOptions.
const (
	// ConvergenceBound is how long an approved version may take to be in
	// force on every entry that takes new work.
	ConvergenceBound = 4 * time.Second

	defaultPoll   = time.Second
	defaultSettle = 2 * time.Second
	fetchTimeout  = time.Second
	retryPause    = 250 * time.Millisecond
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
	// Bound is ConvergenceBound unless set.
	Bound time.Duration
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

	current atomic.Pointer[Index]
	ready   atomic.Bool
	wake    chan struct{}

	mu       sync.Mutex
	onChange []func(*Template)
	// heard is when the table or a peer was last reached; before the first
	// time it is zero.
	heard time.Time
	// firstPeer is when the first peer was heard.
	firstPeer time.Time
	// claims holds the version that each peer shows, where it is above the
	// current one; behind is since when there has been one.
	claims map[string]uint64
	behind time.Time
	// tableDown is set while the last reading of the table has failed.
	tableDown bool
	// tableSeen is set once the head was read from the table.
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
	if opts.Bound <= 0 {
		opts.Bound = ConvergenceBound
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

// Current returns the version in force, or nil before there is one. A request
// calls it once and keeps the result to its end.
func (w *Watcher) Current() *Template {
	if x := w.current.Load(); x != nil {
		return x.Template
	}
	return nil
}

// Index returns the version in force with its lookup tables, or nil.
func (w *Watcher) Index() *Index { return w.current.Load() }

// Version returns the number of the version in force, or 0.
func (w *Watcher) Version() uint64 {
	if x := w.current.Load(); x != nil {
		return x.Template.Version
	}
	return 0
}

// Ready says that the highest version of the table and the peers is in force.
// Once true it stays so.
func (w *Watcher) Ready() bool { return w.ready.Load() }

// Fresh says that new work may be taken: the entry is ready, has reached the
// table or a peer within the bound, and has not known of a higher version for
// longer than the bound without having it.
func (w *Watcher) Fresh() bool {
	if !w.ready.Load() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.heard.IsZero() || now.Sub(w.heard) > w.opts.Bound {
		return false
	}
	return w.behind.IsZero() || now.Sub(w.behind) <= w.opts.Bound
}

// OnChange registers f to be called with each version that comes into force,
// in order. f must not block. With a version in force f is called at once.
func (w *Watcher) OnChange(f func(*Template)) {
	w.mu.Lock()
	defer w.mu.Unlock()
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

// poll reads the head once a period.
func (w *Watcher) poll(ctx context.Context) error {
	ticker := time.NewTicker(w.opts.Poll)
	defer ticker.Stop()
	for {
		w.readTable(ctx)
		w.updateReady()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readTable reads the head, and the version it names where that is higher. The
// entry counts as having reached the table when it sent the request: a process
// that was paused since then knows nothing newer.
func (w *Watcher) readTable(ctx context.Context) {
	sent := time.Now()
	head, err := w.store.Head(ctx, w.name)
	w.noteTable(sent, err)
	if err != nil || head.Version == 0 {
		return
	}
	if head.Version < w.Version() {
		w.log.WithFields(logrus.Fields{"version": w.Version(), "head": head.Version}).
			Warn("table shows an older version, kept.")
	}
	if head.Version > w.Version() {
		w.fetchTable(ctx, head.Version)
	}
	if head.Version <= w.Version() {
		w.mu.Lock()
		w.tableSeen = true
		w.mu.Unlock()
	}
}

func (w *Watcher) noteTable(sent time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && !w.tableDown {
		w.log.WithError(err).Warn("table not reached.")
	}
	w.tableDown = err != nil
	if err == nil {
		w.touchLocked(sent)
	}
}

// fetchTable applies a version from the table. It returns true when the table
// answered that there is none.
func (w *Watcher) fetchTable(ctx context.Context, version uint64) (absent bool) {
	sent := time.Now()
	t, err := w.store.Get(ctx, w.name, version)
	if verdict.CodeOf(err) == verdict.CodeNotFound {
		return true
	}
	if err != nil {
		w.log.WithError(err).WithField("version", version).Warn("version not read.")
		return false
	}
	w.noteTable(sent, nil)
	w.apply(t, version, "table")
	return false
}

// updateReady makes the entry ready once it has the highest version it can
// learn of: the table's, or without the table the peers' after they had time
// to be heard.
func (w *Watcher) updateReady() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ready.Load() || w.current.Load() == nil || len(w.claims) > 0 {
		return
	}
	settled := !w.firstPeer.IsZero() && time.Since(w.firstPeer) >= w.opts.Settle
	if w.tableSeen || settled {
		w.ready.Store(true)
		w.log.WithField("version", w.Version()).Info("ready.")
	}
}

// apply puts t in force unless an equal or higher version is. The lock makes
// the comparison and the change one step, and keeps callbacks in order.
func (w *Watcher) apply(t *Template, version uint64, from string) bool {
	if t == nil || t.Name != w.name || t.Version != version || Validate(t) != nil {
		w.log.WithFields(logrus.Fields{"version": version, "from": from}).Warn("template refused.")
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.Version()
	if version <= before {
		return true
	}
	w.current.Store(NewIndex(t))
	invariant.Check(w.Version() > before, invariant.TemplateMonotonic, "version %d after %d", w.Version(), before)
	w.forgetLocked()
	w.log.WithFields(logrus.Fields{"version": version, "before": before, "from": from}).Info("version in force.")
	for _, f := range w.onChange {
		f(t)
	}
	return true
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
