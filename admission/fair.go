package admission

import "math"

// fairQueue orders the waiters of one model: by urgency, and among customers
// by start-time fair queueing (Goyal, Vin and Cheng, 1996) over all of a
// customer's work, so that a flood of one customer takes nothing from the
// share of another, whatever its urgency.
//
// A customer that is ahead of its share by more than the credit loses the
// precedence of its urgent work until the others have caught up. Resumed work
// goes before new work of its urgency and is not held to the share: it was
// admitted before.
type fairQueue struct {
	flows   map[string]*flow
	resumed [ranks][]*waiter
	// virtual is the virtual time: the start tag of the work now served.
	virtual float64
	waiting int
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[string]*flow)}
}

// flow returns a customer's flow.
func (q *fairQueue) flow(customer string, share float64) *flow {
	f := q.flows[customer]
	if f == nil {
		f = &flow{customer: customer}
		q.flows[customer] = f
	}
	f.share = share
	return f
}

// push lets a request wait.
func (q *fairQueue) push(w *waiter, share float64) {
	q.waiting++
	if w.resumed {
		q.resumed[w.rank] = append(q.resumed[w.rank], w)
		return
	}
	f := q.flow(w.customer, share)
	if !f.backlogged() {
		f.finish = max(f.finish, q.virtual)
	}
	f.queues[w.rank] = append(f.queues[w.rank], w)
}

// drop takes a waiter out that gave up.
func (q *fairQueue) drop(w *waiter) {
	if w.gone {
		return
	}
	w.gone = true
	q.waiting--
	if w.resumed {
		q.resumed[w.rank] = remove(q.resumed[w.rank], w)
		return
	}
	f := q.flows[w.customer]
	f.queues[w.rank] = remove(f.queues[w.rank], w)
}

// next returns the waiter to start first, of those that have room, or nil.
// credit is in virtual time.
func (q *fairQueue) next(credit float64, room func(rank int) bool) *waiter {
	for rank := range ranks {
		if !room(rank) {
			continue
		}
		if len(q.resumed[rank]) > 0 {
			return q.resumed[rank][0]
		}
		if rank == rankPatient {
			break
		}
		if f := q.earliest(rank, q.virtual+credit); f != nil {
			return f.first(rank)
		}
	}
	return q.last(room)
}

// earliest returns the flow with the lowest start tag up to limit that has a
// waiter of the rank, or nil.
func (q *fairQueue) earliest(rank int, limit float64) *flow {
	var best *flow
	for _, f := range q.flows {
		if f.first(rank) == nil || f.finish > limit {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

// before orders flows by start tag, ties by name.
func (f *flow) before(other *flow) bool {
	if f.finish != other.finish {
		return f.finish < other.finish
	}
	return f.customer < other.customer
}

// last serves the patient work of all customers and what is beyond the
// credit, by start tag alone. All of it has the room of patient work only:
// else a flood of urgent work would keep every place taken.
func (q *fairQueue) last(room func(rank int) bool) *waiter {
	if !room(rankPatient) {
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

// start counts a request as started, waiting or not.
func (q *fairQueue) start(customer string, share, tokens float64) {
	f := q.flow(customer, share)
	if !f.backlogged() {
		f.finish = max(f.finish, q.virtual)
	}
	began := f.finish
	f.finish += tokens / share
	for _, other := range q.flows {
		if other != f && other.backlogged() {
			began = min(began, other.finish)
		}
	}
	q.virtual = max(q.virtual, began)
}

// activeShare sums the shares of the customers that wait, the given one
// included.
func (q *fairQueue) activeShare(customer string, share float64) float64 {
	sum := share
	for _, f := range q.flows {
		if f.customer != customer && f.backlogged() {
			sum += f.share
		}
	}
	return sum
}

// backlog returns the tokens that wait in a rank and those more urgent.
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
