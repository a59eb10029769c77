package usage

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// Guards against other counts for a window whose row a restore of the table has
// removed, by the same entry after it lost the lease, or by another one.
func TestWindowIsNotReportedWithOtherCountsAfterARestore(t *testing.T) {
	for _, same := range []bool{true, false} {
		table := standin.NewTable(1)
		table.Restore(table.Copy())
		h := &fakeClock{wall: time.Unix(1000, 0)}
		count := 3
		source := func(int64, time.Time) (Counts, bool) { return Counts{"a": count}, true }
		got := &sender{}
		holder, other := &leaseHolder{held: true}, &leaseHolder{}
		first, second := reporter(table, h, holder, got, source), reporter(table, h, other, got, source)
		check := func() {
			first.check(context.Background())
			second.check(context.Background())
		}
		taken := table.Copy()
		check()
		h.advance(8 * time.Second)
		check()
		qt.Assert(t, got.reports[200], qt.HasLen, 1)
		table.Restore(taken)
		count = 5
		holder.held = false
		check()
		holder.held, other.held = same, !same
		check()
		for _, counts := range got.reports[200] {
			qt.Check(t, counts, qt.DeepEquals, map[string]int{"a": 3}, qt.Commentf("same entry: %v", same))
		}
		// A window that ended after the restore is reported, by whoever holds the lease.
		h.advance(5 * time.Second)
		check()
		qt.Check(t, got.reports[201], qt.DeepEquals, []map[string]int{{"a": 5}}, qt.Commentf("same entry: %v", same))
		table.Close()
	}
}

// Guards against a window that nobody reports, which was due while the table was away.
func TestWindowThatEndedBeforeARestoreIsReportedByItsHolder(t *testing.T) {
	table := standin.NewTable(1)
	defer table.Close()
	table.Restore(table.Copy())
	h := &fakeClock{wall: time.Unix(1000, 0)}
	got := &sender{}
	holder := &leaseHolder{held: true}
	r := reporter(table, h, holder, got, func(int64, time.Time) (Counts, bool) { return Counts{"a": 3}, true })
	r.check(context.Background())
	table.SetFaults(standin.TableFaults{Outage: true})
	h.advance(8 * time.Second)
	r.check(context.Background())
	table.SetFaults(standin.TableFaults{})
	table.Restore(table.Copy())
	r.check(context.Background())
	qt.Assert(t, got.reports[200], qt.DeepEquals, []map[string]int{{"a": 3}})
}

// restoredInCommit is a table that is restored just before the first commit is carried
// out.
type restoredInCommit struct {
	*standin.Table
	taken    standin.TableCopy
	restored bool
}

func (t *restoredInCommit) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	if !t.restored {
		t.restored = true
		t.Restore(t.taken)
	}
	return t.Table.Commit(ctx, writes...)
}

// Guards against other counts for a window, committed by the first call after a restore.
func TestCommitThatARestorePrecedesIsWithdrawn(t *testing.T) {
	table := standin.NewTable(1)
	defer table.Close()
	table.Restore(table.Copy())
	h := &fakeClock{wall: time.Unix(1000, 0)}
	count := 3
	source := func(int64, time.Time) (Counts, bool) { return Counts{"a": count}, true }
	got := &sender{}
	holder, other := &leaseHolder{held: true}, &leaseHolder{}
	first, second := reporter(table, h, holder, got, source), reporter(table, h, other, got, source)
	second.Table = &restoredInCommit{Table: table, taken: table.Copy()}
	first.check(context.Background())
	second.check(context.Background())
	h.advance(8 * time.Second)
	first.check(context.Background())
	holder.held, other.held, count = false, true, 5
	second.check(context.Background())
	second.check(context.Background())
	for _, k := range []int64{199, 200} {
		qt.Check(t, got.reports[k], qt.DeepEquals, []map[string]int{{"a": 3}}, qt.Commentf("window %d", k))
		_, found, err := table.Get(context.Background(), rowKey(k))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, found, qt.IsFalse, qt.Commentf("window %d", k))
	}
}
