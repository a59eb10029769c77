package routing

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	testModel   = "triage"
	testVersion = "v1"
)

// testHost returns a host "h<n>" with one engine "e<n>".
func testHost(n int, domain string) infra.Host {
	return infra.Host{
		ID: fmt.Sprintf("h%d", n), Incarnation: "1", FailureDomain: domain, Class: "small",
		Reclaimable: true, State: infra.HostLive, PricePerHour: 1,
		Endpoints: []infra.Endpoint{{
			ID: fmt.Sprintf("e%d", n), Kind: infra.KindEngine, Addr: fmt.Sprintf("10.0.0.%d:80", n),
			Name: testModel, Version: testVersion,
		}},
	}
}

func testHosts(n int) []infra.Host {
	domains := []string{"recife", "fortaleza", "salvador"}
	hosts := make([]infra.Host, n)
	for i := range hosts {
		hosts[i] = testHost(i, domains[i%len(domains)])
	}
	return hosts
}

func testRequest() Request {
	return Request{RequestID: "r", Customer: "c", Model: testModel, Version: testVersion, PromptTokens: 100, MaxTokens: 50}
}

func TestChooseWithoutEndpointIsNotRun(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	_, err := f.Choose(testRequest())
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	c.Assert(verdict.RetryAfterOf(err) > 0, qt.IsTrue)
	_, err = f.ChooseService("market", nil)
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
}

func TestLeavingMarkAppliesToOneIncarnation(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	hosts := testHosts(1)
	f.SetHosts(hosts)
	c.Assert(f.MarkLeaving("h0", "1", "notice"), qt.IsTrue)
	c.Assert(f.MarkLeaving("h0", "1", "peer"), qt.IsFalse)
	f.SetHosts(hosts)
	_, err := f.Choose(testRequest())
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	c.Assert(f.Leaving("h0"), qt.IsTrue)
	replaced := testHosts(1)
	replaced[0].Incarnation = "2"
	f.SetHosts(replaced)
	c.Assert(f.Leaving("h0"), qt.IsFalse)
	_, err = f.Choose(testRequest())
	c.Assert(err, qt.IsNil)
}

func TestEngineReportMarksLeaving(t *testing.T) {
	c := qt.New(t)
	var notified []string
	f := NewFleet(Options{OnLeaving: func(id, _, _ string) { notified = append(notified, id) }})
	f.SetHosts(testHosts(2))
	f.ReportLoad("e0", endpoint.Load{Leaving: true})
	f.ReportLoad("e0", endpoint.Load{Leaving: true})
	c.Assert(notified, qt.DeepEquals, []string{"h0"})
	for range 10 {
		choice, err := f.Choose(testRequest())
		c.Assert(err, qt.IsNil)
		c.Assert(choice.HostID, qt.Equals, "h1")
	}
}

func TestOwnRequestsCorrectLaggingReports(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(3))
	counts := map[string]int{}
	for range 30 {
		choice, err := f.Choose(testRequest())
		c.Assert(err, qt.IsNil)
		counts[choice.Endpoint.ID]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"e0": 10, "e1": 10, "e2": 10})
}

func TestDoneReleasesOnce(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(1))
	choice, err := f.Choose(testRequest())
	c.Assert(err, qt.IsNil)
	c.Assert(f.Endpoints()[0].InFlight, qt.Equals, 1)
	f.Started(choice, endpoint.Frame{})
	f.Done(choice, Outcome{})
	f.Done(choice, Outcome{})
	c.Assert(f.Endpoints()[0].InFlight, qt.Equals, 0)
	c.Assert(choice.replica.own.unstartedTokens, qt.Equals, 0)
	c.Assert(choice.replica.own.unreported(), qt.Equals, work{})
}

// serviceHosts returns n hosts with one endpoint of the service "market" each.
func serviceHosts(n int) []infra.Host {
	hosts := testHosts(n)
	for i := range hosts {
		hosts[i].Endpoints[0].Kind = infra.KindService
		hosts[i].Endpoints[0].Name = "market"
	}
	return hosts
}
