package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

// dialect is a minimal Dialect for tests.
type dialect struct{}

func (dialect) DecodeRequest(r *http.Request) (gateway.Request, error) {
	out := gateway.Request{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last")}
	for field := range strings.FieldsSeq(r.Header.Get("Parts")) {
		id, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return out, err
		}
		out.Parts = append(out.Parts, balance.Part{ID: id, Tokens: 100})
	}
	if ms := r.Header.Get("Patience"); ms != "" {
		n, err := strconv.Atoi(ms)
		if err != nil {
			return out, err
		}
		out.ClientTimeout = time.Duration(n) * time.Millisecond
	}
	return out, nil
}

func (dialect) ReplicaHeader(r *http.Request, f gateway.Forwarding) http.Header {
	h := http.Header{"Id": {r.Header.Get("Id")}, "Replica": {f.ReplicaID}, "Customer": {f.Customer}, "Parts": r.Header["Parts"]}
	h.Set("Remaining", strconv.FormatInt(f.Remaining.Milliseconds(), 10))
	h.Set("Last", f.LastEventID)
	return h
}

func (dialect) DecodeReply(_ int, h http.Header) gateway.Reply {
	return gateway.Reply{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

func (dialect) ClientHeader(h http.Header) http.Header { return h.Clone() }

// noPeers is the mesh of an entry without peers.
type noPeers struct{}

func (noPeers) Members() []string { return []string{"e"} }
func (noPeers) Reserve(context.Context, string, string, float64, time.Duration) (rate.Reservation, error) {
	return rate.Reservation{OK: true}, nil
}
func (noPeers) Place(context.Context, string, balance.Query) (balance.Placement, error) {
	return balance.Placement{}, balance.ErrNoReplica
}

type recorder struct{}

func (recorder) Ended(string, string, int, time.Duration) {}
func (recorder) FirstToken(string, time.Duration)         {}
func (recorder) Retried(string)                           {}

// testEntry is an entry with scripted replicas and a client.
type testEntry struct {
	network *memnet.Network
	set     *replica.Set
	config  *config.Holder
	handler *gateway.Handler
	server  *http.Server
	age     time.Duration
	client  *http.Client

	mu sync.Mutex
	// received lists the requests that replicas have received, as "replica id
	// last".
	received []string
}

// script answers one request at a replica. The connection is closed if it
// returns false.
type script func(nc net.Conn, req *http.Request) bool

func newTestEntry(t *testing.T, c *config.Configuration, scripts ...script) *testEntry {
	e := &testEntry{network: memnet.New(), set: replica.NewSet(nolog.Or(nil)), config: &config.Holder{}}
	if c != nil {
		e.config.Offer(c.Compile())
	}
	clock := usage.NewClock()
	pool := upstream.NewPool(e.network.Dialer("10.0.0.1"))
	limiter := quota.NewLimiter(quota.Tolerance{})
	if c != nil {
		limiter.SetConfiguration(c)
	}
	e.handler = gateway.New(gateway.Deps{
		Dialect: dialect{}, Config: e.config,
		ConfigAge:   func() (time.Duration, bool) { return e.age, true },
		RegistryAge: func() (time.Duration, bool) { return 0, true },
		Balancer:    balance.NewGlobalBalancer(balance.New(e.set, balance.Options{FailureDomain: "d", Seed: 1, Log: nolog.Or(nil)}), "e", noPeers{}, nolog.Or(nil)), Pool: pool,
		Quarantine: quarantine.New(quarantine.Options{
			ID: "e", Members: noPeers{}.Members, Ready: func(service string) []*replica.Replica { return e.set.Current().Ready[service] },
			Log: nolog.Or(nil), Count: func(string) {},
		}),
		Limiter: quota.NewGlobalLimiter(limiter, "e", noPeers{}, nolog.Or(nil)),
		Retries: quota.NewRetryBudget(quota.RetryOptions{Extra: 20, Window: 10 * time.Second}),
		Usage:   usage.NewCounter(5*time.Second, clock), Log: nolog.Or(nil), Recorder: recorder{},
	})
	for i, s := range scripts {
		e.addReplica(t, fmt.Sprintf("r%d", i), s)
	}
	l, err := e.network.Listen("10.0.0.1:80")
	qt.Assert(t, err, qt.IsNil)
	e.server = &http.Server{Handler: e.handler}
	go func() { _ = e.server.Serve(l) }()
	transport := &http.Transport{DialContext: e.network.Dialer("10.0.0.2")}
	e.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = e.server.Close()
		pool.Close()
	})
	return e
}

func (e *testEntry) addReplica(t *testing.T, id string, s script) {
	address := fmt.Sprintf("10.0.1.%d:80", 1+len(e.set.Current().All))
	l, err := e.network.Listen(address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go e.serveConn(nc, s)
		}
	}()
	e.set.Put(replica.Registration{ID: id, Service: "s", Addr: address, FailureDomain: "d", Slots: 4})
}

func (e *testEntry) serveConn(nc net.Conn, s script) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		e.mu.Lock()
		e.received = append(e.received, strings.TrimSpace(req.Header.Get("Replica")+" "+req.Header.Get("Id")+" "+req.Header.Get("Last")))
		e.mu.Unlock()
		if !s(nc, req) {
			return
		}
	}
}

// receivedCount returns the number of requests that replicas have received.
func (e *testEntry) receivedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

// get sends a request and returns its response and body. The error is not nil
// if the response is incomplete.
func (e *testEntry) get(t *testing.T, path string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://10.0.0.1:80"+path, strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "h"
	req.Header.Set("Id", "q1")
	req.Header.Set("Patience", "3000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func testConfiguration() *config.Configuration {
	target := []config.Target{{Service: "s", Weight: 1}}
	second := time.Second
	return &config.Configuration{Version: 1, Routes: []config.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: config.Once, Timeout: second, Attempts: 2, Targets: target},
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: config.Repeatable, Timeout: second, Attempts: 2, Targets: target},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: config.Stream, Timeout: second, Attempts: 2, Targets: target},
		{Name: "resume", Host: "h", Prefix: "/resume/", Kind: config.Stream, Timeout: second, Attempts: 2, Targets: target, Resumable: true},
	}, Services: map[string]config.Service{"s": {Name: "s"}}}
}

func answerOK(nc net.Conn, req *http.Request) bool {
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\ngood", req.Header.Get("Id"))
	return err == nil
}

func answerStatus(code int, extra string) script {
	return func(nc net.Conn, req *http.Request) bool {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: 3\r\n\r\nbad", code, req.Header.Get("Id"), extra)
		return err == nil
	}
}

// closeUnanswered closes the connection without an answer.
func closeUnanswered(net.Conn, *http.Request) bool { return false }

// neverAnswer waits until the entry closes the connection.
func neverAnswer(nc net.Conn, _ *http.Request) bool {
	_, _ = nc.Read(make([]byte, 1))
	return false
}

// answerTruncated closes the connection in the middle of the body.
func answerTruncated(nc net.Conn, req *http.Request) bool {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 400\r\n\r\npart", req.Header.Get("Id"))
	return false
}

// answerEvents sends the events of a stream, from the one after Last-Event-ID
// up to last. It then ends the stream properly if complete is set, or else
// aborts it in the middle of the next event.
func answerEvents(last int, complete bool) script {
	return func(nc net.Conn, req *http.Request) bool {
		from, _ := strconv.Atoi(req.Header.Get("Last"))
		var b strings.Builder
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
		for i := from + 1; i <= last; i++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		}
		if complete {
			b.WriteString("0\r\n\r\n")
		} else {
			b.WriteString("5\r\nid: 9\r\n")
		}
		_, _ = io.WriteString(nc, b.String())
		return complete
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// guaranteesNotRun reports whether the status guarantees that the request has
// not run.
func guaranteesNotRun(code int) bool {
	return code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable || code == http.StatusRequestTimeout
}

func TestAnswersToClientsOfFaultyReplicas(t *testing.T) {
	shed := answerStatus(503, "Not-Run: 1\r\n")
	for _, test := range []struct {
		name  string
		path  string
		first script
		// second is the script of another replica, nil if there is none.
		second script
		status int
		body   string
		cut    bool
		runs   int
	}{
		{"answer", "/once/x", answerOK, nil, 200, "good", false, 1},
		{"own failure is passed on", "/once/x", answerStatus(500, ""), answerStatus(500, ""), 500, "bad", false, 1},
		{"own failure of a repeatable request", "/safe/x", answerStatus(500, ""), answerStatus(500, ""), 500, "bad", false, 2},
		{"no answer, may not be repeated", "/once/x", closeUnanswered, closeUnanswered, 502, "", false, 1},
		{"no answer, may be repeated", "/safe/x", closeUnanswered, closeUnanswered, 502, "", false, 2},
		{"full replicas", "/once/x", shed, shed, 503, "", false, 2},
		{"cut answer, may not be repeated", "/once/x", answerTruncated, answerTruncated, 502, "", false, 1},
		{"no answer before the timeout", "/once/x", neverAnswer, neverAnswer, 504, "", false, 1},
		{"stream", "/stream/x", answerEvents(3, true), nil, 200, eventText(1, 3), false, 1},
		{"stream breaks off", "/stream/x", answerEvents(3, false), answerEvents(3, false), 200, eventText(1, 3), true, 1},
		{"stream ends before its first event", "/stream/x", closeUnanswered, closeUnanswered, 502, "", false, 1},
		{"resumable stream that both break off", "/resume/x", answerEvents(3, false), answerEvents(3, false), 200, eventText(1, 3), true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripts := []script{test.first}
				if test.second != nil {
					scripts = append(scripts, test.second)
				}
				e := newTestEntry(t, testConfiguration(), scripts...)
				resp, body, err := e.get(t, test.path)
				qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
				qt.Check(t, resp.StatusCode, qt.Equals, test.status)
				qt.Check(t, err != nil, qt.Equals, test.cut)
				if test.body != "" {
					qt.Check(t, body, qt.Equals, test.body)
				}
				qt.Check(t, e.receivedCount(), qt.Equals, test.runs)
				if guaranteesNotRun(resp.StatusCode) {
					qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			})
		})
	}
}

func TestFailedAnswerIsRelayedIfRetryBringsNoBetterOne(t *testing.T) {
	failed := answerStatus(500, "")
	for _, test := range []struct {
		name   string
		second script
		extra  float64
		status int
		runs   int
	}{
		{"no retry left", answerOK, 0, 500, 1},
		{"second replica closes the connection", closeUnanswered, 20, 500, 2},
		{"second replica is full", answerStatus(503, "Not-Run: 1\r\n"), 20, 500, 2},
		{"no second replica", nil, 20, 500, 1},
		{"second replica answers", answerOK, 20, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, testConfiguration(), failed)
				e.handler.Retries = quota.NewRetryBudget(quota.RetryOptions{Extra: test.extra, Window: 10 * time.Second})
				if test.second != nil {
					e.addReplica(t, "r1", test.second)
				}
				// Either replica may be chosen first. Requests that the second
				// one answers directly don't exercise the retry and are
				// repeated.
				for i := 0; ; i++ {
					qt.Assert(t, i < 20, qt.IsTrue)
					before := e.receivedCount()
					resp, body, err := e.get(t, "/safe/x")
					qt.Assert(t, err, qt.IsNil)
					if !strings.HasPrefix(e.received[before], "r0") {
						continue
					}
					qt.Check(t, resp.StatusCode, qt.Equals, test.status)
					qt.Check(t, body, qt.Equals, map[int]string{200: "good", 500: "bad"}[test.status])
					qt.Check(t, e.receivedCount()-before, qt.Equals, test.runs)
					return
				}
			})
		})
	}
}

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The replica that is chosen first aborts the stream after three
		// events; the other one sends all five.
		var mu sync.Mutex
		sent := 0
		both := func(nc net.Conn, req *http.Request) bool {
			mu.Lock()
			sent++
			first := sent == 1
			mu.Unlock()
			if first {
				return answerEvents(3, false)(nc, req)
			}
			return answerEvents(5, true)(nc, req)
		}
		e := newTestEntry(t, testConfiguration(), both, both)
		resp, body, err := e.get(t, "/resume/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 200)
		qt.Assert(t, body, qt.Equals, eventText(1, 5))
		qt.Assert(t, e.receivedCount(), qt.Equals, 2)
		qt.Assert(t, strings.HasSuffix(e.received[1], " q1 3"), qt.IsTrue, qt.Commentf("%v", e.received))
	})
}

func TestClientDisconnectCancelsRequestAtReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disconnected := make(chan struct{})
		e := newTestEntry(t, testConfiguration(), func(nc net.Conn, _ *http.Request) bool {
			_, _ = nc.Read(make([]byte, 1))
			close(disconnected)
			return false
		})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:80/once/x", strings.NewReader("b"))
		qt.Assert(t, err, qt.IsNil)
		req.Host = "h"
		_, err = e.client.Do(req)
		qt.Assert(t, err, qt.IsNotNil)
		began := time.Now()
		<-disconnected
		qt.Assert(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestRequestsThatAreNotForwarded(t *testing.T) {
	keyed := func() *config.Configuration {
		c := testConfiguration()
		c.Customers = []config.Customer{{Name: "a", Keys: []string{"k"}, PerSecond: 1, Burst: 1}}
		return c
	}
	for _, test := range []struct {
		name   string
		config *config.Configuration
		age    time.Duration
		path   string
		header []string
		status int
	}{
		{"no configuration yet", nil, 0, "/once/x", nil, 503},
		{"no route", testConfiguration(), 0, "/other/x", nil, 404},
		{"no route by an old configuration", testConfiguration(), time.Minute, "/other/x", nil, 503},
		{"unknown key", keyed(), 0, "/once/x", []string{"Key", "other"}, 401},
		{"unknown key by an old configuration", keyed(), time.Minute, "/once/x", []string{"Key", "other"}, 503},
		{"malformed deadline", testConfiguration(), 0, "/once/x", []string{"Patience", "soon"}, 400},
		{"no replica", testConfiguration(), 0, "/once/x", nil, 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, test.config)
				e.age = test.age
				resp, _, err := e.get(t, test.path, test.header...)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, resp.StatusCode, qt.Equals, test.status)
			})
		})
	}
}

func TestDrainingEntryClosesClientConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		e.handler.Drain()
		resp, body, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "good")
		qt.Assert(t, resp.Close, qt.IsTrue)
	})
}

func TestRequestWaitsUntilConfigurationIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, nil, answerOK)
		loaded := make(chan struct{})
		e.handler.Loaded = []<-chan struct{}{loaded}
		time.AfterFunc(150*time.Millisecond, func() {
			e.config.Offer(testConfiguration().Compile())
			close(loaded)
		})
		resp, body, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 200)
		qt.Assert(t, body, qt.Equals, "good")
	})
}

func TestRequestWaitsBrieflyIfConfigurationNeverLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, nil, answerOK)
		e.handler.Loaded = []<-chan struct{}{make(chan struct{})}
		began := time.Now()
		resp, _, err := e.get(t, "/once/x", "Patience", "800")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 503)
		qt.Assert(t, time.Since(began), qt.Equals, 100*time.Millisecond)
	})
}

// Guards against requests that are accepted late in a drain and then cut off
// when the process is killed.
func TestRequestLateInDrainIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		e.handler.Drain()
		time.Sleep(2900 * time.Millisecond)
		resp, _, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 503)
		qt.Assert(t, resp.Header.Get("Retry-After"), qt.Equals, "0.020")
		qt.Assert(t, resp.Close, qt.IsTrue)
		qt.Assert(t, e.receivedCount(), qt.Equals, 0)
	})
}

// Guards against refusals without Retry-After while the registry still lists
// crashed replicas.
func TestRefusalHasRetryAfterIfNoReplicaIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		e.set.Remove("r0")
		for i := range 5 {
			e.set.Put(replica.Registration{ID: fmt.Sprintf("dead%d", i), Service: "s", Addr: "10.0.9.9:80", FailureDomain: "d", Slots: 4})
		}
		resp, _, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 503)
		qt.Assert(t, resp.Header.Get("Retry-After"), qt.Equals, "0.400")
	})
}
