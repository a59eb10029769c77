package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// burstBytes is what an endless script writes as fast as it can, before it
	// continues with one unit every dripPeriod.
	burstBytes = 4 << 20
	dripPeriod = 50 * time.Millisecond
	// maxBytesTaken bounds what an entry reads of bytes that are no answer. A
	// small host has 184 MB for all of its requests.
	maxBytesTaken = 1536 << 10
	// routeTimeout is the timeout of the routes of testConfiguration.
	routeTimeout = time.Second
)

// endless writes a prefix and then a unit again and again until the connection
// is closed. It counts the bytes and records when the connection was closed.
type endless struct {
	prefix, unit string
	drip         bool
	written      atomic.Int64
	closed       atomic.Bool
}

func (e *endless) script(nc net.Conn, req *http.Request) bool {
	defer e.closed.Store(true)
	if _, err := io.WriteString(nc, strings.ReplaceAll(e.prefix, "ID", req.Header.Get("Id"))); err != nil {
		return false
	}
	for {
		if e.drip || e.written.Load() > burstBytes {
			time.Sleep(dripPeriod)
		}
		n, err := io.WriteString(nc, e.unit)
		e.written.Add(int64(n))
		if err != nil {
			return false
		}
	}
}

// TestBytesWithoutEnd plays replicas in trouble that send bytes that are no
// answer until the entry closes the connection: the request must be settled
// within its timeout and the memory for it bounded.
func TestBytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\n"
	block := strings.Repeat("x", 1<<10)
	for _, test := range []struct {
		name, path   string
		prefix, unit string
		// refused is set if the replica says that it has not run the request.
		refused bool
		// passedOn is set for bytes that belong to the replica's answer. They may
		// be passed on to the client, which must see that the answer is cut.
		passedOn bool
	}{
		{name: "status line", path: "/once/x", prefix: "HTTP/1.1 200 ", unit: block},
		{name: "header line", path: "/once/x", prefix: head + "A: ", unit: block},
		{name: "header lines", path: "/once/x", prefix: head, unit: "A: " + block + "\r\n"},
		{name: "informational answers", path: "/once/x", unit: "HTTP/1.1 102 Processing\r\n\r\n"},
		{name: "no protocol", path: "/once/x", unit: block},
		{name: "answers to other requests", path: "/once/x", unit: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1024\r\n\r\n" + block},
		{name: "chunk extension", path: "/once/x", prefix: head + "Transfer-Encoding: chunked\r\n\r\n4;", unit: block},
		{name: "trailer", path: "/once/x", prefix: head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n", unit: "A: " + block + "\r\n"},
		{name: "event", path: "/stream/x", prefix: head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", unit: block},
		{name: "body of a refusal", path: "/once/x", prefix: "HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\n\r\n", unit: block, refused: true},
		{name: "body", path: "/once/x", prefix: head + "\r\n", unit: block, passedOn: true},
	} {
		for _, drip := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/drip=%v", test.name, drip), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := &endless{prefix: test.prefix, unit: test.unit, drip: drip}
					e := newTestEntry(t, testConfiguration(), r.script)
					began := time.Now()
					resp, _, err := e.get(t, test.path)
					took := time.Since(began)
					qt.Check(t, took <= routeTimeout+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
					switch {
					case test.passedOn && err != nil:
					case test.refused:
						qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
					default:
						qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
						qt.Check(t, resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("%d", resp.StatusCode))
					}
					time.Sleep(time.Second)
					qt.Check(t, r.closed.Load(), qt.IsTrue)
					if !test.passedOn {
						qt.Check(t, r.written.Load() <= maxBytesTaken, qt.IsTrue, qt.Commentf("%d bytes", r.written.Load()))
					}
					qt.Check(t, e.receivedCount(), qt.Equals, 1)
				})
			})
		}
	}
}

// TestBytesBeyondTheDeclaredLength checks that the answer is whole and that
// what follows it never reaches the next client.
func TestBytesBeyondTheDeclaredLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &endless{prefix: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\ngoodmore", unit: "more"}
		e := newTestEntry(t, testConfiguration(), r.script)
		for range 2 {
			resp, body, err := e.get(t, "/once/x")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Check(t, body, qt.Equals, "good")
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, r.written.Load() <= maxBytesTaken, qt.IsTrue, qt.Commentf("%d bytes", r.written.Load()))
	})
}
