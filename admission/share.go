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
	own := cu.told
	total := own
	for _, demand := range c.peers {
		total += demand[name]
	}
	return c.part(own, total)
}

// roomPart returns this entry's part of the endpoints' free places, by the
// demand of all customers. c.mu is held.
func (c *Controller) roomPart() float64 {
	own := 0.0
	for _, cu := range c.customers {
		own += cu.told
	}
	total := own
	for _, demand := range c.peers {
		for _, n := range demand {
			total += n
		}
	}
	return c.part(own, total)
}

// part divides by demand, and equally as far as the floor goes or where no
// peer was heard.
func (c *Controller) part(own, total float64) float64 {
	equal := 1 / float64(c.members)
	if len(c.peers) == 0 || total <= 0 {
		return equal
	}
	return floorShare*equal + (1-floorShare)*own/total
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
