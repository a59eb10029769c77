package member_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

func newRegistry(table infra.Table, id, incarnation string) *member.Registry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return member.New(table, member.Options{
		ID:            id,
		Incarnation:   incarnation,
		Addr:          "10.0.0.1:7000",
		FailureDomain: "domain-0",
		TableEpoch:    tableEpoch(table),
		Log:           logrus.NewEntry(logger),
	})
}

// tableEpoch returns the epoch of a stand-in table.
func tableEpoch(table infra.Table) *infra.Epoch {
	if t, ok := table.(*standin.Table); ok {
		return t.Epoch()
	}
	return nil
}

// run starts a registry and returns a function that stops it and returns the
// error of Run.
func run(r *member.Registry) func() error {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- r.Run(ctx) }()
	return func() error {
		cancel()
		return <-result
	}
}

func TestFleetRatesStayBounded(t *testing.T) {
	c := qt.New(t)
	for members := 1; members <= 3000; members++ {
		n := float64(members)
		c.Assert(n/member.HeartbeatPeriod(members).Seconds() <= member.MaxHeartbeatsPerSecond+1e-6, qt.IsTrue)
		c.Assert(n*n/member.ScanPeriod(members).Seconds() <= member.MaxRowsPerSecond+1e-6, qt.IsTrue)
		c.Assert(n/member.UpdatePeriod(members).Seconds() <= member.MaxUpdatesPerSecond+1e-6, qt.IsTrue)
		c.Assert(member.FailureTimeout(members) > 3*member.HeartbeatPeriod(members), qt.IsTrue)
	}
}

func TestTableLoadOfManyMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		const members, seconds = 60, 120
		var stops []func() error
		for i := range members {
			stops = append(stops, run(newRegistry(table, fmt.Sprintf("entry-%02d", i), "1")))
		}
		time.Sleep(30 * time.Second)
		before := table.Counts()
		time.Sleep(seconds * time.Second)
		after := table.Counts()
		for _, stop := range stops {
			c.Assert(stop(), qt.IsNil)
		}
		writes := float64(after.Writes-before.Writes) / seconds
		rows := float64(after.Reads-before.Reads) * members / seconds
		t.Logf("%.1f writes/s, %.1f rows read/s", writes, rows)
		c.Assert(writes > 0 && writes <= 1.1*member.MaxHeartbeatsPerSecond, qt.IsTrue)
		c.Assert(rows > 0 && rows <= 1.1*member.MaxRowsPerSecond, qt.IsTrue)
	})
}

func TestHeartbeatsSurviveFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.TableFaults
	}{
		{"answers lost", standin.TableFaults{LoseAnswer: 0.7}},
		{"requests lost", standin.TableFaults{LoseRequest: 0.7}},
		{"requests late", standin.TableFaults{LoseRequest: 0.7, LateCommitDelay: 3 * time.Second}},
		{"slow", standin.TableFaults{Latency: 900 * time.Millisecond}},
		{"outage", standin.TableFaults{Outage: true}},
		{"hang", standin.TableFaults{Hang: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := standin.NewTable(3)
				a, b := newRegistry(table, "a", "1"), newRegistry(table, "b", "1")
				stopA, stopB := run(a), run(b)
				time.Sleep(10 * time.Second)
				table.SetFaults(tc.faults)
				time.Sleep(2 * time.Minute)
				table.SetFaults(standin.TableFaults{})
				time.Sleep(15 * time.Second)
				c.Assert(a.Live(), qt.DeepEquals, []string{"a", "b"})
				c.Assert(b.Live(), qt.DeepEquals, []string{"a", "b"})
				c.Assert(stopA(), qt.IsNil)
				c.Assert(stopB(), qt.IsNil)
				table.Close()
			})
		})
	}
}

func TestReplacedMemberStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		old := newRegistry(table, "a", "1")
		stopOld := run(old)
		time.Sleep(5 * time.Second)
		next := newRegistry(table, "a", "2")
		stopNext := run(next)
		time.Sleep(10 * time.Second)
		select {
		case <-old.Replaced():
		default:
			c.Fatal("the old incarnation was not replaced")
		}
		c.Assert(errors.Is(stopOld(), member.ErrReplaced), qt.IsTrue)
		c.Assert(old.Alive("a", "1"), qt.IsFalse)
		c.Assert(next.Alive("a", "2"), qt.IsTrue)
		c.Assert(stopNext(), qt.IsNil)
	})
}

func TestStaleRowFailsAndIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		stopFailed := run(newRegistry(table, "dead", "1"))
		time.Sleep(3 * time.Second)
		c.Assert(stopFailed(), qt.IsNil)

		r := newRegistry(table, "a", "1")
		stop := run(r)
		time.Sleep(time.Second)
		c.Assert(r.Alive("dead", "1"), qt.IsTrue, qt.Commentf("a row seen for the first time may be fresh"))
		time.Sleep(member.FailureTimeout(2) + time.Second)
		c.Assert(r.Alive("dead", "1"), qt.IsFalse)
		time.Sleep(12 * member.FailureTimeout(2))
		_, ok, err := table.Get(context.Background(), "member/dead")
		c.Assert(err, qt.IsNil)
		c.Assert(ok, qt.IsFalse, qt.Commentf("stale row was not deleted"))
		c.Assert(stop(), qt.IsNil)
	})
}

// TestLateScanDoesNotRevive guards against a failed member that becomes live
// again: its last heartbeat row is read only minutes later, by the next scan,
// and must not refute the suspicion or count as a new contact.
func TestLateScanDoesNotRevive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		b := newRegistry(table, "b", "1")
		stopB := run(b)
		time.Sleep(time.Second)
		a := newRegistry(table, "a", "1")
		// With 400 members the scans are minutes apart.
		for i := range 400 {
			a.Merge(member.Member{ID: fmt.Sprint("other-", i), Incarnation: "1", Epoch: 1}, 0)
		}
		stopA := run(a)
		time.Sleep(5 * time.Second)
		c.Assert(a.Alive("b", "1"), qt.IsTrue)
		time.Sleep(5 * time.Second)
		c.Assert(stopB(), qt.IsNil)
		a.Suspect("b", "1")
		time.Sleep(11 * time.Second)
		before := table.Counts().Reads
		for range 900 {
			c.Assert(a.Alive("b", "1"), qt.IsFalse)
			time.Sleep(time.Second)
		}
		c.Assert(table.Counts().Reads > before, qt.IsTrue, qt.Commentf("no scan took place"))
		c.Assert(stopA(), qt.IsNil)
	})
}

func TestMergeOrdersIncarnations(t *testing.T) {
	first := member.Member{ID: "b", Incarnation: "2", Epoch: 20, State: member.Live}
	cases := []struct {
		name   string
		second member.Member
		delay  time.Duration
		want   bool
	}{
		{"same incarnation", first, 0, true},
		{"later incarnation", member.Member{ID: "b", Incarnation: "3", Epoch: 30}, 0, true},
		{"earlier incarnation", member.Member{ID: "b", Incarnation: "1", Epoch: 10}, 0, false},
		{"earlier incarnation of a failed member", member.Member{ID: "b", Incarnation: "1", Epoch: 10}, time.Minute, false},
		{"without epoch while alive", member.Member{ID: "b", Incarnation: "3"}, 0, false},
		{"without epoch after it has failed", member.Member{ID: "b", Incarnation: "3"}, time.Minute, true},
		{"itself", member.Member{ID: "a", Incarnation: "9", Epoch: 99}, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := newRegistry(standin.NewTable(1), "a", "1")
				c.Assert(r.Merge(first, 0), qt.IsTrue)
				time.Sleep(tc.delay)
				c.Assert(r.Merge(tc.second, 0), qt.Equals, tc.want)
				c.Assert(r.Alive("a", "1"), qt.IsTrue)
			})
		})
	}
}

func TestSuspicionAndRefutation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newRegistry(standin.NewTable(1), "a", "1")
		b := member.Member{ID: "b", Incarnation: "1", Epoch: 1, State: member.Live}
		r.Merge(b, 0)
		r.Suspect("b", "other incarnation")
		c.Assert(r.Live(), qt.DeepEquals, []string{"a", "b"})
		r.Suspect("b", "1")
		c.Assert(r.Live(), qt.DeepEquals, []string{"a"})
		c.Assert(r.Alive("b", "1"), qt.IsTrue, qt.Commentf("a suspect member has not failed yet"))
		time.Sleep(time.Second)
		r.Merge(b, 30*time.Second)
		c.Assert(r.Live(), qt.DeepEquals, []string{"a"}, qt.Commentf("an old contact must not refute a suspicion"))
		r.RecordContact("b", "1")
		c.Assert(r.Live(), qt.DeepEquals, []string{"a", "b"})
		r.Suspect("b", "1")
		time.Sleep(11 * time.Second)
		c.Assert(r.Alive("b", "1"), qt.IsFalse)
	})
}

func TestLeavingIsFinal(t *testing.T) {
	c := qt.New(t)
	r := newRegistry(standin.NewTable(1), "a", "1")
	b := member.Member{ID: "b", Incarnation: "1", Epoch: 1, State: member.Leaving}
	r.Merge(b, 0)
	b.State = member.Live
	r.Merge(b, 0)
	m, ok := r.Lookup("b")
	c.Assert(ok, qt.IsTrue)
	c.Assert(m.State, qt.Equals, member.Leaving)
	c.Assert(r.Live(), qt.DeepEquals, []string{"a"})
}

// TestMembershipSettlesWithoutTheTable guards against an entry that waits for
// the table for ever: it contends for leases and accepts unknown peers only once
// the membership has settled.
func TestMembershipSettlesWithoutTheTable(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			table := standin.NewTable(1)
			r := newRegistry(table, "a", "1")
			stop := run(r)
			time.Sleep(500 * time.Millisecond)
			c.Assert(r.IsScanned(), qt.IsTrue)
			c.Assert(r.IsSettled(), qt.IsFalse)
			table.SetFaults(standin.TableFaults{Outage: lost})
			time.Sleep(2 * time.Second)
			c.Assert(r.IsSettled(), qt.IsTrue)
			c.Assert(stop(), qt.IsNil)
			table.SetFaults(standin.TableFaults{})

			// A later incarnation finds its own row, so the others' as well.
			next := newRegistry(table, "a", "2")
			stop = run(next)
			time.Sleep(500 * time.Millisecond)
			c.Assert(next.IsSettled(), qt.IsTrue)
			c.Assert(stop(), qt.IsNil)
		})
	}
}

// Guards against an entry that reaches nobody while the table is unavailable, and
// takes the limits of the whole deployment for its own.
func TestUnreachableMembersShareLimitsWhileTheTableIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		var others []func() error
		for _, id := range []string{"b", "c", "d"} {
			others = append(others, run(newRegistry(table, id, "1")))
		}
		r := newRegistry(table, "a", "1")
		defer run(r)()
		time.Sleep(3 * time.Second)
		c.Assert(r.SharingCount(), qt.Equals, 4)
		table.SetFaults(standin.TableFaults{Outage: true})
		for _, stop := range others {
			c.Assert(stop(), qt.IsNil)
		}
		time.Sleep(2 * r.FailureTimeout())
		c.Assert(r.Live(), qt.HasLen, 1)
		// They may share limits with each other, and the table can't tell.
		c.Assert(r.SharingCount(), qt.Equals, 4)
		table.SetFaults(standin.TableFaults{})
		time.Sleep(2 * r.FailureTimeout())
		c.Assert(r.SharingCount(), qt.Equals, 1)
	})
}

// Guards against a return of the table that nobody learns of, and against taking
// one lost answer for an outage.
func TestReturnOfTheTableIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		r := newRegistry(table, "a", "1")
		returns := 0
		r.OnTableBack(func() { returns++ })
		defer run(r)()
		time.Sleep(5 * time.Second)
		c.Assert(returns, qt.Equals, 0)
		table.SetFaults(standin.TableFaults{Outage: true})
		time.Sleep(10 * time.Second)
		table.SetFaults(standin.TableFaults{})
		time.Sleep(10 * time.Second)
		c.Assert(returns, qt.Equals, 1)
	})
}
