package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
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
						if f.entries[f.ids[f.rng.IntN(len(f.ids))]].Reserve(context.Background(), "a", unordered(units)).OK {
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

// Guards against refusing a client that honors Retry-After a second time because newer
// requests used the units of its large request while they accumulated.
func TestUnitsAreReservedForRefusedRequests(t *testing.T) {
	const perSecond, burst = 300_000.0, 356_000.0
	now, level := time.Unix(1000, 0), 0.0
	var o order
	decide := func(r peer.LimitRequest) orderDecision {
		d := o.decide(now, bucketState{level: level, perSecond: perSecond, burst: burst, exceeded: true}, r)
		if d.ok {
			level -= r.Units
		}
		return d
	}
	const within = 150 * time.Millisecond
	large := peer.LimitRequest{Units: 24_000, Within: within, Urgency: 2}
	level = -within.Seconds() * perSecond
	refused := decide(large)
	qt.Assert(t, refused.ok, qt.IsFalse)
	qt.Assert(t, refused.wait > within && refused.wait < time.Second, qt.IsTrue, qt.Commentf("%v", refused.wait))
	served := 0
	for range refused.wait / time.Millisecond {
		now, level = now.Add(time.Millisecond), level+perSecond/1000
		if decide(peer.LimitRequest{Units: 1_000, Within: within, Urgency: 2}).ok {
			served++
		}
	}
	qt.Check(t, served > 0, qt.IsTrue)
	large.Returning = true
	qt.Check(t, decide(large).ok, qt.IsTrue)
	qt.Check(t, o.findPlace(2, large.Units), qt.Equals, -1)
}

// Guards against an urgent request that is refused for a less urgent one: these must
// leave the units that the urgent ones are about to ask for.
func TestLessUrgentRequestsLeaveUnitsToUrgentOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	var o order
	b := bucketState{level: 20_000, perSecond: 300_000, burst: 356_000, exceeded: true}
	urgent := peer.LimitRequest{Units: 2_400, Within: 50 * time.Millisecond}
	for range 100 {
		o.decide(now, b, urgent)
		now = now.Add(10 * time.Millisecond)
	}
	less := peer.LimitRequest{Units: 12_000, Within: 150 * time.Millisecond, Urgency: 2}
	qt.Check(t, o.decide(now, b, less).ok, qt.IsFalse)
	qt.Check(t, o.decide(now, b, urgent).ok, qt.IsTrue)
	unknown := peer.LimitRequest{Units: 2_400, Within: 50 * time.Millisecond, Urgency: peer.UnknownUrgency}
	qt.Check(t, o.decide(now, b, unknown).ok, qt.IsTrue)
	// A customer below its limit is served as it comes, as far as an urgent request
	// needn't wait too long afterwards.
	b.exceeded = false
	qt.Check(t, o.decide(now, b, less).ok, qt.IsTrue)
	b.level = 0
	qt.Check(t, o.decide(now, b, less).ok, qt.IsFalse)
}

// Requests for a few units, such as those of a plain service, were refused as long as the
// urgent prompts of their customer asked for more than its limit: 1,505 of 12,860 on a
// played day, 4 without the order.
func TestSmallRequestsAreNotHeldBack(t *testing.T) {
	o, now := &order{}, time.Unix(1000, 0)
	b := bucketState{level: 0, perSecond: 100_000, burst: 120_000, exceeded: true}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		o.decide(now, b, peer.LimitRequest{Units: 2_400, Within: 50 * time.Millisecond})
	}
	small := o.decide(now, b, peer.LimitRequest{Units: 200, Within: 15 * time.Millisecond, Urgency: 2})
	qt.Check(t, small.ok, qt.IsTrue)
	qt.Check(t, small.wait <= 15*time.Millisecond, qt.IsTrue)
	long := o.decide(now, b, peer.LimitRequest{Units: 6_000, Within: 150 * time.Millisecond, Urgency: 2})
	qt.Check(t, long.ok, qt.IsFalse)
	// They don't use up more in advance than others may.
	b.level = -4_000
	qt.Check(t, o.decide(now, b, peer.LimitRequest{Units: 200, Within: 15 * time.Millisecond, Urgency: 2}).ok, qt.IsTrue)
	b.level = -20_000
	qt.Check(t, o.decide(now, b, peer.LimitRequest{Units: 200, Within: 15 * time.Millisecond, Urgency: 2}).ok, qt.IsFalse)
}
