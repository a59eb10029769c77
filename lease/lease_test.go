package lease

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
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
	testDuration  = 4 * time.Second
	testMargin    = 400 * time.Millisecond
	testOrderTime = 3 * time.Second
	// takeoverTime bounds a takeover from a holder that is gone: its last
	// renewal is seen a step later, and the row again a step after its end.
	takeoverTime = testDuration + testMargin + 2*testDuration/renewalsPerLease + time.Second
)

// group is some contenders for one lease and the observer of their holds.
type group struct {
	t      testing.TB
	table  *standin.Table
	gates  []*standin.Gate
	leases []*Lease
	cancel context.CancelFunc
	all    sync.WaitGroup

	mu sync.Mutex
	// fence is the highest number held so far, by holder.
	fence   uint64
	holder  int
	changes int
}

func newGroup(t testing.TB, seed uint64, size int) *group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &group{t: t, table: standin.NewTable(seed), cancel: cancel, holder: -1}
	for i := range size {
		gate := standin.NewGate(g.table)
		l := New(gate, Options{
			Name:          "placement",
			Owner:         fmt.Sprintf("e%d", i),
			Incarnation:   "1",
			Duration:      testDuration,
			Margin:        testMargin,
			SuccessorWait: testOrderTime,
		})
		g.gates = append(g.gates, gate)
		g.leases = append(g.leases, l)
		g.all.Go(func() { l.Run(ctx) })
	}
	g.all.Go(func() { g.observe(ctx) })
	return g
}

func (g *group) close() {
	g.cancel()
	for _, gate := range g.gates {
		gate.Wake()
	}
	g.all.Wait()
	g.table.Close()
}

// observe looks at all holds every few milliseconds.
func (g *group) observe(ctx context.Context) {
	for ctx.Err() == nil {
		g.look()
		time.Sleep(7 * time.Millisecond)
	}
}

func (g *group) look() {
	g.mu.Lock()
	defer g.mu.Unlock()
	holders := 0
	for i, l := range g.leases {
		fence, ok := l.Held()
		if !ok {
			continue
		}
		holders++
		invariant.Check(fence >= g.fence, invariant.FenceMonotonic, "fence %d held after %d", fence, g.fence)
		invariant.Check(fence > g.fence || i == g.holder, invariant.FenceMonotonic, "fence %d held twice", fence)
		if i != g.holder && g.holder >= 0 {
			g.changes++
		}
		g.fence, g.holder = fence, i
		if _, may := l.MayOrder(); !may {
			continue
		}
		for j, other := range g.leases {
			_, also := other.MayOrder()
			invariant.Check(j == i || !also, invariant.SingleLeaseHolder, "%d and %d may order", i, j)
		}
	}
	invariant.Check(holders <= 1, invariant.SingleLeaseHolder, "%d holders", holders)
}

// current is the index of the holder, or -1.
func (g *group) current() int {
	for i, l := range g.leases {
		if _, ok := l.Held(); ok {
			return i
		}
	}
	return -1
}

// TestHolderFaults disturbs the holder and says who holds the lease after.
func TestHolderFaults(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(g *group, holder int)
		wait    time.Duration
		// moves says that another must hold the lease after wait, higher that
		// the fencing number must have grown.
		moves, higher bool
	}{
		{"nothing", func(*group, int) {}, time.Minute, false, false},
		{"killed", func(g *group, h int) { g.gates[h].Kill() }, takeoverTime, true, true},
		{"paused", func(g *group, h int) { g.gates[h].Pause() }, takeoverTime, true, true},
		{"released", func(g *group, h int) { g.leases[h].Release() }, testDuration, true, true},
		{"paused briefly", func(g *group, h int) {
			g.gates[h].Pause()
			time.Sleep(testDuration / 2)
			g.gates[h].Wake()
		}, 0, false, false},
		{"short outage", func(g *group, _ int) {
			g.table.SetFaults(standin.TableFaults{Outage: true})
			time.Sleep(testDuration / 2)
			g.table.SetFaults(standin.TableFaults{})
		}, 0, false, false},
		{"answers lost", func(g *group, _ int) {
			g.table.SetFaults(standin.TableFaults{LoseAnswer: 0.5})
			time.Sleep(time.Minute)
			g.table.SetFaults(standin.TableFaults{})
		}, takeoverTime, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				g := newGroup(t, 1, 3)
				defer g.close()
				time.Sleep(takeoverTime)
				before := g.current()
				c.Assert(before, qt.Not(qt.Equals), -1)
				fence := g.leases[before].Fence()
				tc.disturb(g, before)
				time.Sleep(tc.wait)
				after := g.current()
				c.Assert(after, qt.Not(qt.Equals), -1)
				c.Assert(after != before, qt.Equals, tc.moves)
				if tc.higher {
					c.Assert(g.leases[after].Fence() > fence, qt.IsTrue)
				}
			})
		})
	}
}

// TestOutageEndsTheHold lets the holder's own check fail before its lease is
// taken, and someone hold it again after the outage.
func TestOutageEndsTheHold(t *testing.T) {
	for _, faults := range []standin.TableFaults{{Outage: true}, {Hang: true}, {LoseRequest: 1}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				g := newGroup(t, 1, 3)
				defer g.close()
				time.Sleep(takeoverTime)
				c.Assert(g.current(), qt.Not(qt.Equals), -1)
				g.table.SetFaults(faults)
				time.Sleep(testDuration)
				c.Assert(g.current(), qt.Equals, -1)
				time.Sleep(time.Minute)
				c.Assert(g.current(), qt.Equals, -1)
				g.table.SetFaults(standin.TableFaults{})
				time.Sleep(takeoverTime)
				c.Assert(g.current(), qt.Not(qt.Equals), -1)
			})
		})
	}
}

// TestTakeoverAnswerLost holds the lease once the takeover is read back.
func TestTakeoverAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGroup(t, 1, 1)
		defer g.close()
		g.table.SetFaults(standin.TableFaults{LoseAnswer: 1})
		time.Sleep(time.Millisecond)
		fence, ok := g.leases[0].Held()
		c.Assert(ok, qt.IsTrue)
		c.Assert(fence, qt.Equals, uint64(1))
	})
}

// TestSuccessorWaits gives no orders before those of the last holder have
// timed out.
func TestSuccessorWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGroup(t, 1, 2)
		defer g.close()
		time.Sleep(takeoverTime)
		first := g.current()
		g.gates[first].Kill()
		var lapsed time.Time
		for g.current() != 1-first {
			if _, ok := g.leases[first].MayOrder(); ok {
				lapsed = time.Now()
			}
			time.Sleep(time.Millisecond)
		}
		second := g.leases[1-first]
		for {
			if _, ok := second.MayOrder(); ok {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.Assert(time.Since(lapsed) > testOrderTime, qt.IsTrue)
	})
}

// TestRandomised disturbs a group at random; the observer checks every hold.
func TestRandomised(t *testing.T) {
	changes := 0
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, uint64(seed), 4)
			defer g.close()
			rng := rand.New(rand.NewPCG(uint64(seed), 3))
			for range 60 {
				time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				disturb(g, rng)
			}
			g.table.SetFaults(standin.TableFaults{})
			for _, gate := range g.gates {
				gate.Wake()
			}
			time.Sleep(2 * takeoverTime)
			if g.current() < 0 {
				t.Errorf("seed %d: nobody holds the lease after all faults", seed)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			changes += g.changes
		})
	}
	t.Logf("%d seeds: %d changes of holder", *seeds, changes)
}

func disturb(g *group, rng *rand.Rand) {
	gate := g.gates[rng.IntN(len(g.gates))]
	late := time.Duration(rng.IntN(8000)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		gate.Pause()
	case 2, 3:
		gate.Wake()
	case 4:
		g.table.SetFaults(standin.TableFaults{LoseAnswer: 0.5, Latency: late / 20})
	case 5:
		g.table.SetFaults(standin.TableFaults{LoseRequest: 0.5, Late: late})
	case 6:
		g.table.SetFaults(standin.TableFaults{Outage: true})
	case 7:
		g.table.SetFaults(standin.TableFaults{})
	}
}
