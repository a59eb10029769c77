package routing

import (
	"slices"
	"time"
)

const (
	// maxScanned is the size of a group up to which every endpoint is a
	// candidate.
	maxScanned = 16
	// randomSamples is the number of random candidates from a larger group, in
	// addition to those with a cached prefix. By the power of two choices, the
	// best of a few samples is close to the best endpoint of the group.
	randomSamples = 6
	// retrySamples is the number of further random candidates when none of the
	// first can accept the request.
	retrySamples = 64
	// maxCandidates is the maximum number of candidates that gather returns.
	maxCandidates = maxHits + affinityRanks + randomSamples
)

// candidate is an endpoint considered for a request.
type candidate struct {
	replica *replica
	hit     hit
	// rank is the position in the rendezvous order, or affinityRanks if the
	// endpoint is not among the first affinityRanks.
	rank  int
	est   estimate
	score float64
}

// candidateList is a list of fixed capacity that needs no heap allocation.
type candidateList struct {
	items [maxCandidates]candidate
	n     int
}

// add appends a candidate unless its endpoint is in the list or the list is
// full.
func (l *candidateList) add(c candidate) {
	if l.n == len(l.items) {
		return
	}
	for i := range l.n {
		if l.items[i].replica == c.replica {
			return
		}
	}
	l.items[l.n] = c
	l.n++
}

// gather collects the candidates for a request: endpoints expected to have its
// prefix cached, the first ones of its rendezvous order, and random ones.
func (f *Fleet) gather(v *view, g *group, req *Request, l *candidateList) {
	var hits hitList
	f.findHits(v, req.Hashes, &hits)
	var top ranking
	if key, ok := affinityKey(req.Hashes); ok {
		top = g.rendezvous(key)
	}
	for i := range top.n {
		r := g.replicas[top.index[i]]
		l.add(candidate{replica: r, hit: hits.get(r), rank: i})
	}
	for i := range hits.n {
		// The index may still contain endpoints that are no longer in the
		// group.
		h := hits.items[i]
		if h.replica.stats == g.stats && !h.replica.host.leaving() {
			l.add(candidate{replica: h.replica, hit: h, rank: affinityRanks})
		}
	}
	if len(g.replicas) <= maxScanned {
		for _, r := range g.replicas {
			l.add(candidate{replica: r, rank: affinityRanks})
		}
		return
	}
	for range randomSamples {
		l.add(candidate{replica: f.sample(g), rank: affinityRanks})
	}
}

// sample returns a random endpoint of a group.
func (f *Fleet) sample(g *group) *replica {
	return g.replicas[f.sampler.below(len(g.replicas))]
}

// eligible reports whether an endpoint may be chosen for a request, whatever
// its load. With ejectedToo, ejected endpoints may be chosen. r.mu is held.
func (r *replica) eligible(req *Request, now time.Time, ejectedToo bool) bool {
	if r.host.leaving() || slices.Contains(req.Exclude, r.endpoint.ID) {
		return false
	}
	return ejectedToo || !r.health.ejected(now)
}
