package rollout

import (
	"cmp"
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	playSeeds = flag.Int("rollout.seeds", 2, "number of seeds of each play")
	playFirst = flag.Uint64("rollout.first", 1, "first seed of the plays")
)

// plays are the versions and the verdicts that they deserve; none if either verdict
// is accepted.
var plays = []struct {
	name    string
	bad     *badness
	verdict Stage
	// duration is that of the order, 12 s if it is 0.
	duration time.Duration
}{
	{"good", nil, Completed, 0},
	{"fails 2 %", &badness{fails: 0.02}, "", 0},
	{"fails 5 %", &badness{fails: 0.05}, RolledBack, 0},
	{"fails 20 %", &badness{fails: 0.2}, RolledBack, 0},
	{"fails 100 %", &badness{fails: 1}, RolledBack, 0},
	{"slower by 1.5", &badness{slower: 1.5}, "", 0},
	{"slower by 2", &badness{slower: 2}, RolledBack, 0},
	{"slower by 5", &badness{slower: 5}, RolledBack, 0},
	{"fails 20 % after 3 s", &badness{fails: 0.2, after: 3 * time.Second}, RolledBack, 0},
	{"fails 20 % after 5 s", &badness{fails: 0.2, after: 5 * time.Second}, RolledBack, 20 * time.Second},
	// This is 1.2 s before the verdict on an order of 12 s.
	{"fails 20 % shortly before the verdict", &badness{fails: 0.2, after: 5 * time.Second}, RolledBack, 0},
	{"fails 20 % under load", &badness{fails: 0.2, loaded: true}, RolledBack, 0},
	{"fails 50 % on one route", &badness{fails: 0.5, route: "long"}, RolledBack, 0},
}

// playSizes are numbers of entries, replicas and requests a second: the plain service
// and the engines of deployment A, and sizes between and above.
var playSizes = []struct {
	entries, old int
	perSecond    float64
}{
	{9, 24, 400},
	{58, 3, 237},
	{58, 72, 680},
	{195, 72, 680},
}

// A good version is rolled back or a bad one completed too often, a bad one gets more
// requests than the bound or gets them too late, a request runs at a version without
// an order, or the old version is still used when the roll-out is completed. Verdicts
// in plays with changes of the holder are only logged.
func TestPlays(t *testing.T) {
	for _, size := range playSizes {
		for _, faults := range []string{"none", "replicas", "handovers"} {
			for _, c := range plays {
				t.Run(fmt.Sprintf("%d entries/%d replicas/faults: %s/%s", size.entries, size.old, faults, c.name), func(t *testing.T) {
					s := scenario{
						entries: size.entries, old: size.old, perSecond: size.perSecond, bad: c.bad, duration: cmp.Or(c.duration, 12*time.Second),
						disturbed: faults != "none", handovers: faults == "handovers",
					}
					checkPlays(t, s, c.verdict)
				})
			}
		}
	}
}

func checkPlays(t *testing.T, s scenario, verdict Stage) {
	right, moved, worst, worstMoved, sentLate := 0, 0, -1e9, -1e9, time.Duration(0)
	for seed := *playFirst; seed < *playFirst+uint64(*playSeeds); seed++ {
		out := runPlay(seed, s)
		late := verdict == Completed && out.finalAt > ordered+s.duration
		if out.stage == verdict && !late && (verdict == Completed || !out.moved) {
			right++
		} else if verdict != "" {
			t.Logf("seed %d: %s at %v, %s", seed, out.stage, out.finalAt, out.reason)
		}
		if out.unknown > 0 || out.oldAtEnd > 0 {
			t.Errorf("seed %d: %d requests without an order, %d at old replicas when completed", seed, out.unknown, out.oldAtEnd)
		}
		if verdict != RolledBack || out.stage != RolledBack {
			continue
		}
		if out.moved {
			// Found bad only after its verdict. It counts as a wrong one.
			moved++
			worstMoved = max(worstMoved, float64(out.exposed)-0.1*float64(out.requests))
			continue
		}
		worst = max(worst, float64(out.exposed)-0.08*float64(out.requests))
		if out.badAnswers >= 50 {
			sentLate = max(sentLate, out.lastExposed-out.fiftieth)
		}
	}
	t.Logf("%d of %d %s, %d more while moving (exposure less 0.1 of the requests %.0f), exposure less 0.08 of the requests %.0f, sent after the 50th bad answer %v", right, *playSeeds, verdict, moved, worstMoved, worst, sentLate)
	qt.Check(t, worst <= 25, qt.IsTrue, qt.Commentf("exposure"))
	qt.Check(t, worstMoved <= 50, qt.IsTrue, qt.Commentf("exposure of a version closed while requests moved"))
	qt.Check(t, sentLate <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", sentLate))
	allowed := map[Stage]float64{Completed: 0.01, RolledBack: 0.005}[verdict]
	if verdict != "" && !s.handovers {
		wrong := *playSeeds - right
		qt.Check(t, float64(wrong) <= allowed*float64(*playSeeds), qt.IsTrue, qt.Commentf("%d of %d wrong", wrong, *playSeeds))
	}
}

// Reports and replies take more bytes at the holder than measured when numbers that haven't
// changed were first left out, which is above the budget of an entry, or their size grows with
// the length of the order.
func TestBytesAtHolder(t *testing.T) {
	for i, size := range playSizes {
		perSecond := make([]float64, 2)
		for j, d := range []time.Duration{12 * time.Second, time.Minute} {
			out := runPlay(1, scenario{entries: size.entries, old: size.old, perSecond: size.perSecond, duration: d, bytes: true})
			perSecond[j] = float64(out.bytes) / 1000 / out.reported.Seconds()
		}
		t.Logf("%d entries, %v requests/s: %.1f KB/s in an order of 12 s, %.1f in one of a minute", size.entries, size.perSecond, perSecond[0], perSecond[1])
		qt.Check(t, perSecond[1] <= []float64{13, 50, 60, 95}[i], qt.IsTrue)
		qt.Check(t, perSecond[1] <= 1.1*perSecond[0], qt.IsTrue)
	}
}
