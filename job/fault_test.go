package job

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxAdoptionTime is an upper bound for the detection of a failed owner, the
// claim and the generation of the complete answer.
const maxAdoptionTime = 30 * time.Second

// TestOwnerStopsAtEachStep kills or pauses the owner at a step, with or without
// its engine, and expects the complete answer from another entry.
func TestOwnerStopsAtEachStep(t *testing.T) {
	for _, step := range []string{"generate", "bind", "read", "checkpoint", "finish"} {
		for _, engineGone := range []bool{false, true} {
			for _, paused := range []bool{false, true} {
				name := fmt.Sprintf("%s, engine gone %v, paused %v", step, engineGone, paused)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testOwnerStops(t, step, engineGone, paused) })
				})
			}
		}
	}
}

func testOwnerStops(t *testing.T, step string, engineGone, paused bool) {
	c := qt.New(t)
	f := newFleet(t, 1)
	defer f.close()
	owner, other := f.start(), f.start()
	stopped := make(chan struct{})
	var reads atomic.Int32
	owner.stopAt = func(at string) {
		// The step "read" is repeated: stop in the middle of the answer.
		if at != step || at == "read" && reads.Add(1) < answerTokens/2 {
			return
		}
		owner.stopAt = func(string) {}
		close(stopped)
		owner.gate.Pause()
	}
	c.Assert(owner.accept(t.Context(), newRequest("karoo", "r1")), qt.IsNil)
	<-stopped
	if engineGone {
		f.engine.restart()
	}
	f.setSeemsFailed(owner, true)
	if !paused {
		f.kill(owner)
	}
	time.Sleep(maxAdoptionTime)
	got, err := other.store.Get(t.Context(), "karoo", "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(got.State, qt.Equals, StateDone)
	c.Assert(got.Answer.Text.Inline, qt.Equals, expectedAnswer("r1", answerTokens))
	c.Assert(got.Fence, qt.Equals, uint64(2))
	if !engineGone && step != "bind" {
		c.Assert(f.engine.starts(), qt.Equals, 1, qt.Commentf("answer computed again"))
	}
	if !paused {
		return
	}
	f.setSeemsFailed(owner, false)
	owner.gate.Resume()
	err = owner.store.Check(t.Context(), "r1")
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeFenced)
	time.Sleep(maxAdoptionTime)
	again, err := owner.store.Get(t.Context(), "karoo", "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, got)
}

// TestTableFaults injects a table fault at one write of a request. The write is
// retried until it succeeds; the request must get a complete answer.
func TestTableFaults(t *testing.T) {
	faults := []struct {
		name   string
		faults standin.TableFaults
		// first is the result of the first accept under the fault.
		first string
	}{
		{"answer lost", standin.TableFaults{LoseAnswer: 1}, "ok"},
		{"request lost", standin.TableFaults{LoseRequest: 1}, "may_have_run"},
		{"late", standin.TableFaults{LoseRequest: 1, LateCommitDelay: 50 * time.Millisecond}, "ok"},
		{"later than all tries", standin.TableFaults{LoseRequest: 1, LateCommitDelay: time.Minute}, "may_have_run"},
		{"outage", standin.TableFaults{Outage: true}, "not_run"},
		{"hang", standin.TableFaults{Hang: true}, "not_run"},
	}
	for _, tc := range faults {
		for _, step := range []string{"accept", "bind", "checkpoint", "finish", "claim"} {
			t.Run(tc.name+" at "+step, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					f := newFleet(t, 1)
					defer f.close()
					f.inlineBytes = 16
					owner, other := f.start(), f.start()
					owner.stopAt = func(at string) {
						if at != step {
							return
						}
						owner.stopAt = func(string) {}
						f.table.SetFaults(tc.faults)
						go func() {
							time.Sleep(20 * time.Second)
							f.table.SetFaults(standin.TableFaults{})
						}()
					}
					if step == "accept" {
						f.table.SetFaults(tc.faults)
						err := owner.accept(t.Context(), newRequest("karoo", "r0"))
						c.Assert(resultOf(err), qt.Equals, tc.first)
						f.table.SetFaults(standin.TableFaults{})
						time.Sleep(2 * maxAdoptionTime)
						checkAccepted(c, other.store, "r0", err)
					}
					c.Assert(owner.accept(t.Context(), newRequest("karoo", "r1")), qt.IsNil)
					if step == "claim" {
						time.Sleep(time.Second)
						f.kill(owner)
						f.table.SetFaults(tc.faults)
						time.Sleep(20 * time.Second)
						f.table.SetFaults(standin.TableFaults{})
					}
					time.Sleep(3 * maxAdoptionTime)
					checkAccepted(c, other.store, "r1", nil)
				})
			})
		}
	}
}

// resultOf returns "ok", or the verdict of the error.
func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return verdict.Of(err).String()
}

// checkAccepted checks that a request has a complete answer if it was accepted,
// and does not exist if Accept returned not_run. After may_have_run either is
// allowed, but not an unfinished request.
func checkAccepted(c *qt.C, s *Store, id string, accepted error) {
	got, err := s.Get(c.Context(), "karoo", id)
	if accepted != nil && verdict.CodeOf(err) == verdict.CodeNotFound {
		return
	}
	c.Assert(resultOf(accepted), qt.Not(qt.Equals), "not_run", qt.Commentf("request %s exists", id))
	c.Assert(err, qt.IsNil)
	c.Assert(got.State, qt.Equals, StateDone)
	c.Assert(got.Answer.Text.Inline, qt.Equals, expectedAnswer(id, answerTokens))
}

// TestUnconfirmedAcceptIsRun checks that a request is run if Accept returned
// may_have_run and its write took effect later.
func TestUnconfirmedAcceptIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 1)
		defer f.close()
		owner := f.start()
		f.table.SetFaults(standin.TableFaults{LoseRequest: 1, LateCommitDelay: 6 * time.Second})
		err := owner.accept(t.Context(), newRequest("karoo", "r1"))
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		time.Sleep(10 * time.Second)
		f.table.SetFaults(standin.TableFaults{})
		time.Sleep(maxAdoptionTime)
		got, err := owner.store.Get(t.Context(), "karoo", "r1")
		c.Assert(err, qt.IsNil)
		c.Assert(got.State, qt.Equals, StateDone)
	})
}

// TestSecondClaimDuringStaleWrite guards against a stale write that ends a
// later ownership of the same process (randomised run, seed 2360). The process
// loses a request and claims it again while a write of its first ownership is
// queued; when that write failed, the process removed the new ownership.
func TestSecondClaimDuringStaleWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, objects := standin.NewTable(1), standin.NewObjects(1)
		one, two := newStore(table, objects, "e1"), newStore(table, objects, "e2")
		defer one.Close()
		defer two.Close()
		c.Assert(one.Accept(t.Context(), newRequest("karoo", "r1")), qt.IsNil)
		_, err := two.Claim(t.Context(), "karoo", "r1", 1)
		c.Assert(err, qt.IsNil)
		claimed := make(chan error)
		go func() {
			_, err := one.Claim(t.Context(), "karoo", "r1", 2)
			claimed <- err
		}()
		synctest.Wait()
		err = one.Bind(t.Context(), "r1", Stream{Addr: "10.0.0.1:80", ID: "stale"})
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeFenced)
		c.Assert(<-claimed, qt.IsNil)
		c.Assert(one.Bind(t.Context(), "r1", Stream{Addr: "10.0.0.1:80", ID: "s2"}), qt.IsNil)
	})
}

// TestMarkDeletedBeforeResolve guards against deleting the text of a recorded
// answer (randomised run, seed 140). The reply of a Finish is lost, and the
// mark is deleted before it is read to resolve the write; the write was then
// treated as failed, and its text was deleted.
func TestMarkDeletedBeforeResolve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, objects := standin.NewTable(1), standin.NewObjects(1)
		s := New(table, objects, Options{Owner: "e1", Incarnation: "1", InlineBytes: 16})
		defer s.Close()
		c.Assert(s.Accept(t.Context(), newRequest("karoo", "r1")), qt.IsNil)
		time.Sleep(time.Second)
		table.SetFaults(standin.TableFaults{LoseAnswer: 1})
		finished := make(chan error)
		complete := expectedAnswer("r1", answerTokens)
		go func() { finished <- s.Finish(t.Context(), "r1", answer(complete), verdict.Ran) }()
		time.Sleep(10 * time.Millisecond)
		table.SetFaults(standin.TableFaults{})
		_, err := table.Commit(t.Context(), infra.Write{Key: key(markPrefix, "e1", "1"), Delete: true, Expect: infra.ExpectAny})
		c.Assert(err, qt.IsNil)
		c.Assert(verdict.Of(<-finished), qt.Equals, verdict.MayHaveRun)
		got, err := s.Get(t.Context(), "karoo", "r1")
		c.Assert(err, qt.IsNil)
		c.Assert(got.Answer.Text.Inline, qt.Equals, complete)
	})
}
