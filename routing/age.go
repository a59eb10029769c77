package routing

import (
	"math"
	"sync/atomic"
)

const (
	// ageUnit is one e-folding of confidence.
	ageUnit = 1024
	// ageLimit is where entries count as gone.
	ageLimit = 2 * ageUnit
	// ageDrop makes all older entries of an endpoint count as gone.
	ageDrop = 8 * ageUnit
	// minSurvival bounds how far one gap discounts.
	minSurvival = 0.02
)

// cacheAge measures how much of an endpoint's index entries can still be
// believed. It grows with each gap in the endpoint's cache events; an entry
// is believed by the growth since it was recorded. So a gap costs one
// addition, whatever the number of entries.
//
// That is the soft invalidation of the CUBRID XASL plan cache: an entry whose
// basis drifted goes on to be used until a threshold is crossed, and only
// what is known to be wrong is dropped at once.
type cacheAge struct {
	value atomic.Uint32
}

// confidence returns the probability that an entry recorded at stamp still
// holds.
func (a *cacheAge) confidence(stamp uint32) float64 {
	// The difference is right also after a wrap.
	grown := a.value.Load() - stamp
	if grown == 0 {
		return 1
	}
	if grown >= ageLimit {
		return 0
	}
	return math.Exp(-float64(grown) / ageUnit)
}

// discount multiplies the confidence in all entries by survival.
func (a *cacheAge) discount(survival float64) {
	survival = max(survival, minSurvival)
	a.value.Add(uint32(math.Round(-math.Log(survival) * ageUnit)))
}

// drop gives up all entries.
func (a *cacheAge) drop() { a.value.Add(ageDrop) }
