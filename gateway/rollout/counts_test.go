package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// A holder misses answers because a report left out numbers that it doesn't have: calls
// and replies are lost, reports come late, and the holder or its controller changes.
func TestHolderHasAllNumbersThatReportsLeaveOut(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		order := Order{"s", "v2", time.Minute}
		old, ordered := versioned("a", "v1"), versioned("b", "v2")
		g := NewGate(func(string) []*replica.Replica { return []*replica.Replica{old, ordered} }, nolog.Or(nil))
		g.SetOrder(now, order)
		newHolder := func() *Controller {
			c := NewController(now, "s", Bounds{0.1, 50, 5 * time.Second}, Row{Allowed: []string{"v1"}}.next(order), false, 0)
			c.Committed(c.Row())
			return c
		}
		c, fence := newHolder(), uint64(1)
		g.Apply("s", peer.RolloutReply{Fence: fence, To: "v2", Stage: string(Trial), Allowed: []string{"v1"}}, now, time.Second)
		var late peer.RolloutReport
		send := func(lossless bool) {
			for range 2 {
				r := g.Report(now, "s", "1")
				if late.To == "" {
					late = r
				}
				if !lossless && rnd.IntN(4) == 0 {
					return // the call is lost
				}
				reply := c.Report(now, "e", r, fence)
				if !lossless && rnd.IntN(4) == 0 {
					return // the reply is lost
				}
				g.Apply("s", reply, now, time.Second)
				if !reply.Resend {
					return
				}
			}
		}
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			for _, r := range []*replica.Replica{old, ordered} {
				p := Pass{gate: g, service: "s", route: []string{"x", "y"}[rnd.IntN(2)]}
				p.Begin(r)
				p.End(now, r, Answer{Result: Result(1 + rnd.IntN(3)), First: rnd.Float64(), Pace: rnd.Float64()})
			}
			send(false)
			switch rnd.IntN(12) {
			case 0:
				c, fence = newHolder(), fence+1
			case 1:
				c = newHolder()
			case 2:
				c.Report(now, "e", late, fence)
				late = peer.RolloutReport{}
			}
		}
		send(true)
		have, want := totalsOf(c.reports), g.services["s"].counts.routes
		for route := range want {
			for _, v := range [][2]peer.VersionEvidence{{have[route].New, want[route].New}, {have[route].Old, want[route].Old}} {
				qt.Assert(t, isEmpty(changedVersion(v[0], v[1])), qt.IsTrue, qt.Commentf("seed %d: %+v, want %+v", seed, v[0], v[1]))
			}
		}
	}
}
