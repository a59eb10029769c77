package guard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func put(ctx context.Context, t infra.Table, p infra.Priority) error {
	write := infra.Write{Key: "k", Value: []byte("v"), Expect: infra.ExpectAny}
	_, err := t.Commit(infra.WithPriority(ctx, p), write)
	return err
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.TableFaults
		// first is the verdict of the first write. Every write after the
		// breaker opened has the verdict not_run.
		first verdict.Verdict
	}{
		{"outage", standin.TableFaults{Outage: true}, verdict.NotRun},
		{"hang", standin.TableFaults{Hang: true}, verdict.MayHaveRun},
		{"too slow", standin.TableFaults{Latency: time.Minute}, verdict.MayHaveRun},
		{"answers lost", standin.TableFaults{LoseAnswer: 1}, verdict.MayHaveRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := standin.NewTable(1)
				g := New(table, Options{})
				table.SetFaults(tc.faults)
				began := time.Now()
				err := put(t.Context(), g, infra.PriorityOnce)
				c.Assert(verdict.Of(err), qt.Equals, tc.first)
				c.Assert(time.Since(began) <= defaultTimeout, qt.IsTrue)
				for range defaultOpenAfter - 1 {
					_ = put(t.Context(), g, infra.PriorityOnce)
				}
				c.Assert(g.Open(), qt.IsTrue)

				began = time.Now()
				err = put(t.Context(), g, infra.PriorityOnce)
				c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
				c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeUnavailable)
				c.Assert(verdict.RetryAfterOf(err) > 0, qt.IsTrue)
				_, _, err = g.Get(t.Context(), "k")
				c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
				c.Assert(time.Since(began), qt.Equals, time.Duration(0))

				table.SetFaults(standin.TableFaults{})
				time.Sleep(2 * defaultOpenFor)
				c.Assert(put(t.Context(), g, infra.PriorityOnce), qt.IsNil)
				c.Assert(g.Open(), qt.IsFalse)
			})
		})
	}
}

// TestRefusalsOfTheTableDoNotOpen checks that the breaker stays closed after
// many conflicting writes and after many calls that their callers cancelled.
func TestRefusalsOfTheTableDoNotOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		g := New(table, Options{})
		for range 3 * defaultOpenAfter {
			_, err := g.Commit(t.Context(), infra.Write{Key: "none", Expect: 7})
			c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeConflict)
		}
		table.SetFaults(standin.TableFaults{Latency: 20 * time.Millisecond})
		for range 3 * defaultOpenAfter {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			c.Assert(put(ctx, g, infra.PriorityOnce), qt.IsNotNil)
			cancel()
		}
		c.Assert(g.Open(), qt.IsFalse)
	})
}

// TestBudget offers nearly three times the budget over all priorities. Only
// checkpoints may be refused.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const (
			perSecond = 100
			seconds   = 20
		)
		table := standin.NewTable(1)
		g := New(table, Options{WritesPerSecond: perSecond})
		var (
			all     sync.WaitGroup
			refused [priorities]atomic.Int64
			worst   [priorities]atomic.Int64
		)
		// Checkpoints alone are twice the budget, and calls that may not be
		// repeated half of it.
		offered := [priorities]int{infra.PriorityOnce: 50, infra.PriorityAccept: 30, infra.PriorityLease: 10, infra.PriorityCheckpoint: 200}
		for p, rate := range offered {
			for i := range rate * seconds {
				all.Go(func() {
					time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
					began := time.Now()
					if put(t.Context(), g, infra.Priority(p)) != nil {
						refused[p].Add(1)
						return
					}
					waited := int64(time.Since(began))
					for old := worst[p].Load(); waited > old && !worst[p].CompareAndSwap(old, waited); old = worst[p].Load() {
					}
				})
			}
		}
		all.Wait()
		for _, p := range []infra.Priority{infra.PriorityOnce, infra.PriorityAccept, infra.PriorityLease} {
			c.Assert(refused[p].Load(), qt.Equals, int64(0), qt.Commentf("priority %d", p))
		}
		c.Assert(time.Duration(worst[infra.PriorityOnce].Load()) <= 20*time.Millisecond, qt.IsTrue)
		c.Assert(refused[infra.PriorityCheckpoint].Load() > 0, qt.IsTrue)
		counts := g.Counts()
		c.Assert(counts.Writes <= perSecond*(seconds+2)+perSecond, qt.IsTrue)
		c.Assert(counts.Writes >= perSecond*(seconds-1), qt.IsTrue)
		c.Assert(int64(counts.Refused), qt.Equals, refused[infra.PriorityCheckpoint].Load())
		t.Logf("worst waits: %v, refused checkpoints: %d of %d", time.Duration(worst[infra.PriorityOnce].Load()), refused[infra.PriorityCheckpoint].Load(), 200*seconds)
	})
}

// TestUrgentDoesNotWaitBehindCheckpoints checks that writes of the highest
// priority are granted before checkpoints that were queued earlier.
func TestUrgentDoesNotWaitBehindCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := New(standin.NewTable(1), Options{WritesPerSecond: 10, MaxWait: time.Minute})
		var order []string
		var mu sync.Mutex
		var all sync.WaitGroup
		write := func(name string, p infra.Priority) {
			all.Go(func() {
				c.Check(put(t.Context(), g, p), qt.IsNil)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, name)
			})
		}
		for range 30 {
			write("checkpoint", infra.PriorityCheckpoint)
		}
		synctest.Wait()
		mu.Lock()
		done := len(order)
		mu.Unlock()
		for range 20 {
			write("once", infra.PriorityOnce)
		}
		all.Wait()
		for i := done; i < done+20; i++ {
			c.Assert(order[i], qt.Equals, "once")
		}
	})
}

// TestCancelledCallerLeavesTheQueue checks that a call whose context ends frees
// its place in the queue.
func TestCancelledCallerLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := New(standin.NewTable(1), Options{WritesPerSecond: 1, MaxWait: time.Minute, MaxWaiting: 1})
		c.Assert(put(t.Context(), g, infra.PriorityOnce), qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		c.Assert(verdict.Of(put(ctx, g, infra.PriorityOnce)), qt.Equals, verdict.NotRun)
		began := time.Now()
		c.Assert(put(t.Context(), g, infra.PriorityOnce), qt.IsNil)
		c.Assert(time.Since(began) < time.Second, qt.IsTrue)
		go func() { _ = put(t.Context(), g, infra.PriorityOnce) }()
		synctest.Wait()
		c.Assert(verdict.CodeOf(put(t.Context(), g, infra.PriorityOnce)), qt.Equals, verdict.CodeOverloaded)
		time.Sleep(time.Second)
	})
}

// TestEndOfOutageCausesNoBurst checks the write rate that nine entries with
// pending work cause at the table just after an outage.
func TestEndOfOutageCausesNoBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const (
			entries   = 9
			perSecond = 40
		)
		table := standin.NewTable(1)
		table.SetFaults(standin.TableFaults{Outage: true})
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		var guards []*Guard
		for range entries {
			g := New(table, Options{WritesPerSecond: perSecond})
			guards = append(guards, g)
			for range 50 {
				all.Go(func() {
					for ctx.Err() == nil {
						_ = put(ctx, g, infra.Priority(rand.N(priorities)))
						time.Sleep(rand.N(200 * time.Millisecond))
					}
				})
			}
		}
		time.Sleep(time.Minute)
		probes := uint64(0)
		for _, g := range guards {
			probes += g.Counts().Writes
		}
		c.Assert(probes < entries*(60*2+2*defaultOpenAfter), qt.IsTrue, qt.Commentf("%d probes", probes))

		table.SetFaults(standin.TableFaults{})
		var peak, before uint64
		closed := make(map[string]bool)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			now := table.Counts().Writes
			peak, before = max(peak, now-before), now
			open := 0
			for _, g := range guards {
				if g.Open() {
					open++
				}
			}
			closed[fmt.Sprint(open)] = true
		}
		cancel()
		all.Wait()
		// The budget of all entries together is 360 writes per second.
		c.Assert(peak <= entries*perSecond/10+2*entries, qt.IsTrue, qt.Commentf("peak %d in 100 ms", peak))
		c.Assert(len(closed) > 2, qt.IsTrue, qt.Commentf("breakers closed together: %v", closed))
		c.Assert(closed["0"], qt.IsTrue)
	})
}

// TestReserveForUrgentWrites checks that after checkpoints have used all of the
// budget that they may use, a burst of urgent writes still doesn't wait.
func TestReserveForUrgentWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const perSecond = 100
		g := New(standin.NewTable(1), Options{WritesPerSecond: perSecond})
		var all sync.WaitGroup
		for range 5 * perSecond {
			all.Go(func() { _ = put(t.Context(), g, infra.PriorityCheckpoint) })
		}
		synctest.Wait()
		began := time.Now()
		for range perSecond / 2 {
			c.Assert(put(t.Context(), g, infra.PriorityOnce), qt.IsNil)
		}
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		all.Wait()
	})
}
