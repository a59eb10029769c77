package rollout

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// A holder is killed with the answers of the permits that it handed out, which it used
// itself. The next holder takes them for a trial, and hands out no more for seconds.
func TestNextHolderTriesAgainIfTheAnswersAreLost(t *testing.T) {
	now := time.Unix(1000, 0)
	order := Order{"s", "v2", 12 * time.Second}
	v := View{Order: order, HasOrder: true, Replicas: Replicas{New: 4, Old: 4, NewSlots: 16, OldSlots: 16}, Live: []string{"a", "b"}}
	var table Row
	total := 0
	// hold plays a holder for a time. It returns the permits handed out to each entry.
	hold := func(c *Controller, d time.Duration, ids ...string) map[string]int {
		out := make(map[string]int)
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			total += 15 // at each of two entries, 300 a second
			for _, id := range ids {
				out[id] += c.Report(now, id, peer.RolloutReport{To: "v2", Requests: total}, 1).Permits
			}
			c.Step(now, v)
			table = c.Row()
			c.Committed(table)
		}
		return out
	}
	first := NewController(now, "s", Bounds{0.1, 50, 5 * time.Second}, Row{Allowed: []string{"v1"}}.next(order), false, 0)
	qt.Assert(t, hold(first, time.Second, "a", "b")["a"] > 5, qt.IsTrue)
	next := NewController(now, "s", Bounds{0.1, 50, 5 * time.Second}, table, true, time.Second)
	v.Live = []string{"b"}
	qt.Assert(t, hold(next, 3*time.Second, "b")["b"] >= 10, qt.IsTrue)
	qt.Assert(t, next.spent() <= next.bounds.permits(next.requests()), qt.IsTrue)
}

// A holder closes a version and is killed before it writes the verdict, of which only
// one entry has heard. The next holder opens the version again.
func TestVerdictThatOneEntryKnowsIsWritten(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		for i := range 4 {
			f.put(fmt.Sprint("new", i), "v2")
		}
		f.run(time.Second, "v2", 0)
		f.entries["e0"].stop()
		closed := f.entries["e2"].gate
		closed.Apply("s", peer.RolloutReply{Fence: 1, To: "v2", Stage: string(RolledBack), Reason: "bad"}, time.Now(), time.Second)
		f.lease.give("e1")
		f.run(3*time.Second, "v2", 0)
		qt.Assert(t, f.row().Stage, qt.Equals, RolledBack)
		qt.Assert(t, f.row().Reason, qt.Equals, "bad")
		qt.Assert(t, f.row().Closed, qt.DeepEquals, []string{"v2"})
		qt.Assert(t, f.lastStatus(), qt.Equals, Status{"s", "v2", RolledBack})
		qt.Assert(t, f.run(time.Second, "v2", 0)["v2"], qt.Equals, 0)
		qt.Assert(t, closed.Active(), qt.HasLen, 0, qt.Commentf("the verdict is in the table, and reports end"))
	})
}

// As above while requests move, or a withdrawn order or one that is completed is closed by a
// report.
func TestReportedVerdictByStage(t *testing.T) {
	for _, c := range []struct {
		stage  Stage
		reason string
		want   Stage
	}{{Moving, "bad", RolledBack}, {Trial, Withdrawn, Trial}, {Completed, "bad", Completed}} {
		now := time.Unix(1000, 0)
		holder := NewController(now, "s", Bounds{0.1, 50, 5 * time.Second}, Row{To: "v2", Stage: c.stage, DurationMS: 12000, Allowed: []string{"v1"}}, true, 0)
		reply := holder.Report(now, "a", peer.RolloutReport{To: "v2", Stage: string(RolledBack), Reason: c.reason}, 1)
		qt.Check(t, reply.Stage, qt.Equals, string(c.want))
		qt.Check(t, reply.Stored, qt.Equals, c.stage == c.want)
	}
}

// Two entries believe that they hold the lease, because the first was frozen. The second
// hands out permits that the first has reserved and handed out, or lowers the reservation
// in the row, so that the versions get more requests than the bound.
func TestTwoHoldersHandOutEachPermitOnce(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		for i := range 4 {
			f.put(fmt.Sprint("new", i), "v2")
		}
		f.run(time.Second, "v2", 0)
		f.lease.give("e1")
		next := f.entries["e1"].keeper
		next.fence = f.lease.fence
		h, err := next.load(t.Context(), "s")
		qt.Assert(t, err, qt.IsNil)
		before := h.controller.spent()
		// The first holder commits before the second does.
		first := f.entries["e0"].keeper.held["s"]
		row := first.controller.Row()
		row.Fence, row.Reserved = 1, before+40
		value, err := json.Marshal(row)
		qt.Assert(t, err, qt.IsNil)
		_, err = f.table.Commit(t.Context(), infra.Write{Key: RowKey("s"), Value: value, Expect: first.version})
		qt.Assert(t, err, qt.IsNil)
		f.run(3*time.Second, "v2", 0)
		qt.Assert(t, f.row().Fence, qt.Equals, uint64(2))
		qt.Assert(t, f.row().Reserved >= before+40, qt.IsTrue)
		next.mu.Lock()
		defer next.mu.Unlock()
		qt.Assert(t, next.held["s"].controller.spentBefore >= before+40, qt.IsTrue)
	})
}

// New replicas never become ready, and the order stays without a verdict, or old ones can't
// be used meanwhile.
func TestNewReplicasNeverCome(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		qt.Check(t, f.run(12*time.Second, "v2", 0), qt.DeepEquals, map[string]int{"v1": 3600})
		qt.Check(t, f.lastStatus(), qt.Equals, Status{"s", "v2", RolledBack})
	})
}

// Old replicas are reclaimed before the verdict, and all requests go to the version that
// isn't proved.
func TestOldReplicasAreReclaimedBeforeTheVerdict(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		for i := range 4 {
			f.put(fmt.Sprint("new", i), "v2")
		}
		f.run(3*time.Second, "v2", 0)
		for i := range 4 {
			f.set.Remove(fmt.Sprint("old", i))
		}
		sent := f.run(3*time.Second, "v2", 0)
		qt.Check(t, sent["v2"] <= 900/10+50, qt.IsTrue, qt.Commentf("%v", sent))
	})
}
