package standin

import (
	"context"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Gate is the table as seen by one process that can be paused and killed. All
// calls of a paused process stand still before and after they take effect,
// which is all that others can see of a pause. It is safe for concurrent use.
type Gate struct {
	table infra.Table

	mu   sync.Mutex
	shut chan struct{} // non-nil while paused
	dead bool
}

// NewGate returns an open gate to the table.
func NewGate(table infra.Table) *Gate { return &Gate{table: table} }

// Pause lets every call wait until Wake or Kill.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

// Wake lets a paused process go on.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// Kill lets every call fail, also those that wait.
func (g *Gate) Kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.Wake()
}

// Dead says whether Kill was called.
func (g *Gate) Dead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead
}

// Pass waits while the process is paused, and fails once it was killed.
func (g *Gate) Pass() error {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
	if g.Dead() {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "process was killed")
	}
	return nil
}

// Get implements infra.Table.
func (g *Gate) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	if err := g.Pass(); err != nil {
		return infra.Row{}, false, err
	}
	row, ok, err := g.table.Get(ctx, key)
	if killed := g.Pass(); killed != nil {
		return infra.Row{}, false, killed
	}
	return row, ok, err
}

// Scan implements infra.Table.
func (g *Gate) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	if err := g.Pass(); err != nil {
		return nil, err
	}
	rows, err := g.table.Scan(ctx, prefix)
	if killed := g.Pass(); killed != nil {
		return nil, killed
	}
	return rows, err
}

// Commit implements infra.Table.
func (g *Gate) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	if err := g.Pass(); err != nil {
		return 0, err
	}
	version, err := g.table.Commit(ctx, writes...)
	if killed := g.Pass(); killed != nil {
		return 0, killed
	}
	return version, err
}
