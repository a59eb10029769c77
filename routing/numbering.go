package routing

// numbering gives endpoints small numbers, which the prefix index holds in
// place of IDs, and reuses those of endpoints that are gone.
type numbering struct {
	issued int
	free   []retiredNumber
}

// retiredNumber keeps the cache age of its last owner, so that what the index
// says of that owner is not believed of the next.
type retiredNumber struct {
	number uint32
	age    uint32
}

// take returns a number and the cache age to start from.
func (n *numbering) take() (number, age uint32) {
	if last := len(n.free) - 1; last >= 0 {
		r := n.free[last]
		n.free = n.free[:last]
		return r.number, r.age + ageDrop
	}
	n.issued++
	return uint32(n.issued - 1), 0
}

func (n *numbering) give(number, age uint32) {
	n.free = append(n.free, retiredNumber{number, age})
}

// count returns the size of a table indexed by number.
func (n *numbering) count() int { return n.issued }
