package standin

import (
	"context"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Gate gives one simulated process access to a table, and can pause and kill
// that process. The calls of a paused process block both before and after they
// take effect. Other processes can observe a pause only through the table, so
// no other activity of the process needs to be paused. It is safe for
// concurrent use.
type Gate struct {
	table infra.Table

	mu      sync.Mutex
	resumed chan struct{} // non-nil while paused, closed by Resume
	killed  bool
}

// NewGate returns a gate to the table for a running process.
func NewGate(table infra.Table) *Gate { return &Gate{table: table} }

// Pause blocks every call until Resume or Kill.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

// Resume resumes a paused process.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// Kill makes every call fail, including those that are blocked.
func (g *Gate) Kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.Resume()
}

// Killed reports whether Kill was called.
func (g *Gate) Killed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

// Pass blocks while the process is paused, and fails after it was killed.
func (g *Gate) Pass() error {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	if g.Killed() {
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
