package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
)

// withHeader adds header lines to every answer of a script, after the status
// line.
func withHeader(lines string, s script) script {
	return func(nc net.Conn, req *http.Request) bool {
		return s(&headerConn{Conn: nc, lines: lines}, req)
	}
}

// headerConn adds header lines after the first status line that is written.
type headerConn struct {
	net.Conn
	lines string
	done  bool
}

func (c *headerConn) Write(b []byte) (int, error) {
	if c.done {
		return c.Conn.Write(b)
	}
	c.done = true
	status, rest, _ := strings.Cut(string(b), "\r\n")
	if _, err := io.WriteString(c.Conn, status+"\r\n"+c.lines+rest); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Guards against requests to a replica whose answers state that it is leaving,
// while the registry doesn't say so.
func TestReplicaThatStatesItIsLeavingGetsNoMoreRequests(t *testing.T) {
	const leaving = "Leaving: 1\r\n"
	for _, test := range []struct {
		name, path string
		answer     script
	}{
		{"answer", "/once/x", answerOK},
		{"failure that is retried", "/safe/x", answerStatus(500, "")},
		{"refusal", "/once/x", answerStatus(503, "Not-Run: 1\r\n")},
		{"client error", "/once/x", answerStatus(404, "")},
		{"stream", "/stream/x", answerEvents(3, true)},
		{"stream that breaks off and is resumed", "/resume/x", answerEvents(2, false)},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sound := answerOK
				if strings.Contains(test.path, "stream") || strings.Contains(test.path, "resume") {
					sound = answerEvents(5, true)
				}
				e := newTestEntry(t, testConfiguration(), withHeader(leaving, test.answer))
				_, _, _ = e.get(t, test.path)
				before := e.receivedCount()
				qt.Assert(t, before > 0, qt.IsTrue)
				e.addReplica(t, "r1", sound)
				for range 20 {
					_, _, _ = e.get(t, test.path)
					time.Sleep(50 * time.Millisecond)
				}
				for _, r := range e.received[before:] {
					qt.Check(t, strings.HasPrefix(r, "r1 "), qt.IsTrue, qt.Commentf("%s", r))
				}
			})
		})
	}
}

// Guards against a statement of the next owner of an address counting against
// the replica that had it before.
func TestMisdirectedAnswerSaysNothingAboutTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), withHeader("Leaving: 1\r\n", answerStatus(421, "Not-Run: 1\r\n")))
		_, _, _ = e.get(t, "/once/x")
		qt.Assert(t, e.set.Current().Ready["s"], qt.HasLen, 1)
	})
}

// Guards against the statement of one incarnation taking the next one out.
func TestNextIncarnationOfALeavingReplicaGetsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), withHeader("Leaving: 1\r\n", answerOK))
		_, _, _ = e.get(t, "/once/x")
		old := e.set.Current().All["r0"].Registration
		old.Incarnation++
		e.set.Put(old)
		qt.Assert(t, e.set.Current().Ready["s"], qt.HasLen, 1)
	})
}

// Guards against callers that wait or come back too soon while all replicas of
// a service are leaving.
func TestRequestIsRefusedAtOnceWhileAllReplicasAreLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfiguration()
		c.Services["s"] = config.Service{Name: "s", Scaling: &config.Scaling{Boot: 4 * time.Second}}
		e := newTestEntry(t, c)
		e.set.Put(replica.Registration{ID: "r0", Service: "s", Addr: "10.0.1.1:80", FailureDomain: "d", Draining: true})
		began := time.Now()
		resp, _, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "4.000")
	})
}

// Guards against a request that reaches a replica which said that it was leaving
// while the connection was being opened.
func TestRequestIsNotSentIfItsReplicaLeavesWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		dial := e.network.Dialer("10.0.0.1")
		e.handler.Pool = upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(500 * time.Millisecond)
			return dial(ctx, network, addr)
		})
		defer e.handler.Pool.Close()
		time.AfterFunc(200*time.Millisecond, func() { e.set.MarkLeaving("r0", 0, replica.SourcePeer) })
		resp, _, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, e.receivedCount(), qt.Equals, 0)
		qt.Check(t, guaranteesNotRun(resp.StatusCode), qt.IsTrue, qt.Commentf("%d", resp.StatusCode))
	})
}
