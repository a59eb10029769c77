package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/prefix"
)

// chosenEndpoints returns the endpoint that an idle fleet chooses for each of
// n prompts.
func chosenEndpoints(c *qt.C, f *Fleet, n int) []string {
	out := make([]string, n)
	for i := range out {
		req := testRequest()
		req.Hashes = promptHashes(uint64(i), 20)
		req.PromptTokens = 20 * prefix.BlockTokens
		choice, err := f.Choose(req)
		c.Assert(err, qt.IsNil)
		f.Done(choice, Outcome{})
		out[i] = choice.Endpoint.ID
	}
	return out
}

func TestEntriesWithSameHostsChooseAlike(t *testing.T) {
	for _, n := range []int{9, 12, 300} {
		c := qt.New(t)
		a, b := NewFleet(Options{Seed: 1}), NewFleet(Options{Seed: 2})
		a.SetHosts(testHosts(n))
		b.SetHosts(testHosts(n))
		c.Assert(chosenEndpoints(c, a, 100), qt.DeepEquals, chosenEndpoints(c, b, 100))
	}
}

func TestRendezvousMovesOnlyLeavingKeys(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(9))
	before := chosenEndpoints(c, f, 500)
	f.MarkLeaving("h4", "1", "notice")
	after := chosenEndpoints(c, f, 500)
	moved := 0
	for i := range before {
		if before[i] == "e4" {
			c.Assert(after[i], qt.Not(qt.Equals), "e4")
			moved++
			continue
		}
		c.Assert(after[i], qt.Equals, before[i])
	}
	c.Assert(moved > 25 && moved < 100, qt.IsTrue, qt.Commentf("%d of 500 keys on one of 9", moved))
}

func TestRendezvousIsBalanced(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(100))
	g := f.view.Load().groups[engineKey(testModel, testVersion)]
	counts := make([]int, 100)
	for key := range uint64(100000) {
		top := g.rendezvous(mix(key))
		c.Assert(top.n, qt.Equals, affinityRanks)
		counts[top.index[0]]++
	}
	for _, n := range counts {
		c.Assert(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("%v", counts))
	}
}
