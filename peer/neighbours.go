package peer

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/member"
)

const (
	// fullMeshMembers is the largest deployment in which all members are
	// neighbours.
	fullMeshMembers = 16
	// chosenNeighbours is the number of neighbours that a member of a larger
	// deployment chooses. On average as many other members choose that member.
	chosenNeighbours = 4
	// relayNeighbours is the number of chosen neighbours that relay the states
	// of third members.
	relayNeighbours = 3
)

// choice is the set of neighbours that a member connects to.
type choice struct {
	// ids maps each neighbour to whether it relays states.
	ids map[string]bool
}

// choose returns the neighbours of self. In a small deployment these are all
// other members. In a larger one they are chosen by rendezvous hash: two in its
// own region, the first of them in another failure domain, one in another
// region and one anywhere. The graph is connected with high probability, also
// within a region, and few edges change when a member joins or leaves.
func choose(self member.Member, members []member.Member) choice {
	others := ranked(self, members)
	c := choice{ids: make(map[string]bool)}
	if len(others) < fullMeshMembers {
		c.fill(others, len(others))
		return c
	}
	sameRegion := func(m member.Member) bool { return m.Region == self.Region }
	c.pick(others, 1, true, func(m member.Member) bool {
		return sameRegion(m) && m.FailureDomain != self.FailureDomain
	})
	c.pick(others, 1, true, func(m member.Member) bool { return !sameRegion(m) })
	c.pick(others, relayNeighbours-len(c.ids), true, sameRegion)
	c.fill(others, chosenNeighbours)
	return c
}

// ranked returns the other members in descending order of their rendezvous
// hash.
func ranked(self member.Member, members []member.Member) []member.Member {
	others := make([]member.Member, 0, len(members))
	score := make(map[string]uint64, len(members))
	for _, m := range members {
		if m.ID == self.ID {
			continue
		}
		others = append(others, m)
		score[m.ID] = xxhash.Sum64String(self.ID + "\x00" + m.ID)
	}
	sort.Slice(others, func(i, j int) bool {
		a, b := score[others[i].ID], score[others[j].ID]
		if a != b {
			return a > b
		}
		return others[i].ID < others[j].ID
	})
	return others
}

// pick adds up to n of the members that match.
func (c choice) pick(others []member.Member, n int, relay bool, match func(member.Member) bool) {
	for _, m := range others {
		if n <= 0 {
			return
		}
		if _, taken := c.ids[m.ID]; taken || !match(m) {
			continue
		}
		c.ids[m.ID] = relay
		n--
	}
}

// fill adds members until there are n neighbours. An added member relays states
// while there are fewer than relayNeighbours neighbours.
func (c choice) fill(others []member.Member, n int) {
	for _, m := range others {
		if len(c.ids) >= n {
			return
		}
		if _, taken := c.ids[m.ID]; !taken {
			c.ids[m.ID] = len(c.ids) < relayNeighbours
		}
	}
}
