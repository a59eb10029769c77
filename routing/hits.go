package routing

// maxHits bounds the endpoints taken from the prefix index for one choice.
const maxHits = 12

// hit is an endpoint that holds the first blocks of a prompt.
type hit struct {
	replica    *replica
	blocks     int
	confidence float64
}

// hitList is a small list without allocation.
type hitList struct {
	items [maxHits]hit
	n     int
}

// add keeps the deepest hit of each endpoint.
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

// of returns the endpoint's hit, or a zero hit.
func (l *hitList) of(r *replica) hit {
	for i := range l.n {
		if l.items[i].replica == r {
			return l.items[i]
		}
	}
	return hit{}
}

// findHits looks for the endpoints that hold most of a prompt. Blocks are
// chained, so that an endpoint that holds one holds all before it: a binary
// search over the depth takes one look-up for each doubling of the prompt.
// Endpoints met at the depths on the way are kept with those depths.
func (f *Fleet) findHits(v *view, hashes []uint64, hits *hitList) {
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high) / 2
		if f.hitsAt(v, hashes, mid, hits) {
			low = mid + 1
		} else {
			high = mid
		}
	}
}

// hitsAt collects the believed holders of one block.
func (f *Fleet) hitsAt(v *view, hashes []uint64, level int, hits *hitList) bool {
	var holders [maxHolders]holder
	n := f.index.find(hashes[level], &holders)
	found := false
	for _, h := range holders[:n] {
		r := v.numbered(h.number)
		if r == nil {
			continue
		}
		confidence := r.age.confidence(h.stamp)
		if confidence == 0 {
			continue
		}
		found = true
		hits.add(hit{r, level + 1, confidence})
	}
	return found
}
