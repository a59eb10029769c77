package quarantine

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"sync"
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
	// breakOffSpread is the time in which the connections with a lost host break off.
	breakOffSpread = 5 * time.Second
	meanAnswerTime = 400 * time.Millisecond
	// eventToSettled is when an answer counts that goes on, as in package gateway.
	eventToSettled = 250 * time.Millisecond
	linkLatency    = 2 * time.Millisecond
	linkPause      = 50 * time.Millisecond
	// linkRetry is when a link continues that was kept by its limit. The limits
	// are those of package peer.
	linkRetry                  = time.Second
	linkEvidenceBytesPerSecond = 2400
	linkEvidenceBurstBytes     = 3 << 10
	linkRelays                 = 3
	linkEnvelopeBytes          = 60
	soundPerEntry              = 6.0
	crashingPerSecond          = 8.0
)

// Prompt parts of the plays.
const (
	common   = 1       // in all prompts of the customer
	document = 100     // first of the parts that some prompts share
	bad      = 900     // first of the parts that crash replicas
	sparse   = 800     // in the prompts of few sound requests
	rare     = 1 << 20 // first of the parts that are each in four sound requests
)

// TestFleetUnderPartsThatCrashReplicas plays loads with prompt parts that crash
// replicas, and with crashes that no part causes, at deployments of several
// sizes.
func TestFleetUnderPartsThatCrashReplicas(t *testing.T) {
	for _, p := range plays {
		testPlay(t, p)
	}
}

// testPlay plays a load at all sizes, and in each form in which an answer on a part
// can end.
func testPlay(t *testing.T, p play) {
	played := forms
	if p.crashing == nil {
		played = forms[:1]
	}
	for size := range strings.SplitSeq(*sizes, ",") {
		entries, err := strconv.Atoi(size)
		qt.Assert(t, err, qt.IsNil)
		for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
			quiet := sync.OnceValue(func() result { return runFleet(t, p, Beginning, entries, seed, true, true) })
			for _, x := range played {
				t.Run(fmt.Sprintf("%s/%s/entries=%d/seed=%d", p.name, x.name, entries, seed), func(t *testing.T) {
					t.Parallel()
					after := runFleet(t, p, x.at, entries, seed, false, true)
					t.Logf("without the part: %v", quiet())
					if testing.Verbose() {
						t.Logf("without quarantine: %v", runFleet(t, p, x.at, entries, seed, false, false))
					}
					t.Logf("with it: %v", after)
					checkFleet(t, p, quiet(), after)
				})
			}
		}
	}
}

func runFleet(t *testing.T, p play, at Progress, entries int, seed uint64, quiet, guarded bool) (r result) {
	synctest.Test(t, func(*testing.T) {
		r = newFleet(p, at, entries, seed, quiet, guarded).run()
		time.Sleep(time.Minute) // all timers have ended
	})
	return r
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
		qt.Check(t, p.evidenceLost || after.fifthCrashAt.IsZero() || after.knownAfter > 0 && after.knownAfter <= contact, qt.IsTrue, qt.Commentf("known after %v", after.knownAfter))
		share := ratio(after.begunLate, after.soundLate) / ratio(quiet.begunLate, quiet.soundLate)
		qt.Check(t, after.soundLate == 0 || share >= minBegunShare, qt.IsTrue, qt.Commentf("share %.3f", share))
	}
}
