package once

import (
	"context"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/platform"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// step is a point of an attempt at which a process can stop.
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

// process is one entry's way to the outside. All I/O of a stopped process
// stands still, which is all that others can see of a pause or a death.
type process struct {
	platform.Table

	mu      sync.Mutex
	stopAt  step
	commits int
	gate    chan struct{} // non-nil while stopped
	stopped chan struct{} // closed at the first stop
	dead    bool
}

func newProcess(table platform.Table, stopAt step) *process {
	return &process{Table: table, stopAt: stopAt, stopped: make(chan struct{})}
}

func died() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "process died")
}

// pass waits while the process is stopped, and fails once it is dead.
func (p *process) pass(at step) error {
	p.mu.Lock()
	if p.stopAt == at && at != never {
		p.stopAt = never
		p.gate = make(chan struct{})
		close(p.stopped)
	}
	gate := p.gate
	p.mu.Unlock()
	if gate != nil {
		<-gate
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		return died()
	}
	return nil
}

// stop pauses the process at whatever it does next.
func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gate == nil {
		p.gate = make(chan struct{})
	}
}

// wake lets a paused process go on.
func (p *process) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gate != nil {
		close(p.gate)
		p.gate = nil
	}
}

// kill ends a process: nothing it still does has an effect.
func (p *process) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.wake()
}

func (p *process) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	if err := p.pass(never); err != nil {
		return platform.Row{}, false, err
	}
	row, ok, err := p.Table.Get(ctx, key)
	if lost := p.pass(never); lost != nil {
		return platform.Row{}, false, lost
	}
	return row, ok, err
}

func (p *process) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
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
	if err := p.pass(before); err != nil {
		return 0, err
	}
	version, err := p.Table.Commit(ctx, writes...)
	if lost := p.pass(after); lost != nil {
		return 0, lost
	}
	return version, err
}

// sender wraps a send with the process's steps.
func (p *process) sender(send SendFunc) SendFunc {
	return func(ctx context.Context, attempt string) (endpoint.Reply, error) {
		if err := p.pass(beforeSend); err != nil {
			return endpoint.Reply{}, err
		}
		reply, err := send(ctx, attempt)
		if lost := p.pass(afterSend); lost != nil {
			return endpoint.Reply{}, lost
		}
		return reply, err
	}
}
