package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// pick applies the Fleet's policy, or pickService for a plain service.
func (f *Fleet) pick(v *view, g *group, req *Request, now time.Time) pick {
	if g.replicas[0].endpoint.Kind == infra.KindService {
		return f.pickService(g, req, now)
	}
	switch f.opts.Policy {
	case PolicyRoundRobin:
		return f.pickRoundRobin(g, req, now)
	case PolicyLeastInFlight:
		return f.pickLeastInFlight(g, req, now)
	case PolicyAffinityOnly:
		return f.pickAffinity(g, req, now)
	default:
		return f.pickCheapest(v, g, req, now)
	}
}

// pickCheapest picks the cheapest candidate that meets the deadline, or else
// the fastest one. If no candidate can accept the request, it samples more
// endpoints. If all of these are ineligible, it considers ejected ones too:
// when all endpoints seem to fail, the cause may be a fault of the entry.
func (f *Fleet) pickCheapest(v *view, g *group, req *Request, now time.Time) pick {
	p := f.pricingFor(g, req)
	in := predictionInput{precedingFraction: f.urgencies.fractionUpTo(req.Urgency.Rank())}
	f.urgencies.add(req.Urgency.Rank(), req.PromptTokens)

	var candidates candidateList
	f.gather(v, g, req, &candidates)
	s := newSelection(g, p, in, now)
	for i := range candidates.n {
		s.evaluate(req, candidates.items[i])
	}
	s.recordOccupancy()
	if s.empty() && len(g.replicas) > maxScanned {
		for range retrySamples {
			s.evaluate(req, candidate{replica: f.sample(g), rank: affinityRanks})
		}
	}
	if s.empty() && !s.full {
		s.ejectedToo = true
		for _, r := range g.replicas {
			s.evaluate(req, candidate{replica: r, rank: affinityRanks})
		}
	}
	return s.result()
}

// pickService picks the endpoint with the fewest requests of this entry, and
// among equals one in the entry's failure domain.
func (f *Fleet) pickService(g *group, req *Request, now time.Time) pick {
	return f.leastLoaded(g, req, now, func(r *replica) float64 {
		load := float64(r.own.inFlight)
		if r.host.FailureDomain != f.opts.FailureDomain {
			load += 0.5
		}
		return load
	})
}

// pickLeastInFlight is a baseline that picks the endpoint with the fewest
// estimated streams.
func (f *Fleet) pickLeastInFlight(g *group, req *Request, now time.Time) pick {
	return f.leastLoaded(g, req, now, func(r *replica) float64 {
		return r.streams(r.rates().batchSize, now)
	})
}

// leastLoaded picks the endpoint of a group with the lowest load. The scan
// starts at a rotating position, so that ties are distributed evenly. load is
// called with the replica's lock held.
func (f *Fleet) leastLoaded(g *group, req *Request, now time.Time, load func(*replica) float64) pick {
	for _, ejectedToo := range []bool{false, true} {
		var best, second *replica
		var least float64
		from := int(g.stats.turn.Add(1) % uint64(len(g.replicas)))
		for i := range g.replicas {
			r := g.replicas[(from+i)%len(g.replicas)]
			r.mu.Lock()
			ok := r.eligible(req, now, ejectedToo)
			n := load(r)
			r.mu.Unlock()
			if !ok {
				continue
			}
			if best == nil || n < least {
				best, second, least = r, best, n
			}
		}
		if best != nil {
			return pick{candidate: candidate{replica: best}, runnerUp: second, reason: reasonLeastLoaded}
		}
	}
	return pick{}
}

// pickRoundRobin is a baseline that picks the endpoints in turn.
func (f *Fleet) pickRoundRobin(g *group, req *Request, now time.Time) pick {
	for _, ejectedToo := range []bool{false, true} {
		for range g.replicas {
			r := g.replicas[g.stats.turn.Add(1)%uint64(len(g.replicas))]
			r.mu.Lock()
			ok := r.eligible(req, now, ejectedToo)
			r.mu.Unlock()
			if ok {
				return pick{candidate: candidate{replica: r}, reason: reasonRoundRobin}
			}
		}
	}
	return pick{}
}

// pickAffinity is a baseline that picks the first eligible endpoint of the
// rendezvous order, whatever its load.
func (f *Fleet) pickAffinity(g *group, req *Request, now time.Time) pick {
	key, ok := affinityKey(req.Hashes)
	if !ok {
		return f.pickRoundRobin(g, req, now)
	}
	top := g.rendezvous(key)
	for i := range top.n {
		r := g.replicas[top.index[i]]
		r.mu.Lock()
		ok := r.eligible(req, now, false)
		r.mu.Unlock()
		if ok {
			return pick{candidate: candidate{replica: r, rank: i}, reason: reasonAffinity}
		}
	}
	return f.pickRoundRobin(g, req, now)
}
