package admission

import "math"

// fairQueue orders the waiters of one model by urgency, and among customers by
// start-time fair queueing (Goyal, Vin and Cheng, 1996). All urgencies of a
// customer count against its one share, so that a flood of one customer does
// not reduce the share of another, whatever its urgency.
//
// A customer that has used more than its share plus the credit loses the
// precedence of its urgent work until the other customers have caught up.
// Resumed work is started before new work of its urgency and does not count
// against the share, because it was admitted before.
type fairQueue struct {
	flows   map[string]*flow
	resumed [ranks][]*waiter
	// virtualTime is the start tag of the request in service.
	virtualTime float64
	// waiting is the number of waiters in all queues.
	waiting int
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[string]*flow)}
}

// flow returns the flow of a customer, creating it if necessary, and updates
// its share.
func (q *fairQueue) flow(customer string, share float64) *flow {
	f := q.flows[customer]
	if f == nil {
		f = &flow{customer: customer}
		q.flows[customer] = f
	}
	f.share = share
	return f
}

// push adds a waiter to its queue.
func (q *fairQueue) push(w *waiter, share float64) {
	q.waiting++
	if w.resumed {
		q.resumed[w.rank] = append(q.resumed[w.rank], w)
		return
	}
	f := q.flow(w.customer, share)
	if !f.backlogged() {
		f.finishTag = max(f.finishTag, q.virtualTime)
	}
	f.queues[w.rank] = append(f.queues[w.rank], w)
}

// dequeue removes a waiter that is started or no longer waits. It has no effect
// on one that was removed already.
func (q *fairQueue) dequeue(w *waiter) {
	if w.removed {
		return
	}
	w.removed = true
	q.waiting--
	if w.resumed {
		q.resumed[w.rank] = remove(q.resumed[w.rank], w)
		return
	}
	f := q.flows[w.customer]
	f.queues[w.rank] = remove(f.queues[w.rank], w)
}

// next returns the waiter to start first among those whose rank has a free
// slot, or nil. credit is in virtual time.
func (q *fairQueue) next(credit float64, hasSlot func(rank int) bool) *waiter {
	for rank := range ranks {
		if !hasSlot(rank) {
			continue
		}
		if len(q.resumed[rank]) > 0 {
			return q.resumed[rank][0]
		}
		if rank == rankPatient {
			break
		}
		if f := q.earliest(rank, q.virtualTime+credit); f != nil {
			return f.first(rank)
		}
	}
	return q.nextByStartTag(hasSlot)
}

// earliest returns the flow with the lowest start tag, not above limit, that
// has a waiter of the rank, or nil.
func (q *fairQueue) earliest(rank int, limit float64) *flow {
	var best *flow
	for _, f := range q.flows {
		if f.first(rank) == nil || f.finishTag > limit {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

// before reports whether f precedes other: by start tag, or by customer name if
// the tags are equal.
func (f *flow) before(other *flow) bool {
	if f.finishTag != other.finishTag {
		return f.finishTag < other.finishTag
	}
	return f.customer < other.customer
}

// nextByStartTag returns the waiter with the lowest start tag, whatever its
// urgency. It serves patient work, and more urgent work of customers that have
// used up their credit. It uses only the slots open to patient work; otherwise
// a flood of urgent work would occupy every slot.
func (q *fairQueue) nextByStartTag(hasSlot func(rank int) bool) *waiter {
	if !hasSlot(rankPatient) {
		return nil
	}
	var best *flow
	var w *waiter
	for rank := range ranks {
		f := q.earliest(rank, math.Inf(1))
		if f != nil && (best == nil || f != best && f.before(best)) {
			best, w = f, f.first(rank)
		}
	}
	return w
}

// start charges a started request to its customer's flow and advances the
// virtual time.
func (q *fairQueue) start(customer string, share, tokens float64) {
	f := q.flow(customer, share)
	if !f.backlogged() {
		f.finishTag = max(f.finishTag, q.virtualTime)
	}
	startTag := f.finishTag
	f.finishTag += tokens / share
	for _, other := range q.flows {
		if other != f && other.backlogged() {
			startTag = min(startTag, other.finishTag)
		}
	}
	q.virtualTime = max(q.virtualTime, startTag)
}

// activeShare returns the sum of the shares of all backlogged customers and the
// given one.
func (q *fairQueue) activeShare(customer string, share float64) float64 {
	sum := share
	for _, f := range q.flows {
		if f.customer != customer && f.backlogged() {
			sum += f.share
		}
	}
	return sum
}

// backlog returns the tokens that wait in the given rank and in the more urgent
// ones.
func (q *fairQueue) backlog(rank int) float64 {
	sum := 0.0
	for _, f := range q.flows {
		sum += f.backlog(rank)
	}
	for r := range rank + 1 {
		for _, w := range q.resumed[r] {
			sum += w.tokens
		}
	}
	return sum
}
