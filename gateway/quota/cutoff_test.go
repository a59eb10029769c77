package quota

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against two owners of a limit: an entry that is cut off owns all limits at
// once, while it still counts on the demand that its peers last reported.
func TestEntryThatIsCutOffHandsOutItsPartOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	cl := newCluster(6, func() time.Time { return now }, Tolerance{Fraction: 0.1, Units: 140_000})
	now = now.Add(20 * time.Second)
	cl.exchangeMembership()
	cut := cl.entries["e0"]
	cl.partitioned = map[string]bool{"e1": true, "e2": true, "e3": true, "e4": true, "e5": true}
	reports := make(map[string]map[string]float64)
	for id := range cl.partitioned {
		reports[id] = map[string]float64{"a": 20_000}
	}
	taken := 0.0
	const step, steps, request = 20 * time.Millisecond, 400, 5_000.0
	for i := range steps {
		if i%10 == 0 {
			cut.SetPeers(len(cl.ids), 1, reports)
		}
		now = now.Add(step)
		if cut.Reserve(context.Background(), "a", Request{Units: request}).Delay == 0 {
			taken += request
		}
	}
	part := (100_000*(step*steps).Seconds() + 100_000) / 6 * 1.1
	qt.Assert(t, taken <= part+140_000.0/6, qt.IsTrue, qt.Commentf("%v taken, its part is %v", taken, part))
	qt.Assert(t, taken >= 0.7*100_000/6*(step*steps).Seconds(), qt.IsTrue, qt.Commentf("%v taken", taken))
}
