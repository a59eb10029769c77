package guard

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// priorities is the number of priorities.
const priorities = int(infra.PriorityCheckpoint) + 1

// reserves holds, by priority, the fraction of the burst that is reserved for
// higher priorities.
var reserves = [priorities]float64{
	infra.PriorityOnce:       0,
	infra.PriorityAccept:     0.1,
	infra.PriorityLease:      0.2,
	infra.PriorityCheckpoint: 0.5,
}

// waiter is a queued write. granted is closed when the write may proceed.
type waiter struct{ granted chan struct{} }

// budget grants writes by priority. It is safe for concurrent use.
type budget struct {
	opt Options

	mu      sync.Mutex
	limiter *rate.Limiter
	waiting [priorities][]*waiter
	timer   *time.Timer
}

func newBudget(opt Options) *budget {
	return &budget{opt: opt, limiter: rate.NewLimiter(rate.Limit(opt.WritesPerSecond), opt.Burst)}
}

// take waits until the write may proceed, or refuses it as verdict.NotRun.
func (b *budget) take(ctx context.Context, p infra.Priority) error {
	p = min(max(p, infra.PriorityOnce), infra.PriorityCheckpoint)
	w, err := b.takeOrQueue(p)
	if w == nil {
		return err
	}
	timer := time.NewTimer(b.opt.MaxWait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if b.dequeue(p, w) {
		return nil
	}
	return b.refusal()
}

// takeOrQueue grants a write at once and returns nil and nil, or queues and
// returns a waiter, or returns a refusal if the queue is full.
func (b *budget) takeOrQueue(p infra.Priority) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.mustWait(p) && b.grant(p) {
		return nil, nil
	}
	if len(b.waiting[p]) >= b.opt.MaxWaiting {
		return nil, b.refusal()
	}
	w := &waiter{granted: make(chan struct{})}
	b.waiting[p] = append(b.waiting[p], w)
	b.schedule()
	return w, nil
}

// dequeue removes a waiter from its queue. It returns true if the waiter was
// granted meanwhile.
func (b *budget) dequeue(p infra.Priority, w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting[p], w)
	if i < 0 {
		return true
	}
	b.waiting[p] = slices.Delete(b.waiting[p], i, i+1)
	b.schedule()
	return false
}

// discardBurst discards the accumulated burst.
func (b *budget) discardBurst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.limiter.AllowN(now, int(b.limiter.TokensAt(now)))
}

// mustWait reports whether a write of priority p has to wait because one of the
// same or a higher priority is waiting.
func (b *budget) mustWait(p infra.Priority) bool {
	for _, queue := range b.waiting[:p+1] {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// grant takes one write of priority p if that leaves the reserve of higher
// priorities untouched.
func (b *budget) grant(p infra.Priority) bool {
	now := time.Now()
	return b.limiter.TokensAt(now) >= b.needed(p) && b.limiter.AllowN(now, 1)
}

// needed returns how much budget must be available for a write of priority p.
func (b *budget) needed(p infra.Priority) float64 {
	return 1 + reserves[p]*float64(b.opt.Burst-1)
}

// grantWaiting grants waiting writes, highest priority first.
func (b *budget) grantWaiting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range b.waiting {
		for len(b.waiting[p]) > 0 && b.grant(infra.Priority(p)) {
			close(b.waiting[p][0].granted)
			b.waiting[p] = b.waiting[p][1:]
		}
		if len(b.waiting[p]) > 0 {
			break
		}
	}
	b.schedule()
}

// schedule sets the timer to the time at which the waiter of the highest
// priority can be granted.
func (b *budget) schedule() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	for p, queue := range b.waiting {
		if len(queue) == 0 {
			continue
		}
		missing := b.needed(infra.Priority(p)) - b.limiter.TokensAt(time.Now())
		wait := time.Duration(missing / b.opt.WritesPerSecond * float64(time.Second))
		// The extra microsecond makes up for rounding.
		b.timer = time.AfterFunc(max(wait, 0)+time.Microsecond, b.grantWaiting)
		return
	}
}

func (b *budget) refusal() error {
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "guard: write budget exhausted")
	return err.WithRetryAfter(b.opt.MaxWait)
}
