package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

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
