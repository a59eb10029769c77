package lease

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

var seeds = flag.Int("seeds", 300, "number of seeds of the randomised run")

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

const (
	testDuration      = 4 * time.Second
	testMargin        = 400 * time.Millisecond
	testSuccessorWait = 3 * time.Second
	// maxTakeoverTime bounds a takeover from a failed holder. A contender may
	// read the last renewal one step late, and detect that the lease has
	// expired another step late.
	maxTakeoverTime = testDuration + testMargin + 2*testDuration/renewalsPerLease + time.Second
)

// contenders runs several contenders for one lease and checks their holds
// against the invariants of the lease.
type contenders struct {
	t       testing.TB
	table   *standin.Table
	gates   []*standin.Gate
	leases  []*Lease
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// fence is the highest fencing token held so far, and holder the index of
	// the contender that held it.
	fence         uint64
	holder        int
	holderChanges int
}

func newContenders(t testing.TB, seed uint64, size int) *contenders {
	ctx, cancel := context.WithCancel(context.Background())
	cs := &contenders{t: t, table: standin.NewTable(seed), cancel: cancel, holder: -1}
	for i := range size {
		gate := standin.NewGate(cs.table)
		l := New(gate, Options{
			Name:          "placement",
			Owner:         fmt.Sprintf("e%d", i),
			Incarnation:   "1",
			Duration:      testDuration,
			Margin:        testMargin,
			SuccessorWait: testSuccessorWait,
		})
		cs.gates = append(cs.gates, gate)
		cs.leases = append(cs.leases, l)
		cs.running.Go(func() { l.Run(ctx) })
	}
	cs.running.Go(func() { cs.observe(ctx) })
	return cs
}

func (cs *contenders) close() {
	cs.cancel()
	for _, gate := range cs.gates {
		gate.Resume()
	}
	cs.running.Wait()
	cs.table.Close()
}

// observe checks all holds every few milliseconds.
func (cs *contenders) observe(ctx context.Context) {
	for ctx.Err() == nil {
		cs.checkHolds()
		time.Sleep(7 * time.Millisecond)
	}
}

func (cs *contenders) checkHolds() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	holders := 0
	for i, l := range cs.leases {
		fence, ok := l.Held()
		if !ok {
			continue
		}
		holders++
		invariant.Check(fence >= cs.fence, invariant.FenceMonotonic, "fence %d held after %d", fence, cs.fence)
		invariant.Check(fence > cs.fence || i == cs.holder, invariant.FenceMonotonic, "fence %d held twice", fence)
		if i != cs.holder && cs.holder >= 0 {
			cs.holderChanges++
		}
		cs.fence, cs.holder = fence, i
		if _, may := l.MayOrder(); !may {
			continue
		}
		for j, other := range cs.leases {
			_, otherMay := other.MayOrder()
			invariant.Check(j == i || !otherMay, invariant.SingleLeaseHolder, "%d and %d may order", i, j)
		}
	}
	invariant.Check(holders <= 1, invariant.SingleLeaseHolder, "%d holders", holders)
}

// currentHolder returns the index of the holder, or -1.
func (cs *contenders) currentHolder() int {
	for i, l := range cs.leases {
		if _, ok := l.Held(); ok {
			return i
		}
	}
	return -1
}

// TestHolderFaults injects a fault at the holder and checks whether another
// contender acquires the lease.
func TestHolderFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(cs *contenders, holder int)
		wait   time.Duration
		// wantMoved reports whether another contender must hold the lease
		// after wait, wantHigherFence whether the fencing token must be higher.
		wantMoved, wantHigherFence bool
	}{
		{"nothing", func(*contenders, int) {}, time.Minute, false, false},
		{"killed", func(cs *contenders, h int) { cs.gates[h].Kill() }, maxTakeoverTime, true, true},
		{"paused", func(cs *contenders, h int) { cs.gates[h].Pause() }, maxTakeoverTime, true, true},
		{"released", func(cs *contenders, h int) { cs.leases[h].Release() }, testDuration, true, true},
		{"paused briefly", func(cs *contenders, h int) {
			cs.gates[h].Pause()
			time.Sleep(testDuration / 2)
			cs.gates[h].Resume()
		}, 0, false, false},
		{"short outage", func(cs *contenders, _ int) {
			cs.table.SetFaults(standin.TableFaults{Outage: true})
			time.Sleep(testDuration / 2)
			cs.table.SetFaults(standin.TableFaults{})
		}, 0, false, false},
		{"answers lost", func(cs *contenders, _ int) {
			cs.table.SetFaults(standin.TableFaults{LoseAnswer: 0.5})
			time.Sleep(time.Minute)
			cs.table.SetFaults(standin.TableFaults{})
		}, maxTakeoverTime, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cs := newContenders(t, 1, 3)
				defer cs.close()
				time.Sleep(maxTakeoverTime)
				before := cs.currentHolder()
				c.Assert(before, qt.Not(qt.Equals), -1)
				fence := cs.leases[before].HighestFence()
				tc.inject(cs, before)
				time.Sleep(tc.wait)
				after := cs.currentHolder()
				c.Assert(after, qt.Not(qt.Equals), -1)
				c.Assert(after != before, qt.Equals, tc.wantMoved)
				if tc.wantHigherFence {
					c.Assert(cs.leases[after].HighestFence() > fence, qt.IsTrue)
				}
			})
		})
	}
}

// TestOutageEndsHold checks that during an outage of the table the holder's
// lease expires and nobody acquires it, and that the lease has a holder again
// after the outage.
func TestOutageEndsHold(t *testing.T) {
	for _, faults := range []standin.TableFaults{{Outage: true}, {Hang: true}, {LoseRequest: 1}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cs := newContenders(t, 1, 3)
				defer cs.close()
				time.Sleep(maxTakeoverTime)
				c.Assert(cs.currentHolder(), qt.Not(qt.Equals), -1)
				cs.table.SetFaults(faults)
				time.Sleep(testDuration)
				c.Assert(cs.currentHolder(), qt.Equals, -1)
				time.Sleep(time.Minute)
				c.Assert(cs.currentHolder(), qt.Equals, -1)
				cs.table.SetFaults(standin.TableFaults{})
				time.Sleep(maxTakeoverTime)
				c.Assert(cs.currentHolder(), qt.Not(qt.Equals), -1)
			})
		})
	}
}

// TestTakeoverAnswerLost checks that a takeover whose response was lost is
// confirmed by reading the row.
func TestTakeoverAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cs := newContenders(t, 1, 1)
		defer cs.close()
		cs.table.SetFaults(standin.TableFaults{LoseAnswer: 1})
		time.Sleep(time.Millisecond)
		fence, ok := cs.leases[0].Held()
		c.Assert(ok, qt.IsTrue)
		c.Assert(fence, qt.Equals, uint64(1))
	})
}

// TestSuccessorWaits checks that a new holder may send no orders before those
// of its predecessor have timed out.
func TestSuccessorWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cs := newContenders(t, 1, 2)
		defer cs.close()
		time.Sleep(maxTakeoverTime)
		first := cs.currentHolder()
		cs.gates[first].Kill()
		var lastMayOrder time.Time
		for cs.currentHolder() != 1-first {
			if _, ok := cs.leases[first].MayOrder(); ok {
				lastMayOrder = time.Now()
			}
			time.Sleep(time.Millisecond)
		}
		second := cs.leases[1-first]
		for {
			if _, ok := second.MayOrder(); ok {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.Assert(time.Since(lastMayOrder) > testSuccessorWait, qt.IsTrue)
	})
}

// TestRandomFaults injects random faults while observe checks the holds.
func TestRandomFaults(t *testing.T) {
	changes := 0
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			cs := newContenders(t, uint64(seed), 4)
			defer cs.close()
			rng := rand.New(rand.NewPCG(uint64(seed), 3))
			for range 60 {
				time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				injectRandomFault(cs, rng)
			}
			cs.table.SetFaults(standin.TableFaults{})
			for _, gate := range cs.gates {
				gate.Resume()
			}
			time.Sleep(2 * maxTakeoverTime)
			if cs.currentHolder() < 0 {
				t.Errorf("seed %d: nobody holds the lease after all faults", seed)
			}
			cs.mu.Lock()
			defer cs.mu.Unlock()
			changes += cs.holderChanges
		})
	}
	t.Logf("%d seeds: %d changes of holder", *seeds, changes)
}

func injectRandomFault(cs *contenders, rng *rand.Rand) {
	gate := cs.gates[rng.IntN(len(cs.gates))]
	late := time.Duration(rng.IntN(8000)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		gate.Pause()
	case 2, 3:
		gate.Resume()
	case 4:
		cs.table.SetFaults(standin.TableFaults{LoseAnswer: 0.5, Latency: late / 20})
	case 5:
		cs.table.SetFaults(standin.TableFaults{LoseRequest: 0.5, LateCommitDelay: late})
	case 6:
		cs.table.SetFaults(standin.TableFaults{Outage: true})
	case 7:
		cs.table.SetFaults(standin.TableFaults{})
	}
}

// TestManyContendersReadRarely guards against reads of the row that grow with
// the number of contenders, and checks that a contender that becomes a
// candidate takes over from a failed holder without waiting for its next read.
func TestManyContendersReadRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const contenders, seconds = 100, 60
		table := standin.NewTable(1)
		defer table.Close()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		var candidate, known atomic.Int64
		leases := make([]*Lease, contenders)
		gates := make([]*standin.Gate, contenders)
		known.Store(1)
		for i := range leases {
			gates[i] = standin.NewGate(table)
			leases[i] = New(gates[i], Options{
				Name: "placement", Owner: fmt.Sprintf("e%d", i), Incarnation: "1", Duration: testDuration, Margin: testMargin,
				Candidate:  func() bool { return candidate.Load() == int64(i) },
				Contenders: func() int { return int(known.Load()) },
			})
			running.Go(func() { leases[i].Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		known.Store(contenders)
		time.Sleep(maxTakeoverTime)
		_, held := leases[0].Held()
		qt.Assert(t, held, qt.IsTrue)
		before := table.Counts()
		time.Sleep(seconds * time.Second)
		reads := float64(table.Counts().Reads-before.Reads) / seconds
		qt.Check(t, reads <= 1.5*maxNonCandidateReads, qt.IsTrue, qt.Commentf("%.1f reads a second", reads))
		gates[0].Pause()
		defer gates[0].Resume()
		candidate.Store(1)
		time.Sleep(maxTakeoverTime)
		_, held = leases[1].Held()
		qt.Check(t, held, qt.IsTrue)
	})
}
