package job

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// TestSweepOfFinishedRequests checks that the sweeper deletes finished requests
// with all their rows and objects, and keeps unfinished ones.
func TestSweepOfFinishedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const ttl = 8 * time.Hour
		f := newFleet(t, 1)
		f.inlineBytes = 16
		defer f.close()
		e := f.start()
		done := newRequest("karoo", "done")
		done.IdempotencyKey = "k"
		c.Assert(e.accept(t.Context(), done), qt.IsNil)
		c.Assert(e.store.Accept(t.Context(), newRequest("karoo", "open")), qt.IsNil)
		time.Sleep(maxAdoptionTime)
		got, err := e.store.Get(t.Context(), "karoo", "done")
		c.Assert(err, qt.IsNil)
		objects := got.objects()
		c.Assert(objects, qt.HasLen, 2, qt.Commentf("prompt and answer"))

		sweeper := e.store.NewSweeper(ttl)
		for range 40 {
			c.Assert(sweeper.Pass(t.Context()), qt.IsNil)
			time.Sleep(ttl / 16)
		}
		_, err = e.store.Get(t.Context(), "karoo", "done")
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
		for _, object := range objects {
			_, ok, err := f.objects.Get(t.Context(), object)
			c.Assert(err, qt.IsNil)
			c.Assert(ok, qt.IsFalse)
		}
		_, err = e.store.Get(t.Context(), "karoo", "open")
		c.Assert(err, qt.IsNil)
		rows, err := f.table.Scan(t.Context(), "job")
		c.Assert(err, qt.IsNil)
		// The rows of the open request, its ownership and the mark remain.
		c.Assert(rows, qt.HasLen, 3)
		again := newRequest("karoo", "again")
		again.IdempotencyKey = "k"
		c.Assert(e.accept(t.Context(), again), qt.IsNil)
		c.Assert(again.Joined, qt.IsFalse)
		time.Sleep(maxAdoptionTime)
	})
}
