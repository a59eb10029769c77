package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a limit that only small requests get: a customer asks for several
// times its limit, and there are never enough units left for a large request.
func TestLargeRequestsAreServedWithinAnExceededLimit(t *testing.T) {
	for _, perSecond := range []float64{36_000, 300_000, 1_600_000} {
		for _, demand := range []float64{1.3, 3, 7} {
			t.Run(fmt.Sprintf("%v/%v", perSecond, demand), func(t *testing.T) {
				f := newOwnerFleet(24, perSecond, 3)
				f.run(15*time.Second, demand)
				const classes = 3
				var asked, served [classes]float64
				used, owed, all, allServed := 0.0, 0.0, 0.0, 0.0
				const span = 60 * time.Second
				for step := range int(span / fleetStep) {
					if step%25 == 0 {
						f.report()
					}
					if step%5 == 0 {
						f.exchange()
					}
					for owed += demand * perSecond * fleetStep.Seconds(); owed > 0; {
						units := f.size()
						owed -= units
						class := 0
						if units > 5_400 {
							class = 1 // the larger half of the long requests is the largest tenth
						}
						if units > 9_000 {
							class = 2
						}
						asked[class]++
						all++
						if f.entries[f.ids[f.rng.IntN(len(f.ids))]].Reserve(context.Background(), "a", units, 50*time.Millisecond).OK {
							served[class]++
							allServed++
							used += units
						}
					}
					f.now = f.now.Add(fleetStep)
				}
				used /= perSecond * span.Seconds()
				t.Logf("used %.2f, served %.3f, by class %.3f %.3f %.3f", used, allServed/all, served[0]/asked[0], served[1]/asked[1], served[2]/asked[2])
				qt.Check(t, used >= 0.95, qt.IsTrue)
				for class := range classes {
					qt.Check(t, served[class]/asked[class] >= 0.5*allServed/all, qt.IsTrue)
				}
			})
		}
	}
}
