package routing

// numbering allocates small numbers that stand for endpoint IDs in the prefix
// index, and reuses the numbers of endpoints that are no longer listed.
type numbering struct {
	issued int
	free   []retiredNumber
}

// retiredNumber is a released number with the cache age of its last endpoint.
// The next endpoint starts from a higher age, which invalidates the index
// entries of the last one.
type retiredNumber struct {
	number uint32
	age    uint32
}

// allocate returns a number and the initial cache age of its endpoint.
func (n *numbering) allocate() (number, age uint32) {
	if last := len(n.free) - 1; last >= 0 {
		r := n.free[last]
		n.free = n.free[:last]
		return r.number, r.age + ageDrop
	}
	n.issued++
	return uint32(n.issued - 1), 0
}

func (n *numbering) release(number, age uint32) {
	n.free = append(n.free, retiredNumber{number, age})
}

// count returns the size of a slice that is indexed by number.
func (n *numbering) count() int { return n.issued }
