package delivery

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// A plan takes 50 to 100 s to generate, longer than the checkpoint interval.
const (
	planTokens = 1000
	decodeRate = 10
	otherAddr  = "10.8.0.2:1"
)

var planKind = template.Kind{
	Name: "plan", Urgency: template.UrgencyPatient, Deadline: template.Duration(time.Second),
	Delivery: template.DeliveryDurable, Outage: template.OutageRefuse, Model: "lm", MaxTokens: planTokens,
}

// oneEngine is a fleet with a single engine, and the client for it.
type oneEngine struct {
	engine     *enginestandin.Engine
	noEndpoint bool
	// replacement replaces engine once it is set.
	replacement atomic.Pointer[enginestandin.Engine]
}

func (o *oneEngine) Choose(routing.Request) (routing.Choice, error) {
	if o.noEndpoint {
		return routing.Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no endpoint")
	}
	if o.replacement.Load() != nil {
		return routing.Choice{HostID: "h2", Endpoint: infra.Endpoint{ID: "e2", Addr: otherAddr}}, nil
	}
	return routing.Choice{HostID: "h1", Endpoint: infra.Endpoint{ID: "e1", Addr: "10.8.0.1:1"}}, nil
}

func (o *oneEngine) Started(routing.Choice, endpoint.Frame)        {}
func (o *oneEngine) Progress(routing.Choice, endpoint.Load)        {}
func (o *oneEngine) Done(routing.Choice, routing.Outcome)          {}
func (o *oneEngine) Predict(routing.Request) (time.Duration, bool) { return 0, false }
func (o *oneEngine) Service(string) endpoint.Service               { return nil }

func (o *oneEngine) Engine(addr string) endpoint.Engine {
	if addr == otherAddr {
		return o.replacement.Load()
	}
	return o.engine
}

// holdCounter counts the work that an entry waits for before it stops.
type holdCounter struct{ n atomic.Int64 }

func (h *holdCounter) Hold()  { h.n.Add(1) }
func (h *holdCounter) Leave() { h.n.Add(-1) }

// entry contains the components of an entry host that run durable requests.
type entry struct {
	*Service
	jobs  *job.Store
	holds *holdCounter
}

// testCluster holds what several entries share: the table, the object store,
// the engines and the admission controller. It must be used in a single
// synctest bubble.
type testCluster struct {
	table   *standin.Table
	objects *standin.Objects
	fleet   *oneEngine
	admit   *admission.Controller
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	engine := enginestandin.NewEngine(enginestandin.EngineConfig{Model: "lm", Version: "1", DecodeRate: decodeRate})
	t.Cleanup(engine.Close)
	tc := &testCluster{table: standin.NewTable(1), objects: standin.NewObjects(1), fleet: &oneEngine{engine: engine}}
	t.Cleanup(tc.table.Close)
	tc.admit = admission.New(admission.Options{})
	tc.admit.SetTemplate(&template.Template{
		Kinds:     []template.Kind{planKind},
		Customers: []template.Customer{{Name: "one", Share: 1, TokensPerSecond: 1e6, BurstTokens: 1e6}},
	})
	return tc
}

func (tc *testCluster) entry(t *testing.T, id string) *entry {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	e := &entry{holds: &holdCounter{}}
	e.jobs = job.New(tc.table, tc.objects, job.Options{Owner: id, Incarnation: "i-" + id, Log: log})
	e.Service = New(Options{
		Relay:            relay.New(relay.Options{Fleet: tc.fleet, Client: tc.fleet, Log: log, ProgressTimeout: time.Minute}),
		Predictor:        tc.fleet,
		Jobs:             e.jobs,
		CheckpointPolicy: job.NewCheckpointPolicy(0, 0, 0),
		Kinds:            func(string) (template.Kind, bool) { return planKind, true },
		DrainGate:        e.holds,
		Log:              log,
	})
	t.Cleanup(func() {
		e.Close()
		e.jobs.Close()
	})
	return e
}

func (tc *testCluster) request(c *qt.C, id string) *Request {
	c.Helper()
	ticket, err := tc.admit.Admit(context.Background(), admission.Request{RequestID: id, Customer: "one", Kind: "plan", Tokens: planTokens})
	c.Assert(err, qt.IsNil)
	messages := []endpoint.Message{{Role: "user", Content: "a plan for " + id}}
	hashes, tokens := prefix.Hashes("one", prefix.Text(messages))
	return &Request{
		ID: id, Customer: template.Customer{Name: "one"}, Kind: planKind, Model: "lm", Version: "1",
		Messages: messages, Hashes: hashes, PromptTokens: tokens, MaxTokens: planTokens, Ticket: ticket,
	}
}

// accept starts the durable request r1 at an entry.
func (tc *testCluster) accept(c *qt.C, e *entry) *Request {
	c.Helper()
	r := tc.request(c, "r1")
	_, err := e.StartDurable(c.Context(), r)
	c.Assert(err, qt.IsNil)
	return r
}

// expectedAnswer returns the complete answer to r.
func expectedAnswer(r *Request) string {
	prompt := prefix.Text(r.Messages)
	return enginestandin.Answer("lm", "1", prompt, enginestandin.AnswerTokens(prompt, planTokens))
}

// follow follows an answer in the background.
func follow(c *qt.C, e *entry, id string, from int) (*reader, chan error) {
	out, done := newReader(from), make(chan error, 1)
	go func() { done <- e.Follow(c.Context(), "one", id, from, out) }()
	return out, done
}

// TestEndIsRecordedAfterAnOutage checks that, if the table is unavailable at
// the end of an answer, readers still get the answer and the entry does not
// stop before it is recorded.
func TestEndIsRecordedAfterAnOutage(t *testing.T) {
	outages := map[string]standin.TableFaults{
		"outage":      {Outage: true},
		"hangs":       {Hang: true},
		"lost writes": {LoseRequest: 1},
	}
	for name, faults := range outages {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				tc := newTestCluster(t)
				one, two := tc.entry(t, "one"), tc.entry(t, "two")
				r := tc.accept(c, one)
				out, done := follow(c, one, "r1", 3)
				time.Sleep(time.Second)
				tc.table.SetFaults(faults)
				c.Assert(<-done, qt.IsNil)
				c.Assert(out.text.String(), qt.Equals, prefix.Skip(expectedAnswer(r), 3))
				time.Sleep(time.Minute)
				c.Assert(one.holds.n.Load(), qt.Equals, int64(1), qt.Commentf("entry may end before the answer is recorded"))

				tc.table.SetFaults(standin.TableFaults{})
				time.Sleep(10 * time.Second)
				c.Assert(one.holds.n.Load(), qt.Equals, int64(0))
				status, err := two.Status(t.Context(), "one", "r1")
				c.Assert(err, qt.IsNil)
				c.Assert(status.State, qt.Equals, string(job.StateDone))
				c.Assert(status.Text, qt.Equals, expectedAnswer(r))
				c.Assert(tc.fleet.engine.Attempts(), qt.HasLen, 1)
			})
		})
	}
}

// TestFencedRunEnds checks that a run ends once another entry owns the request,
// and that its readers get the rest of the answer.
func TestFencedRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tc := newTestCluster(t)
		one, two := tc.entry(t, "one"), tc.entry(t, "two")
		r := tc.accept(c, one)
		out, done := follow(c, one, "r1", 0)
		time.Sleep(2 * time.Second)
		record, err := two.jobs.Claim(t.Context(), "one", "r1", 1)
		c.Assert(err, qt.IsNil)
		resumed := make(chan error, 1)
		go func() { resumed <- two.Resume(t.Context(), record) }()
		elsewhere, doneElsewhere := follow(c, two, "r1", 5)
		// The next checkpoint of the first entry fails with CodeFenced.
		time.Sleep(one.options.CheckpointPolicy.Interval(1) + time.Second)
		c.Assert(one.holds.n.Load(), qt.Equals, int64(0), qt.Commentf("the fenced run goes on"))
		c.Assert(two.holds.n.Load(), qt.Equals, int64(1), qt.Commentf("the answer ended too early for this test"))

		c.Assert(<-resumed, qt.IsNil)
		c.Assert(<-done, qt.IsNil)
		c.Assert(<-doneElsewhere, qt.IsNil)
		c.Assert(out.text.String(), qt.Equals, expectedAnswer(r))
		c.Assert(elsewhere.text.String(), qt.Equals, prefix.Skip(expectedAnswer(r), 5))
		c.Assert(out.ends, qt.Equals, 1)
		c.Assert(one.liveAnswer("r1"), qt.IsNil)
		c.Assert(tc.fleet.engine.Attempts(), qt.HasLen, 1, qt.Commentf("the engine's stream was not taken over"))
	})
}

// TestRemoteReaderLeavesHungEngine checks that a reader at another entry gets
// the complete answer if the engine hangs and the owner moves the request to
// another engine.
func TestRemoteReaderLeavesHungEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tc := newTestCluster(t)
		one, two := tc.entry(t, "one"), tc.entry(t, "two")
		r := tc.accept(c, one)
		time.Sleep(time.Second)
		out, done := follow(c, two, "r1", 0)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		c.Assert(out.next > 0, qt.IsTrue)
		tc.fleet.engine.SetFaults(enginestandin.EngineFaults{Hang: true})
		other := enginestandin.NewEngine(enginestandin.EngineConfig{Model: "lm", Version: "1", DecodeRate: decodeRate})
		defer other.Close()
		tc.fleet.replacement.Store(other)
		c.Assert(<-done, qt.IsNil)
		c.Assert(out.text.String(), qt.Equals, expectedAnswer(r))
		c.Assert(out.ends, qt.Equals, 1)
	})
}

// TestFailureIsRecorded checks that readers at all entries get the same error
// for a failed request.
func TestFailureIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tc := newTestCluster(t)
		tc.fleet.noEndpoint = true
		one, two := tc.entry(t, "one"), tc.entry(t, "two")
		tc.accept(c, one)
		_, here := follow(c, one, "r1", 0)
		_, there := follow(c, two, "r1", 0)
		for _, done := range []chan error{here, there} {
			err := <-done
			c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeUnavailable)
			c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		}
		status, err := two.Status(t.Context(), "one", "r1")
		c.Assert(err, qt.IsNil)
		c.Assert(status.State, qt.Equals, string(job.StateFailed))
		c.Assert(status.Verdict, qt.Equals, "not_run")
	})
}

// TestRequestIsVisibleOnlyToItsCustomer checks that no other customer can read
// a request, while it runs and after it has ended.
func TestRequestIsVisibleOnlyToItsCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tc := newTestCluster(t)
		one, two := tc.entry(t, "one"), tc.entry(t, "two")
		tc.accept(c, one)
		synctest.Wait()
		c.Assert(one.liveAnswer("r1"), qt.IsNotNil)
		for range 2 {
			for _, e := range []*entry{one, two} {
				_, err := e.Status(t.Context(), "two", "r1")
				c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
				out := newReader(0)
				err = e.Follow(t.Context(), "two", "r1", 0, out)
				c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
				c.Assert(out.text.Len(), qt.Equals, 0)
			}
			time.Sleep(2 * time.Minute)
		}
	})
}

// TestAttachedRequestReleasesItsTicket checks that an attached request releases
// its place in admission if its client has disconnected.
func TestAttachedRequestReleasesItsTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tc := newTestCluster(t)
		one := tc.entry(t, "one")
		disconnected := errors.New("connection reset")
		for range admission.DefaultMaxInFlight + admission.DefaultMaxQueue {
			err := one.RunAttached(t.Context(), tc.request(c, "r1"), &reader{writeErr: disconnected})
			c.Assert(errors.Is(err, disconnected), qt.IsTrue)
			c.Assert(verdict.Of(err), qt.Equals, verdict.Ran)
		}
	})
}
