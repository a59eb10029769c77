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
func run(t *testing.T, name string, test func(w *testDeployment)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			network := memnet.New()
			dial := network.Dialer("127.9.0.1")
			d, err := standin.New(standin.Default(), network.Dialer("127.9.0.2"), discardLog())
			c.Assert(err, qt.IsNil)
			c.Assert(d.Start(network.Listen), qt.IsNil)
			w := &testDeployment{
				C: c, deployment: d,
				platform:  infrarest.New(base, dial, 10*time.Second),
				endpoints: endpointrest.NewClient(dial),
				http:      &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
			}
			defer d.Close()
			defer w.platform.Close()
			defer w.endpoints.Close()
			time.Sleep(2 * time.Second)
			test(w)
		})
	})
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func (w *testDeployment) hosts() []infra.Host {
	w.Helper()
	hosts, err := w.platform.HostList().Hosts(w.TB.Context())
	w.Assert(err, qt.IsNil)
	return hosts
}

// engines returns the engine hosts of a failure domain; "" means of all.
func (w *testDeployment) engines(domain string) []infra.Host {
	w.Helper()
	var out []infra.Host
	for _, h := range w.hosts() {
		if h.Endpoints[0].Kind == infra.KindEngine && (domain == "" || h.FailureDomain == domain) {
			out = append(out, h)
		}
	}
	return out
}

// generate starts a long answer and returns its stream after the first frame.
func (w *testDeployment) generate(addr, attempt string) (endpoint.Stream, error) {
	s, err := w.endpoints.Engine(addr).Generate(w.TB.Context(), endpoint.GenerateRequest{
		RequestID: "r", AttemptID: attempt, Customer: "c", Model: "assistant", Version: "v1", MaxTokens: 2000,
		Messages: []endpoint.Message{{Role: "user", Content: "hello there"}},
	})
	if err != nil {
		return nil, err
	}
	w.Cleanup(func() { _ = s.Close() })
	_, err = s.Next(w.TB.Context())
	return s, err
}

func (w *testDeployment) post(path string) int {
	w.Helper()
	resp, err := w.http.Post(base+path, "application/json", strings.NewReader("{}"))
	w.Assert(err, qt.IsNil)
	w.Assert(resp.Body.Close(), qt.IsNil)
	return resp.StatusCode
}

func (w *testDeployment) records() standin.Records {
	w.Helper()
	resp, err := w.http.Get(base + "/admin/records")
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var r standin.Records
	w.Assert(json.NewDecoder(resp.Body).Decode(&r), qt.IsNil)
	return r
}

func TestDeployment(t *testing.T) {
	run(t, "every endpoint answers at its own address", everyEndpoint)
	run(t, "a reclaimed failure domain is announced, then taken", reclaimDomain)
	run(t, "a host taken sooner than announced", reclaimedEarly)
	run(t, "a killed host resets its streams", kill)
	run(t, "a requested host loads its model, then serves", requestHost)
	run(t, "admin calls that name no host", badAdminCalls)
	run(t, "faults of all engines of a failure domain", engineFaults)
}

func everyEndpoint(w *testDeployment) {
	seen := make(map[string]bool)
	kinds := make(map[infra.EndpointKind]int)
	for _, h := range w.hosts() {
		w.Assert(h.State, qt.Equals, infra.HostLive)
		for _, e := range h.Endpoints {
			w.Assert(seen[e.Addr], qt.IsFalse)
			seen[e.Addr] = true
			kinds[e.Kind]++
			if e.Kind == infra.KindEngine {
				_, err := w.generate(e.Addr, e.ID)
				w.Assert(err, qt.IsNil)
				continue
			}
			_, err := w.endpoints.Service(e.Addr).Call(w.TB.Context(), endpoint.Call{Method: "POST", Path: "/x", Key: "one", AttemptID: e.ID})
			w.Assert(err, qt.IsNil)
		}
	}
	w.Assert(kinds, qt.DeepEquals, map[infra.EndpointKind]int{infra.KindEngine: 9, infra.KindService: 3})
	r := w.records()
	w.Assert(r.Totals.Attempts, qt.Equals, int64(9))
	// The counts of a service include all its replicas.
	w.Assert(r.Services["orders"].Executions["one"], qt.Equals, 3)
}

func reclaimDomain(w *testDeployment) {
	victims := w.engines("midrand")
	w.Assert(victims, qt.HasLen, 3)
	addr := victims[0].Endpoints[0].Addr
	s, err := w.generate(addr, "a")
	w.Assert(err, qt.IsNil)
	w.Assert(w.post("/admin/reclaim?failure_domain=midrand&notice=8s"), qt.Equals, http.StatusOK)

	notices, err := w.platform.Cloud().Notices(w.TB.Context(), 0)
	w.Assert(err, qt.IsNil)
	w.Assert(notices, qt.HasLen, 4)
	w.Assert(notices[0].Remaining, qt.Equals, 8*time.Second)
	time.Sleep(2 * time.Second)
	for _, h := range w.hosts() {
		leaving := h.State == infra.HostLeaving
		w.Assert(leaving, qt.Equals, h.FailureDomain == "midrand")
	}
	load, err := w.endpoints.Engine(addr).Load(w.TB.Context())
	w.Assert(err, qt.IsNil)
	w.Assert(load.Leaving, qt.IsTrue)

	start := time.Now()
	for err == nil {
		_, err = s.Next(w.TB.Context())
	}
	w.Assert(errors.Is(err, io.EOF), qt.IsFalse)
	w.Assert(time.Since(start), qt.Equals, 6*time.Second)
	synctest.Wait() // until the client has closed its idle connections
	_, err = w.generate(addr, "b")
	w.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	time.Sleep(2 * time.Second)
	w.Assert(w.engines("midrand"), qt.HasLen, 0)
	w.Assert(w.engines(""), qt.HasLen, 6)
	r := w.records()
	w.Assert(r.Attempts[victims[0].ID][0].GeneratedTokens > 100, qt.IsTrue)
	// Eight hosts ran for 12 seconds, and four for 10 seconds.
	want := (3*1.0+0.2+3*1.1+0.2)*12/3600 + (3*0.9+0.2)*10/3600
	w.Assert(math.Abs(r.Cost/want-1) < 0.001, qt.IsTrue, qt.Commentf("%v, want %v", r.Cost, want))
}

func reclaimedEarly(w *testDeployment) {
	f := w.deployment.Platform.Faults()
	f.Cloud.ReclaimDelay = -5 * time.Second
	w.deployment.Platform.SetFaults(f)
	victim := w.engines("kempton")[0]
	w.Assert(w.post("/admin/reclaim?host="+victim.ID+"&notice=8s"), qt.Equals, http.StatusOK)
	time.Sleep(2 * time.Second)
	_, err := w.generate(victim.Endpoints[0].Addr, "a")
	w.Assert(err, qt.IsNil)
	time.Sleep(1100 * time.Millisecond)
	_, err = w.generate(victim.Endpoints[0].Addr, "b")
	w.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
}

func kill(w *testDeployment) {
	victim := w.engines("kempton")[0]
	s, err := w.generate(victim.Endpoints[0].Addr, "a")
	w.Assert(err, qt.IsNil)
	w.Assert(w.post("/admin/kill?host="+victim.ID), qt.Equals, http.StatusOK)
	for err == nil {
		_, err = s.Next(w.TB.Context())
	}
	w.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	w.Assert(w.post("/admin/kill?host="+victim.ID), qt.Equals, http.StatusNotFound)
}

func requestHost(w *testDeployment) {
	ctx := w.TB.Context()
	r := infra.HostRequest{RequestID: "q", FailureDomain: "centurion", Class: "gpu", Reclaimable: true, Model: "assistant", Version: "v1"}
	h, err := w.platform.Cloud().Request(ctx, r)
	w.Assert(err, qt.IsNil)
	for _, other := range w.hosts() {
		w.Assert(other.Endpoints[0].Addr, qt.Not(qt.Equals), h.Endpoints[0].Addr)
	}
	addr := h.Endpoints[0].Addr
	_, err = w.generate(addr, "a")
	w.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
	state, err := w.endpoints.Engine(addr).State(ctx)
	w.Assert(err, qt.IsNil)
	w.Assert(state.Loading, qt.IsTrue)
	time.Sleep(6 * time.Second)
	_, err = w.generate(addr, "b")
	w.Assert(err, qt.IsNil)
	w.Assert(w.engines("centurion"), qt.HasLen, 4)
	w.Assert(w.platform.Cloud().Release(ctx, h.ID), qt.IsNil)
	_, err = w.generate(addr, "c")
	w.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
}

func badAdminCalls(w *testDeployment) {
	for path, want := range map[string]int{
		"/admin/kill":                                   http.StatusBadRequest,
		"/admin/kill?hots=midrand-1":                    http.StatusBadRequest,
		"/admin/kill?host=none":                         http.StatusNotFound,
		"/admin/reclaim?host=midrand-1":                 http.StatusBadRequest,
		"/admin/reclaim?host=midrand-1&notice=-1s":      http.StatusBadRequest,
		"/admin/reclaim?failure_domain=none&notice=10s": http.StatusNotFound,
	} {
		w.Assert(w.post(path), qt.Equals, want, qt.Commentf("%s", path))
	}
	w.Assert(w.hosts(), qt.HasLen, 12)
}

func engineFaults(w *testDeployment) {
	resp, err := w.http.Post(base+"/admin/faults/engines?failure_domain=kempton", "application/json", strings.NewReader(`{"dead":true}`))
	w.Assert(err, qt.IsNil)
	w.Assert(resp.Body.Close(), qt.IsNil)
	for _, h := range w.engines("") {
		_, err := w.generate(h.Endpoints[0].Addr, h.ID)
		w.Assert(err != nil, qt.Equals, h.FailureDomain == "kempton")
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
