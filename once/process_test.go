package once

import (
	"context"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// step is a point in an attempt at which a process can be stopped.
type step int

const (
	never step = iota
	beforeInsert
	afterInsert
	beforeSend
	afterSend
	beforeOutcome
	afterOutcome
)

// process connects one entry to the table and the service. It is paused when
// its first attempt reaches the step stopAt.
type process struct {
	*standin.Gate
	table infra.Table

	mu      sync.Mutex
	stopAt  step
	commits int
	stopped chan struct{} // closed when the process reaches stopAt
}

func newProcess(table infra.Table, stopAt step) *process {
	return &process{
		Gate:    standin.NewGate(table),
		table:   table,
		stopAt:  stopAt,
		stopped: make(chan struct{}),
	}
}

// reach pauses the process if at is the step stopAt. It then waits until the
// process is resumed, and returns an error if the process was killed.
func (p *process) reach(at step) error {
	p.mu.Lock()
	if p.stopAt == at && at != never {
		p.stopAt = never
		p.Pause()
		close(p.stopped)
	}
	p.mu.Unlock()
	return p.Pass()
}

func (p *process) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	p.mu.Lock()
	p.commits++
	before, after := never, never
	switch p.commits {
	case 1:
		before, after = beforeInsert, afterInsert
	case 2:
		before, after = beforeOutcome, afterOutcome
	}
	p.mu.Unlock()
	if err := p.reach(before); err != nil {
		return 0, err
	}
	version, err := p.table.Commit(ctx, writes...)
	if killed := p.reach(after); killed != nil {
		return 0, killed
	}
	return version, err
}

// sender wraps send with the steps before and after it.
func (p *process) sender(send SendFunc) SendFunc {
	return func(ctx context.Context, attempt string) (endpoint.Reply, error) {
		if err := p.reach(beforeSend); err != nil {
			return endpoint.Reply{}, err
		}
		reply, err := send(ctx, attempt)
		if killed := p.reach(afterSend); killed != nil {
			return endpoint.Reply{}, killed
		}
		return reply, err
	}
}
