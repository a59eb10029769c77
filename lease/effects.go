package lease

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/elapsed"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// errNotHeld is the error of Do if this process doesn't hold the lease.
var errNotHeld = errors.New("lease is not held")

// Do calls effect with the fencing token if this process holds the lease, and
// returns its error. Else it fails with the verdict NotRun. The context of effect
// ends when the lease lapses or is lost. A lease is released only after all
// effects have returned, so that none of them takes place beside those of the next
// holder. Do is safe for concurrent use.
func (l *Lease) Do(ctx context.Context, effect func(ctx context.Context, fence uint64) error) error {
	l.mu.Lock()
	fence, held := l.heldLocked()
	if !held {
		l.mu.Unlock()
		return verdict.New(verdict.NotRun, verdict.CodeFenced, "%w", errNotHeld)
	}
	acquiredAt := l.hold.acquiredAt
	// Release marks the lease as not held before it waits.
	l.effects.Add(1)
	l.mu.Unlock()
	defer l.effects.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.cancelWhenInvalid(ctx, acquiredAt, cancel)
	return effect(ctx, fence)
}

// cancelWhenInvalid calls cancel once the lease that was acquired at a time has
// lapsed or is lost. A lease that is being released stays valid meanwhile.
func (l *Lease) cancelWhenInvalid(ctx context.Context, acquiredAt time.Time, cancel context.CancelFunc) {
	for {
		l.mu.Lock()
		left := l.opt.Duration - l.opt.Margin - elapsed.Since(l.hold.renewedAt)
		valid := left > 0 && l.hold.acquiredAt.Equal(acquiredAt) && !l.hold.lost
		l.mu.Unlock()
		if !valid {
			cancel()
			return
		}
		timer := time.NewTimer(min(left, effectCheckPeriod))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}
