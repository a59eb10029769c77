package speed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Guards against a deployment whose replicas are equally fast, but for a few that fail or
// for noise, being served by speeds, and against one with uneven replicas that isn't.
func TestOnlyLargeDifferencesOfManyReplicasAreUneven(t *testing.T) {
	for name, c := range map[string]struct {
		speeds   []float64
		replicas int
		want     bool
	}{
		"equal":                    {[]float64{1}, 72, false},
		"a third faster":           {[]float64{1, 1, 1.3}, 72, false},
		"a tenth three times slow": {[]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 0.33}, 70, false},
		"a third 2.4 times faster": {[]float64{0.7, 0.7, 1.7}, 90, true},
		"too few":                  {[]float64{0.7, 0.7, 1.7}, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			e := New(Options{Current: func(string) (string, int64, bool) { return "s", 1, true }})
			now := time.Unix(1000, 0)
			e.SetPeers(now, map[string]peer.SpeedSamples{}, 0)
			for range 40 {
				for i := range c.replicas {
					took := 30 * (0.8 + 0.4*rng.Float64()) / c.speeds[i%len(c.speeds)]
					e.Observe(now, "s", fmt.Sprint("r", i), 1, Decode, 30*time.Millisecond, time.Duration(took*float64(time.Millisecond)))
				}
				now = now.Add(300 * time.Millisecond)
			}
			qt.Check(t, e.Uneven(now, "s"), qt.Equals, c.want)
			if !c.want {
				return
			}
			e.SetPeers(now, nil, 0)
			qt.Check(t, e.Uneven(now, "s"), qt.IsFalse, qt.Commentf("without other entries to learn from"))
		})
	}
}
