package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the simulated fleets")
	seeds     = flag.Int("seeds", 1, "number of seeds of the simulated fleets")
	sizes     = flag.String("entries", "9,195", "numbers of entries of the simulated fleets")
)

const (
	// contact is the time within which all entries know of the fifth crash, and
	// maxSendsAfter the number of requests that may reach replicas later.
	contact       = 3 * time.Second
	maxSendsAfter = 3
	// maxBytesPerSecond is what an entry may spend on control traffic.
	maxBytesPerSecond = 7000
	// minBegunShare is the share of sound requests that must begin at their
	// first attempt from 2*contact after the fifth crash on, of those that do
	// without the part.
	minBegunShare = 0.95

	warmUp, playTime = 3 * time.Second, 20 * time.Second
	settleTime       = 2 * time.Second
	replicasPerEntry = 4
	downtime         = 4 * time.Second
	meanQueueTime    = 150 * time.Millisecond
	beginsToCrash    = 30 * time.Millisecond
	beginsToEvent    = 6 * time.Millisecond
	linkLatency      = 2 * time.Millisecond
	linkPause        = 50 * time.Millisecond
	// linkRetry is when a link continues that was kept by its limit. The limits
	// are those of package peer.
	linkRetry             = time.Second
	linkEvidencePerSecond = 10
	linkEvidenceBurst     = 20
	soundPerEntry         = 6.0
	crashingPerSecond     = 8.0
)

// Prompt parts of the plays.
const (
	common   = 1   // in all prompts of the customer
	document = 100 // first of the parts that some prompts share
	bad      = 900 // first of the parts that crash replicas
	sparse   = 800 // in the prompts of few sound requests
)

func soundPrompt(_ int, r *rand.Rand) []uint64 {
	return []uint64{common, document + r.Uint64N(40)}
}

var plays = []play{
	{name: "one part", sound: soundPrompt,
		crashing: func(_ int, r *rand.Rand) []uint64 { return []uint64{common, document + r.Uint64N(40), bad} }},
	{name: "one part at the start", sound: soundPrompt,
		crashing: func(_ int, r *rand.Rand) []uint64 { return []uint64{bad, document + r.Uint64N(40)} }},
	{name: "all but one part shared with sound requests", sound: soundPrompt,
		crashing: func(int, *rand.Rand) []uint64 { return []uint64{common, document, bad} }},
	{name: "all other parts shared with few sound requests", sound: func(n int, r *rand.Rand) []uint64 {
		if n%200 == 0 {
			return []uint64{common, sparse}
		}
		return soundPrompt(n, r)
	}, crashing: func(int, *rand.Rand) []uint64 { return []uint64{common, sparse, bad} }},
	{name: "three parts at once", sound: soundPrompt,
		crashing: func(n int, _ *rand.Rand) []uint64 { return []uint64{common, document, bad + uint64(n%3)} }},
	{name: "unrelated crashes", sound: soundPrompt, noBan: true, disturb: func(f *fleet) {
		for i := range int(crashingPerSecond * playTime.Seconds()) {
			time.Sleep(time.Duration(float64(time.Second) / crashingPerSecond))
			f.crash(f.replicas[i*7%len(f.replicas)])
		}
	}},
	{name: "a failure domain is reclaimed", sound: soundPrompt, noBan: true, disturb: func(f *fleet) {
		for range 3 {
			time.Sleep(5 * time.Second)
			for _, r := range f.replicas {
				if r.FailureDomain == "d1" {
					f.crash(r)
				}
			}
		}
	}},
	{name: "an entry is cut off meanwhile", sound: soundPrompt,
		crashing: func(_ int, r *rand.Rand) []uint64 { return []uint64{common, document + r.Uint64N(40), bad} },
		disturb: func(f *fleet) {
			f.setCut(f.entries[1], true)
			time.Sleep(warmUp + 6*time.Second)
			f.setCut(f.entries[1], false)
		}},
	{name: "an entry starts after it", sound: soundPrompt,
		crashing: func(_ int, r *rand.Rand) []uint64 { return []uint64{common, document + r.Uint64N(40), bad} },
		disturb: func(f *fleet) {
			time.Sleep(warmUp + 6*time.Second)
			f.setCut(f.entries[1], true)
			fresh := f.newEntry(1)
			f.mu.Lock()
			f.entries[1].set = fresh.set
			fresh.set.OnBroadcast(f.entries[1].wake)
			f.mu.Unlock()
			f.setCut(f.entries[1], false)
		}},
	{name: "made-up parts without end", unbounded: true,
		sound: func(n int, r *rand.Rand) []uint64 {
			return []uint64{common, document + r.Uint64N(40), 1 << 40 * uint64(n)}
		},
		crashing: func(n int, _ *rand.Rand) []uint64 { return []uint64{common, document, 1<<40*uint64(n) + 1} }},
}

// TestFleetUnderPartsThatCrashReplicas plays loads with prompt parts that crash
// replicas, and with crashes that no part causes, at deployments of several
// sizes.
func TestFleetUnderPartsThatCrashReplicas(t *testing.T) {
	for _, p := range plays {
		for size := range strings.SplitSeq(*sizes, ",") {
			entries, err := strconv.Atoi(size)
			qt.Assert(t, err, qt.IsNil)
			for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
				t.Run(fmt.Sprintf("%s/entries=%d/seed=%d", p.name, entries, seed), func(t *testing.T) {
					var quiet, before, after result
					for _, x := range []struct {
						result         *result
						quiet, guarded bool
					}{{&quiet, true, true}, {&before, false, false}, {&after, false, true}} {
						synctest.Test(t, func(t *testing.T) {
							f := newFleet(p, entries, seed, x.quiet, x.guarded)
							*x.result = f.run()
							time.Sleep(time.Minute) // all timers have ended
						})
					}
					t.Logf("without the part: %v", quiet)
					t.Logf("without quarantine: %v", before)
					t.Logf("with it: %v", after)
					checkFleet(t, p, quiet, after)
				})
			}
		}
	}
}

func checkFleet(t *testing.T, p play, quiet, after result) {
	qt.Check(t, after.bytes <= maxBytesPerSecond, qt.IsTrue, qt.Commentf("%d B/s", after.bytes))
	switch {
	case p.noBan:
		qt.Check(t, after.bans, qt.Equals, 0)
	case p.unbounded:
		qt.Check(t, ratio(after.begun, after.sound) > 0.5*ratio(quiet.begun, quiet.sound), qt.IsTrue)
	default:
		qt.Check(t, after.sentAfter <= maxSendsAfter, qt.IsTrue, qt.Commentf("%d requests sent later", after.sentAfter))
		qt.Check(t, after.fifthCrashAt.IsZero() || after.knownAfter > 0 && after.knownAfter <= contact, qt.IsTrue, qt.Commentf("known after %v", after.knownAfter))
		share := ratio(after.begunLate, after.soundLate) / ratio(quiet.begunLate, quiet.soundLate)
		qt.Check(t, after.fifthCrashAt.IsZero() || share >= minBegunShare, qt.IsTrue, qt.Commentf("share %.3f", share))
	}
}
