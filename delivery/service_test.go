package delivery

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/once"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// seed is the seed of the property tests, so that each run checks the same
// cases.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

// twoReplicas is a fleet of two replicas of a service, the client for them and
// a retry budget.
type twoReplicas struct {
	oneEngine
	replicas map[string]*enginestandin.Service
	retries  atomic.Int64
}

func newReplicas(lookup bool) *twoReplicas {
	ledger := enginestandin.NewLedger()
	f := &twoReplicas{replicas: make(map[string]*enginestandin.Service)}
	for _, id := range []string{"s1", "s2"} {
		f.replicas[id] = enginestandin.NewService(enginestandin.ServiceConfig{Name: "orders", Ledger: ledger, Lookup: lookup})
	}
	return f
}

func (f *twoReplicas) ChooseService(_ string, exclude []string) (routing.Choice, error) {
	for _, id := range []string{"s1", "s2"} {
		if !slices.Contains(exclude, id) {
			return routing.Choice{Endpoint: infra.Endpoint{ID: id, Addr: id}}, nil
		}
	}
	return routing.Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no replica")
}

func (f *twoReplicas) Service(addr string) endpoint.Service { return f.replicas[addr] }

func (f *twoReplicas) Retry(string) bool { return f.retries.Add(-1) >= 0 }

func newServices(t *testing.T, f *twoReplicas) *Services {
	t.Helper()
	table := standin.NewTable(1)
	store := once.New(table, once.Options{EntryID: "one", Lookup: Lookup(f, f)})
	t.Cleanup(func() {
		store.Close()
		table.Close()
	})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return NewServices(f, f, store, f, nil, logrus.NewEntry(logger))
}

func call(key string) ServiceCall {
	return ServiceCall{
		RequestID: "r1", Customer: "one", Service: "orders", Key: key, Repeatable: key == "",
		Kind:   template.Kind{Retries: 2, Deadline: template.Duration(5 * time.Second)},
		Method: http.MethodPost, Path: "/orders", Body: []byte("{}"),
	}
}

// TestClientLeavesBeforeTheReply checks that a call continues after its client
// has left, and that a repeat gets the reply.
func TestClientLeavesBeforeTheReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newReplicas(false)
		s := newServices(t, f)
		f.replicas["s1"].SetFaults(enginestandin.ServiceFaults{ExtraLatency: 3 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, used, err := s.Call(ctx, call("k"))
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		c.Assert(used, qt.Equals, "")
		// The race detector finds a send that writes a variable after Call has
		// read it only if nothing orders the two accesses, as the repeat would.
		// Therefore the send ends before the repeat.
		time.Sleep(5 * time.Second)
		reply, _, err := s.Call(t.Context(), call("k"))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Status, qt.Equals, http.StatusOK)
		c.Assert(f.replicas["s1"].Executions("one/k"), qt.Equals, 1)
	})
}

// TestOnlyRepeatableCallsAreSentAgain checks that a failed call is retried, at
// another replica and within the retry budget, only if it is repeatable.
func TestOnlyRepeatableCallsAreSentAgain(t *testing.T) {
	tests := []struct {
		name    string
		key     string
		retries int64
		wantErr bool
	}{
		{"repeatable", "", 2, false},
		{"repeatable, no budget", "", 0, true},
		{"not repeatable", "k", 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newReplicas(false)
				f.retries.Store(test.retries)
				s := newServices(t, f)
				f.replicas["s1"].SetFaults(enginestandin.ServiceFaults{DieAfter: 1})
				_, used, err := s.Call(t.Context(), call(test.key))
				c.Assert(err != nil, qt.Equals, test.wantErr)
				if test.wantErr {
					c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
					c.Assert(used, qt.Equals, "s1")
					c.Assert(f.replicas["s1"].Counts().Calls, qt.Equals, 1)
					return
				}
				c.Assert(used, qt.Equals, "s2")
			})
		})
	}
}

// TestLookupQueriesAnotherReplica checks that a lookup queries another replica
// if the first fails, and distinguishes the customers of a key.
func TestLookupQueriesAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newReplicas(true)
		key := once.Key{Customer: "one", Service: "orders", Key: "k"}
		_, err := f.replicas["s1"].Call(t.Context(), endpoint.Call{Key: "one/k"})
		c.Assert(err, qt.IsNil)
		f.replicas["s1"].SetFaults(enginestandin.ServiceFaults{Dead: true})
		reply, found, err := Lookup(f, f)(t.Context(), key)
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.IsTrue)
		c.Assert(reply.Status, qt.Equals, http.StatusOK)
		key.Customer = "two"
		_, found, err = Lookup(f, f)(t.Context(), key)
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.IsFalse)
		f.replicas["s2"].SetFaults(enginestandin.ServiceFaults{Dead: true})
		_, found, err = Lookup(f, f)(t.Context(), key)
		c.Assert(err, qt.IsNotNil)
		c.Assert(found, qt.IsFalse)
	})
}
