package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// resultOf returns "reply" for a call that succeeded, or the verdict of its
// error.
func resultOf(err error) string {
	if err == nil {
		return "reply"
	}
	return verdict.Of(err).String()
}

// TestEntryStopsAtEachStep stops the first entry at a step of its attempt. A
// second entry, which considers the first failed, retries the call; then the
// first entry resumes or is killed.
func TestEntryStopsAtEachStep(t *testing.T) {
	const short, long = time.Second, time.Hour
	cases := []struct {
		name  string
		at    step
		pause time.Duration // 0 kills the entry
		// retry is the result at the second entry while the first is stopped.
		retry string
		// resumed is the first caller's result after the pause.
		resumed string
		// last is the result of a third request at the end.
		last       string
		executions int
	}{
		{"killed before insert", beforeInsert, 0, "reply", "", "reply", 1},
		{"killed after insert", afterInsert, 0, "may_have_run", "", "may_have_run", 0},
		{"killed before send", beforeSend, 0, "may_have_run", "", "may_have_run", 0},
		{"killed after send", afterSend, 0, "may_have_run", "", "may_have_run", 1},
		{"killed before outcome", beforeOutcome, 0, "may_have_run", "", "may_have_run", 1},
		{"killed after outcome", afterOutcome, 0, "reply", "", "reply", 1},
		{"paused before insert", beforeInsert, short, "reply", "reply", "reply", 1},
		{"paused after insert", afterInsert, short, "may_have_run", "reply", "reply", 1},
		{"paused before send", beforeSend, short, "may_have_run", "reply", "reply", 1},
		{"paused after send", afterSend, short, "may_have_run", "reply", "reply", 1},
		{"paused before outcome", beforeOutcome, short, "may_have_run", "reply", "reply", 1},
		{"paused after outcome", afterOutcome, short, "reply", "reply", "reply", 1},
		{"paused long before insert", beforeInsert, long, "reply", "reply", "reply", 1},
		{"paused long after insert", afterInsert, long, "may_have_run", "not_run", "reply", 1},
		{"paused long before send", beforeSend, long, "may_have_run", "reply", "reply", 1},
		{"paused long after send", afterSend, long, "may_have_run", "reply", "reply", 1},
		{"paused long before outcome", beforeOutcome, long, "may_have_run", "reply", "reply", 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := standin.NewTable(1)
				svc := newFakeService()
				first := newProcess(table, tc.at)
				stopped := false
				alive := func(string, string) bool { return !stopped }
				one := New(first, Options{EntryID: "e1"})
				two := New(table, Options{EntryID: "e2", Alive: alive})
				defer two.Close()

				result := make(chan string, 1)
				go func() {
					_, err := one.Do(t.Context(), testKey, testBody, first.sender(svc.send))
					result <- resultOf(err)
				}()
				<-first.stopped
				stopped = true
				_, err := two.Do(t.Context(), testKey, testBody, svc.send)
				c.Assert(resultOf(err), qt.Equals, tc.retry)
				c.Assert(svc.count() <= 1, qt.IsTrue)

				if tc.pause > 0 {
					time.Sleep(tc.pause)
					stopped = false
					first.Resume()
					c.Assert(<-result, qt.Equals, tc.resumed)
				} else {
					first.Kill()
					<-result
				}
				one.Close()
				_, err = two.Do(t.Context(), testKey, testBody, svc.send)
				c.Assert(resultOf(err), qt.Equals, tc.last)
				c.Assert(svc.count(), qt.Equals, tc.executions)
			})
		})
	}
}

// TestServiceFaults makes the service fail before, during and after the
// execution of the call.
func TestServiceFaults(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection reset")
	refused := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connection refused")
	garbled := verdict.New(verdict.Ran, verdict.CodeInternal, "reply was garbled")
	cases := []struct {
		name       string
		run        bool
		err        error
		lookup     bool
		first      string
		retry      string
		executions int
	}{
		{"answer lost", true, lost, false, "may_have_run", "may_have_run", 1},
		{"answer lost, lookup available", true, lost, true, "may_have_run", "reply", 1},
		{"not executed, answer lost", false, lost, false, "may_have_run", "may_have_run", 0},
		{"not executed, answer lost, lookup available", false, lost, true, "may_have_run", "may_have_run", 0},
		{"refused before the first byte", false, refused, false, "not_run", "reply", 1},
		{"ran, reply unusable", true, garbled, false, "ran", "ran", 1},
		{"error without verdict", true, context.DeadlineExceeded, false, "may_have_run", "may_have_run", 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := standin.NewTable(1)
				svc := newFakeService()
				opt := Options{EntryID: "e1"}
				if tc.lookup {
					opt.Lookup = func(context.Context, Key) (endpoint.Reply, bool, error) {
						return endpoint.Reply{Status: 201}, svc.count() > 0, nil
					}
				}
				store := New(table, opt)
				defer store.Close()
				_, err := store.Do(t.Context(), testKey, testBody, func(_ context.Context, attempt string) (endpoint.Reply, error) {
					if tc.run {
						svc.execute(attempt)
					}
					return endpoint.Reply{}, tc.err
				})
				c.Assert(resultOf(err), qt.Equals, tc.first)
				_, err = store.Do(t.Context(), testKey, testBody, svc.send)
				c.Assert(resultOf(err), qt.Equals, tc.retry)
				c.Assert(svc.count(), qt.Equals, tc.executions)
			})
		})
	}
}

// TestTableOutageDuringSend makes the table unavailable after the claim and
// before the outcome is written.
func TestTableOutageDuringSend(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connection refused")
	cases := []struct {
		name  string
		err   error
		first string
		retry string
	}{
		{"after a run", nil, "reply", "reply"},
		// not_run can't be recorded yet, so it is not reported yet.
		{"after a refusal", refused, "may_have_run", "reply"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := standin.NewTable(1)
				svc := newFakeService()
				store := New(table, Options{EntryID: "e1"})
				defer store.Close()
				_, err := store.Do(t.Context(), testKey, testBody, func(_ context.Context, attempt string) (endpoint.Reply, error) {
					table.SetFaults(standin.TableFaults{Outage: true})
					if tc.err != nil {
						return endpoint.Reply{}, tc.err
					}
					return svc.execute(attempt), nil
				})
				c.Assert(resultOf(err), qt.Equals, tc.first)
				_, err = store.Do(t.Context(), testKey, testBody, svc.send)
				c.Assert(resultOf(err), qt.Equals, "not_run")

				time.Sleep(time.Minute)
				table.SetFaults(standin.TableFaults{})
				time.Sleep(10 * time.Second)
				_, err = store.Do(t.Context(), testKey, testBody, svc.send)
				c.Assert(resultOf(err), qt.Equals, tc.retry)
				c.Assert(svc.count(), qt.Equals, 1)
			})
		})
	}
}

// TestConcurrentCallsAtTwoEntries checks that concurrent calls with the same
// key at two entries all return the reply of a single execution.
func TestConcurrentCallsAtTwoEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		table.SetFaults(standin.TableFaults{Latency: 3 * time.Millisecond})
		svc := newFakeService()
		slow := func(_ context.Context, attempt string) (endpoint.Reply, error) {
			time.Sleep(2 * time.Second)
			return svc.execute(attempt), nil
		}
		replies := make(chan endpoint.Reply, 8)
		for _, entry := range []string{"e1", "e2"} {
			store := New(table, Options{EntryID: entry})
			defer store.Close()
			for range cap(replies) / 2 {
				go func() {
					reply, err := store.Do(t.Context(), testKey, testBody, slow)
					c.Check(err, qt.IsNil)
					replies <- reply
				}()
			}
		}
		want := <-replies
		for range cap(replies) - 1 {
			c.Assert(<-replies, qt.DeepEquals, want)
		}
		c.Assert(svc.count(), qt.Equals, 1)
	})
}

// TestRetryRacesWithTheBackgroundWriter retries immediately at another entry
// while the first entry still replaces an unconfirmed claim by not_run.
func TestRetryRacesWithTheBackgroundWriter(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, 15 * time.Millisecond, 25 * time.Millisecond, time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := standin.NewTable(1)
				defer table.Close()
				svc := newFakeService()
				one := New(table, Options{EntryID: "e1"})
				two := New(table, Options{EntryID: "e2"})
				defer one.Close()
				defer two.Close()
				table.SetFaults(standin.TableFaults{LoseRequest: 1, LateCommitDelay: late})
				_, err := one.Do(t.Context(), testKey, testBody, svc.send)
				c.Assert(resultOf(err), qt.Equals, "not_run")
				table.SetFaults(standin.TableFaults{})
				_, err = two.Do(t.Context(), testKey, testBody, svc.send)
				c.Assert(err, qt.IsNil)
				c.Assert(svc.count(), qt.Equals, 1)
			})
		})
	}
}

// TestLargeReplyIsNotRecorded checks that a reply above MaxReplyBytes is
// returned to the first caller, and that later callers get verdict.Ran.
func TestLargeReplyIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := New(standin.NewTable(1), Options{MaxReplyBytes: 4})
		defer store.Close()
		svc := newFakeService()
		reply, err := store.Do(t.Context(), testKey, testBody, svc.send)
		c.Assert(err, qt.IsNil)
		c.Assert(len(reply.Body) > 4, qt.IsTrue)
		_, err = store.Do(t.Context(), testKey, testBody, svc.send)
		c.Assert(resultOf(err), qt.Equals, "ran")
		c.Assert(svc.count(), qt.Equals, 1)
	})
}
