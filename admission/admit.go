package admission

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// minRetryAfter is the shortest wait that a refusal asks for.
const minRetryAfter = 100 * time.Millisecond

// Admit waits until the request may start. Its error is verdict.NotRun with
// CodeLimited for a limit or cost ceiling, CodeOverloaded for work that could
// not start in time, CodeDeadline for work that waited in vain, or
// CodeCancelled when ctx ended. A refusal that can be foreseen comes at once.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, error) {
	var predicted time.Duration
	if r.PredictedWait != nil {
		predicted = r.PredictedWait()
	}
	c.mu.Lock()
	t, w, err := c.begin(r, predicted)
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

// begin starts a request at once, lets it wait, or refuses it. c.mu is held.
func (c *Controller) begin(r Request, predicted time.Duration) (*Ticket, *waiter, error) {
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
	p.look(now, &c.opts, c.roomPart())
	if err := c.refuse(p, cu, &r, now, predicted, tokens); err != nil {
		return nil, nil, err
	}
	t := &Ticket{controller: c, customer: cu, pool: p}
	if !r.Resumed {
		cu.retries.earn()
		t.charged = tokens
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
		c.watch(p)
		return t, w, nil
	}
}

// refuse says why a request can't be taken, or takes its tokens. Tokens come
// last, so that a refusal costs none. c.mu is held.
func (c *Controller) refuse(p *pool, cu *customer, r *Request, now time.Time, predicted time.Duration, tokens float64) error {
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
	if wait := cu.overCeiling(now, c.peerSpend(r.Customer)); wait > 0 {
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
		customer:  r.Customer,
		rank:      r.Urgency.Rank(),
		tokens:    tokens,
		resumed:   r.Resumed,
		predicted: r.PredictedWait,
		ready:     make(chan error, 1),
	}
	if r.Deadline > 0 && !r.Resumed {
		w.expires = now.Add(r.Deadline)
	}
	return w
}

// await waits for a verdict, the deadline or the end of ctx.
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
		return c.settle(t, err)
	case <-expired:
		cause = deadlinePassed()
	case <-ctx.Done():
		cause = verdict.New(verdict.NotRun, verdict.CodeCancelled, "waiting for admission: %w", ctx.Err())
	}
	c.mu.Lock()
	t.pool.queue.drop(w)
	c.mu.Unlock()
	select {
	case err := <-w.ready:
		// The request was started, or refused, just before it was dropped.
		if err == nil {
			t.Done(Usage{})
		}
	default:
	}
	return c.settle(t, cause)
}

// settle gives the tokens of a request back that did not start.
func (c *Controller) settle(t *Ticket, err error) error {
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

// dispatch starts what has room. c.mu is held.
func (c *Controller) dispatch(p *pool, now time.Time) {
	p.look(now, &c.opts, c.roomPart())
	credit := p.credit(now, c.shares)
	for p.queue.waiting > 0 {
		w := p.queue.next(credit, p.hasRoom)
		if w == nil {
			return
		}
		p.queue.drop(w)
		if w.late(now) {
			w.ready <- deadlinePassed()
			continue
		}
		if !w.resumed {
			p.queue.start(w.customer, c.shareOf(w.customer), w.tokens)
		}
		p.take(now, w.tokens)
		w.ready <- nil
	}
}

// late says whether a request that starts now would miss its deadline. It is
// refused then: its tokens are better spent on one that is in time.
func (w *waiter) late(now time.Time) bool {
	if w.expires.IsZero() {
		return false
	}
	var predicted time.Duration
	if w.predicted != nil {
		predicted = w.predicted()
	}
	return now.Add(predicted).After(w.expires)
}

// watch looks for new room while requests wait: it may also come from other
// entries' requests that end. c.mu is held.
func (c *Controller) watch(p *pool) {
	if p.timer != nil || p.queue.waiting == 0 {
		return
	}
	p.timer = time.AfterFunc(headroomAge, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.timer = nil
		c.dispatch(p, c.now())
		c.watch(p)
	})
}
