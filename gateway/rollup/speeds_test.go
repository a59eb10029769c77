package rollup

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// born is the incarnation of all replicas, in Unix milliseconds.
const born = 1_760_000_123_456

func endpointID(i int) string { return fmt.Sprintf("i-%010x", i*7919) }

// samplesOf returns the samples of both kinds of an engine.
func samplesOf(weight, v float64) peer.SpeedSamples {
	k := peer.SpeedSample{Weight: weight, Time: weight / v}
	return peer.SpeedSamples{Incarnation: born, Kinds: [peer.SpeedKinds]peer.SpeedSample{k, k}}
}

// observing makes each entry get samples of a few replicas a second, of which speedOf
// returns the speed.
func (f *fleet) observing(replicas int, perSecond float64, seconds int, speedOf func(i int) float64) {
	const step = 500 * time.Millisecond
	turn := 0
	for range seconds * 2 {
		f.mu.Lock()
		for i := range f.loads {
			next := make(map[string]peer.SpeedSamples)
			for id, s := range f.loads[i].Speeds {
				next[id] = s.Scaled(math.Exp(-step.Seconds() / speed.Memory.Seconds()))
			}
			for range int(perSecond * step.Seconds()) {
				r := (turn + i*31) % replicas
				turn++
				next[endpointID(r)] = samplesOf(1, speedOf(r)).Plus(next[endpointID(r)])
			}
			f.loads[i].Speeds = next
		}
		f.mu.Unlock()
		time.Sleep(step)
	}
}

func speedOfB(i int) float64 { return []float64{0.75, 0.75, 1.8}[i%3] }

// TestSpeedsStayWithinTheControlBudget plays the engines of a deployment in which all
// differ from the mean, at each size, and one in which all are equal.
func TestSpeedsStayWithinTheControlBudget(t *testing.T) {
	equal := func(int) float64 { return 1 }
	for _, c := range []struct {
		name                        string
		entries, replicas, requests int
		speedOf                     func(int) float64
	}{
		{"no speeds", 78, 90, 0, equal}, {"B", 78, 90, 10, speedOfB}, {"equal", 58, 72, 12, equal},
		{"B at 195", 195, 90, 4, speedOfB}, {"B at 410", 410, 90, 2, speedOfB},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, c.entries, 3)
				const warm, seconds = 20, 20
				f.observing(c.replicas, float64(c.requests), warm, c.speedOf)
				f.mu.Lock()
				clear(f.bytes)
				clear(f.served)
				f.mu.Unlock()
				f.observing(c.replicas, float64(c.requests), seconds, c.speedOf)
				f.mu.Lock()
				defer f.mu.Unlock()
				perSecond := f.bytes[id(20)] / seconds
				t.Logf("%d bytes a second; the aggregators: %d", perSecond, (f.bytes[id(0)]+f.served[id(0)])/seconds)
				qt.Check(t, perSecond <= 7*1000, qt.IsTrue)
			})
		})
	}
}

// TestSpeedsAreKnownWithinTwoSeconds guards against entries that learn only from their
// own samples, and against sums that miss or repeat some.
func TestSpeedsAreKnownWithinTwoSeconds(t *testing.T) {
	for _, entries := range []int{17, 58, 78, 195, 410} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, entries, 3)
				time.Sleep(5 * time.Second)
				for i := range entries {
					f.setLoad(i, peer.Load{Speeds: map[string]peer.SpeedSamples{endpointID(1): samplesOf(1, 0.5)}})
				}
				time.Sleep(2 * time.Second)
				for _, r := range f.entries {
					sum, _ := r.Speeds()
					k := sum[endpointID(1)].Kinds[speed.Prefill]
					qt.Assert(t, k.Weight > 0.4*float64(entries-1) && math.Abs(k.LogSpeed()-math.Log(0.5)) < publishedChange, qt.IsTrue, qt.Commentf("%v of %d", k, entries))
				}
				// Weights are published in steps, and exactly after resendAfter at both
				// aggregators.
				time.Sleep(2*resendAfter + 2*time.Second)
				for _, r := range f.entries {
					sum, _ := r.Speeds()
					k := sum[endpointID(1)].Kinds[speed.Prefill]
					qt.Assert(t, k.Weight > 0.6*float64(entries-1) && k.Weight < 1.05*float64(entries), qt.IsTrue, qt.Commentf("%v of %d", k, entries))
				}
			})
		})
	}
}

// TestSpeedsOfFaultyReportersAreBounded guards against a reporter whose figures
// outweigh those of all others, and against samples of old incarnations.
func TestSpeedsOfFaultyReportersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 58, 3)
		for i := range 58 {
			f.setLoad(i, peer.Load{Speeds: map[string]peer.SpeedSamples{endpointID(1): samplesOf(4, 1)}})
		}
		bad := samplesOf(1e5, 0.5)
		old := samplesOf(10, 0.5)
		old.Incarnation--
		nan := samplesOf(math.NaN(), 1)
		f.setLoad(10, peer.Load{Speeds: map[string]peer.SpeedSamples{endpointID(1): bad}})
		f.setLoad(11, peer.Load{Speeds: map[string]peer.SpeedSamples{endpointID(1): old}})
		f.setLoad(12, peer.Load{Speeds: map[string]peer.SpeedSamples{endpointID(1): nan}})
		time.Sleep(4 * time.Second)
		sum, _ := f.entries[30].Speeds()
		got := math.Exp(sum[endpointID(1)].Kinds[speed.Prefill].LogSpeed())
		t.Logf("speed with faulty reporters: %.2f", got)
		qt.Check(t, got > 0.8 && got <= 1, qt.IsTrue)
	})
}
