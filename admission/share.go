package admission

import "github.com/coltsfootcleat/coltsfootcleat/internal/rate"

const (
	// minShare is the share of a customer that is no longer in the template
	// but still has waiting requests.
	minShare = 1e-3
)

// resizeBuckets applies this entry's local share of each customer's limit to
// the customer's bucket. The caller holds c.mu.
func (c *Controller) resizeBuckets() {
	now := c.now()
	for name, cu := range c.customers {
		cu.setLimitShare(now, c.localLimitShare(name, cu))
	}
}

// localLimitShare returns this entry's share of a customer's limit, in (0, 1].
// The shares of all entries that have the same view of the demand add up to 1.
// The caller holds c.mu.
func (c *Controller) localLimitShare(name string, cu *customer) float64 {
	others := 0.0
	for _, demand := range c.demandByPeer {
		others += demand[name]
	}
	return c.localShare(cu.publishedDemand, others)
}

// localSlotShare returns this entry's share of the endpoints' slots, based on
// the demand of all customers. The caller holds c.mu.
func (c *Controller) localSlotShare() float64 {
	own, others := 0.0, 0.0
	for _, cu := range c.customers {
		own += cu.publishedDemand
	}
	for _, demand := range c.demandByPeer {
		for _, n := range demand {
			others += n
		}
	}
	return c.localShare(own, others)
}

// localShare returns this entry's share of a resource that is divided in
// proportion to demand. The caller holds c.mu.
func (c *Controller) localShare(own, others float64) float64 {
	return rate.Share(own, others, len(c.demandByPeer), c.members)
}

// peerSpend returns what a customer spent through the other entries in the last
// hour. The caller holds c.mu.
func (c *Controller) peerSpend(name string) float64 {
	sum := 0.0
	for _, spend := range c.spendByPeer {
		sum += spend[name]
	}
	return sum
}
