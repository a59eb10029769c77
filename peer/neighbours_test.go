package peer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/member"
)

const (
	testDomains = 12
	testRegions = 5
)

func fleet(size int, seed int) []member.Member {
	members := make([]member.Member, size)
	for i := range members {
		domain := i % testDomains
		members[i] = member.Member{
			ID:            fmt.Sprintf("entry-%d-%d", seed, i),
			FailureDomain: fmt.Sprint("domain-", domain),
			Region:        fmt.Sprint("region-", domain%testRegions),
		}
	}
	return members
}

// graph returns the undirected graph of the choices of all members.
func graph(members []member.Member, relayOnly bool) map[string]map[string]bool {
	edges := make(map[string]map[string]bool)
	add := func(a, b string) {
		if edges[a] == nil {
			edges[a] = make(map[string]bool)
		}
		edges[a][b] = true
	}
	for _, m := range members {
		for id, relay := range choose(m, members).ids {
			if relay || !relayOnly {
				add(m.ID, id)
				add(id, m.ID)
			}
		}
	}
	return edges
}

// connected reports whether the members in left form one connected component.
func connected(edges map[string]map[string]bool, left []member.Member) bool {
	in := make(map[string]bool, len(left))
	for _, m := range left {
		in[m.ID] = true
	}
	seen := map[string]bool{left[0].ID: true}
	queue := []string{left[0].ID}
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		for next := range edges[id] {
			if in[next] && !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen) == len(left)
}

func filter(members []member.Member, keep func(member.Member) bool) []member.Member {
	var out []member.Member
	for _, m := range members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

func TestSmallDeploymentsAreFullMeshes(t *testing.T) {
	for size := 2; size <= fullMeshMembers; size++ {
		members := fleet(size, 0)
		for _, m := range members {
			qt.Check(t, choose(m, members).ids, qt.HasLen, size-1)
		}
	}
	members := fleet(fullMeshMembers+1, 0)
	qt.Check(t, choose(members[0], members).ids, qt.HasLen, chosenNeighbours)
}

// TestNeighbourGraphStaysConnected checks that the graph is connected before
// any member has chosen new neighbours: with all members, without each failure
// domain, and within each region.
func TestNeighbourGraphStaysConnected(t *testing.T) {
	c := qt.New(t)
	const seeds = 40
	var cut, cutRegions, graphs, regions, highest int
	for _, size := range []int{17, 50, 100, 410} {
		for seed := range seeds {
			if size == 410 && seed >= seeds/4 {
				break
			}
			members := fleet(size, seed)
			edges := graph(members, false)
			for _, peers := range edges {
				highest = max(highest, len(peers))
			}
			c.Assert(connected(edges, members), qt.IsTrue, qt.Commentf("size %d seed %d", size, seed))
			c.Assert(connected(graph(members, true), members), qt.IsTrue, qt.Commentf("relays, size %d seed %d", size, seed))
			for domain := range testDomains {
				lost := fmt.Sprint("domain-", domain)
				left := filter(members, func(m member.Member) bool { return m.FailureDomain != lost })
				graphs++
				if !connected(edges, left) {
					cut++
				}
			}
			for region := range testRegions {
				left := filter(members, func(m member.Member) bool { return m.Region == fmt.Sprint("region-", region) })
				regions++
				if !connected(edges, left) {
					cutRegions++
				}
			}
		}
	}
	t.Logf("without a failure domain: %d of %d cut; regions alone: %d of %d cut; highest degree %d",
		cut, graphs, cutRegions, regions, highest)
	c.Assert(cut, qt.Equals, 0)
	c.Assert(cutRegions, qt.Equals, 0)
	// The mean degree is twice chosenNeighbours. Members that many others chose
	// have more.
	c.Assert(highest <= 5*chosenNeighbours, qt.IsTrue)
}

func TestNewMemberChangesFewNeighbours(t *testing.T) {
	members := fleet(200, 1)
	before := make(map[string]choice)
	for _, m := range members[:199] {
		before[m.ID] = choose(m, members[:199])
	}
	changed := 0
	for _, m := range members[:199] {
		for id := range choose(m, members).ids {
			if _, had := before[m.ID].ids[id]; !had {
				changed++
			}
		}
	}
	qt.Assert(t, changed <= 3*chosenNeighbours, qt.IsTrue, qt.Commentf("%d edges changed", changed))
}
