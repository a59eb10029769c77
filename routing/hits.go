package routing

// maxHits is the maximum number of endpoints that findHits collects for one
// prompt.
const maxHits = 12

// hit is an endpoint that has the first blocks of a prompt in its cache.
type hit struct {
	replica    *replica
	blocks     int
	confidence float64
}

// hitList is a list of fixed capacity that needs no heap allocation.
type hitList struct {
	items [maxHits]hit
	n     int
}

// add adds a hit, or replaces a hit of the same endpoint with fewer blocks.
func (l *hitList) add(h hit) {
	for i := range l.n {
		if l.items[i].replica != h.replica {
			continue
		}
		if h.blocks > l.items[i].blocks {
			l.items[i] = h
		}
		return
	}
	if l.n < maxHits {
		l.items[l.n] = h
		l.n++
	}
}

// get returns the hit of an endpoint, or a zero hit.
func (l *hitList) get(r *replica) hit {
	for i := range l.n {
		if l.items[i].replica == r {
			return l.items[i]
		}
	}
	return hit{}
}

// findHits collects endpoints with the longest cached prefixes of a prompt.
// Blocks are chained, so that an endpoint with a cached block has all preceding
// blocks too. A binary search over the number of blocks therefore needs one
// look-up for each doubling of the prompt. It also returns the endpoints found
// at the intermediate steps, with the number of blocks of their step.
func (f *Fleet) findHits(v *view, hashes []uint64, hits *hitList) {
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high) / 2
		if f.collectHits(v, hashes, mid, hits) {
			low = mid + 1
		} else {
			high = mid
		}
	}
}

// collectHits collects the endpoints that are expected to have the block with
// the given index cached, and reports whether there are any.
func (f *Fleet) collectHits(v *view, hashes []uint64, block int, hits *hitList) bool {
	var locations [maxLocations]blockLocation
	n := f.index.find(hashes[block], &locations)
	found := false
	for _, loc := range locations[:n] {
		r := v.replicaByNumber(loc.number)
		if r == nil {
			continue
		}
		confidence := r.age.confidence(loc.stamp)
		if confidence == 0 {
			continue
		}
		found = true
		hits.add(hit{r, block + 1, confidence})
	}
	return found
}
