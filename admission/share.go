package admission

import "time"

// floorShare is the part of a limit that is divided equally whatever the
// demand, so that an entry whose demand is new is not refused outright.
const floorShare = 0.2

// part returns this entry's part of a customer's limit, in (0, 1]. All
// entries that see the same demand get parts that add up to 1. c.mu is held.
func (c *Controller) part(now time.Time, name string, cu *customer) float64 {
	equal := 1 / float64(c.members)
	own := cu.demand.rate(now)
	total := own
	for _, demand := range c.peers {
		total += demand[name]
	}
	if len(c.peers) == 0 || total <= 0 {
		return equal
	}
	return floorShare*equal + (1-floorShare)*own/total
}
