package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
