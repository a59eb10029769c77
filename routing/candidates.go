package routing

import (
	"slices"
	"time"
)

const (
	// scanAll is the size of a group up to which every endpoint is a
	// candidate.
	scanAll = 16
	// randomSamples is the number of random candidates of a larger group. By
	// the power of two choices a few samples come close to the best of all;
	// candidates with the prefix in their cache come on top.
	randomSamples = 6
	// widerSamples is tried when no candidate may take the request.
	widerSamples = 64
	// maxCandidates bounds the candidates of one round.
	maxCandidates = maxHits + affinityRanks + randomSamples
)

// candidate is an endpoint that may take a request.
type candidate struct {
	replica *replica
	hit     hit
	// rank is the place in the rendezvous order, affinityRanks for none.
	rank  int
	est   estimate
	score float64
}

// candidateList is a list without allocation.
type candidateList struct {
	items [maxCandidates]candidate
	n     int
}

// add adds an endpoint that is not in the list yet.
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

// gather collects the candidates for a request: the endpoints known to hold
// its prefix, those that rendezvous hashing gives it, and random ones.
func (f *Fleet) gather(v *view, g *group, req *Request, l *candidateList) {
	var hits hitList
	f.findHits(v, req.Hashes, &hits)
	var top ranking
	if key, ok := affinityKey(req.Hashes); ok {
		top = g.rendezvous(key)
	}
	for i := range top.n {
		r := g.replicas[top.index[i]]
		l.add(candidate{replica: r, hit: hits.of(r), rank: i})
	}
	for i := range hits.n {
		// The index may know endpoints that left the group.
		h := hits.items[i]
		if h.replica.stats == g.stats && !h.replica.host.leaving() {
			l.add(candidate{replica: h.replica, hit: h, rank: affinityRanks})
		}
	}
	if len(g.replicas) <= scanAll {
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

// eligible says whether an endpoint may take the request at all.
func (r *replica) eligible(req *Request, now time.Time, ejectedToo bool) bool {
	if r.host.leaving() || slices.Contains(req.Exclude, r.endpoint.ID) {
		return false
	}
	return ejectedToo || !r.health.ejected(now)
}
