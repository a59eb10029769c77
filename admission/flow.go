package admission

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const ranks = template.NumRanks

// Ranks of the urgencies; the most urgent has the lowest rank.
var (
	rankUrgent  = template.UrgencyUrgent.Rank()
	rankNormal  = template.UrgencyNormal.Rank()
	rankPatient = template.UrgencyPatient.Rank()
)

// waiter is a queued request.
type waiter struct {
	customer string
	rank     int
	tokens   float64
	resumed  bool
	// expires is the time after which the request can no longer start
	// before its deadline; zero means never. predictedWait returns the
	// predicted time from the start to the first token; nil means 0.
	expires       time.Time
	predictedWait func() time.Duration
	// ready receives the result: nil when the request is started, or the
	// error that refuses it.
	ready chan error
	// removed is set once the waiter is out of its queue.
	removed bool
}

// flow holds the waiting requests of one customer for one model.
type flow struct {
	customer string
	share    float64
	queues   [ranks][]*waiter
	// finishTag is the virtual finish time of the work started so far, and
	// thus the start tag of the next request. Each token takes 1/share of
	// virtual time.
	finishTag float64
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

// backlog returns the tokens that wait in the given rank and in the more urgent
// ones.
func (f *flow) backlog(rank int) float64 {
	sum := 0.0
	for r := range rank + 1 {
		for _, w := range f.queues[r] {
			sum += w.tokens
		}
	}
	return sum
}

// remove deletes a waiter from a queue.
func remove(q []*waiter, w *waiter) []*waiter {
	for i := range q {
		if q[i] == w {
			return append(q[:i], q[i+1:]...)
		}
	}
	return q
}
