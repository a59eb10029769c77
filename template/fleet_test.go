package template_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// stateUpdatePeriod is the time between two state updates of an entry.
const stateUpdatePeriod = time.Second

// faults are the faults that one client sees in its calls to the table.
type faults struct {
	// cut makes calls hang until their context ends, and down refuses them.
	cut, down bool
	// loseRequest and loseAnswer are probabilities. late is the delay after
	// which a lost commit takes effect after all; 0 means never.
	loseRequest, loseAnswer float64
	late                    time.Duration
	latency                 time.Duration
}

// link is the path of one client to the table. It injects the faults of the
// client; the table itself has none.
type link struct {
	table *standin.Table
	mu    sync.Mutex
	f     faults
	rng   *rand.Rand
	late  sync.WaitGroup
	// onCommit and afterCommit are called before and after each commit with its
	// number, counted from 1.
	onCommit, afterCommit func(n int)
	commits               int
}

func newLink(table *standin.Table, seed uint64) *link {
	return &link{table: table, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (l *link) set(f faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.f = f
}

// moveTo redirects later calls to another table.
func (l *link) moveTo(table *standin.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table = table
}

func (l *link) currentTable() *standin.Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table
}

// applyFaults blocks, fails or delays a call as the current faults require, and
// returns these faults.
func (l *link) applyFaults(ctx context.Context) (faults, error) {
	l.mu.Lock()
	f := l.f
	l.mu.Unlock()
	if f.cut {
		<-ctx.Done()
		return f, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "table: %w", ctx.Err())
	}
	if f.down {
		return f, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "table is down")
	}
	time.Sleep(f.latency)
	return f, nil
}

func (l *link) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return infra.Row{}, false, err
	}
	return l.currentTable().Get(ctx, key)
}

func (l *link) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	return l.currentTable().Scan(ctx, prefix)
}

func (l *link) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	l.mu.Lock()
	l.commits++
	n := l.commits
	l.mu.Unlock()
	if l.onCommit != nil {
		l.onCommit(n)
	}
	if l.afterCommit != nil {
		defer l.afterCommit(n)
	}
	f, err := l.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	lostRequest, lostAnswer := l.rng.Float64() < f.loseRequest, l.rng.Float64() < f.loseAnswer
	l.mu.Unlock()
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer lost")
	if lostRequest {
		if f.late > 0 {
			l.late.Go(func() {
				time.Sleep(f.late)
				_, _ = l.currentTable().Commit(context.Background(), writes...)
			})
		}
		return 0, lost
	}
	version, err := l.currentTable().Commit(ctx, writes...)
	if lostAnswer {
		return 0, lost
	}
	return version, err
}

// entry is an entry host with its watcher.
type entry struct {
	id     string
	link   *link
	w      *template.Watcher
	cancel context.CancelFunc
	done   chan error
}

// fleet is a set of entries that exchange state updates.
type fleet struct {
	t     *testing.T
	table *standin.Table
	// sendState is false when entries only poll the table.
	sendState bool

	mu       sync.Mutex
	entries  map[string]*entry
	isolated map[string]bool
	running  sync.WaitGroup
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, table: standin.NewTable(1), sendState: true, entries: make(map[string]*entry), isolated: make(map[string]bool)}
}

// start starts an entry whose link to the table has the given faults. An entry
// that ran under the same ID before must have been stopped.
func (f *fleet) start(id string, fa faults) *entry {
	e := &entry{id: id, link: newLink(f.table, 1), done: make(chan error, 1)}
	e.link.set(fa)
	e.w = template.NewWatcher(template.NewStore(e.link, template.StoreOptions{}), "agencia",
		template.WatcherOptions{Fetch: func(ctx context.Context, peer, name string, version uint64) (*template.Template, error) {
			return f.fetch(ctx, id, peer, version)
		}})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	f.mu.Lock()
	f.entries[id] = e
	f.mu.Unlock()
	f.running.Go(func() { e.done <- e.w.Run(ctx) })
	f.running.Go(func() { f.sendStateUpdates(ctx, e) })
	return e
}

func (f *fleet) stop(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[id].cancel()
	delete(f.entries, id)
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	for _, e := range f.entries {
		e.cancel()
	}
	f.mu.Unlock()
	f.running.Wait()
}

// isolate disconnects an entry from the table and all peers, or reconnects it.
func (f *fleet) isolate(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[id] = on
	if e := f.entries[id]; e != nil {
		e.link.set(faults{cut: on})
	}
}

// peers returns the entries that id can reach.
func (f *fleet) peers(id string) []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*entry
	for other, e := range f.entries {
		if other != id && !f.isolated[id] && !f.isolated[other] {
			out = append(out, e)
		}
	}
	return out
}

func (f *fleet) sendStateUpdates(ctx context.Context, e *entry) {
	ticker := time.NewTicker(stateUpdatePeriod)
	defer ticker.Stop()
	for f.sendState {
		for _, peer := range f.peers(e.id) {
			peer.w.Observe(e.w.Version(), e.id)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *fleet) fetch(ctx context.Context, id, peer string, version uint64) (*template.Template, error) {
	for _, e := range f.peers(id) {
		if e.id != peer {
			continue
		}
		if t := e.w.Current(); t != nil && t.Version >= version {
			return t, nil
		}
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no version %d", version)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// publish approves a template directly in the table, without faults.
func (f *fleet) publish(base uint64, share float64) {
	f.t.Helper()
	version, err := template.NewStore(f.table, template.StoreOptions{}).Publish(context.Background(), base, "ana", small(share))
	if err != nil || version != base+1 {
		f.t.Fatalf("publish: version %d, %v", version, err)
	}
}

// versions returns the version in force on each running entry.
func (f *fleet) versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]uint64)
	for id, e := range f.entries {
		out[id] = e.w.Version()
	}
	return out
}
