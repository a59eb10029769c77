package admission

const (
	// floorShare is the part of a limit that is divided equally whatever the
	// demand, so that an entry whose demand is new is not refused outright.
	floorShare = 0.2
	// minShare is the share of a customer that is gone from the template.
	minShare = 1e-3
)

// divide gives each customer's bucket this entry's part of the limit. c.mu is
// held.
func (c *Controller) divide() {
	now := c.now()
	for name, cu := range c.customers {
		cu.setPart(now, c.limitPart(name, cu))
	}
}

// limitPart returns this entry's part of a customer's limit, in (0, 1]. All
// entries that see the same demand get parts that add up to 1. c.mu is held.
func (c *Controller) limitPart(name string, cu *customer) float64 {
	others := 0.0
	for _, demand := range c.peers {
		others += demand[name]
	}
	return c.part(cu.told, others)
}

// roomPart returns this entry's part of the endpoints' free places, by the
// demand of all customers. c.mu is held.
func (c *Controller) roomPart() float64 {
	own, others := 0.0, 0.0
	for _, cu := range c.customers {
		own += cu.told
	}
	for _, demand := range c.peers {
		for _, n := range demand {
			others += n
		}
	}
	return c.part(own, others)
}

// part divides by demand, and equally as far as the floor goes or where no
// peer was heard. Members that were not heard count as the average of those
// that were, so that a partition can't lift all parts at once.
func (c *Controller) part(own, others float64) float64 {
	members := float64(max(c.members, len(c.peers)+1))
	if len(c.peers) > 0 {
		others *= (members - 1) / float64(len(c.peers))
	}
	if len(c.peers) == 0 || own+others <= 0 {
		return 1 / members
	}
	return floorShare/members + (1-floorShare)*own/(own+others)
}

// peerSpend returns what the other entries spent for a customer. c.mu is
// held.
func (c *Controller) peerSpend(name string) float64 {
	sum := 0.0
	for _, spend := range c.peersSpend {
		sum += spend[name]
	}
	return sum
}
