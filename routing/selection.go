package routing

import (
	"time"
)

// selection holds the best of the candidates evaluated so far.
type selection struct {
	pricing pricing
	input   predictionInput
	stats   *groupStats
	now     time.Time
	// ejectedToo is set to consider ejected endpoints.
	ejectedToo bool
	// full is set once a candidate was skipped only because its batch is full.
	full bool

	// cheapest and secondCheapest meet the deadline and the load bound. fastest
	// and secondFastest are the best of all candidates that fit.
	cheapest, secondCheapest candidate
	fastest, secondFastest   candidate

	// scansAll is set when all endpoints of the group are candidates.
	scansAll       bool
	occupancySum   float64
	occupancyCount int
}

func newSelection(g *group, p pricing, in predictionInput, now time.Time) selection {
	return selection{pricing: p, input: in, stats: g.stats, now: now, scansAll: len(g.replicas) <= maxScanned}
}

// evaluate compares a candidate with the best ones so far. The request is an
// argument because a pointer in the selection would move it to the heap.
func (s *selection) evaluate(req *Request, c candidate) {
	prompt := req.PromptTokens
	in := s.input
	in.uncachedTokens = max(0, prompt-int(c.cachedTokens()))
	r := c.replica
	r.mu.Lock()
	ok := r.eligible(req, s.now, s.ejectedToo)
	c.est = r.predict(in, s.now)
	r.mu.Unlock()
	if !ok {
		return
	}
	s.addOccupancy(&c)
	if !c.est.fits(s.pricing.reservedFraction) {
		s.full = true
		return
	}
	if s.fastest.replica == nil || c.est.ttft < s.fastest.est.ttft {
		s.fastest, s.secondFastest = c, s.fastest
	} else if s.secondFastest.replica == nil || c.est.ttft < s.secondFastest.est.ttft {
		s.secondFastest = c
	}
	if c.est.ttft > s.pricing.ttftLimit || c.est.occupancy > s.pricing.occupancyBound {
		return
	}
	c.score = s.pricing.score(&c, prompt)
	if s.cheapest.replica == nil || c.score < s.cheapest.score {
		s.cheapest, s.secondCheapest = c, s.cheapest
	} else if s.secondCheapest.replica == nil || c.score < s.secondCheapest.score {
		s.secondCheapest = c
	}
}

// addOccupancy includes a candidate in the group's average occupancy: every
// candidate of a small group, only the random ones of a large group.
func (s *selection) addOccupancy(c *candidate) {
	if !s.scansAll && (c.rank < affinityRanks || c.hit.blocks > 0) {
		return
	}
	s.occupancySum += c.est.occupancy
	s.occupancyCount++
}

// recordOccupancy updates the group's average occupancy from the candidates.
func (s *selection) recordOccupancy() {
	if s.occupancyCount > 0 {
		s.stats.occupancy.observe(s.occupancySum / float64(s.occupancyCount))
	}
}

func (s *selection) empty() bool { return s.fastest.replica == nil }

// result returns the cheapest candidate, or the fastest one if none meets the
// deadline and the load bound.
func (s *selection) result() pick {
	if s.cheapest.replica == nil {
		return pick{candidate: s.fastest, runnerUp: s.secondFastest.replica, reason: reasonFastest, full: s.full}
	}
	reason := reasonCheapest
	switch {
	case s.cheapest.hit.blocks > 0:
		reason = reasonCached
	case s.cheapest.rank < affinityRanks:
		reason = reasonAffinity
	}
	runnerUp := s.secondCheapest.replica
	if runnerUp == nil && s.fastest.replica != s.cheapest.replica {
		runnerUp = s.fastest.replica
	}
	return pick{candidate: s.cheapest, runnerUp: runnerUp, reason: reason}
}
