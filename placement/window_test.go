package placement

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

func TestSavingGrowsWithTheWorthOfCaches(t *testing.T) {
	c := qt.New(t)
	cfg := Config{}.withDefaults()
	for _, tc := range []struct{ cost, recomputed, want float64 }{
		{0, 0, 0.2},
		{1, 0, 0.2},
		{3, 1, 0.325},
		{1, 3, 0.575},
		{0, 1, 0.7},
	} {
		got := cfg.savingUnder(template.Weights{Cost: tc.cost, Recomputed: tc.recomputed})
		c.Assert(math.Abs(got-tc.want) < 1e-9, qt.IsTrue, qt.Commentf("%v: %v", tc, got))
	}
}

// Hosts that are replaced run beside their replacements for a while. A need
// that follows what runs asks for one more host in each round.
func TestNeedDoesNotFollowReplacements(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	w := &window{began: now, length: time.Minute, floor: 12}
	for round, running := range []int{12, 16, 17, 18} {
		need, _ := w.highest(now.Add(time.Duration(round)*time.Second), 3, 1, running)
		c.Assert(need, qt.Equals, 12)
	}
	need, _ := w.highest(now.Add(2*time.Minute), 3, 1, 12)
	c.Assert(need, qt.Equals, 3)
}
