package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// pick applies the Fleet's policy, or the one policy for plain services.
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

// pickCheapest takes the cheapest candidate that meets the deadline, or else
// the fastest. Whoever may take the request at all is asked first; if nobody
// may, more endpoints are sampled, and in the end ejected ones are tried:
// when everything looks broken the fault may be on this side.
func (f *Fleet) pickCheapest(v *view, g *group, req *Request, now time.Time) pick {
	p := f.pricingFor(g, req)
	d := demand{before: f.mix.upTo(req.Urgency.Rank())}
	f.mix.add(req.Urgency.Rank(), req.PromptTokens)

	var near candidateList
	f.gather(v, g, req, &near)
	s := newSelection(g, p, d, now)
	for i := range near.n {
		s.offer(req, near.items[i])
	}
	s.learnOccupancy()
	if s.empty() && len(g.replicas) > scanAll {
		for range widerSamples {
			s.offer(req, candidate{replica: f.sample(g), rank: affinityRanks})
		}
	}
	if s.empty() && !s.full {
		s.ejectedToo = true
		for _, r := range g.replicas {
			s.offer(req, candidate{replica: r, rank: affinityRanks})
		}
	}
	return s.result()
}

// pickService takes the least loaded endpoint, of equals one in the entry's
// failure domain.
func (f *Fleet) pickService(g *group, req *Request, now time.Time) pick {
	return f.leastLoaded(g, req, now, func(r *replica) float64 {
		load := float64(r.own.inFlight)
		if r.host.FailureDomain != f.opts.FailureDomain {
			load += 0.5
		}
		return load
	})
}

// pickLeastInFlight is a baseline: the fewest streams, as far as known.
func (f *Fleet) pickLeastInFlight(g *group, req *Request, now time.Time) pick {
	return f.leastLoaded(g, req, now, func(r *replica) float64 {
		return r.streams(r.rates().batch, now)
	})
}

// leastLoaded scans a group for the lowest load; ties go round. load is
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

// pickRoundRobin is a baseline: every endpoint in turn.
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

// pickAffinity is a baseline: the first endpoint of the rendezvous order,
// whatever its load.
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
