package admission

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// minRetryAfter is the shortest Retry-After of a refusal.
const minRetryAfter = 100 * time.Millisecond

// Admit blocks until the request may start. Its error has the verdict NotRun
// and one of these codes: CodeLimited for a limit or cost ceiling,
// CodeOverloaded for a request that could not start in time, CodeDeadline for
// one whose deadline passed while it waited, CodeCancelled when ctx ended, or
// CodeUnauthorized for an unknown customer. A refusal that can be predicted is
// returned without waiting.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, error) {
	var predicted time.Duration
	if r.PredictedWait != nil {
		predicted = r.PredictedWait()
	}
	c.mu.Lock()
	t, w, err := c.startOrQueue(r, predicted)
	c.mu.Unlock()
	if err != nil {
		c.logRefusal(&r, err)
		return nil, err
	}
	if w == nil {
		return t, nil
	}
	if err := c.await(ctx, t, w); err != nil {
		c.logRefusal(&r, err)
		return nil, err
	}
	return t, nil
}

// startOrQueue starts a request immediately, queues it, or refuses it. The
// caller holds c.mu.
func (c *Controller) startOrQueue(r Request, predicted time.Duration) (*Ticket, *waiter, error) {
	cu := c.customers[r.Customer]
	if cu == nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown customer")
	}
	now := c.now()
	tokens := float64(max(r.Tokens, 1))
	if !r.Resumed {
		cu.demand.Add(now, tokens)
	}
	p := c.pool(r.Kind, now)
	p.refreshHeadroom(now, &c.opts, c.localSlotShare())
	if err := c.checkAndCharge(p, cu, &r, now, predicted, tokens); err != nil {
		return nil, nil, err
	}
	t := &Ticket{controller: c, customer: cu, pool: p}
	if !r.Resumed {
		cu.retries.deposit()
		t.chargedTokens = tokens
	}
	w := newWaiter(&r, now, tokens, predicted)
	p.queue.push(w, cu.params.Share)
	c.dispatch(p, now)
	select {
	case err := <-w.ready:
		if err != nil {
			t.refund(now)
			return nil, nil, err
		}
		return t, nil, nil
	default:
		c.scheduleDispatch(p)
		return t, w, nil
	}
}

// checkAndCharge returns the error that refuses a request, or takes the
// request's tokens. The tokens are taken last, so that a refused request is not
// charged. The caller holds c.mu.
func (c *Controller) checkAndCharge(p *pool, cu *customer, r *Request, now time.Time, predicted time.Duration, tokens float64) error {
	rank := r.Urgency.Rank()
	if wait := p.wait(now, rank, r.Customer, cu.params.Share) + predicted; !r.Resumed && r.Deadline > 0 && wait > r.Deadline {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "predicted wait of %v passes the deadline", wait).
			WithRetryAfter(max(wait-r.Deadline, minRetryAfter))
	}
	if r.Resumed {
		return nil
	}
	if len(p.queue.flow(r.Customer, cu.params.Share).queues[rank]) >= c.opts.MaxQueue {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "queue is full").WithRetryAfter(time.Second)
	}
	if wait := cu.ceilingWait(now, c.peerSpend(r.Customer)); wait > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeLimited, "cost ceiling reached").WithRetryAfter(wait)
	}
	if wait := cu.bucket.Take(now, tokens); wait > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeLimited, "token limit reached").
			WithRetryAfter(max(wait, minRetryAfter))
	}
	return nil
}

func newWaiter(r *Request, now time.Time, tokens float64, predicted time.Duration) *waiter {
	w := &waiter{
		customer:      r.Customer,
		rank:          r.Urgency.Rank(),
		tokens:        tokens,
		resumed:       r.Resumed,
		predictedWait: r.PredictedWait,
		ready:         make(chan error, 1),
	}
	if r.Deadline > 0 && !r.Resumed {
		w.expires = now.Add(r.Deadline)
	}
	return w
}

// await blocks until the waiter is started or refused, its deadline passes or
// ctx ends.
func (c *Controller) await(ctx context.Context, t *Ticket, w *waiter) error {
	var expired <-chan time.Time
	if !w.expires.IsZero() {
		timer := time.NewTimer(w.expires.Sub(c.now()))
		defer timer.Stop()
		expired = timer.C
	}
	var cause error
	select {
	case err := <-w.ready:
		return c.refundOnError(t, err)
	case <-expired:
		cause = deadlinePassed()
	case <-ctx.Done():
		cause = verdict.New(verdict.NotRun, verdict.CodeCancelled, "waiting for admission: %w", ctx.Err())
	}
	c.mu.Lock()
	t.pool.queue.dequeue(w)
	c.mu.Unlock()
	select {
	case err := <-w.ready:
		// The request was started or refused just before it was
		// dequeued.
		if err == nil {
			t.Done(Usage{})
		}
	default:
	}
	return c.refundOnError(t, cause)
}

// refundOnError refunds the tokens of a request that was not started.
func (c *Controller) refundOnError(t *Ticket, err error) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	t.refund(c.now())
	c.mu.Unlock()
	return err
}

func deadlinePassed() error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadline, "no room before the deadline").
		WithRetryAfter(time.Second)
}

// dispatch starts the waiters for which there is a free slot. The caller holds
// c.mu.
func (c *Controller) dispatch(p *pool, now time.Time) {
	p.refreshHeadroom(now, &c.opts, c.localSlotShare())
	credit := p.credit(now, c.totalShare)
	for p.queue.waiting > 0 {
		w := p.queue.next(credit, p.hasSlot)
		if w == nil {
			return
		}
		p.queue.dequeue(w)
		if w.missesDeadline(now) {
			w.ready <- deadlinePassed()
			continue
		}
		if !w.resumed {
			p.queue.start(w.customer, c.shareOf(w.customer), w.tokens)
		}
		p.acquire(now, w.tokens)
		w.ready <- nil
	}
}

// missesDeadline reports whether a request that starts now would miss its
// deadline. Such a request is refused, because its tokens are better used for
// one that can still meet its deadline.
func (w *waiter) missesDeadline(now time.Time) bool {
	if w.expires.IsZero() {
		return false
	}
	var predicted time.Duration
	if w.predictedWait != nil {
		predicted = w.predictedWait()
	}
	return now.Add(predicted).After(w.expires)
}

// scheduleDispatch calls dispatch periodically while requests wait, because
// slots also become free when requests of other entries end. The caller holds
// c.mu.
func (c *Controller) scheduleDispatch(p *pool) {
	if p.timer != nil || p.queue.waiting == 0 {
		return
	}
	p.timer = time.AfterFunc(headroomMaxAge, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.timer = nil
		c.dispatch(p, c.now())
		c.scheduleDispatch(p)
	})
}
