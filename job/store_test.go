package job

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

func newStore(table infra.Table, objects infra.Objects, owner string) *Store {
	return New(table, objects, Options{Owner: owner, Incarnation: "1"})
}

func request(id string) *Record {
	return &Record{
		ID:       id,
		Customer: "karoo",
		Kind:     "plan",
		Model:    "m",
		Version:  "1",
		Messages: []endpoint.Message{{Role: "user", Content: "restock plan " + id}},
	}
}

func answer(text string) Answer {
	return Answer{Text: Text{Inline: text}, Tokens: len(text), FinishReason: "stop"}
}

func TestRequestLifecycle(t *testing.T) {
	for _, size := range []int{10, 100_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx := t.Context()
				table, objects := standin.NewTable(1), standin.NewObjects(1)
				one, two := newStore(table, objects, "e1"), newStore(table, objects, "e2")
				defer one.Close()
				defer two.Close()
				text := strings.Repeat("x", size)

				r := request("r1")
				r.Messages[0].Content = text
				c.Assert(one.Accept(ctx, r), qt.IsNil)
				c.Assert(one.Bind(ctx, "r1", Stream{Addr: "10.0.0.1:80", ID: "s1"}), qt.IsNil)
				c.Assert(one.Checkpoint(ctx, "r1", 5, text), qt.IsNil)
				c.Assert(one.Checkpoint(ctx, "r1", 9, text+"y"), qt.IsNil)

				claimed, err := two.Claim(ctx, "karoo", "r1", 1)
				c.Assert(err, qt.IsNil)
				c.Assert(claimed.Fence, qt.Equals, uint64(2))
				c.Assert(claimed.Stream.ID, qt.Equals, "s1")
				c.Assert(claimed.Messages, qt.DeepEquals, r.Messages)
				c.Assert(claimed.Checkpoint.Tokens, qt.Equals, 9)
				c.Assert(claimed.Checkpoint.Text.Inline, qt.Equals, text+"y")

				err = one.Finish(ctx, "r1", answer("stale"), verdict.Ran)
				c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeFenced)
				c.Assert(two.Finish(ctx, "r1", answer(text+"z"), verdict.Ran), qt.IsNil)

				got, err := one.Get(ctx, "karoo", "r1")
				c.Assert(err, qt.IsNil)
				c.Assert(got.State, qt.Equals, StateDone)
				c.Assert(got.Answer.Text.Inline, qt.Equals, text+"z")
				_, err = one.Get(ctx, "other", "r1")
				c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
				rows, err := table.Scan(ctx, ownerPrefix)
				c.Assert(err, qt.IsNil)
				c.Assert(rows, qt.HasLen, 0)
			})
		})
	}
}

func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		table.SetFaults(standin.TableFaults{Latency: 5 * time.Millisecond})
		s := newStore(table, standin.NewObjects(1), "e1")
		defer s.Close()
		const requests = 500
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() { c.Check(s.Accept(t.Context(), request(fmt.Sprint(i))), qt.IsNil) })
		}
		all.Wait()
		c.Assert(table.Counts().Writes <= 1+requests/defaultMaxBatch+1, qt.IsTrue)
	})
}

// TestCheckpointsShareCommits checks that the checkpoints of many requests
// share a commit, and that a checkpoint is committed with a concurrent accept.
func TestCheckpointsShareCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		s := newStore(table, standin.NewObjects(1), "e1")
		defer s.Close()
		const requests = 50
		for i := range requests {
			go func() { c.Check(s.Accept(t.Context(), request(fmt.Sprint(i))), qt.IsNil) }()
		}
		time.Sleep(time.Second)
		before := table.Counts().Writes
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				c.Check(s.Checkpoint(t.Context(), fmt.Sprint(i), 1, "x"), qt.IsNil)
			})
		}
		all.Wait()
		c.Assert(table.Counts().Writes-before, qt.Equals, uint64(1))

		began := time.Now()
		all.Go(func() { c.Check(s.Checkpoint(t.Context(), "1", 2, "xx"), qt.IsNil) })
		time.Sleep(10 * time.Millisecond)
		c.Assert(s.Accept(t.Context(), request("new")), qt.IsNil)
		c.Assert(time.Since(began) < 2*defaultBatchInterval, qt.IsTrue)
		all.Wait()
		c.Assert(table.Counts().Writes-before, qt.Equals, uint64(2))
	})
}

func TestIdempotencyKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, objects := standin.NewTable(1), standin.NewObjects(1)
		one, two := newStore(table, objects, "e1"), newStore(table, objects, "e2")
		defer one.Close()
		defer two.Close()
		keyed := func(customer, id, hash string) *Record {
			r := request(id)
			r.Customer, r.IdempotencyKey, r.BodyHash = customer, "k", hash
			return r
		}
		// Two concurrent requests at one entry share a batch; a third arrives
		// at another entry.
		var all sync.WaitGroup
		same := []*Record{keyed("karoo", "r1", "h"), keyed("karoo", "r2", "h"), keyed("karoo", "r3", "h")}
		for _, r := range same[:2] {
			all.Go(func() { c.Check(one.Accept(t.Context(), r), qt.IsNil) })
		}
		all.Wait()
		c.Assert(two.Accept(t.Context(), same[2]), qt.IsNil)
		c.Assert(same[0].ID, qt.Equals, same[1].ID)
		c.Assert(same[0].ID, qt.Equals, same[2].ID)
		c.Assert(same[0].Joined != same[1].Joined, qt.IsTrue)
		c.Assert(same[2].Joined, qt.IsTrue)

		err := two.Accept(t.Context(), keyed("karoo", "r4", "other"))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeKeyReused)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)

		other := keyed("rival", "r5", "h")
		c.Assert(two.Accept(t.Context(), other), qt.IsNil)
		c.Assert(other.ID, qt.Equals, "r5")
	})
}
