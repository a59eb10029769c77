package admission

import "time"

// Ticket is the permission to run one request. Done must be called once the
// request has ended.
type Ticket struct {
	controller *Controller
	customer   *customer
	pool       *pool
	// chargedTokens is the number of tokens taken from the bucket; 0 for
	// resumed work.
	chargedTokens float64
	done          bool
}

// Done releases the slot, charges the tokens actually used instead of the
// estimate, and records the cost. Further calls have no effect.
func (t *Ticket) Done(u Usage) {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	now := c.now()
	if u.Tokens > 0 && t.chargedTokens > 0 {
		t.customer.bucket.Settle(now, t.chargedTokens, float64(u.Tokens))
	}
	t.customer.spend.add(now, u.Cost)
	t.pool.release()
	c.dispatch(t.pool, now)
}

// refund returns the tokens of a request that was not started. The caller holds
// the Controller's lock.
func (t *Ticket) refund(now time.Time) {
	t.customer.bucket.Settle(now, t.chargedTokens, 0)
	t.chargedTokens = 0
}
