package contract

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// RunTable runs the tests of infra.Table without faults.
func RunTable(t *testing.T, newFixture New) {
	runExpectations(t, newFixture)
	bubble(t, "a commit is atomic", newFixture, atomicCommit)
	bubble(t, "versions only grow", newFixture, growingVersions)
	bubble(t, "scan is ordered and exact", newFixture, exactScan)
	bubble(t, "rows are not shared", newFixture, unsharedRows)
	bubble(t, "compare-and-set loses no update", newFixture, countConcurrently)
}

// runExpectations commits with each kind of expectation on an absent and on an
// existing row.
func runExpectations(t *testing.T, newFixture New) {
	for _, test := range []struct {
		name    string
		exists  bool
		expect  uint64
		current bool
		remove  bool
		ok      bool
	}{
		{name: "insert where absent", expect: infra.ExpectAbsent, ok: true},
		{name: "insert over a row", exists: true, expect: infra.ExpectAbsent},
		{name: "update of the current version", exists: true, current: true, ok: true},
		{name: "update of another version", exists: true, expect: 1 << 40},
		{name: "update of an absent row", expect: 1},
		{name: "put over anything", exists: true, expect: infra.ExpectAny, ok: true},
		{name: "put where absent", expect: infra.ExpectAny, ok: true},
		{name: "delete of the current version", exists: true, current: true, remove: true, ok: true},
		{name: "delete of another version", exists: true, expect: 1 << 40, remove: true},
		{name: "delete of an absent row, expected absent", expect: infra.ExpectAbsent, remove: true, ok: true},
	} {
		bubble(t, test.name, newFixture, func(c *qt.C, f Fixture) {
			ctx := c.TB.Context()
			var before uint64
			if test.exists {
				version, err := f.Table.Commit(ctx, infra.Write{Key: "k", Value: []byte("old")})
				c.Assert(err, qt.IsNil)
				before = version
			}
			w := infra.Write{Key: "k", Value: []byte("new"), Expect: test.expect, Delete: test.remove}
			if test.current {
				w.Expect = before
			}
			version, err := f.Table.Commit(ctx, w)
			row, found, getErr := f.Table.Get(ctx, "k")
			c.Assert(getErr, qt.IsNil)
			if !test.ok {
				checkConflict(c, err, "k", w.Expect, before)
				c.Assert(found, qt.Equals, test.exists)
				c.Assert(row.Version, qt.Equals, before)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(version > before, qt.IsTrue)
			c.Assert(found, qt.Equals, !test.remove)
			if found {
				c.Assert(row, qt.DeepEquals, infra.Row{Key: "k", Value: []byte("new"), Version: version})
			}
		})
	}
}

func checkConflict(c *qt.C, err error, key string, expected, actual uint64) {
	c.Helper()
	var conflict *infra.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(*conflict, qt.Equals, infra.ConflictError{Key: key, Expected: expected, Actual: actual})
	checkVerdict(c, err, verdict.NotRun)
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeConflict)
}

func atomicCommit(c *qt.C, f Fixture) {
	ctx := c.TB.Context()
	first, err := f.Table.Commit(ctx, infra.Write{Key: "a", Value: []byte("1")}, infra.Write{Key: "b", Value: []byte("1")})
	c.Assert(err, qt.IsNil)
	_, err = f.Table.Commit(ctx,
		infra.Write{Key: "a", Value: []byte("2"), Expect: first},
		infra.Write{Key: "c", Value: []byte("2")},
		infra.Write{Key: "b", Delete: true, Expect: first + 1},
	)
	checkConflict(c, err, "b", first+1, first)
	rows, err := f.Table.Scan(ctx, "")
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.DeepEquals, []infra.Row{
		{Key: "a", Value: []byte("1"), Version: first},
		{Key: "b", Value: []byte("1"), Version: first},
	})
}

func growingVersions(c *qt.C, f Fixture) {
	ctx := c.TB.Context()
	var last uint64
	for range 3 {
		inserted, err := f.Table.Commit(ctx, infra.Write{Key: "k", Value: []byte("v")})
		c.Assert(err, qt.IsNil)
		c.Assert(inserted > last, qt.IsTrue)
		_, err = f.Table.Commit(ctx, infra.Write{Key: "k", Delete: true, Expect: inserted})
		c.Assert(err, qt.IsNil)
		last = inserted
	}
}

func exactScan(c *qt.C, f Fixture) {
	ctx := c.TB.Context()
	keys := []string{"p", "p/ä", "p/a b", "p/a%2Fb", "p/a&b=c?d#e", "p/a+b", "q/1"}
	for _, key := range keys {
		_, err := f.Table.Commit(ctx, infra.Write{Key: key, Value: []byte{0, 0xff, '"'}})
		c.Assert(err, qt.IsNil)
	}
	rows, err := f.Table.Scan(ctx, "p/a")
	c.Assert(err, qt.IsNil)
	var got []string
	for _, row := range rows {
		got = append(got, row.Key)
		c.Assert(row.Value, qt.DeepEquals, []byte{0, 0xff, '"'})
	}
	c.Assert(got, qt.DeepEquals, []string{"p/a b", "p/a%2Fb", "p/a&b=c?d#e", "p/a+b"})
	for _, key := range keys {
		_, found, err := f.Table.Get(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.IsTrue, qt.Commentf("%q", key))
	}
	none, err := f.Table.Scan(ctx, "r")
	c.Assert(err, qt.IsNil)
	c.Assert(none, qt.HasLen, 0)
}

// unsharedRows checks that the table copies values on writes and reads: callers
// can't change a row through the slices that they passed or received.
func unsharedRows(c *qt.C, f Fixture) {
	ctx := c.TB.Context()
	value := []byte("kept")
	_, err := f.Table.Commit(ctx, infra.Write{Key: "k", Value: value})
	c.Assert(err, qt.IsNil)
	value[0] = 'X'
	row, _, err := f.Table.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	row.Value[1] = 'X'
	rows, err := f.Table.Scan(ctx, "k")
	c.Assert(err, qt.IsNil)
	rows[0].Value[2] = 'X'
	row, _, err = f.Table.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(row.Value), qt.Equals, "kept")
}

// countConcurrently increments one row from several goroutines, each of which
// retries on a conflict.
func countConcurrently(c *qt.C, f Fixture) {
	const workers, rounds = 8, 20
	ctx := c.TB.Context()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range rounds {
				c.Check(increment(c, f.Table), qt.IsNil)
			}
		})
	}
	wg.Wait()
	row, _, err := f.Table.Get(ctx, "n")
	c.Assert(err, qt.IsNil)
	c.Assert(string(row.Value), qt.Equals, fmt.Sprint(workers*rounds))
}

func increment(c *qt.C, table infra.Table) error {
	ctx := c.TB.Context()
	for {
		row, _, err := table.Get(ctx, "n")
		if err != nil {
			return err
		}
		n := 0
		_, _ = fmt.Sscan(string(row.Value), &n)
		_, err = table.Commit(ctx, infra.Write{Key: "n", Value: fmt.Append(nil, n+1), Expect: row.Version})
		var conflict *infra.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
}
