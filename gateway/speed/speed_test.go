package speed

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// registry is a set of replicas of one service, by incarnation.
type registry map[string]int64

func (r registry) current(id string) (string, int64, bool) {
	incarnation, ok := r[id]
	return "s", incarnation, ok
}

func newRegistry(n int) registry {
	r := make(registry)
	for i := range n {
		r[replicaID(i)] = 1
	}
	return r
}

func replicaID(i int) string { return fmt.Sprintf("r%02d", i) }

// trueSpeed is that of every third replica.
func trueSpeed(i int) float64 { return []float64{0.7, 0.7, 1.7}[i%3] }

// relativeSpeed is the true speed relative to the geometric mean.
func relativeSpeed(i int) float64 { return trueSpeed(i) / math.Cbrt(0.7*0.7*1.7) }

var start = time.Unix(1_700_000_000, 0)

// fleet is a number of estimators that exchange their samples.
type fleet struct {
	entries []*Estimator
	now     time.Time
	random  *rand.Rand
}

func newFleet(entries int, r registry) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(7, 8))}
	for range entries {
		f.entries = append(f.entries, New(Options{Current: r.current}))
	}
	return f
}

// exchange hands each entry the sum over the others, encoded as on the wire.
func (f *fleet) exchange() {
	reports := make([]map[string]peer.SpeedSamples, len(f.entries))
	total := make(map[string]peer.SpeedSamples)
	for i, e := range f.entries {
		reports[i] = e.Report(f.now)
		for id, s := range reports[i] {
			s.Incarnation = 1
			sum := total[id]
			sum.Incarnation = 1
			total[id] = sum.Plus(s)
		}
	}
	for i, e := range f.entries {
		others := make(map[string]peer.SpeedSamples)
		for id, sum := range total {
			for k, own := range reports[i][id].Kinds {
				sum.Kinds[k].Weight -= own.Weight
				sum.Kinds[k].Time -= own.Time
			}
			others[id] = sum
		}
		text, err := json.Marshal(others)
		if err != nil {
			panic(err)
		}
		var received map[string]peer.SpeedSamples
		if err := json.Unmarshal(text, &received); err != nil {
			panic(err)
		}
		e.SetPeers(f.now, received, time.Second)
	}
}

// run sends requests to the replicas that pick returns, for a time. took returns the
// duration of a request at speed 1.
func (f *fleet) run(d time.Duration, perSecond float64, k Kind, pick func() int, took func() time.Duration) {
	next := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))) {
		if !f.now.Before(next) {
			f.exchange()
			next = next.Add(time.Second)
		}
		i := pick()
		f.entries[f.random.IntN(len(f.entries))].Observe(f.now, "s", replicaID(i), 1, k, 100*time.Millisecond, time.Duration(float64(took())/trueSpeed(i)))
	}
}

// worst returns the largest error of an entry's estimates, as a factor.
func (f *fleet) worst(k Kind, replicas int) float64 {
	worst := 1.0
	for _, e := range f.entries {
		for i := range replicas {
			of := e.Of(f.now, "s", replicaID(i), 1)
			v := [...]float64{of.Prefill, of.Decode, of.Work}[k]
			worst = max(worst, v/relativeSpeed(i), relativeSpeed(i)/v)
		}
	}
	return worst
}

// TestAllEntriesLearnSpeedsOfPlainServices guards against estimates that need more
// samples than an entry gets: one in eight seconds from each replica, of requests
// whose sizes are unknown and about exponential, with a unit that differs from the
// prediction.
func TestAllEntriesLearnSpeedsOfPlainServices(t *testing.T) {
	f := newFleet(78, newRegistry(9))
	f.run(60*time.Second, 9*9, Work, func() int { return f.random.IntN(9) },
		func() time.Duration { return time.Duration(f.random.ExpFloat64() * float64(17*time.Millisecond)) })
	worst := f.worst(Work, 9)
	t.Logf("largest error of an estimate: %.2f", worst)
	qt.Check(t, worst < 1.35, qt.IsTrue)
}

// TestReferenceDoesNotDriftWhileAPartIsSampled guards against estimates that are
// relative to the replicas that get requests: if only the fast ones got some, they
// would all become 1.
func TestReferenceDoesNotDriftWhileAPartIsSampled(t *testing.T) {
	f := newFleet(20, newRegistry(9))
	sized := func() time.Duration { return time.Duration((0.5 + f.random.Float64()) * float64(80*time.Millisecond)) }
	f.run(60*time.Second, 80, Prefill, func() int { return f.random.IntN(9) }, sized)
	before := f.worst(Prefill, 9)
	f.run(10*time.Minute, 80, Prefill, func() int { return 3*f.random.IntN(3) + 2 }, sized)
	after := f.worst(Prefill, 9)
	t.Logf("largest error: %.2f, after ten minutes of requests to the fast third only: %.2f", before, after)
	qt.Check(t, before < 1.2, qt.IsTrue)
	qt.Check(t, after < 1.3, qt.IsTrue)
}

// TestTransientSlownessIsNotPersistent guards against a spell of 0.6 s that changes
// the persistent estimate, and against one that isn't noticed.
func TestTransientSlownessIsNotPersistent(t *testing.T) {
	f := newFleet(1, newRegistry(3))
	e := f.entries[0]
	f.run(30*time.Second, 60, Prefill, func() int { return f.random.IntN(3) }, func() time.Duration { return 100 * time.Millisecond })
	persistent := e.Of(f.now, "s", replicaID(0), 1).Prefill
	for range 6 {
		f.now = f.now.Add(100 * time.Millisecond)
		e.Observe(f.now, "s", replicaID(0), 1, Prefill, 100*time.Millisecond, time.Duration(250/trueSpeed(0))*time.Millisecond)
	}
	during := e.Of(f.now, "s", replicaID(0), 1).Prefill
	f.now = f.now.Add(2 * time.Second)
	after := e.Of(f.now, "s", replicaID(0), 1).Prefill
	t.Logf("before %.2f, during the spell %.2f, after it %.2f", persistent, during, after)
	qt.Check(t, during < 0.75*persistent, qt.IsTrue)
	qt.Check(t, math.Abs(after/persistent-1) < 0.1, qt.IsTrue)
}

// TestEstimateOutlivesItsSamples guards against a replica that loses its estimate
// because it got no requests.
func TestEstimateOutlivesItsSamples(t *testing.T) {
	f := newFleet(20, newRegistry(9))
	f.run(60*time.Second, 80, Prefill, func() int { return f.random.IntN(9) }, func() time.Duration { return 100 * time.Millisecond })
	f.now = f.now.Add(time.Hour)
	qt.Check(t, f.worst(Prefill, 9) < 1.2, qt.IsTrue)
}

// TestNewIncarnationIsUnknown guards against estimates of another process.
func TestNewIncarnationIsUnknown(t *testing.T) {
	r := newRegistry(9)
	f := newFleet(20, r)
	f.run(30*time.Second, 80, Prefill, func() int { return f.random.IntN(9) }, func() time.Duration { return 100 * time.Millisecond })
	e, id := f.entries[0], replicaID(2)
	old := e.Report(f.now)[id]
	qt.Assert(t, e.Of(f.now, "s", id, 1).Prefill > 1.3, qt.IsTrue)
	r[id] = 2
	qt.Check(t, e.Of(f.now, "s", id, 2), qt.Equals, Estimate{1, 1, 1})
	e.Observe(f.now, "s", id, 1, Prefill, time.Second, 100*time.Millisecond)
	e.SetPeers(f.now, map[string]peer.SpeedSamples{id: old}, 0)
	f.now = f.now.Add(time.Second)
	qt.Check(t, e.Of(f.now, "s", id, 2), qt.Equals, Estimate{1, 1, 1})
}

// TestInvalidReportsChangeNothing guards against a faulty peer.
func TestInvalidReportsChangeNothing(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, k := range []peer.SpeedSample{{Weight: nan, Time: 1}, {Weight: 1, Time: nan}, {Weight: -5, Time: -5}, {Weight: 5, Time: -5}, {Weight: inf, Time: inf}, {Weight: 1e9, Time: 1e9}, {Weight: 1, Time: 1e9}, {Weight: 1e5, Time: 1}} {
		e := New(Options{Current: newRegistry(2).current})
		s := peer.SpeedSamples{Incarnation: 1, Kinds: [kinds]peer.SpeedSample{k, k, k}}
		e.SetPeers(start, map[string]peer.SpeedSamples{replicaID(0): s, "unknown": s}, -time.Hour)
		qt.Check(t, e.Of(start, "s", replicaID(0), 1), qt.Equals, Estimate{1, 1, 1}, qt.Commentf("%v", k))
		qt.Check(t, len(e.replicas) <= 1, qt.IsTrue)
	}
	for _, text := range []string{`"x y"`, `17`, `"1 -5,2"`, `"1 NaN,1 Inf,Inf 1e300,1"`, `"1 1,99999"`, `""`, `"1 1,1 1,1 1,1 1,1"`} {
		var s peer.SpeedSamples
		qt.Assert(t, json.Unmarshal([]byte(text), &s), qt.IsNil)
		for _, k := range s.Kinds {
			qt.Check(t, k == peer.SpeedSample{} || k.Valid(), qt.IsTrue, qt.Commentf("%s", text))
		}
	}
}

// TestAloneOnlySlownessCounts guards the deployments that were served before: an
// entry without peers uses no estimate above 1, and the same ones as it always has.
func TestAloneOnlySlownessCounts(t *testing.T) {
	e := New(Options{Current: newRegistry(2).current})
	random, want := rand.New(rand.NewPCG(1, 1)), 1.0
	for range 200 {
		ratio := math.Exp(0.4 + random.NormFloat64())
		want = min(max(want*math.Exp(0.1*math.Log(min(max(ratio, 0.5), 8)/want)), 1), 8)
		e.ObserveSlowdown(replicaID(0), 1, time.Second, time.Duration(ratio*float64(time.Second)))
		e.ObserveSlowdown(replicaID(1), 1, time.Second, time.Second/3)
		e.Observe(start, "s", replicaID(1), 1, Prefill, time.Second, time.Second/3)
		e.Observe(start, "s", replicaID(1), 1, Work, time.Second, 3*time.Second)
	}
	slow := e.Of(start, "s", replicaID(0), 1)
	qt.Check(t, math.Abs(slow.Prefill*want-1) < 1e-6, qt.IsTrue)
	qt.Check(t, slow.Decode, qt.Equals, slow.Prefill)
	qt.Check(t, e.Of(start, "s", replicaID(1), 1), qt.Equals, Estimate{1, 1, 1})
}
