package placement

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

func TestMinSavingGrowsWithRecomputedWeight(t *testing.T) {
	c := qt.New(t)
	cfg := Config{}.withDefaults()
	for _, tc := range []struct{ cost, recomputed, want float64 }{
		{0, 0, 0.2},
		{1, 0, 0.2},
		{3, 1, 0.325},
		{1, 3, 0.575},
		{0, 1, 0.7},
	} {
		got := cfg.minSavingFor(template.Weights{Cost: tc.cost, Recomputed: tc.recomputed})
		c.Assert(math.Abs(got-tc.want) < 1e-9, qt.IsTrue, qt.Commentf("%v: %v", tc, got))
	}
}

// TestNeedDoesNotFollowReplacements guards against a need that is derived from
// the current number of hosts. Hosts that are replaced run side by side with
// their replacements, and such a need would request one more host in each
// round.
func TestNeedDoesNotFollowReplacements(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	w := &needWindow{start: now, length: time.Minute, minRunning: 12}
	for round, running := range []int{12, 16, 17, 18} {
		need, _ := w.update(now.Add(time.Duration(round)*time.Second), 3, 1, running)
		c.Assert(need, qt.Equals, 12)
	}
	need, _ := w.update(now.Add(2*time.Minute), 3, 1, 12)
	c.Assert(need, qt.Equals, 3)
}
