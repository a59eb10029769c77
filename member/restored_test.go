package member_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// Guards against peers that take the incarnation of an entry which starts after a
// restore for an earlier one.
func TestIncarnationThatStartsAfterARestoreIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable(1)
		b := newRegistry(table, "b", "1")
		stopB := run(b)
		time.Sleep(5 * time.Second)
		taken := table.Copy()
		time.Sleep(5 * time.Second)
		stopFirst := run(newRegistry(table, "a", "1"))
		time.Sleep(5 * time.Second)
		qt.Assert(t, stopFirst(), qt.IsNil)
		table.Restore(taken)
		second := newRegistry(table, "a", "2")
		stopSecond := run(second)
		time.Sleep(10 * time.Second)
		qt.Check(t, b.Alive("a", "2"), qt.IsTrue)
		qt.Check(t, second.Alive("b", "1"), qt.IsTrue)
		qt.Assert(t, stopSecond(), qt.IsNil)
		qt.Assert(t, stopB(), qt.IsNil)
	})
}

// Guards against the row of an earlier incarnation that a restore brings back: it
// replaced the later one at its peers, and made it stop.
func TestRestoredRowOfAnEarlierIncarnationReplacesNone(t *testing.T) {
	for name, copyAfter := range map[string]time.Duration{"first row": 300 * time.Millisecond, "later row": 7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable(1)
				b := newRegistry(table, "b", "1")
				stopB := run(b)
				time.Sleep(5 * time.Second)
				stopFirst := run(newRegistry(table, "a", "1"))
				time.Sleep(copyAfter)
				taken := table.Copy()
				time.Sleep(4 * time.Second)
				qt.Assert(t, stopFirst(), qt.IsNil)
				second := newRegistry(table, "a", "2")
				stopSecond := run(second)
				time.Sleep(4 * time.Second)
				table.Restore(taken)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					qt.Assert(t, b.Alive("a", "2"), qt.IsTrue)
				}
				read, _, err := b.Read(context.Background(), "a")
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, read.Incarnation, qt.Equals, "2")
				qt.Assert(t, stopSecond(), qt.IsNil)
				qt.Assert(t, stopB(), qt.IsNil)
			})
		})
	}
}

// Guards against the row of a failed entry that a restore brings back and that
// counts as a sign of life.
func TestRestoredRowIsNoSignOfLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable(1)
		b := newRegistry(table, "b", "1")
		stopB := run(b)
		stopA := run(newRegistry(table, "a", "1"))
		time.Sleep(9 * time.Second)
		taken := table.Copy()
		qt.Assert(t, stopA(), qt.IsNil)
		time.Sleep(20 * time.Second)
		qt.Assert(t, b.Alive("a", "1"), qt.IsFalse)
		table.Restore(taken)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			qt.Assert(t, b.Alive("a", "1"), qt.IsFalse)
		}
		qt.Assert(t, stopB(), qt.IsNil)
	})
}

// Guards against the row of an entry that stays away after a restore until the next
// heartbeat, which may be over a minute away in a large deployment.
func TestOwnRowIsWrittenAgainSoonAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable(1)
		empty := table.Copy()
		a := newRegistry(table, "a", "1")
		stopA := run(a)
		time.Sleep(5 * time.Second)
		for i := range 100 {
			a.Merge(member.Member{ID: string(rune('b' + i)), Incarnation: "1", Epoch: 1, State: member.Live}, 0)
		}
		time.Sleep(30 * time.Second)
		for i := range 100 {
			a.Merge(member.Member{ID: string(rune('b' + i)), Incarnation: "1", Epoch: 1, State: member.Live}, 0)
		}
		table.Restore(empty)
		time.Sleep(member.HeartbeatPeriod(101) + time.Second)
		_, found, err := a.Read(context.Background(), "a")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, found, qt.IsTrue)
		qt.Assert(t, stopA(), qt.IsNil)
	})
}
