package routing

import (
	"math"
	"sync/atomic"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// averageWeight is the weight of one observation in a moving average.
const averageWeight = 1.0 / 16

// average is an exponentially weighted moving average that is safe for
// concurrent use without a lock. Of two concurrent updates one may be lost,
// which hardly affects the average.
type average struct {
	bits atomic.Uint64
}

// get returns the average, or fallback before the first observation.
func (a *average) get(fallback float64) float64 {
	bits := a.bits.Load()
	if bits == 0 {
		return fallback
	}
	return math.Float64frombits(bits)
}

func (a *average) observe(v float64) {
	old := a.get(v)
	next := old + averageWeight*(v-old)
	// Zero bits mean no observation.
	a.bits.Store(math.Float64bits(max(next, math.SmallestNonzeroFloat64)))
}

// groupStats holds the statistics of a group. It outlives the views.
type groupStats struct {
	prefillRate  average
	decodeRate   average
	answerTokens average
	occupancy    average
	// turn is the position of the rotation over the group's endpoints.
	turn atomic.Uint64
}

// urgencyWindow is the count of one urgency at which all counts of an
// urgencyMix are halved, so that older requests lose weight.
const urgencyWindow = 1 << 20

// urgencyMix estimates the distribution of prompt tokens over the urgencies.
type urgencyMix struct {
	tokens [template.NumRanks]atomic.Int64
}

func (m *urgencyMix) add(rank, tokens int) {
	if m.tokens[rank].Add(int64(tokens)) < urgencyWindow {
		return
	}
	for i := range m.tokens {
		m.tokens[i].Add(-m.tokens[i].Load() / 2)
	}
}

// fractionUpTo returns the fraction of the tokens whose urgency has at most the
// given rank, or 1 before the first request.
func (m *urgencyMix) fractionUpTo(rank int) float64 {
	var before, all int64
	for i := range m.tokens {
		n := m.tokens[i].Load()
		all += n
		if i <= rank {
			before += n
		}
	}
	if all <= 0 {
		return 1
	}
	return float64(before) / float64(all)
}
