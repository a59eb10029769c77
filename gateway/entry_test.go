package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/liveness"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
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
	r := gateway.Reply{NotRun: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != ""}
	if len(h["Id"]) == 1 {
		r.RequestID = h.Get("Id")
	}
	r.Limit, _ = strconv.ParseFloat(h.Get("Limit"), 64)
	ms, _ := strconv.Atoi(h.Get("Pause"))
	r.Pause = time.Duration(ms) * time.Millisecond
	return r
}

func (dialect) ClientHeader(h http.Header) http.Header { return h.Clone() }

// noPeers is the mesh of an entry without peers.
type noPeers struct{}

func (noPeers) Members() []string { return []string{"e"} }
func (noPeers) Reserve(context.Context, string, string, float64, time.Duration) (rate.Reservation, error) {
	return rate.Reservation{OK: true}, nil
}
func (noPeers) EndPlacement(context.Context, balance.End) error { return nil }
func (noPeers) Place(context.Context, string, balance.Query) (balance.Placement, error) {
	return balance.Placement{}, balance.ErrNoReplica
}

// testPeers connects the entries of a fleet without a network.
type testPeers struct{ entries []*testEntry }

func (p *testPeers) Members() []string {
	var ids []string
	for _, e := range p.entries {
		ids = append(ids, e.id)
	}
	return ids
}

func (p *testPeers) MemberCount() int { return len(p.entries) }

func (p *testPeers) Permit(_ context.Context, id string, r peer.PermitRequest) (peer.PermitResult, error) {
	time.Sleep(2 * time.Millisecond)
	for _, e := range p.entries {
		if e.id == id {
			return e.throttle.Grant("peer", r), nil
		}
	}
	return peer.PermitResult{}, errors.New("no such entry")
}

// spreadCrashes sends the evidence of an entry to all others.
func (p *testPeers) spreadCrashes(from *testEntry) {
	crashes, _ := from.quarantine.Since("", true, peer.EvidencePosition{}, 1000)
	time.AfterFunc(2*time.Millisecond, func() {
		for _, e := range p.entries {
			for _, c := range crashes {
				if e != from {
					e.quarantine.Add(from.id, c)
				}
			}
		}
	})
}

// spread sends the limits that an entry knows to all others.
func (p *testPeers) spread(from *testEntry) {
	limits, _ := from.throttle.Since(0, 100)
	time.AfterFunc(2*time.Millisecond, func() {
		for _, e := range p.entries {
			for _, l := range limits {
				if e != from {
					e.throttle.Add(from.id, l)
				}
			}
		}
	})
}

type recorder struct{}

func (recorder) Ended(string, string, int, time.Duration) {}
func (recorder) FirstToken(string, time.Duration)         {}
func (recorder) Retried(string)                           {}
func (recorder) Stated(string, string, bool)              {}

// testEntry is an entry with scripted replicas and a client.
type testEntry struct {
	id      string
	network *memnet.Network
	// host is the address of the entry.
	host     string
	set      *replica.Set
	config   *config.Holder
	handler  *gateway.Handler
	server   *http.Server
	throttle *throttle.Throttle
	// quarantine shares its evidence with the other entries of a fleet.
	quarantine *quarantine.Set
	age        time.Duration
	client     *http.Client

	mu sync.Mutex
	// received lists the requests that replicas have received, as "replica id
	// last".
	received []string
}

// script answers one request at a replica. The connection is closed if it
// returns false.
type script func(nc net.Conn, req *http.Request) bool

func newTestEntry(t *testing.T, c *config.Configuration, scripts ...script) *testEntry {
	return newTestFleet(t, c, 1, scripts...)[0]
}

// newTestFleet starts entries that share their replicas.
func newTestFleet(t *testing.T, c *config.Configuration, entries int, scripts ...script) []*testEntry {
	network := memnet.New()
	peers := &testPeers{}
	for i := range entries {
		e := newTestEntryOn(t, network, i, c, peers)
		e.throttle.OnBroadcast(func() { peers.spread(e) })
		e.quarantine.OnBroadcast(func() { peers.spreadCrashes(e) })
		peers.entries = append(peers.entries, e)
	}
	fleet := peers.entries
	for i, s := range scripts {
		first := fleet[0]
		first.addReplica(t, fmt.Sprintf("r%d", i), s)
		for _, e := range fleet[1:] {
			e.set.Put(first.set.Current().All[fmt.Sprintf("r%d", i)].Registration)
		}
	}
	return fleet
}

func newTestEntryOn(t *testing.T, network *memnet.Network, number int, c *config.Configuration, peers *testPeers) *testEntry {
	e := &testEntry{id: fmt.Sprint("e", number), network: network, host: fmt.Sprintf("10.0.0.%d", number+1), set: replica.NewSet(nolog.Or(nil)), config: &config.Holder{}}
	if c != nil {
		e.config.Offer(c.Compile())
	}
	clock := usage.NewClock()
	e.throttle = throttle.New(throttle.Options{ID: e.id, Peers: peers, Log: nolog.Or(nil), Count: func(string) {}})
	pool := upstream.NewPool(e.network.Dialer(e.host))
	limiter := quota.NewLimiter(quota.Tolerance{})
	if c != nil {
		limiter.SetConfiguration(c)
	}
	watcher := liveness.New(liveness.Options{Dial: e.network.Dialer(e.host), Registry: e.set, Log: nolog.Or(nil), Count: func(string) {}})
	e.quarantine = quarantine.New(quarantine.Options{
		ID: e.id, Members: peers.Members, Ready: func(service string) []*replica.Replica { return e.set.Current().Ready[service] },
		Log: nolog.Or(nil), Count: func(string) {},
	})
	e.handler = gateway.New(gateway.Deps{
		Dialect: dialect{}, Config: e.config,
		ConfigAge:   func() (time.Duration, bool) { return e.age, true },
		RegistryAge: func() (time.Duration, bool) { return 0, true },
		Balancer:    balance.NewGlobalBalancer(balance.New(e.set, balance.Options{FailureDomain: "d", Seed: uint64(number + 1), Throttle: e.throttle, Log: nolog.Or(nil)}), "e", noPeers{}, nolog.Or(nil)), Pool: pool,
		Liveness: watcher, Quarantine: e.quarantine,
		Throttle: e.throttle,
		Limiter:  quota.NewGlobalLimiter(limiter, "e", noPeers{}, nolog.Or(nil)),
		Retries:  quota.NewRetryBudget(quota.RetryOptions{Extra: 20, Window: 10 * time.Second}),
		Usage:    usage.NewCounter(5*time.Second, clock), Log: nolog.Or(nil), Recorder: recorder{},
	})
	l, err := e.network.Listen(e.host + ":80")
	qt.Assert(t, err, qt.IsNil)
	e.server = &http.Server{Handler: e.handler}
	go func() { _ = e.server.Serve(l) }()
	transport := &http.Transport{DialContext: e.network.Dialer("10.0.0.2")}
	e.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = e.server.Close()
		pool.Close()
		watcher.Close()
	})
	return e
}

func (e *testEntry) addReplica(t *testing.T, id string, s script) {
	address := fmt.Sprintf("10.0.1.%d:80", 1+len(e.set.Current().All))
	e.acceptAt(t, address, func(nc net.Conn) { e.serveConn(nc, s) })
	e.set.Put(replica.Registration{ID: id, Service: "s", Addr: address, FailureDomain: "d", Slots: 4})
}

// acceptAt accepts connections at an address, and serves each on a goroutine of its
// own.
func (e *testEntry) acceptAt(t *testing.T, address string, serve func(nc net.Conn)) net.Listener {
	l, err := e.network.Listen(address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return l
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
	return e.send(t, path, "body", header...)
}

// send sends a request with a given body, as get does.
func (e *testEntry) send(t *testing.T, path, text string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+e.host+":80"+path, strings.NewReader(text))
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

// answerAfter answers like answerOK, after a time.
func answerAfter(d time.Duration) script {
	return func(nc net.Conn, req *http.Request) bool {
		time.Sleep(d)
		return answerOK(nc, req)
	}
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
	switch code {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
