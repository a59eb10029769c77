package routing

import (
	"math"
	"sync/atomic"
)

const (
	// ageUnit is the increase of the age that divides the confidence by e.
	ageUnit = 1024
	// ageLimit is the increase at which index entries become invalid.
	ageLimit = 2 * ageUnit
	// ageDrop is an increase that invalidates all older entries of an
	// endpoint.
	ageDrop = 8 * ageUnit
	// minSurvival is the lowest factor by which a single gap multiplies the
	// confidence.
	minSurvival = 0.02
)

// cacheAge is a logical clock that advances with each gap in the cache events
// of an endpoint. The confidence in an index entry of the endpoint depends on
// the increase since the entry was recorded, so that a gap costs one addition,
// whatever the number of entries.
//
// This is the soft invalidation of the CUBRID XASL plan cache: an entry that
// may be outdated is used until its confidence falls below a threshold, and
// only entries that are certainly wrong are dropped at once.
type cacheAge struct {
	value atomic.Uint32
}

// confidence returns the probability that an entry recorded at age stamp is
// still valid.
func (a *cacheAge) confidence(stamp uint32) float64 {
	// The difference is also correct after the counter wraps around.
	grown := a.value.Load() - stamp
	if grown == 0 {
		return 1
	}
	if grown >= ageLimit {
		return 0
	}
	return math.Exp(-float64(grown) / ageUnit)
}

// discount multiplies the confidence in all entries by survival, which is
// raised to minSurvival if it is lower.
func (a *cacheAge) discount(survival float64) {
	survival = max(survival, minSurvival)
	a.value.Add(uint32(math.Round(-math.Log(survival) * ageUnit)))
}

// drop invalidates all entries.
func (a *cacheAge) drop() { a.value.Add(ageDrop) }
