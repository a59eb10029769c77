package routing

import (
	"time"
)

// selection compares candidates.
type selection struct {
	p          pricing
	d          demand
	stats      *groupStats
	now        time.Time
	ejectedToo bool
	// full is set once a candidate was left out for lack of room only.
	full bool

	// cheapest meets the deadline within the load bound; fastest is over all.
	cheapest, cheapest2 candidate
	fastest, fastest2   candidate

	// small is set when all endpoints of the group are candidates.
	small     bool
	occupancy float64
	seen      int
}

func newSelection(g *group, p pricing, d demand, now time.Time) selection {
	return selection{p: p, d: d, stats: g.stats, now: now, small: len(g.replicas) <= scanAll}
}

// offer puts in one candidate for a request. A selection holds no pointer to
// the request, which would move it to the heap.
func (s *selection) offer(req *Request, c candidate) {
	prompt := req.PromptTokens
	d := s.d
	d.uncached = max(0, prompt-int(c.cached()))
	r := c.replica
	r.mu.Lock()
	ok := r.eligible(req, s.now, s.ejectedToo)
	c.est = r.predict(d, s.now)
	r.mu.Unlock()
	if !ok {
		return
	}
	s.see(&c)
	if !c.est.fits(s.p.reserve) {
		s.full = true
		return
	}
	if s.fastest.replica == nil || c.est.ttft < s.fastest.est.ttft {
		s.fastest, s.fastest2 = c, s.fastest
	} else if s.fastest2.replica == nil || c.est.ttft < s.fastest2.est.ttft {
		s.fastest2 = c
	}
	if c.est.ttft > s.p.limit || c.est.occupancy > s.p.bound {
		return
	}
	c.score = s.p.score(&c, prompt)
	if s.cheapest.replica == nil || c.score < s.cheapest.score {
		s.cheapest, s.cheapest2 = c, s.cheapest
	} else if s.cheapest2.replica == nil || c.score < s.cheapest2.score {
		s.cheapest2 = c
	}
}

// see counts a candidate for the group's average: all of a small group, the
// random ones of a large one.
func (s *selection) see(c *candidate) {
	if !s.small && (c.rank < affinityRanks || c.hit.blocks > 0) {
		return
	}
	s.occupancy += c.est.occupancy
	s.seen++
}

// learnOccupancy lets the group's average learn from the candidates.
func (s *selection) learnOccupancy() {
	if s.seen > 0 {
		s.stats.occupancy.observe(s.occupancy / float64(s.seen))
	}
}

func (s *selection) empty() bool { return s.fastest.replica == nil }

func (s *selection) result() pick {
	if s.cheapest.replica == nil {
		return pick{candidate: s.fastest, runnerUp: s.fastest2.replica, reason: reasonFastest, full: s.full}
	}
	reason := reasonCheapest
	switch {
	case s.cheapest.hit.blocks > 0:
		reason = reasonCached
	case s.cheapest.rank < affinityRanks:
		reason = reasonAffinity
	}
	runnerUp := s.cheapest2.replica
	if runnerUp == nil && s.fastest.replica != s.cheapest.replica {
		runnerUp = s.fastest.replica
	}
	return pick{candidate: s.cheapest, runnerUp: runnerUp, reason: reason}
}
