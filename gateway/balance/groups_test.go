package balance

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

func (b *Balancer) placedInAll() int {
	n := 0
	for _, placed := range b.placements {
		n += len(placed)
	}
	return n
}

// newGrouped returns an entry of a large deployment, and the only other member.
func newGrouped() (*GlobalBalancer, *placer) {
	set, p := newReplicas(8), &placer{}
	o := Options{FailureDomain: "d", Speeds: knownSpeeds{}, Log: nolog.Or(nil), Grouped: func() bool { return true }}
	p.owner = New(set, o)
	return NewGlobalBalancer(New(set, o), "e", p, nolog.Or(nil)), p
}

// Guards against placers that count requests as in progress which have ended, weren't
// sent, or whose entry was killed, so that their replicas look full.
func TestPlacedRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGrouped()
		go g.RunEnds(t.Context())
		var choices []Choice
		for range 3 {
			c, err := g.ChooseGlobal(t.Context(), longQuery)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.PlacedBy, qt.Equals, "other")
			choices = append(choices, c)
		}
		qt.Assert(t, p.owner.placedInAll(), qt.Equals, 3)
		g.Begin(longQuery, choices[0]).End(Answered)
		choices[1].Release()
		synctest.Wait()
		qt.Assert(t, p.owner.placedInAll(), qt.Equals, 1)
		time.Sleep(placementTTL + time.Second)
		p.owner.Prune()
		qt.Assert(t, p.owner.placedInAll(), qt.Equals, 0)
	})
}

// Guards against reports of ends to a peer of an earlier release, which would close the
// connection for an unknown message.
func TestEndsAreReportedOnlyToPlacersThatRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGrouped()
		p.answer = &Placement{Replica: "r1"}
		c, err := g.ChooseGlobal(t.Context(), longQuery)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.PlacedBy, qt.Equals, "other")
		c.Release()
		qt.Assert(t, len(g.placers.ends), qt.Equals, 0)
	})
}

// Guards against requests that wait or fail because no placer answers.
func TestGroupedChoiceWithoutPlacers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGrouped()
		p.err = errors.New("not reached")
		for range 5 {
			c, err := g.ChooseGlobal(t.Context(), longQuery)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.Replica, qt.IsNotNil)
			qt.Assert(t, c.PlacedBy, qt.Equals, "")
		}
		qt.Assert(t, p.calls, qt.Equals, 1)
	})
}

// Guards against choices of replicas that this entry knows to be leaving, or that
// earlier attempts of the request were sent to.
func TestGroupedChoiceAvoidsLeavingAndTriedReplicas(t *testing.T) {
	g, _ := newGrouped()
	g.set.MarkLeaving("r1", 0, "test")
	for _, q := range []Query{longQuery, shortQuery, {Service: "s"}} {
		q.Exclude = map[string]bool{"r2": true, "r3": true, "r4": true, "r5": true, "r6": true, "r7": true}
		for range 20 {
			c, err := g.ChooseGlobal(t.Context(), q)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.Replica.ID, qt.Equals, "r0")
		}
		q.Exclude["r0"] = true
		_, err := g.ChooseGlobal(t.Context(), q)
		qt.Assert(t, err, qt.ErrorIs, ErrNoReplica)
	}
}

// Guards against a crash of an entry by a service without replicas, and by requests of a
// peer with any content.
func TestGroupsWithoutReplicasOrSense(t *testing.T) {
	g, p := newGrouped()
	none := longQuery
	none.Service = "none"
	_, err := g.ChooseGlobal(t.Context(), none)
	qt.Assert(t, err, qt.ErrorIs, ErrNoReplica)
	for _, name := range []string{"", "x", "0/0/d", "-1/2/d", "3/2/d", "1/1000000000000/d", "0/1/elsewhere"} {
		for _, slots := range []int{-1, 0, 1 << 40} {
			_, _ = p.owner.PlaceInGroup(Query{Service: "s", Slots: slots, PromptTokens: -5, Group: name})
			_, err = p.owner.PlaceInGroup(Query{Service: "none", Slots: slots, Group: name})
			qt.Assert(t, err, qt.ErrorIs, ErrNoReplica)
		}
	}
}

// Guards against placers that add long prompts to the queues of replicas that were
// overloaded before groups were used, and against what a peer states without sense.
func TestPlacersAvoidReplicasWithUnplacedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, p := newGrouped()
		p.owner.members = 78
		q := longQuery
		q.Slots, q.Group = playSlots, "0/1/d"
		q.Unplaced = map[string]int{"r0": 1, "r1": 1, "r2": 2, "r3": 1, "r4": 1, "r5": -7, "r6": 0, "unknown": 1 << 40}
		for range 10 {
			placed, err := p.owner.PlaceInGroup(q)
			qt.Assert(t, err, qt.IsNil)
			p.owner.EndPlacement(placed.Replica)
		}
		used := make(map[string]bool)
		for range 6 {
			placed, err := p.owner.PlaceInGroup(q)
			qt.Assert(t, err, qt.IsNil)
			used[placed.Replica] = true
		}
		qt.Check(t, used, qt.DeepEquals, map[string]bool{"r5": true, "r6": true, "r7": true})
		time.Sleep(placementTTL + time.Second)
		p.owner.Prune()
		qt.Check(t, p.owner.unplaced, qt.HasLen, 0)
	})
}

// turningUneven are speeds that are found to be uneven later.
type turningUneven struct {
	knownSpeeds
	uneven *bool
}

func (s turningUneven) Uneven(time.Time, string) bool { return *s.uneven }

// Guards against entries that disagree on which prompts are long and on the groups,
// because each goes on with the prefill rate that it fitted to overloaded replicas.
func TestGroupsDontUseThePrefillRateOfBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		uneven := false
		b := New(newReplicas(8), Options{Speeds: turningUneven{uneven: &uneven}, Log: nolog.Or(nil), Grouped: func() bool { return true }})
		for range 300 {
			c, err := b.Choose(longQuery)
			qt.Assert(t, err, qt.IsNil)
			ticket := b.Begin(longQuery, c)
			time.Sleep(50 * time.Millisecond)
			ticket.FirstTokenReceived()
			ticket.End(Answered)
		}
		qt.Assert(t, b.prefillRateLocked("s").perSecond > 2*defaultPrefillRate, qt.IsTrue)
		uneven = true
		qt.Check(t, b.prefillRateLocked("s").perSecond, qt.Equals, float64(defaultPrefillRate))
	})
}
