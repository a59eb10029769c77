package template_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// inFleet runs a test in virtual time with a fleet, which it stops at the end.
func inFleet(t *testing.T, body func(c *qt.C, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		body(qt.New(t), f)
	})
}

func TestApprovedVersionIsInForceEverywhereWithinTheBound(t *testing.T) {
	// Entries without faults, entries whose calls to the table hang or are
	// refused, and an entry whose calls are slow.
	all := []faults{{}, {}, {cut: true}, {down: true}, {latency: 300 * time.Millisecond}, {}}
	tests := []struct {
		name      string
		sendState bool
		faults    []faults
	}{
		{"by state update and poll", true, all[:2]},
		{"by poll alone", false, []faults{{}, {}, {latency: 300 * time.Millisecond}}},
		{"some without the table", true, all},
		{"only one reaches the table", true, []faults{{}, {cut: true}, {cut: true}, {cut: true}, {down: true}, {down: true}, {cut: true}}},
	}
	for _, test := range tests {
		for offset := range 8 {
			t.Run(fmt.Sprintf("%s, %d ms after a tick", test.name, offset*125), func(t *testing.T) {
				inFleet(t, func(c *qt.C, f *fleet) {
					f.sendState = test.sendState
					f.publish(0, 1)
					for i, fa := range test.faults {
						f.start(fmt.Sprintf("entry-%d", i), fa)
					}
					time.Sleep(10*time.Second + time.Duration(offset)*125*time.Millisecond)
					for version := uint64(1); version < 4; version++ {
						f.publish(version, float64(version)+1)
						time.Sleep(template.ConvergenceBound)
						for id, got := range f.versions() {
							c.Check(got, qt.Equals, version+1, qt.Commentf("%s", id))
						}
					}
				})
			})
		}
	}
}

func TestDraftIsNotInForce(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.publish(0, 1)
		e := f.start("a", faults{})
		_, err := template.NewStore(f.table, template.StoreOptions{}).Edit(context.Background(), 1, "ana", small(2))
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Assert(e.w.Version(), qt.Equals, uint64(1))
	})
}

func TestEntriesAreNotReadyBeforeFirstVersion(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		a, b := f.start("a", faults{}), f.start("b", faults{down: true})
		time.Sleep(10 * time.Second)
		for _, e := range []*entry{a, b} {
			c.Check(e.w.Ready(), qt.IsFalse)
			c.Check(e.w.Fresh(), qt.IsFalse)
			c.Check(e.w.Current(), qt.IsNil)
			c.Check(e.w.Index(), qt.IsNil)
		}
	})
}

// A new process must not start with the version of the first peer that it
// receives a message from.
func TestRestartDuringTableOutageUsesHighestPeerVersion(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.publish(0, 1)
		// The stale entry is isolated when version 2 is approved.
		f.start("stale", faults{})
		f.start("a", faults{})
		f.start("b", faults{})
		time.Sleep(2 * time.Second)
		f.isolate("stale", true)
		f.publish(1, 2)
		time.Sleep(template.ConvergenceBound)
		f.stop("b")
		for _, e := range f.entries {
			e.link.set(faults{down: true})
		}
		// At first b reaches only the stale entry, later also a.
		f.isolate("a", true)
		f.isolate("stale", false)
		f.entries["stale"].link.set(faults{down: true})
		b := f.start("b", faults{down: true})
		time.Sleep(1500 * time.Millisecond)
		c.Assert(b.w.Ready(), qt.IsFalse)
		c.Assert(b.w.Current(), qt.IsNil)
		f.isolate("a", false)
		f.entries["a"].link.set(faults{down: true})
		time.Sleep(template.ConvergenceBound)
		c.Assert(b.w.Ready(), qt.IsTrue)
		c.Assert(b.w.Version(), qt.Equals, uint64(2))
		c.Assert(f.versions()["stale"], qt.Equals, uint64(2))
	})
}

func TestStalePeerNeverLowersAVersion(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.sendState = false
		f.publish(0, 1)
		f.publish(1, 2)
		e := f.start("a", faults{})
		time.Sleep(time.Second)
		for range 20 {
			e.w.Observe(1, "stale")
			time.Sleep(100 * time.Millisecond)
			c.Assert(e.w.Version(), qt.Equals, uint64(2))
		}
	})
}

func TestRestoredOlderTableNeverLowersAVersion(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.publish(0, 1)
		f.publish(1, 2)
		e := f.start("a", faults{})
		time.Sleep(2 * time.Second)
		restored := newFleet(t)
		restored.publish(0, 1)
		e.link.moveTo(restored.table)
		time.Sleep(10 * time.Second)
		c.Assert(e.w.Version(), qt.Equals, uint64(2))
	})
}

func TestPartitionedEntryIsNotFreshUntilItRejoins(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.publish(0, 1)
		a := f.start("a", faults{})
		f.start("b", faults{})
		f.start("c", faults{})
		time.Sleep(5 * time.Second)
		c.Assert(a.w.Fresh(), qt.IsTrue)
		f.isolate("a", true)
		f.publish(1, 2)
		time.Sleep(template.ConvergenceBound + time.Millisecond)
		c.Assert(a.w.Fresh(), qt.IsFalse)
		// Requests in progress continue with their version.
		c.Assert(a.w.Current().Version, qt.Equals, uint64(1))
		c.Assert(f.entries["b"].w.Fresh(), qt.IsTrue)
		time.Sleep(time.Minute)
		c.Assert(a.w.Fresh(), qt.IsFalse)
		f.isolate("a", false)
		rejoined := time.Now()
		for !a.w.Fresh() {
			time.Sleep(10 * time.Millisecond)
			c.Assert(time.Since(rejoined) <= template.ConvergenceBound, qt.IsTrue)
		}
		time.Sleep(template.ConvergenceBound)
		c.Assert(a.w.Version(), qt.Equals, uint64(2))
		c.Assert(a.w.Fresh(), qt.IsTrue)
	})
}

func TestTableOutageAloneLeavesEntriesFresh(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.publish(0, 1)
		a, b := f.start("a", faults{}), f.start("b", faults{})
		time.Sleep(5 * time.Second)
		a.link.set(faults{down: true})
		b.link.set(faults{cut: true})
		for range 60 {
			time.Sleep(time.Second)
			c.Assert(a.w.Fresh() && b.w.Fresh(), qt.IsTrue)
		}
	})
}

// Guards against counting the time that passes after a single state update as
// contact with peers. Found by seed 1597 of TestRandomised.
func TestSinglePeerMessageDoesNotMakeEntryFresh(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.sendState = false
		f.publish(0, 1)
		a := f.start("a", faults{})
		time.Sleep(5 * time.Second)
		a.link.set(faults{down: true})
		time.Sleep(10 * time.Second)
		c.Assert(a.w.Fresh(), qt.IsFalse)
		a.w.Observe(1, "away as well")
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(a.w.Fresh(), qt.IsFalse)
		}
	})
}

// An answer of the table is only as recent as its request, even if the process
// was paused in between.
func TestDelayedTableReadDoesNotMakeTheEntryFresh(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.publish(0, 1)
		e := f.start("a", faults{})
		time.Sleep(5*time.Second + 500*time.Millisecond)
		// The next answer arrives long after its request, as for a process that
		// was paused in between.
		store := template.NewStore(e.link, template.StoreOptions{CallTimeout: time.Minute})
		w := template.NewWatcher(store, "agencia", template.WatcherOptions{})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		e.link.set(faults{latency: template.ConvergenceBound + time.Second})
		go func() { done <- w.Run(ctx) }()
		time.Sleep(11 * time.Second)
		c.Check(w.Ready(), qt.IsTrue)
		c.Check(w.Fresh(), qt.IsFalse)
		cancel()
		c.Assert(<-done, qt.IsNil)
	})
}

// An entry that cannot fetch a higher version that a peer reported must not
// accept new work with the old one.
func TestEntryThatCannotFetchAHigherVersionIsNotFresh(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.sendState = false
		f.publish(0, 1)
		e := f.start("a", faults{})
		time.Sleep(5 * time.Second)
		e.link.set(faults{down: true})
		for range 4 {
			e.w.Observe(2, "unreachable")
			time.Sleep(time.Second)
		}
		time.Sleep(time.Millisecond)
		c.Assert(e.w.Fresh(), qt.IsFalse)
		c.Assert(e.w.Version(), qt.Equals, uint64(1))
		f.publish(1, 2)
		e.link.set(faults{})
		time.Sleep(template.ConvergenceBound)
		c.Assert(e.w.Fresh(), qt.IsTrue)
		c.Assert(e.w.Version(), qt.Equals, uint64(2))
	})
}

func TestOnChangeReceivesEachVersionOnceInOrder(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		e := f.start("a", faults{})
		f.start("b", faults{})
		var (
			mu   sync.Mutex
			seen []uint64
		)
		e.w.OnChange(func(t *template.Template) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, t.Version)
		})
		for version := range uint64(5) {
			f.publish(version, 1)
			time.Sleep(template.ConvergenceBound)
		}
		mu.Lock()
		defer mu.Unlock()
		c.Assert(slices.Equal(seen, []uint64{1, 2, 3, 4, 5}), qt.IsTrue, qt.Commentf("%v", seen))
		var late []uint64
		e.w.OnChange(func(t *template.Template) { late = append(late, t.Version) })
		c.Assert(late, qt.DeepEquals, []uint64{5})
	})
}

func TestRequestKeepsTheVersionItBeganWith(t *testing.T) {
	inFleet(t, func(c *qt.C, f *fleet) {
		f.publish(0, 1)
		e := f.start("a", faults{})
		time.Sleep(2 * time.Second)
		held := e.w.Index()
		f.publish(1, 2)
		time.Sleep(template.ConvergenceBound)
		customer, ok := held.CustomerByKey(kitchenKey)
		c.Assert(ok, qt.IsTrue)
		c.Assert(customer.Share, qt.Equals, 1.0)
		c.Assert(held.Template.Version, qt.Equals, uint64(1))
		customer, ok = e.w.Index().CustomerByKey(kitchenKey)
		c.Assert(ok, qt.IsTrue)
		c.Assert(customer.Share, qt.Equals, 2.0)
		_, ok = e.w.Index().CustomerByKey(marketKey)
		c.Assert(ok, qt.IsFalse)
	})
}
