package routing

const (
	// affinityBlocks is the number of a prompt's first blocks that determine
	// its affinity. It is large enough to distinguish shared reports that
	// follow a common preamble, and small enough that all questions about one
	// report have the same affinity.
	affinityBlocks = 8
	// affinityRanks is the number of endpoints at the start of a rendezvous
	// order that are candidates. When the first endpoint can't serve all
	// requests with the same prefix, the others go to the next ones.
	affinityRanks = 4
)

// affinityKey returns the key of a prompt's first blocks, or false for a prompt
// without a complete block. Hashes are chained and salted with the customer, so
// that one hash covers the customer and all preceding blocks.
func affinityKey(hashes []uint64) (uint64, bool) {
	if len(hashes) == 0 {
		return 0, false
	}
	return hashes[min(len(hashes), affinityBlocks)-1], true
}

// ranking holds the first endpoints of a rendezvous order, best first, as
// indexes into a group.
type ranking struct {
	index [affinityRanks]int
	score [affinityRanks]uint64
	n     int
}

// rendezvous returns the first endpoints of a group for a key by rendezvous
// hashing, also called highest random weight (Thaler and Ravishankar, 1998).
// All entries with the same host list get the same order without coordination,
// and a change of the list moves only the keys of the endpoints that changed.
func (g *group) rendezvous(key uint64) ranking {
	var top ranking
	for i, seed := range g.seeds {
		score := rendezvousScore(seed ^ key)
		if top.n == affinityRanks && score <= top.score[affinityRanks-1] {
			continue
		}
		top.insert(i, score)
	}
	return top
}

// rendezvousScore mixes the bits of x, the exclusive or of a seed and a key.
// Both are hashes already, so that a short mix suffices.
func rendezvousScore(x uint64) uint64 {
	x *= goldenGamma
	x ^= x >> 32
	return x * 0xd6e8feb86659fd93
}

// insert adds an index in the order of scores. A full ranking drops its last
// index; the caller checks that the new score is higher.
func (r *ranking) insert(index int, score uint64) {
	if r.n < affinityRanks {
		r.n++
	}
	at := r.n - 1
	for at > 0 && r.score[at-1] < score {
		r.index[at] = r.index[at-1]
		r.score[at] = r.score[at-1]
		at--
	}
	r.index[at] = index
	r.score[at] = score
}
