package admission

import "time"

// Ticket is the permission to run one request. Done must be called once the
// request ended.
type Ticket struct {
	controller *Controller
	customer   *customer
	pool       *pool
	// charged is what was taken from the bucket.
	charged float64
	done    bool
}

// Done gives the place back and settles tokens and cost. A second call has no
// effect.
func (t *Ticket) Done(u Usage) {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	now := c.now()
	if u.Tokens > 0 && t.charged > 0 {
		t.customer.bucket.Correct(now, t.charged, float64(u.Tokens))
	}
	t.customer.spend.add(now, u.Cost)
	t.pool.give()
	c.dispatch(t.pool, now)
}

// refund gives back the tokens of a request that did not start. The
// Controller's lock is held.
func (t *Ticket) refund(now time.Time) {
	t.customer.bucket.Correct(now, t.charged, 0)
	t.charged = 0
}
