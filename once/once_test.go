package once

import (
	"context"
	"crypto/sha256"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

var (
	testKey   = Key{Customer: "mercado", Service: "orders", Key: "k1"}
	testBody  = sha256.Sum256([]byte("two boxes"))
	otherBody = sha256.Sum256([]byte("three boxes"))
)

// fakeService counts executions by attempt.
type fakeService struct {
	mu       sync.Mutex
	executed map[string]int
	total    int
}

func newFakeService() *fakeService { return &fakeService{executed: make(map[string]int)} }

func (f *fakeService) execute(attempt string) endpoint.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executed[attempt]++
	f.total++
	return endpoint.Reply{Status: 201, Body: []byte("order for " + attempt)}
}

func (f *fakeService) send(_ context.Context, attempt string) (endpoint.Reply, error) {
	return f.execute(attempt), nil
}

func (f *fakeService) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

func TestRepeatReturnsTheRecordedReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		svc := newFakeService()
		one := New(table, Options{EntryID: "e1"})
		two := New(table, Options{EntryID: "e2"})
		defer one.Close()
		defer two.Close()

		first, err := one.Do(t.Context(), testKey, testBody, svc.send)
		c.Assert(err, qt.IsNil)
		again, err := two.Do(t.Context(), testKey, testBody, svc.send)
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, first)
		c.Assert(svc.count(), qt.Equals, 1)

		_, err = two.Do(t.Context(), testKey, otherBody, svc.send)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeKeyReused)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(svc.count(), qt.Equals, 1)
	})
}

// TestInsertFaults injects faults into the first claim of a key.
func TestInsertFaults(t *testing.T) { testClaimFaults(t, false) }

// TestReplaceFaults injects faults into the claim that replaces a not_run row.
func TestReplaceFaults(t *testing.T) { testClaimFaults(t, true) }

func testClaimFaults(t *testing.T, replace bool) {
	cases := []struct {
		name    string
		faults  standin.TableFaults
		wantRun bool
	}{
		{"answer lost, took effect", standin.TableFaults{LoseAnswer: 1}, true},
		{"request lost", standin.TableFaults{LoseRequest: 1}, false},
		{"takes effect late", standin.TableFaults{LoseRequest: 1, LateCommitDelay: 700 * time.Millisecond}, false},
		{"outage", standin.TableFaults{Outage: true}, false},
		{"hangs", standin.TableFaults{Hang: true}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := standin.NewTable(1)
				svc := newFakeService()
				store := New(table, Options{EntryID: "e1"})
				defer table.Close()
				defer store.Close()

				if replace {
					refused := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connection refused")
					_, err := store.Do(t.Context(), testKey, testBody, func(context.Context, string) (endpoint.Reply, error) {
						return endpoint.Reply{}, refused
					})
					c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
				}
				table.SetFaults(tc.faults)
				_, err := store.Do(t.Context(), testKey, testBody, svc.send)
				if tc.wantRun {
					c.Assert(err, qt.IsNil)
					c.Assert(svc.count(), qt.Equals, 1)
					return
				}
				c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
				c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeUnavailable)
				c.Assert(verdict.RetryAfterOf(err) > 0, qt.IsTrue)
				c.Assert(svc.count(), qt.Equals, 0)

				table.SetFaults(standin.TableFaults{})
				time.Sleep(verdict.RetryAfterOf(err))
				_, err = store.Do(t.Context(), testKey, testBody, svc.send)
				c.Assert(err, qt.IsNil)
				c.Assert(svc.count(), qt.Equals, 1)
			})
		})
	}
}
