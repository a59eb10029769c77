package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	endpointrest "github.com/coltsfootcleat/coltsfootcleat/endpoint/rest"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	infrarest "github.com/coltsfootcleat/coltsfootcleat/infra/rest"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const base = "http://127.0.0.1:7000"

// testDeployment is a running default deployment with clients of its services.
type testDeployment struct {
	*qt.C
	deployment *standin.Deployment
	platform   *infrarest.Client
	endpoints  *endpointrest.Client
	http       *http.Client
}

// run starts the default deployment in virtual time, waits for longer than the
// lag of the host list and runs a test.
func run(t *testing.T, name string, test func(d *testDeployment)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			network := memnet.New()
			dial := network.Dialer("127.9.0.1")
			deployment, err := standin.New(standin.Default(), network.Dialer("127.9.0.2"), discardLog())
			c.Assert(err, qt.IsNil)
			c.Assert(deployment.Start(network.Listen), qt.IsNil)
			d := &testDeployment{
				C: c, deployment: deployment,
				platform:  infrarest.New(base, dial, 10*time.Second),
				endpoints: endpointrest.NewClient(dial),
				http:      &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
			}
			defer deployment.Close()
			defer d.platform.Close()
			defer d.endpoints.Close()
			time.Sleep(2 * time.Second)
			test(d)
		})
	})
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func (d *testDeployment) hosts() []infra.Host {
	d.Helper()
	hosts, err := d.platform.HostList().Hosts(d.TB.Context())
	d.Assert(err, qt.IsNil)
	return hosts
}

// engines returns the engine hosts of a failure domain; "" means of all.
func (d *testDeployment) engines(domain string) []infra.Host {
	d.Helper()
	var out []infra.Host
	for _, h := range d.hosts() {
		if h.Endpoints[0].Kind == infra.KindEngine && (domain == "" || h.FailureDomain == domain) {
			out = append(out, h)
		}
	}
	return out
}

// generate starts a long answer and returns its stream after the first frame.
func (d *testDeployment) generate(addr, attempt string) (endpoint.Stream, error) {
	s, err := d.endpoints.Engine(addr).Generate(d.TB.Context(), endpoint.GenerateRequest{
		RequestID: "r", AttemptID: attempt, Customer: "c", Model: "assistant", Version: "v1", MaxTokens: 2000,
		Messages: []endpoint.Message{{Role: "user", Content: "hello there"}},
	})
	if err != nil {
		return nil, err
	}
	d.Cleanup(func() { _ = s.Close() })
	_, err = s.Next(d.TB.Context())
	return s, err
}

func (d *testDeployment) post(path string) int {
	d.Helper()
	resp, err := d.http.Post(base+path, "application/json", strings.NewReader("{}"))
	d.Assert(err, qt.IsNil)
	d.Assert(resp.Body.Close(), qt.IsNil)
	return resp.StatusCode
}

func (d *testDeployment) records() standin.Records {
	d.Helper()
	resp, err := d.http.Get(base + "/admin/records")
	d.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var r standin.Records
	d.Assert(json.NewDecoder(resp.Body).Decode(&r), qt.IsNil)
	return r
}

func TestDeployment(t *testing.T) {
	run(t, "every endpoint answers at its own address", everyEndpoint)
	run(t, "a failure domain is announced, then reclaimed", reclaimDomain)
	run(t, "a host is reclaimed sooner than announced", reclaimedEarly)
	run(t, "a killed host resets its streams", kill)
	run(t, "a requested host loads its model, then serves", requestHost)
	run(t, "admin calls that name no host", badAdminCalls)
	run(t, "faults of all engines of a failure domain", engineFaults)
}

func everyEndpoint(d *testDeployment) {
	seen := make(map[string]bool)
	kinds := make(map[infra.EndpointKind]int)
	for _, h := range d.hosts() {
		d.Assert(h.State, qt.Equals, infra.HostLive)
		for _, e := range h.Endpoints {
			d.Assert(seen[e.Addr], qt.IsFalse)
			seen[e.Addr] = true
			kinds[e.Kind]++
			if e.Kind == infra.KindEngine {
				_, err := d.generate(e.Addr, e.ID)
				d.Assert(err, qt.IsNil)
				continue
			}
			_, err := d.endpoints.Service(e.Addr).Call(d.TB.Context(), endpoint.Call{Method: "POST", Path: "/x", Key: "one", AttemptID: e.ID})
			d.Assert(err, qt.IsNil)
		}
	}
	d.Assert(kinds, qt.DeepEquals, map[infra.EndpointKind]int{infra.KindEngine: 9, infra.KindService: 3})
	r := d.records()
	d.Assert(r.Totals.Attempts, qt.Equals, int64(9))
	// The counts of a service include all its replicas.
	d.Assert(r.Services["orders"].Executions["one"], qt.Equals, 3)
}

func reclaimDomain(d *testDeployment) {
	victims := d.engines("midrand")
	d.Assert(victims, qt.HasLen, 3)
	addr := victims[0].Endpoints[0].Addr
	s, err := d.generate(addr, "a")
	d.Assert(err, qt.IsNil)
	d.Assert(d.post("/admin/reclaim?failure_domain=midrand&notice=8s"), qt.Equals, http.StatusOK)

	notices, err := d.platform.Cloud().Notices(d.TB.Context(), 0)
	d.Assert(err, qt.IsNil)
	d.Assert(notices, qt.HasLen, 4)
	d.Assert(notices[0].Remaining, qt.Equals, 8*time.Second)
	time.Sleep(2 * time.Second)
	for _, h := range d.hosts() {
		leaving := h.State == infra.HostLeaving
		d.Assert(leaving, qt.Equals, h.FailureDomain == "midrand")
	}
	load, err := d.endpoints.Engine(addr).Load(d.TB.Context())
	d.Assert(err, qt.IsNil)
	d.Assert(load.Leaving, qt.IsTrue)

	start := time.Now()
	for err == nil {
		_, err = s.Next(d.TB.Context())
	}
	d.Assert(errors.Is(err, io.EOF), qt.IsFalse)
	d.Assert(time.Since(start), qt.Equals, 6*time.Second)
	synctest.Wait() // until the client has closed its idle connections
	_, err = d.generate(addr, "b")
	d.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	time.Sleep(2 * time.Second)
	d.Assert(d.engines("midrand"), qt.HasLen, 0)
	d.Assert(d.engines(""), qt.HasLen, 6)
	r := d.records()
	d.Assert(r.Attempts[victims[0].ID][0].GeneratedTokens > 100, qt.IsTrue)
	// Eight hosts ran for 12 seconds, and four for 10 seconds.
	want := (3*1.0+0.2+3*1.1+0.2)*12/3600 + (3*0.9+0.2)*10/3600
	d.Assert(math.Abs(r.Cost/want-1) < 0.001, qt.IsTrue, qt.Commentf("%v, want %v", r.Cost, want))
}

func reclaimedEarly(d *testDeployment) {
	f := d.deployment.Platform.Faults()
	f.Cloud.ReclaimDelay = -5 * time.Second
	d.deployment.Platform.SetFaults(f)
	victim := d.engines("kempton")[0]
	d.Assert(d.post("/admin/reclaim?host="+victim.ID+"&notice=8s"), qt.Equals, http.StatusOK)
	time.Sleep(2 * time.Second)
	_, err := d.generate(victim.Endpoints[0].Addr, "a")
	d.Assert(err, qt.IsNil)
	time.Sleep(1100 * time.Millisecond)
	_, err = d.generate(victim.Endpoints[0].Addr, "b")
	d.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
}

func kill(d *testDeployment) {
	victim := d.engines("kempton")[0]
	s, err := d.generate(victim.Endpoints[0].Addr, "a")
	d.Assert(err, qt.IsNil)
	d.Assert(d.post("/admin/kill?host="+victim.ID), qt.Equals, http.StatusOK)
	for err == nil {
		_, err = s.Next(d.TB.Context())
	}
	d.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	d.Assert(d.post("/admin/kill?host="+victim.ID), qt.Equals, http.StatusNotFound)
}

func requestHost(d *testDeployment) {
	ctx := d.TB.Context()
	r := infra.HostRequest{RequestID: "q", FailureDomain: "centurion", Class: "gpu", Reclaimable: true, Model: "assistant", Version: "v1"}
	h, err := d.platform.Cloud().Request(ctx, r)
	d.Assert(err, qt.IsNil)
	for _, other := range d.hosts() {
		d.Assert(other.Endpoints[0].Addr, qt.Not(qt.Equals), h.Endpoints[0].Addr)
	}
	addr := h.Endpoints[0].Addr
	_, err = d.generate(addr, "a")
	d.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
	state, err := d.endpoints.Engine(addr).State(ctx)
	d.Assert(err, qt.IsNil)
	d.Assert(state.Loading, qt.IsTrue)
	time.Sleep(6 * time.Second)
	_, err = d.generate(addr, "b")
	d.Assert(err, qt.IsNil)
	d.Assert(d.engines("centurion"), qt.HasLen, 4)
	d.Assert(d.platform.Cloud().Release(ctx, h.ID), qt.IsNil)
	_, err = d.generate(addr, "c")
	d.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
}

func badAdminCalls(d *testDeployment) {
	for path, want := range map[string]int{
		"/admin/kill":                                   http.StatusBadRequest,
		"/admin/kill?hots=midrand-1":                    http.StatusBadRequest,
		"/admin/kill?host=none":                         http.StatusNotFound,
		"/admin/reclaim?host=midrand-1":                 http.StatusBadRequest,
		"/admin/reclaim?host=midrand-1&notice=-1s":      http.StatusBadRequest,
		"/admin/reclaim?failure_domain=none&notice=10s": http.StatusNotFound,
	} {
		d.Assert(d.post(path), qt.Equals, want, qt.Commentf("%s", path))
	}
	d.Assert(d.hosts(), qt.HasLen, 12)
}

func engineFaults(d *testDeployment) {
	resp, err := d.http.Post(base+"/admin/faults/engines?failure_domain=kempton", "application/json", strings.NewReader(`{"dead":true}`))
	d.Assert(err, qt.IsNil)
	d.Assert(resp.Body.Close(), qt.IsNil)
	for _, h := range d.engines("") {
		_, err := d.generate(h.Endpoints[0].Addr, h.ID)
		d.Assert(err != nil, qt.Equals, h.FailureDomain == "kempton")
	}
}

func TestStartStopsWhatItStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		d, err := standin.New(standin.Default(), network.Dialer("127.9.0.2"), discardLog())
		c.Assert(err, qt.IsNil)
		started := 0
		err = d.Start(func(addr string) (net.Listener, error) {
			if started++; started == 7 {
				return nil, errors.New("no such address")
			}
			return network.Listen(addr)
		})
		c.Assert(err, qt.ErrorMatches, "host .*: no such address")
		_, err = network.Dialer("127.9.0.1")(context.Background(), "tcp", "127.0.0.1:7000")
		c.Assert(err, qt.ErrorMatches, ".*refused")
	})
}
