package admission

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const ranks = template.Ranks

// Ranks of urgencies.
var (
	rankUrgent  = template.UrgencyUrgent.Rank()
	rankNormal  = template.UrgencyNormal.Rank()
	rankPatient = template.UrgencyPatient.Rank()
)

// waiter is a request that waits for room.
type waiter struct {
	customer string
	rank     int
	tokens   float64
	resumed  bool
	// expires is when the request can no longer start in time; zero for
	// never. predicted tells the time to the first token once it starts.
	expires   time.Time
	predicted func() time.Duration
	// ready gets the verdict: nil to start.
	ready chan error
	// gone is set when nobody waits any more.
	gone bool
}

// flow is what one customer has waiting for one model.
type flow struct {
	customer string
	share    float64
	queues   [ranks][]*waiter
	// finish is the virtual time at which the work admitted so far is paid
	// for: each token costs 1/share.
	finish float64
}

func (f *flow) backlogged() bool {
	for _, q := range f.queues {
		if len(q) > 0 {
			return true
		}
	}
	return false
}

// first returns the first waiter of a rank, or nil.
func (f *flow) first(rank int) *waiter {
	if len(f.queues[rank]) == 0 {
		return nil
	}
	return f.queues[rank][0]
}

// backlog returns the tokens that wait in a rank and those more urgent.
func (f *flow) backlog(rank int) float64 {
	sum := 0.0
	for r := range rank + 1 {
		for _, w := range f.queues[r] {
			sum += w.tokens
		}
	}
	return sum
}

// remove takes a waiter out of a queue.
func remove(q []*waiter, w *waiter) []*waiter {
	for i := range q {
		if q[i] == w {
			return append(q[:i], q[i+1:]...)
		}
	}
	return q
}
