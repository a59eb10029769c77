package routing

const (
	// affinityBlocks is how many of a prompt's first blocks decide its
	// affinity: enough to tell shared reports apart behind a common
	// preamble, few enough that the questions about one report agree.
	affinityBlocks = 8
	// affinityRanks is how many endpoints of the rendezvous order are
	// candidates. A prefix too hot for the first spreads to the next ones.
	affinityRanks = 4
)

// affinityKey returns the key of a prompt's first blocks; false for a prompt
// without a whole block. Hashes are chained and salted with the customer, so
// that one hash covers the customer and all blocks before it.
func affinityKey(hashes []uint64) (uint64, bool) {
	if len(hashes) == 0 {
		return 0, false
	}
	return hashes[min(len(hashes), affinityBlocks)-1], true
}

// ranking is the first endpoints of a rendezvous order, best first, as
// indexes into a group.
type ranking struct {
	index [affinityRanks]int
	score [affinityRanks]uint64
	n     int
}

// rendezvous orders the endpoints of a group for a key by highest random
// weight (Thaler and Ravishankar, 1998). All entries with the same host list
// get the same order without talking, and a change of the list moves only
// the keys of the endpoints that changed.
func (g *group) rendezvous(key uint64) ranking {
	var top ranking
	for i, seed := range g.seeds {
		score := weigh(seed ^ key)
		if top.n == affinityRanks && score <= top.score[affinityRanks-1] {
			continue
		}
		top.insert(i, score)
	}
	return top
}

// weigh is a short mix: seeds and keys are well mixed already.
func weigh(x uint64) uint64 {
	x *= golden
	x ^= x >> 32
	return x * 0xd6e8feb86659fd93
}

func (t *ranking) insert(index int, score uint64) {
	if t.n < affinityRanks {
		t.n++
	}
	at := t.n - 1
	for at > 0 && t.score[at-1] < score {
		t.index[at] = t.index[at-1]
		t.score[at] = t.score[at-1]
		at--
	}
	t.index[at] = index
	t.score[at] = score
}
