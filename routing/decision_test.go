package routing

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// TestPriceAgainstLoss checks that the weights decide between a cheap host with
// a high loss rate and an expensive one with a low loss rate.
func TestPriceAgainstLoss(t *testing.T) {
	tests := []struct {
		name    string
		weights template.Weights
		want    string
	}{
		{"cost", template.Weights{Cost: 1, Recomputed: 0.01}, "e0"},
		{"recomputed", template.Weights{Cost: 0.01, Recomputed: 1}, "e1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := NewFleet(Options{Weights: test.weights})
			hosts := testHosts(2)
			hosts[0].PricePerHour = 0
			hosts[1].PricePerHour = 0
			f.SetHosts(hosts)
			f.SetOffers([]infra.Offer{
				{FailureDomain: "recife", Class: "small", Reclaimable: true, PricePerHour: 1, LossPerHour: 60},
				{FailureDomain: "fortaleza", Class: "small", Reclaimable: true, PricePerHour: 1.2, LossPerHour: 0.1},
			})
			req := testRequest()
			req.Deadline = 5 * time.Second
			choice, err := f.Choose(req)
			c.Assert(err, qt.IsNil)
			c.Assert(choice.Endpoint.ID, qt.Equals, test.want)
			c.Assert(f.Endpoints()[1].PricePerHour > 1.1, qt.IsTrue)
		})
	}
}

// TestOwnLossesRaiseRate checks that a lost host raises the loss rate of its
// failure domain, and that a drain by an operator doesn't.
func TestOwnLossesRaiseRate(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	f := NewFleet(Options{Now: clock.now})
	f.SetHosts(testHosts(6))
	clock.advance(time.Hour)
	f.SetHosts(testHosts(6))
	f.MarkLeaving("h0", "1", "notice")
	f.MarkLeaving("h1", "1", ReasonOperator)
	f.SetHosts(testHosts(6))
	status := f.Endpoints()
	c.Assert(status[3].LossPerHour > 0.1, qt.IsTrue)
	c.Assert(status[4].LossPerHour, qt.Equals, 0.0)
}

// TestUrgentHeadroom checks that, as batches fill up, patient requests are
// refused first and normal ones next, while urgent ones are still accepted.
func TestUrgentHeadroom(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(2))
	for _, id := range []string{"e0", "e1"} {
		f.ReportLoad(id, endpoint.Load{MaxRunning: 16, PrefillRate: 8000, DecodeRate: 40})
	}
	fill := func(u template.Urgency) int {
		n := 0
		for ; n < 100; n++ {
			req := testRequest()
			req.Urgency = u
			if _, err := f.Choose(req); err != nil {
				c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
				c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeOverloaded)
				c.Assert(verdict.RetryAfterOf(err) > 0, qt.IsTrue)
				break
			}
		}
		return n
	}
	c.Assert(fill(template.UrgencyPatient), qt.Equals, 28)
	c.Assert(fill(template.UrgencyNormal), qt.Equals, 2)
	c.Assert(fill(template.UrgencyUrgent), qt.Equals, 100)
	req := testRequest()
	req.Urgency = template.UrgencyPatient
	req.Resumed = true
	_, err := f.Choose(req)
	c.Assert(err, qt.IsNil)
}

// TestDeadlineBeatsCache checks that an endpoint with a cached prefix is not
// chosen when its queue would cause a missed deadline.
func TestDeadlineBeatsCache(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(2))
	prompt := promptHashes(1, 16)
	f.ApplyCacheEvents("e0", 0, cachedEvents(prompt))
	req := testRequest()
	req.Hashes = prompt
	req.PromptTokens = 16 * prefix.BlockTokens
	req.Deadline = 460 * time.Millisecond
	choice, err := f.Choose(req)
	c.Assert(err, qt.IsNil)
	c.Assert(choice.Endpoint.ID, qt.Equals, "e0")
	c.Assert(choice.RunnerUp, qt.Equals, "e1")
	f.Done(choice, Outcome{})
	f.ReportLoad("e0", endpoint.Load{QueuedPromptTokens: 8000, PrefillRate: 8000, DecodeRate: 40, MaxRunning: 16})
	choice, err = f.Choose(req)
	c.Assert(err, qt.IsNil)
	c.Assert(choice.Endpoint.ID, qt.Equals, "e1")
}

func TestExclude(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(2))
	req := testRequest()
	req.Exclude = []string{"e0"}
	for range 5 {
		choice, err := f.Choose(req)
		c.Assert(err, qt.IsNil)
		c.Assert(choice.Endpoint.ID, qt.Equals, "e1")
	}
	req.Exclude = []string{"e0", "e1"}
	_, err := f.Choose(req)
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
}

func TestEjection(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	f := NewFleet(Options{Now: clock.now})
	f.SetHosts(testHosts(2))
	broken := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
	e0Only := testRequest()
	e0Only.Exclude = []string{"e1"}
	fail := func(n int) {
		for range n {
			choice, err := f.Choose(e0Only)
			c.Assert(err, qt.IsNil)
			f.Done(choice, Outcome{Err: broken})
		}
	}
	// A cancellation by the client is not a failure of the endpoint.
	for range 10 {
		choice, err := f.Choose(e0Only)
		c.Assert(err, qt.IsNil)
		f.Done(choice, Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "gone")})
	}
	c.Assert(f.Endpoints()[0].Ejected, qt.IsFalse)
	fail(ejectAfterFailures)
	c.Assert(f.Endpoints()[0].Ejected, qt.IsTrue)
	for range 10 {
		choice, err := f.Choose(testRequest())
		c.Assert(err, qt.IsNil)
		c.Assert(choice.Endpoint.ID, qt.Equals, "e1")
	}
	// The ejected endpoint is chosen when there is no other.
	_, err := f.Choose(e0Only)
	c.Assert(err, qt.IsNil)
	// After the ejection it is probed first, and one failure ejects it again.
	clock.advance(maxEjection)
	probed, ok := f.NextProbe()
	c.Assert(ok, qt.IsTrue)
	c.Assert(probed.ID, qt.Equals, "e0")
	c.Assert(f.Endpoints()[0].Ejected, qt.IsFalse)
	f.ReportFailure("e0", errors.New("no answer"))
	c.Assert(f.Endpoints()[0].Ejected, qt.IsTrue)
	f.ReportLoad("e0", endpoint.Load{})
	c.Assert(f.Endpoints()[0].Ejected, qt.IsFalse)
}

// TestProbesFollowRequests checks that the number of probes depends on the
// request rate and not on the size of the fleet.
func TestProbesFollowRequests(t *testing.T) {
	for _, n := range []int{9, 2900} {
		c := qt.New(t)
		clock := newClock()
		f := NewFleet(Options{Now: clock.now})
		f.SetHosts(testHosts(n))
		count := func(requests int) int {
			probes := 0
			for range 10 {
				for range requests {
					choice, err := f.Choose(testRequest())
					c.Assert(err, qt.IsNil)
					f.Done(choice, Outcome{})
				}
				clock.advance(time.Second)
				for _, ok := f.NextProbe(); ok; _, ok = f.NextProbe() {
					probes++
				}
			}
			return probes
		}
		idle, busy := count(0), count(40)
		c.Assert(idle <= 21, qt.IsTrue, qt.Commentf("%d", idle))
		c.Assert(busy >= 110 && busy <= 121, qt.IsTrue, qt.Commentf("%d", busy))
	}
}

// TestLatenessAdaptsAndDecays checks that first frames later than predicted
// raise the prediction, and that the correction decays.
func TestLatenessAdaptsAndDecays(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	f := NewFleet(Options{Now: clock.now})
	f.SetHosts(testHosts(1))
	for range 50 {
		choice, err := f.Choose(testRequest())
		c.Assert(err, qt.IsNil)
		clock.advance(300 * time.Millisecond)
		f.Started(choice, endpoint.Frame{})
		f.Done(choice, Outcome{})
	}
	predicted, ok := f.Predict(testRequest())
	c.Assert(ok, qt.IsTrue)
	c.Assert(predicted > 200*time.Millisecond && predicted < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", predicted))
	clock.advance(time.Minute)
	predicted, _ = f.Predict(testRequest())
	c.Assert(predicted < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", predicted))
}

func TestServicePrefersOwnDomain(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{FailureDomain: "salvador"})
	f.SetHosts(serviceHosts(3))
	first, err := f.ChooseService("market", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(first.FailureDomain, qt.Equals, "salvador")
	second, err := f.ChooseService("market", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(second.FailureDomain, qt.Not(qt.Equals), "salvador")
}

func TestHeadroomCountsOwnRequests(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(3))
	f.ReportLoad("e0", endpoint.Load{Running: 6, MaxRunning: 10})
	f.ReportLoad("e1", endpoint.Load{MaxRunning: 16})
	f.ReportLoad("e2", endpoint.Load{MaxRunning: 16})
	_, err := f.Choose(testRequest())
	c.Assert(err, qt.IsNil)
	h, ok := f.Headroom(testModel)
	c.Assert(ok, qt.IsTrue)
	total := 10 + 2*16
	c.Assert(h, qt.Equals, Headroom{Free: total - 6 - 1, Total: total, Unseen: 1})
	_, ok = f.Headroom("unknown")
	c.Assert(ok, qt.IsFalse)
}

// TestChoiceWritesOneLogLine checks that a choice writes a single log line,
// with its reason and without the prompt.
func TestChoiceWritesOneLogLine(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	f := NewFleet(Options{Log: logrus.NewEntry(logger)})
	f.SetHosts(testHosts(2))
	_, err := f.Choose(testRequest())
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(out.String(), "\n"), qt.Equals, 1)
	for _, part := range []string{"routing: endpoint chosen.", "reason=", "runner_up=e", "request=r"} {
		c.Assert(out.String(), qt.Contains, part)
	}
}

// TestLoadBound checks that an endpoint with a cached prefix is not chosen when
// its load is far above the average, even without a deadline.
func TestLoadBound(t *testing.T) {
	for _, test := range []struct {
		running int
		want    string
	}{{10, "e0"}, {13, "e1"}} {
		c := qt.New(t)
		f := NewFleet(Options{Now: newClock().now})
		f.SetHosts(testHosts(2))
		prompt := promptHashes(1, 16)
		f.ApplyCacheEvents("e0", 0, cachedEvents(prompt))
		for id, running := range map[string]int{"e0": test.running, "e1": 2} {
			f.ReportLoad(id, endpoint.Load{Running: running, MaxRunning: 16, PrefillRate: 8000, DecodeRate: 40})
		}
		req := testRequest()
		req.Hashes = prompt
		req.PromptTokens = 16 * prefix.BlockTokens
		choice, err := f.Choose(req)
		c.Assert(err, qt.IsNil)
		c.Assert(choice.Endpoint.ID, qt.Equals, test.want)
	}
}
