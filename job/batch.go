package job

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// op is one atomic change, which may share a commit with other ops.
type op struct {
	// rows are the keys of the rows that other ops may write, too. Two ops
	// with a common row never share a commit.
	rows     []string
	priority infra.Priority
	// build returns the writes. It is called for each attempt, in the
	// batcher's goroutine, after earlier ops have updated their versions.
	build func() ([]infra.Write, error)
	// applied is called in the batcher's goroutine when the op has taken
	// effect. late is set if its caller has already returned or got an error
	// with verdict.MayHaveRun.
	applied func(version uint64, late bool)

	result      chan error
	callerState atomic.Int32
	// settled is set once the op has taken effect or never will. mayHaveRun is
	// set by an attempt whose reply was lost. Both are used by the batcher's
	// goroutine only.
	settled, mayHaveRun bool
}

// States of the caller of an op.
const (
	callerWaiting int32 = iota
	callerAnswered
	callerLeft
)

// commitAttempt is a commit whose result is not known. All unresolved attempts
// are conditional on the same version of the mark, so at most one of them takes
// effect.
type commitAttempt struct {
	batch uint64
	ops   []*op
}

// mark is the value of the process's mark row. Batch is the number of its last
// commit.
type mark struct {
	Batch uint64 `json:"batch"`
}

// batcher commits ops in batches, one commit at a time.
type batcher struct {
	table   infra.Table
	opt     Options
	log     *logrus.Entry
	markRow string

	mu     sync.Mutex
	queue  []*op
	closed bool
	wake   chan struct{}

	// The fields below are used by the run goroutine only.
	markKnown   bool
	markVersion uint64 // of the mark row; current while markKnown is set
	batch       uint64
	unresolved  []commitAttempt
	commits     uint64
}

func newBatcher(table infra.Table, opt Options) *batcher {
	return &batcher{
		table:   table,
		opt:     opt,
		log:     opt.Log,
		markRow: key(markPrefix, opt.Owner, opt.Incarnation),
		wake:    make(chan struct{}, 1),
	}
}

// do queues the op and waits for its result. If ctx ends first, the op may
// still take effect.
func (b *batcher) do(ctx context.Context, o *op) error {
	o.result = make(chan error, 1)
	if err := b.enqueue(o); err != nil {
		return err
	}
	select {
	case err := <-o.result:
		return err
	case <-ctx.Done():
		if !o.callerState.CompareAndSwap(callerWaiting, callerLeft) {
			return <-o.result
		}
		return verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "job: write not confirmed: %w", ctx.Err())
	}
}

// enqueue adds the op to the queue and wakes the run goroutine.
func (b *batcher) enqueue(o *op) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "job: entry is stopping")
	}
	if len(b.queue) >= b.opt.MaxQueue {
		err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "job: write queue is full")
		return err.WithRetryAfter(b.opt.RetryAfter)
	}
	b.queue = append(b.queue, o)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// run commits batches until ctx ends. Ops that are still queued then are
// refused.
func (b *batcher) run(ctx context.Context) {
	for b.waitForOps(ctx) {
		began := time.Now()
		b.commitAll(ctx, b.takeBatch())
		if !ctxtime.Sleep(ctx, b.opt.BatchInterval-time.Since(began)) {
			break
		}
	}
	b.mu.Lock()
	b.closed = true
	queue := b.queue
	b.queue = nil
	b.mu.Unlock()
	for _, o := range queue {
		o.reply(verdict.New(verdict.NotRun, verdict.CodeUnavailable, "job: entry is stopping"))
	}
}

// waitForOps waits for ops to commit. With unresolved attempts it returns after
// ResolveInterval, so that they are resolved. It returns false if ctx has
// ended.
func (b *batcher) waitForOps(ctx context.Context) bool {
	var resolve <-chan time.Time
	if len(b.unresolved) > 0 {
		timer := time.NewTimer(b.opt.ResolveInterval)
		defer timer.Stop()
		resolve = timer.C
	}
	select {
	case <-b.wake:
		return b.gather(ctx)
	case <-resolve:
		return true
	case <-ctx.Done():
		return false
	}
}

// gather waits until more ops are queued to share the commit. While only
// checkpoints are queued, it waits up to CheckpointHold for an op of a higher
// priority, and then for Linger. It returns false if ctx has ended.
func (b *batcher) gather(ctx context.Context) bool {
	hold := time.NewTimer(b.opt.CheckpointHold)
	defer hold.Stop()
	for b.onlyCheckpoints() {
		select {
		case <-b.wake:
		case <-hold.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return ctxtime.Sleep(ctx, b.opt.Linger)
}

// onlyCheckpoints reports whether the queue holds no op of a higher priority.
func (b *batcher) onlyCheckpoints() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return highestPriority(b.queue) == infra.PriorityCheckpoint
}

// takeBatch removes the ops of the next batch from the queue. It keeps their
// order; no two of them have a common row.
func (b *batcher) takeBatch() []*op {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, remaining []*op
	rows := make(map[string]struct{})
	for _, o := range b.queue {
		fits := len(batch) < b.opt.MaxBatch && !overlaps(rows, o)
		for _, row := range o.rows {
			rows[row] = struct{}{}
		}
		if fits {
			batch = append(batch, o)
		} else {
			remaining = append(remaining, o)
		}
	}
	b.queue = remaining
	if len(remaining) > 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return batch
}

// overlaps reports whether the op writes one of the rows.
func overlaps(rows map[string]struct{}, o *op) bool {
	for _, row := range o.rows {
		if _, ok := rows[row]; ok {
			return true
		}
	}
	return false
}

// succeed settles the op as applied, and reports success to its caller if it
// still waits.
func (o *op) succeed(version uint64) {
	if o.settled {
		return
	}
	o.settled = true
	late := !o.callerState.CompareAndSwap(callerWaiting, callerAnswered)
	o.applied(version, late)
	if !late {
		o.result <- nil
	}
}

// reply returns err to the caller if it still waits.
func (o *op) reply(err error) {
	if o.callerState.CompareAndSwap(callerWaiting, callerAnswered) {
		o.result <- err
	}
}

func unsettled(ops []*op) []*op {
	var remaining []*op
	for _, o := range ops {
		if !o.settled {
			remaining = append(remaining, o)
		}
	}
	return remaining
}

// highestPriority returns the highest priority of the ops, which is the lowest
// value.
func highestPriority(ops []*op) infra.Priority {
	p := infra.PriorityCheckpoint
	for _, o := range ops {
		p = min(p, o.priority)
	}
	return p
}
