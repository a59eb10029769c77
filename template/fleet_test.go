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

// digestPeriod is the time between two digests of an entry.
const digestPeriod = time.Second

// faults are those of one client's way to the table.
type faults struct {
	// cut lets calls hang, down refuses them.
	cut, down bool
	// loseRequest and loseAnswer are probabilities; late is when a lost commit
	// takes effect after all, 0 for never.
	loseRequest, loseAnswer float64
	late                    time.Duration
	latency                 time.Duration
}

// link is one client's way to a table that has no faults itself.
type link struct {
	table *standin.Table
	mu    sync.Mutex
	f     faults
	rng   *rand.Rand
	late  sync.WaitGroup
	// onCommit and afterCommit are called around each commit, with its number
	// from 1 on.
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

// moveTo sends later calls to another table.
func (l *link) moveTo(table *standin.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table = table
}

func (l *link) to() *standin.Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table
}

// enter waits as the faults say, and returns those of the call.
func (l *link) enter(ctx context.Context) (faults, error) {
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
	if _, err := l.enter(ctx); err != nil {
		return infra.Row{}, false, err
	}
	return l.to().Get(ctx, key)
}

func (l *link) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	if _, err := l.enter(ctx); err != nil {
		return nil, err
	}
	return l.to().Scan(ctx, prefix)
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
	f, err := l.enter(ctx)
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
				_, _ = l.to().Commit(context.Background(), writes...)
			})
		}
		return 0, lost
	}
	version, err := l.to().Commit(ctx, writes...)
	if lostAnswer {
		return 0, lost
	}
	return version, err
}

// entry is an entry host with a watcher.
type entry struct {
	id     string
	link   *link
	w      *template.Watcher
	cancel context.CancelFunc
	done   chan error
}

// fleet is a set of entries whose digests reach each other.
type fleet struct {
	t     *testing.T
	table *standin.Table
	// digests is false where entries only poll.
	digests bool

	mu      sync.Mutex
	entries map[string]*entry
	alone   map[string]bool
	running sync.WaitGroup
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, table: standin.NewTable(1), digests: true, entries: make(map[string]*entry), alone: make(map[string]bool)}
}

// start begins an entry whose way to the table has the faults. An entry that
// ran under the id before must have been stopped.
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
	f.running.Go(func() { f.sendDigests(ctx, e) })
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

// isolate cuts an entry off from the table and all peers, or joins it again.
func (f *fleet) isolate(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alone[id] = on
	if e := f.entries[id]; e != nil {
		e.link.set(faults{cut: on})
	}
}

// peers returns the entries that id can talk to.
func (f *fleet) peers(id string) []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*entry
	for other, e := range f.entries {
		if other != id && !f.alone[id] && !f.alone[other] {
			out = append(out, e)
		}
	}
	return out
}

func (f *fleet) sendDigests(ctx context.Context, e *entry) {
	ticker := time.NewTicker(digestPeriod)
	defer ticker.Stop()
	for f.digests {
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

// publish approves a template over a table without faults.
func (f *fleet) publish(base uint64, share float64) {
	f.t.Helper()
	version, err := template.NewStore(f.table, template.StoreOptions{}).Publish(context.Background(), base, "ana", small(share))
	if err != nil || version != base+1 {
		f.t.Fatalf("publish: version %d, %v", version, err)
	}
}

// versions returns the version of each running entry.
func (f *fleet) versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]uint64)
	for id, e := range f.entries {
		out[id] = e.w.Version()
	}
	return out
}
