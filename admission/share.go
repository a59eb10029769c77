package admission

import "github.com/coltsfootcleat/coltsfootcleat/internal/rate"

const (
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

// part is this entry's part of what is divided by demand. c.mu is held.
func (c *Controller) part(own, others float64) float64 {
	return rate.Share(own, others, len(c.peers), c.members)
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
