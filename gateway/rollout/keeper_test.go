package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// testLease is held by one entry at a time.
type testLease struct {
	mu     sync.Mutex
	holder string
	fence  uint64
}

func (l *testLease) give(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder, l.fence = id, l.fence+1
}

type testHold struct {
	lease *testLease
	id    string
}

func (h testHold) Held() (uint64, bool) {
	h.lease.mu.Lock()
	defer h.lease.mu.Unlock()
	return h.lease.fence, h.lease.holder == h.id
}

func (h testHold) Do(ctx context.Context, effect func(context.Context, uint64) error) error {
	fence, held := h.Held()
	if !held {
		return errors.New("not held")
	}
	return effect(ctx, fence)
}

// testFleet is a few entries with gates, keepers and followers around one table.
type testFleet struct {
	t       *testing.T
	ctx     context.Context
	table   *standin.Table
	lease   *testLease
	set     *replica.Set
	entries map[string]*testEntry

	mu       sync.Mutex
	orders   []Order
	statuses []Status
	// statusFails makes writes of the status fail, ordersFail reads of the orders.
	statusFails, ordersFail bool
	loaded                  chan struct{}
}

type testEntry struct {
	gate   *Gate
	keeper *Keeper
	stop   context.CancelFunc
}

func newTestFleet(t *testing.T, entries int) *testFleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &testFleet{t: t, ctx: ctx, table: standin.NewTable(1), lease: &testLease{}, set: replica.NewSet(nolog.Or(nil)), entries: make(map[string]*testEntry), loaded: make(chan struct{})}
	close(f.loaded)
	t.Cleanup(func() { cancel(); synctest.Wait(); f.table.Close() })
	for i := range 4 {
		f.put(fmt.Sprint("old", i), "v1")
	}
	for i := range entries {
		f.start(fmt.Sprint("e", i))
	}
	f.lease.give("e0")
	time.Sleep(time.Second)
	return f
}

func (f *testFleet) put(id, version string) {
	f.set.Put(replica.Registration{ID: id, Service: "s", Version: version, Addr: "10.0.0.1:80", Slots: 4, Incarnation: 1})
}

func (f *testFleet) start(id string) *testEntry {
	ctx, stop := context.WithCancel(f.ctx)
	e := &testEntry{stop: stop}
	e.gate = NewGate(func(service string) []*replica.Replica { return f.set.Current().Ready[service] }, nolog.Or(nil))
	bounds := Bounds{0.1, 50, 5 * time.Second}
	live := func() []string {
		var out []string
		for i := range len(f.entries) {
			out = append(out, fmt.Sprint("e", i))
		}
		return out
	}
	e.keeper = NewKeeper(KeeperOptions{
		Lease: testHold{f.lease, id}, Table: f.table, Bounds: bounds, Gate: e.gate, Replicas: f.set, Live: live, Epoch: f.table.Epoch(),
		Count: func(string) {}, Log: nolog.Or(nil), WriteStatus: f.writeStatus,
	})
	follower := NewFollower(FollowerOptions{
		ID: id, Incarnation: "1", Gate: e.gate, Keeper: e.keeper, Replicas: f.set, Table: f.table, Bounds: bounds, RegistryLoaded: f.loaded,
		Orders: f.readOrders, Candidates: live, Members: func() int { return len(f.entries) }, Log: nolog.Or(nil),
		Call: func(_ context.Context, to string, r peer.RolloutReport) (peer.RolloutReply, error) {
			return f.entries[to].keeper.Serve(id, r), nil
		},
	})
	f.entries[id] = e
	go e.keeper.Run(ctx)
	go follower.Run(ctx)
	return e
}

func (f *testFleet) readOrders(context.Context) ([]Order, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ordersFail {
		return nil, errors.New("table is down")
	}
	return f.orders, nil
}

func (f *testFleet) writeStatus(_ context.Context, s Status, key string, version uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if row, _, err := f.table.Get(context.Background(), key); err != nil || row.Version != version || f.statusFails {
		return errors.New("not written")
	}
	f.statuses = append(f.statuses, s)
	return nil
}

func (f *testFleet) order(to string) {
	f.mu.Lock()
	f.orders = []Order{{Service: "s", To: to, Duration: 12 * time.Second}}
	f.mu.Unlock()
	for _, e := range f.entries {
		e.gate.SetOrders(time.Now(), f.orders)
	}
}

// run sends requests to each entry for a time. The share of those at the new version
// that fail is given.
func (f *testFleet) run(d time.Duration, to string, fails float64) (sent map[string]int) {
	sent = make(map[string]int)
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, e := range f.entries {
			e.gate.Enter("s")
			p := e.gate.Pass(time.Now(), Attempt{Service: "s", Route: "r"})
			filter := p.Filter()
			for i := range f.set.Current().Ready["s"] {
				ready := f.set.Current().Ready["s"]
				r := ready[(i+n)%len(ready)]
				if filter != nil && !filter(r) {
					continue
				}
				p.Begin(r)
				result := Answered
				if r.Version == to && float64(n%100) < 100*fails {
					result = Failed
				}
				sent[r.Version]++
				p.End(time.Now(), r, Answer{Result: result, First: 0.1})
				break
			}
			n++
		}
	}
	return sent
}

func (f *testFleet) row() Row {
	row, _, err := f.table.Get(context.Background(), RowKey("s"))
	qt.Assert(f.t, err, qt.IsNil)
	var r Row
	_ = json.Unmarshal(row.Value, &r)
	return r
}

func (f *testFleet) lastStatus() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statuses[len(f.statuses)-1]
}

func play3(t *testing.T, f func(t *testing.T, fleet *testFleet)) {
	synctest.Test(t, func(t *testing.T) { f(t, newTestFleet(t, 3)) })
}

// A good version isn't completed in time, or with the old version in use.
func TestGoodVersionIsCompleted(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		for i := range 4 {
			f.put(fmt.Sprint("new", i), "v2")
		}
		f.run(11*time.Second, "v2", 0)
		qt.Assert(t, f.lastStatus(), qt.Equals, Status{"s", "v2", Completed})
		qt.Assert(t, f.statuses[0].Stage, qt.Equals, Trial)
		qt.Assert(t, f.run(time.Second, "v2", 0)["v1"], qt.Equals, 0)
	})
}

// A verdict is lost if its holder stops before or after it is written, if the table is
// down or loses answers, or is restored from an older copy.
func TestVerdictOutlivesItsHolder(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *testFleet)
	}{
		{"status not written", func(f *testFleet) {
			f.statusFails = true
			f.run(4*time.Second, "v2", 1)
			f.statusFails = false
		}},
		{"table down at the verdict", func(f *testFleet) {
			f.run(1200*time.Millisecond, "v2", 0)
			f.table.SetFaults(standin.TableFaults{Outage: true})
			f.run(4*time.Second, "v2", 1)
			sent := f.run(time.Second, "v2", 1)["v2"]
			qt.Check(f.t, sent, qt.Equals, 0, qt.Commentf("closed without the table"))
			f.table.SetFaults(standin.TableFaults{})
		}},
		{"answers lost", func(f *testFleet) {
			f.table.SetFaults(standin.TableFaults{LoseAnswer: 0.7})
			f.run(5*time.Second, "v2", 1)
			f.table.SetFaults(standin.TableFaults{})
			f.run(time.Second, "v2", 1)
			qt.Check(f.t, f.lastStatus().Stage, qt.Equals, RolledBack, qt.Commentf("by the same holder"))
		}},
		{"table restored", func(f *testFleet) {
			f.run(600*time.Millisecond, "v2", 0)
			c := f.table.Copy()
			f.run(4*time.Second, "v2", 1)
			f.table.Restore(c)
		}},
		{"all entries killed", func(f *testFleet) {
			f.run(4*time.Second, "v2", 1)
			for id, e := range f.entries {
				e.stop()
				f.start(id)
			}
		}},
		{"killed before the verdict", func(f *testFleet) {
			f.run(time.Second, "v2", 1)
			f.entries["e0"].stop()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			play3(t, func(t *testing.T, f *testFleet) {
				f.order("v2")
				for i := range 4 {
					f.put(fmt.Sprint("new", i), "v2")
				}
				c.fault(f)
				f.lease.give("e1")
				f.run(6*time.Second, "v2", 1)
				qt.Assert(t, f.lastStatus(), qt.Equals, Status{"s", "v2", RolledBack})
				qt.Assert(t, f.row().Stage, qt.Equals, RolledBack)
				qt.Assert(t, f.run(2*time.Second, "v2", 1)["v2"], qt.Equals, 0)
			})
		})
	}
}

// A holder doesn't write again what a table that comes back from a copy has lost.
func TestHolderWritesAgainAfterARestore(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		f.put("new", "v2")
		f.run(600*time.Millisecond, "v2", 0)
		c := f.table.Copy()
		f.run(4*time.Second, "v2", 1)
		qt.Assert(t, f.lastStatus().Stage, qt.Equals, RolledBack)
		n := len(f.statuses)
		f.table.Restore(c)
		time.Sleep(time.Second)
		qt.Check(t, f.row().Stage, qt.Equals, RolledBack)
		qt.Check(t, f.statuses[n:], qt.DeepEquals, []Status{{"s", "v2", RolledBack}})
	})
}

// A closed version is opened by the same order, or an order back to the old version
// is tried like a new one.
func TestLaterOrders(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		f.put("new", "v2")
		f.run(5*time.Second, "v2", 1)
		qt.Assert(t, f.lastStatus(), qt.Equals, Status{"s", "v2", RolledBack})
		f.order("v1")
		qt.Check(t, f.run(5*time.Second, "v2", 1)["v2"], qt.Equals, 0)
		qt.Check(t, f.lastStatus(), qt.Equals, Status{"s", "v1", Completed})
		f.order("v2")
		qt.Check(t, f.run(5*time.Second, "v2", 1)["v2"], qt.Equals, 0)
		qt.Check(t, f.lastStatus(), qt.Equals, Status{"s", "v2", RolledBack})
		f.put("other", "v9")
		qt.Check(t, f.run(time.Second, "v2", 1)["v9"], qt.Equals, 0, qt.Commentf("no order for it"))
	})
}

// An order that is withdrawn midway stays in force, or can't be given again.
func TestWithdrawnOrder(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		f.put("new", "v2")
		f.run(2*time.Second, "v2", 0)
		f.orders = nil
		for _, e := range f.entries {
			e.gate.DropOrder("s")
		}
		qt.Check(t, f.run(2*time.Second, "v2", 0)["v2"], qt.Equals, 0)
		qt.Check(t, f.row().Stage, qt.Equals, Trial, qt.Commentf("the table may come back from a copy"))
		f.run(2*time.Second, "v2", 0)
		qt.Check(t, f.row().Reason, qt.Equals, Withdrawn)
		f.order("v2")
		for i := range 3 {
			f.put(fmt.Sprint("new", i), "v2")
		}
		f.run(12*time.Second, "v2", 0)
		qt.Check(t, f.lastStatus(), qt.Equals, Status{"s", "v2", Completed})
	})
}

// An order is deleted while no entry holds the lease. An entry that starts later doesn't
// know of it, and uses the version as one that was never ordered.
func TestOrderWithdrawnWithoutAHolder(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.lease.give("nobody")
		f.order("v2")
		f.orders = nil
		for _, e := range f.entries {
			e.gate.DropOrder("s")
		}
		f.put("new", "v2")
		qt.Check(t, f.run(time.Second, "v2", 0)["v2"], qt.Equals, 0)
		f.lease.give("e1")
		time.Sleep(200 * time.Millisecond)
		f.entries["e0"].stop()
		f.start("e0")
		time.Sleep(200 * time.Millisecond)
		qt.Check(t, f.run(5*time.Second, "v2", 0)["v2"], qt.Equals, 0)
		qt.Check(t, f.row().Reason, qt.Equals, Withdrawn)
		qt.Check(t, f.lastStatus(), qt.Equals, Status{"s", "v2", RolledBack})
	})
}

// A new holder that has started between the deletion of an order and the row of it leaves
// its status at "running".
func TestHolderWithoutTheOrderReadsTheRows(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.lease.give("nobody")
		f.order("v2")
		f.orders = nil
		for _, e := range f.entries {
			e.gate.DropOrder("s")
		}
		f.entries["e1"].stop()
		f.start("e1")
		time.Sleep(200 * time.Millisecond)
		f.lease.give("e0")
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, f.row().Stage, qt.Equals, Trial)
		f.lease.give("e1")
		time.Sleep(5 * time.Second)
		qt.Check(t, f.row().Reason, qt.Equals, Withdrawn)
		qt.Check(t, f.lastStatus(), qt.Equals, Status{"s", "v2", RolledBack})
	})
}

// Without an order, replicas with another version get requests at once, also if the
// old ones are gone. A version whose orders can't be read gets none.
func TestReleaseWithoutOrder(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.put("new", "v2")
		time.Sleep(150 * time.Millisecond)
		qt.Check(t, f.run(time.Second, "", 0)["v2"] > 20, qt.IsTrue)
		for i := range 4 {
			f.set.Remove(fmt.Sprint("old", i))
		}
		qt.Check(t, f.run(time.Second, "", 0)["v2"], qt.Equals, 300)
		f.ordersFail = true
		f.put("newer", "v3")
		qt.Check(t, f.run(time.Second, "", 0)["v3"], qt.Equals, 0)
		f.ordersFail = false
		f.orders = []Order{{Service: "s", To: "v3", Duration: 12 * time.Second}} // known from the read only
		qt.Check(t, f.run(time.Second, "", 0)["v3"] <= 40, qt.IsTrue)
		qt.Check(t, f.entries["e0"].gate.Cleared("s"), qt.DeepEquals, []string{"v1", "v2"})
		qt.Check(t, len(f.statuses), qt.Equals, 1)
	})
}

// An order for another version midway leaves the version on trial in use or refuses it for
// good, or an order with another duration keeps the first deadline.
func TestOrderThatChangesMidway(t *testing.T) {
	play3(t, func(t *testing.T, f *testFleet) {
		f.order("v2")
		for i := range 4 {
			f.put(fmt.Sprint("new", i), "v2")
			f.put(fmt.Sprint("newer", i), "v3")
		}
		qt.Check(t, f.run(3*time.Second, "v2", 0)["v3"], qt.Equals, 0)
		f.order("v3")
		first := f.run(2*time.Second, "v3", 0) // the trial of v2 ends
		sent := f.run(2*time.Second, "v3", 0)
		qt.Check(t, sent["v2"], qt.Equals, 0)
		qt.Check(t, first["v3"]+sent["v3"] > 0, qt.IsTrue)
		row := f.row()
		qt.Check(t, row.Allowed, qt.DeepEquals, []string{"v1"})
		qt.Check(t, row.Closed, qt.HasLen, 0)
		f.orders = []Order{{Service: "s", To: "v3", Duration: time.Minute}}
		for _, e := range f.entries {
			e.gate.SetOrders(time.Now(), f.orders)
		}
		f.run(9*time.Second, "v3", 0)
		qt.Check(t, f.row().Stage, qt.Equals, Trial)
		qt.Check(t, f.row().DurationMS, qt.Equals, time.Minute.Milliseconds())
	})
}
