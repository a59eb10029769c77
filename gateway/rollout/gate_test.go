package rollout

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

func versioned(id, version string) *replica.Replica {
	return &replica.Replica{Registration: replica.Registration{ID: id, Service: "s", Version: version}}
}

// A request that was chosen for a version is sent after that version was closed or the
// permit has lapsed, or an entry follows a holder that was replaced.
func TestGateClosesBeforeTheSend(t *testing.T) {
	now := time.Unix(0, 0)
	r1, r2, unknown := versioned("a", "v1"), versioned("b", "v2"), versioned("c", "")
	g := NewGate(func(string) []*replica.Replica { return []*replica.Replica{r1, r2, unknown} }, nolog.Or(nil))
	apply := func(fence uint64, stage Stage, permits int) {
		g.Apply("s", peer.RolloutReply{Fence: fence, To: "v2", Stage: string(stage), Allowed: []string{"v1"}, Permits: permits}, now, time.Second)
	}
	pass := func() Pass { return g.Pass(now, Attempt{Service: "s"}) }
	qt.Assert(t, pass().Filter()(r1), qt.IsFalse, qt.Commentf("nothing is known yet"))
	used := NewGate(func(string) []*replica.Replica { return []*replica.Replica{r1, r2, versioned("d", "v3")} }, nolog.Or(nil))
	used.Clear(now, []ServiceVersion{{"s", "v1"}}, nil, nil)
	used.SetOrder(now, Order{Service: "s", To: "v2", Duration: time.Minute})
	qt.Assert(t, used.Pass(now, Attempt{Service: "s"}).Filter()(r1), qt.IsTrue)
	qt.Assert(t, used.Pass(now, Attempt{Service: "s"}).Filter()(versioned("d", "v3")), qt.IsFalse, qt.Commentf("appeared after the order"))
	g.SetOrder(now, Order{Service: "s", To: "v2", Duration: time.Minute})
	qt.Assert(t, pass().Filter()(r1), qt.IsTrue)
	qt.Assert(t, pass().Filter()(r2), qt.IsFalse, qt.Commentf("no state yet"))
	qt.Assert(t, pass().Filter()(unknown), qt.IsFalse)
	apply(2, Trial, 2)
	trial := pass()
	qt.Assert(t, trial.Filter()(r2), qt.IsTrue)
	qt.Assert(t, trial.Check(now, r2), qt.IsNil)
	qt.Assert(t, trial.Check(now.Add(time.Second), r2), qt.Equals, ErrClosed, qt.Commentf("an entry that was frozen"))
	old := pass()
	apply(2, RolledBack, 0)
	qt.Assert(t, trial.Check(now, r2), qt.Equals, ErrClosed)
	apply(1, Moving, 0)
	apply(3, Trial, 5)
	qt.Assert(t, pass().Filter()(r2), qt.IsFalse, qt.Commentf("a verdict is final"))
	qt.Assert(t, old.Check(now, r1), qt.IsNil)
	g.SetOrder(now, Order{Service: "s", To: "v3", Duration: time.Minute})
	g.Apply("s", peer.RolloutReply{Fence: 3, To: "v3", Stage: string(Moving), Allowed: []string{"v1"}}, now, time.Second)
	qt.Assert(t, old.Check(now, r1), qt.IsNil, qt.Commentf("no replica of the new version is ready"))
	qt.Assert(t, pass().Filter()(r2), qt.IsFalse)
	apply(2, Completed, 0)
	qt.Assert(t, pass().Filter()(r2), qt.IsFalse, qt.Commentf("a holder that was replaced"))
}

// A report of a peer that is malformed gets permits or is evidence.
func TestMalformedReportsChangeNothing(t *testing.T) {
	now := time.Unix(100, 0)
	c := NewController(now, "s", Bounds{0.1, 50, 5 * time.Second}, Row{Allowed: []string{"v1"}}.next(Order{"s", "v2", time.Minute}), false, 0)
	c.Committed(c.Row())
	for _, r := range []peer.RolloutReport{
		{To: "v9", Requests: 1e6}, {To: "v2", Requests: -1}, {To: "v2", Returned: -5}, {To: "v2", OldInFlight: -1},
	} {
		c.Report(now, "e", r, 1)
	}
	qt.Assert(t, c.requests(), qt.Equals, 0)
	c.Report(now, "e", peer.RolloutReport{To: "v2", AgeMS: 1 << 60}, 1)
	qt.Assert(t, c.left(now), qt.Equals, time.Minute-orderLag)
	c.Report(now, "e", peer.RolloutReport{To: "v2", AgeMS: 2000}, 1)
	qt.Assert(t, c.left(now), qt.Equals, 58*time.Second-orderLag, qt.Commentf("learnt before the holder"))
	negative := map[string]peer.RolloutEvidence{"r": {New: peer.VersionEvidence{Failed: -9, First: map[int]int{1: -5}}}}
	c.Report(now, "e", peer.RolloutReport{To: "v2", Routes: negative, Returned: 1 << 40}, 1)
	c.Step(now.Add(time.Second), View{Order: Order{"s", "v2", time.Minute}, HasOrder: true, Replicas: Replicas{1, 1, 1, 1}})
	c.Report(now, "e", peer.RolloutReport{To: "v2", Returned: 1 << 41}, 1)
	qt.Assert(t, c.spent(), qt.Equals, 0)
	qt.Assert(t, c.evidence.total, qt.Equals, score{})
}

// Reports take more than a part of the byte budget of an entry, which is 7 KB/s for all
// control work.
func TestBytesOfReports(t *testing.T) {
	const requests, maxBytesPerSecond = 12 * 12, 3500
	rnd := rand.New(rand.NewPCG(1, 1))
	var c counts
	for i := range requests {
		a := Answer{Result: Answered, First: math.Exp(0.6 * rnd.NormFloat64()), Pace: 0.01 * math.Exp(0.3*rnd.NormFloat64())}
		c.add([]string{"long", "short", "plain"}[i%3], i%20 == 0, "replica", a)
	}
	text, err := json.Marshal(peer.RolloutReport{Service: "service", To: "version", Incarnation: "5c2b8a52-9a0c-4b12-8f2d-0d1f4c1a7e10", Requests: requests, Routes: c.clone(), Stage: string(Trial)})
	qt.Assert(t, err, qt.IsNil)
	perSecond := float64(len(text)) / reportPeriod(58, false).Seconds()
	t.Logf("%d bytes after 12 s at 12 requests/s, %.0f bytes/s", len(text), perSecond)
	qt.Assert(t, perSecond <= maxBytesPerSecond, qt.IsTrue)
}

func BenchmarkHolderReport(b *testing.B) {
	now := time.Unix(1000, 0)
	c := NewController(now, "s", Bounds{0.1, 50, 5 * time.Second}, Row{Allowed: []string{"v1"}}.next(Order{"s", "v2", time.Minute}), false, 0)
	c.Committed(c.Row())
	for i := 0; b.Loop(); i++ {
		now = now.Add(4 * time.Millisecond)
		c.Report(now, []string{"a", "b", "c", "d"}[i%4], peer.RolloutReport{To: "v2", Requests: i}, 1)
	}
}

// A version is used without a permit after its order was deleted before any holder had
// begun with it, because no state says that there was an order.
func TestOrderDeletedBeforeItBegan(t *testing.T) {
	now := time.Unix(100, 0)
	old, next := versioned("a", "v1"), versioned("b", "v2")
	ready := []*replica.Replica{old}
	g := NewGate(func(string) []*replica.Replica { return ready }, nolog.Or(nil))
	decide := func() {
		g.Clear(now, g.Undecided(map[string][]*replica.Replica{"s": ready}), nil, nil)
	}
	uses := func(r *replica.Replica) bool {
		return g.Pass(now, Attempt{Service: "s"}).Check(now, r) == nil
	}
	decide()
	g.SetOrder(now, Order{"s", "v2", time.Minute})
	g.DropOrder("s")
	ready = append(ready, next)
	decide()
	qt.Assert(t, uses(old), qt.IsTrue)
	qt.Assert(t, uses(next), qt.IsFalse)
	qt.Assert(t, g.Undecided(map[string][]*replica.Replica{"s": ready}), qt.HasLen, 0)

	g.SetOrder(now, Order{"s", "v2", time.Minute})
	g.SetRow("s", Row{To: "v2", Stage: Completed, Allowed: []string{"v1", "v2"}})
	qt.Assert(t, uses(next), qt.IsTrue)

	// One that started while the order was there hasn't cleared any version yet.
	g = NewGate(func(string) []*replica.Replica { return ready }, nolog.Or(nil))
	g.SetOrder(now, Order{"s", "v2", time.Minute})
	g.DropOrder("s")
	decide()
	qt.Assert(t, uses(old), qt.IsTrue)
	qt.Assert(t, uses(next), qt.IsFalse)

	// An entry that has just started, and knows only replicas of the ordered version, goes on
	// with them.
	g = NewGate(func(string) []*replica.Replica { return ready }, nolog.Or(nil))
	ready = ready[:1]
	g.SetOrder(now, Order{"s", "v1", time.Minute})
	g.DropOrder("s")
	decide()
	qt.Assert(t, uses(old), qt.IsTrue)
}
