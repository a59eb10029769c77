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

// op is one atomic change that shares a commit with others.
type op struct {
	// rows are the keys it writes. Two ops on one row never share a commit.
	rows     []string
	priority infra.Priority
	// build returns the writes. It is called for each try, in the batcher's
	// goroutine, and sees the versions that earlier ops left.
	build func() ([]infra.Write, error)
	// applied is called in the batcher's goroutine once the op took effect,
	// late when its caller no longer waits and was told that it may have run.
	applied func(version uint64, late bool)

	result chan error
	caller atomic.Int32
	// settled ops took effect or never will. unsure is set by a try whose
	// answer was lost. Both belong to the batcher's goroutine.
	settled, unsure bool
}

// What the caller of an op does.
const (
	callerWaits int32 = iota
	callerTold
	callerGone
)

// try is a commit whose answer was lost. All open tries are conditional on
// the same version of the mark: at most one takes effect.
type try struct {
	batch uint64
	ops   []*op
}

// mark is the value of the process's mark row.
type mark struct {
	Batch uint64 `json:"batch"`
}

// batcher commits ops in batches, one commit at a time.
type batcher struct {
	table infra.Table
	opt   Options
	log   *logrus.Entry
	row   string

	mu     sync.Mutex
	queue  []*op
	closed bool
	wake   chan struct{}

	// All below is used by the run goroutine alone.
	known   bool
	version uint64 // of the mark; valid while known
	batch   uint64
	open    []try
	commits uint64
}

func newBatcher(table infra.Table, opt Options) *batcher {
	return &batcher{
		table: table,
		opt:   opt,
		log:   opt.Log,
		row:   key(markPrefix, opt.Owner, opt.Incarnation),
		wake:  make(chan struct{}, 1),
	}
}

// do queues the op and waits for its result. When ctx ends first the op may
// still run.
func (b *batcher) do(ctx context.Context, o *op) error {
	o.result = make(chan error, 1)
	if err := b.enqueue(o); err != nil {
		return err
	}
	select {
	case err := <-o.result:
		return err
	case <-ctx.Done():
		if !o.caller.CompareAndSwap(callerWaits, callerGone) {
			return <-o.result
		}
		return verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "job: write not confirmed: %w", ctx.Err())
	}
}

func (b *batcher) enqueue(o *op) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "job: entry is stopping")
	}
	if len(b.queue) >= b.opt.MaxQueue {
		err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "job: too many writes wait")
		return err.WithRetryAfter(b.opt.RetryAfter)
	}
	b.queue = append(b.queue, o)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// run commits batches until ctx ends. What is queued then is refused.
func (b *batcher) run(ctx context.Context) {
	for b.rest(ctx) {
		began := time.Now()
		b.commitAll(ctx, b.take())
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
		o.answer(verdict.New(verdict.NotRun, verdict.CodeUnavailable, "job: entry is stopping"))
	}
}

// rest waits for ops. With open tries it goes on after a while to decide them.
func (b *batcher) rest(ctx context.Context) bool {
	var decide <-chan time.Time
	if len(b.open) > 0 {
		timer := time.NewTimer(b.opt.ResolveInterval)
		defer timer.Stop()
		decide = timer.C
	}
	select {
	case <-b.wake:
		return b.gather(ctx)
	case <-decide:
		return true
	case <-ctx.Done():
		return false
	}
}

// gather waits a moment so that more ops come together, and longer while
// there are only checkpoints.
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

func (b *batcher) onlyCheckpoints() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return highest(b.queue) == infra.PriorityCheckpoint
}

// take returns the ops of the next batch, in order and with distinct rows.
func (b *batcher) take() []*op {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, left []*op
	rows := make(map[string]struct{})
	for _, o := range b.queue {
		fits := len(batch) < b.opt.MaxBatch && !touches(rows, o)
		for _, row := range o.rows {
			rows[row] = struct{}{}
		}
		if fits {
			batch = append(batch, o)
		} else {
			left = append(left, o)
		}
	}
	b.queue = left
	if len(left) > 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return batch
}

func touches(rows map[string]struct{}, o *op) bool {
	for _, row := range o.rows {
		if _, ok := rows[row]; ok {
			return true
		}
	}
	return false
}

func (o *op) settle(version uint64) {
	if o.settled {
		return
	}
	o.settled = true
	late := !o.caller.CompareAndSwap(callerWaits, callerTold)
	o.applied(version, late)
	if !late {
		o.result <- nil
	}
}

func (o *op) answer(err error) {
	if o.caller.CompareAndSwap(callerWaits, callerTold) {
		o.result <- err
	}
}

func unsettled(ops []*op) []*op {
	var left []*op
	for _, o := range ops {
		if !o.settled {
			left = append(left, o)
		}
	}
	return left
}

func highest(ops []*op) infra.Priority {
	p := infra.PriorityCheckpoint
	for _, o := range ops {
		p = min(p, o.priority)
	}
	return p
}
