package contract

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// ServiceFixture is a plain service under test.
type ServiceFixture struct {
	Service endpoint.Service
	// Executions returns the number of times that a key was executed.
	Executions func(key string) int
	// Last returns the most recently executed call, as the service received
	// it.
	Last func() endpoint.Call
	// SetFault activates one fault and clears all others.
	SetFault func(Fault)
}

// ServiceOptions configure the service of a fixture.
type ServiceOptions struct {
	// Lookup is set if the service has a lookup of executed keys.
	Lookup bool
	// ChecksFence is set if the service refuses old fencing tokens.
	ChecksFence bool
}

// NewService returns a fixture. It is called inside the test's synctest bubble
// and registers its cleanup with t.
type NewService func(t *testing.T, o ServiceOptions) ServiceFixture

// RunService runs all tests of endpoint.Service.
func RunService(t *testing.T, newService NewService) {
	all := ServiceOptions{Lookup: true, ChecksFence: true}
	serviceBubble(t, "a call arrives unchanged", newService, all, preserveCalls)
	serviceBubble(t, "concurrent calls", newService, all, callConcurrently)
	serviceBubble(t, "lookup", newService, all, lookup)
	serviceBubble(t, "no lookup", newService, ServiceOptions{}, func(c *qt.C, f ServiceFixture) {
		_, _, err := f.Service.Lookup(c.TB.Context(), "k")
		c.Assert(errors.Is(err, endpoint.ErrNoLookup), qt.IsTrue, qt.Commentf("%v", err))
	})
	runServiceFences(t, newService)
	runServiceFaults(t, newService)
}

func serviceBubble(t *testing.T, name string, newService NewService, o ServiceOptions, test func(c *qt.C, f ServiceFixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(qt.New(t), newService(t, o))
		})
	})
}

func refill(key string) endpoint.Call {
	return endpoint.Call{
		Method: http.MethodPost, Path: "/refills/a%2Fb?stand=7&note=%C3%A9", Body: []byte(`{"wicks":3}`),
		Header: http.Header{"Content-Type": {"application/json"}, "X-Dealer": {"7"}},
		Key:    key, AttemptID: "attempt-" + key, Fence: 9,
	}
}

func preserveCalls(c *qt.C, f ServiceFixture) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet} {
		for _, body := range []string{"", `{"wicks":3}`} {
			call := refill("k" + method + body)
			call.Method, call.Body = method, []byte(body)
			reply, err := f.Service.Call(c.TB.Context(), call)
			c.Assert(err, qt.IsNil)
			c.Assert(reply.Status, qt.Equals, http.StatusOK)
			c.Assert(reply.Header.Get("Content-Type"), qt.Equals, "application/json")
			c.Assert(len(reply.Body) > 0, qt.IsTrue)
			got := f.Last()
			c.Assert(got.Method, qt.Equals, call.Method)
			c.Assert(got.Path, qt.Equals, call.Path)
			c.Assert(string(got.Body), qt.Equals, body)
			c.Assert(got.Header.Get("X-Dealer"), qt.Equals, "7")
			c.Assert(got.Key, qt.Equals, call.Key)
			c.Assert(got.AttemptID, qt.Equals, call.AttemptID)
			c.Assert(got.Fence, qt.Equals, call.Fence)
			c.Assert(f.Executions(call.Key), qt.Equals, 1)
		}
	}
}

func callConcurrently(c *qt.C, f ServiceFixture) {
	keys := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	var wg sync.WaitGroup
	for _, key := range keys {
		wg.Go(func() {
			_, err := f.Service.Call(c.TB.Context(), refill(key))
			c.Check(err, qt.IsNil)
		})
	}
	wg.Wait()
	for _, key := range keys {
		c.Assert(f.Executions(key), qt.Equals, 1)
	}
}

func lookup(c *qt.C, f ServiceFixture) {
	_, found, err := f.Service.Lookup(c.TB.Context(), "k&1")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsFalse)
	reply, err := f.Service.Call(c.TB.Context(), refill("k&1"))
	c.Assert(err, qt.IsNil)
	again, found, err := f.Service.Lookup(c.TB.Context(), "k&1")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsTrue)
	c.Assert(again.Status, qt.Equals, reply.Status)
	c.Assert(string(again.Body), qt.Equals, string(reply.Body))
	c.Assert(f.Executions("k&1"), qt.Equals, 1)
}

func runServiceFences(t *testing.T, newService NewService) {
	for _, test := range []struct {
		name       string
		checks     bool
		status     int
		executions int
	}{
		{"an old fence where it is checked", true, http.StatusConflict, 0},
		{"an old fence where it is ignored", false, http.StatusOK, 1},
	} {
		serviceBubble(t, test.name, newService, ServiceOptions{ChecksFence: test.checks}, func(c *qt.C, f ServiceFixture) {
			_, err := f.Service.Call(c.TB.Context(), refill("new"))
			c.Assert(err, qt.IsNil)
			old := refill("old")
			old.Fence--
			reply, err := f.Service.Call(c.TB.Context(), old)
			c.Assert(err, qt.IsNil)
			c.Assert(reply.Status, qt.Equals, test.status)
			c.Assert(f.Executions("old"), qt.Equals, test.executions)
			if test.executions == 0 {
				c.Assert(reply.Header.Get("X-Verdict"), qt.Equals, verdict.NotRun.String())
			}
		})
	}
}

func runServiceFaults(t *testing.T, newService NewService) {
	for _, test := range []struct {
		fault      Fault
		executions int
		within     time.Duration
		timeout    time.Duration
	}{
		{fault: FaultDieBefore},
		{fault: FaultDieAfter, executions: 1},
		{fault: FaultDeath},
		{fault: FaultSlow, within: callTimeout},
		{fault: FaultSlow, within: time.Second, timeout: time.Second},
	} {
		serviceBubble(t, string(test.fault), newService, ServiceOptions{}, func(c *qt.C, f ServiceFixture) {
			// This call leaves an idle connection, which the next one reuses.
			_, err := f.Service.Call(c.TB.Context(), refill("before"))
			c.Assert(err, qt.IsNil)
			synctest.Wait()
			f.SetFault(test.fault)
			ctx, cancel := timeout(c)
			defer cancel()
			call := refill("k")
			call.Timeout = test.timeout
			start := time.Now()
			_, err = f.Service.Call(ctx, call)
			c.Assert(time.Since(start), qt.Equals, test.within)
			c.Assert(err, qt.IsNotNil)
			c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun, qt.Commentf("%v", err))
			f.SetFault(FaultNone)
			// The client must not repeat the call.
			time.Sleep(time.Minute)
			c.Assert(f.Executions("k"), qt.Equals, test.executions)
			_, err = f.Service.Call(c.TB.Context(), call)
			c.Assert(err, qt.IsNil)
			c.Assert(f.Executions("k"), qt.Equals, test.executions+1)
		})
	}
	serviceBubble(t, "ended context", newService, ServiceOptions{}, func(c *qt.C, f ServiceFixture) {
		ctx, cancel := context.WithCancel(c.TB.Context())
		cancel()
		_, err := f.Service.Call(ctx, refill("k"))
		c.Assert(err, qt.IsNotNil)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun, qt.Commentf("%v", err))
		c.Assert(f.Executions("k"), qt.Equals, 0)
	})
}
