package routing

import (
	"math"
	"sync/atomic"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// averageWeight is the weight of one observation in a running average.
const averageWeight = 1.0 / 16

// average is a running average that concurrent callers share without a lock.
// A lost update of two at once does no harm to an average.
type average struct {
	bits atomic.Uint64
}

// get returns the average, or otherwise before the first observation.
func (a *average) get(otherwise float64) float64 {
	bits := a.bits.Load()
	if bits == 0 {
		return otherwise
	}
	return math.Float64frombits(bits)
}

func (a *average) observe(v float64) {
	old := a.get(v)
	next := old + averageWeight*(v-old)
	// Zero bits mean no observation.
	a.bits.Store(math.Float64bits(max(next, math.SmallestNonzeroFloat64)))
}

// groupStats is what is learnt about a group over all views.
type groupStats struct {
	prefillRate  average
	decodeRate   average
	answerTokens average
	occupancy    average
	// turn counts choices for the round-robin baseline.
	turn atomic.Uint64
}

// mixWindow is the number of tokens after which older ones count half.
const mixWindow = 1 << 20

// urgencyMix measures which part of the prompt tokens is how urgent.
type urgencyMix struct {
	tokens [template.Ranks]atomic.Int64
}

func (m *urgencyMix) add(rank, tokens int) {
	if m.tokens[rank].Add(int64(tokens)) < mixWindow {
		return
	}
	for i := range m.tokens {
		m.tokens[i].Add(-m.tokens[i].Load() / 2)
	}
}

// upTo returns the part of the tokens that goes before or with a rank.
func (m *urgencyMix) upTo(rank int) float64 {
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
