package job

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCheckpointPolicy(t *testing.T) {
	c := qt.New(t)
	p := NewCheckpointPolicy(time.Second, 10, time.Hour)
	first := p.Interval(1)
	// Young's first order: sqrt(2 * 1 s * 3600 s) is 84.9 s.
	c.Assert(first > 80*time.Second && first < 90*time.Second, qt.IsTrue, qt.Commentf("%v", first))
	p.Observe(10*time.Minute, 20)
	c.Assert(p.Interval(1) < first/2, qt.IsTrue)
	p.Observe(1000*time.Hour, 0)
	c.Assert(p.Interval(1) > first, qt.IsTrue)
	c.Assert(p.Interval(100_000), qt.Equals, 10_000*time.Second)
	c.Assert(optimalInterval(time.Minute, time.Second), qt.Equals, time.Second)
}
