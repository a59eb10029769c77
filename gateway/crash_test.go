package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
)

const (
	// crashingPart is the prompt part on which crashableReplicas crash.
	crashingPart = "666"
	// crashDowntime is how long a crashed replica is down.
	crashDowntime = 3 * time.Second
	// maxCrashes and maxSendsAfter are the bounds of the issue: more than
	// maxSendsAfter requests with a part that has crashed maxCrashes replicas
	// must not reach replicas.
	maxCrashes, maxSendsAfter = 5, 3
)

// crashableReplicas are replicas that crash as they begin to write an answer on
// crashingPart, and are back under the same ID after crashDowntime.
type crashableReplicas struct {
	e *testEntry

	mu       sync.Mutex
	crashes  int
	received int
}

func addCrashableReplicas(t *testing.T, e *testEntry, n int) *crashableReplicas {
	c := &crashableReplicas{e: e}
	for i := range n {
		c.start(t, fmt.Sprintf("r%d", i), fmt.Sprintf("10.0.2.%d", i+1), 1)
	}
	return c
}

func (c *crashableReplicas) start(t *testing.T, id, host string, incarnation int64) {
	l, err := c.e.network.Listen(host + ":80")
	qt.Assert(t, err, qt.IsNil)
	crash := func() {
		c.mu.Lock()
		c.crashes++
		c.mu.Unlock()
		c.e.network.Kill(host)
		time.AfterFunc(crashDowntime, func() { c.start(t, id, host, incarnation+1) })
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go c.e.serveConn(nc, func(nc net.Conn, req *http.Request) bool {
				if !slices.Contains(strings.Fields(req.Header.Get("Parts")), crashingPart) {
					return answerEvents(3, true)(nc, req)
				}
				c.mu.Lock()
				c.received++
				c.mu.Unlock()
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n")
				time.Sleep(20 * time.Millisecond)
				crash()
				return false
			})
		}
	}()
	c.e.set.Put(replica.Registration{ID: id, Service: "s", Addr: host + ":80", FailureDomain: "d", Slots: 4, Incarnation: incarnation})
}

// Guards against each new request with a prompt part that crashes replicas
// costing further replicas, and against the sound requests that share all of its
// other parts being refused with it.
func TestRequestsWithAPartThatCrashesReplicasStopReachingThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration())
		replicas := addCrashableReplicas(t, e, 12)
		const requests = 30
		sound, lastStatus, lastRetryAfter := 0, 0, ""
		for i := range requests {
			resp, _, err := e.get(t, "/resume/x", "Parts", fmt.Sprintf("1 2 %s %d", crashingPart, 1000+i))
			if err == nil {
				lastStatus, lastRetryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
			}
			resp, _, err = e.get(t, "/resume/x", "Parts", fmt.Sprintf("1 2 %d", 2000+i))
			if err == nil && resp.StatusCode == http.StatusOK {
				sound++
			}
			time.Sleep(200 * time.Millisecond)
		}
		qt.Check(t, replicas.received <= maxCrashes+maxSendsAfter, qt.IsTrue, qt.Commentf("%d requests reached replicas, %d crashes", replicas.received, replicas.crashes))
		qt.Check(t, sound >= requests*9/10, qt.IsTrue, qt.Commentf("%d of %d sound requests were answered", sound, requests))
		qt.Check(t, lastStatus, qt.Equals, http.StatusServiceUnavailable)
		// A request that is refused for its part isn't asked back soon.
		qt.Check(t, lastRetryAfter == "" || len(lastRetryAfter) >= len("30.000"), qt.IsTrue, qt.Commentf("%q", lastRetryAfter))
	})
}

// Guards against a request being sent although its prompt was found to crash replicas
// while it waited for a connection.
func TestRequestIsNotSentIfItsPromptIsBannedWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		dial := e.network.Dialer(e.host)
		e.handler.Pool = upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(200 * time.Millisecond)
			return dial(ctx, network, addr)
		})
		defer e.handler.Pool.Close()
		time.AfterFunc(100*time.Millisecond, func() {
			for i := range 3 {
				r := &replica.Replica{Registration: replica.Registration{ID: fmt.Sprint("x", i), Service: "s", FailureDomain: fmt.Sprint("d", i), Incarnation: 1}}
				e.quarantine.Crashed(r, "", []uint64{666}, quarantine.Beginning, time.Now())
			}
		})
		resp, _, err := e.get(t, "/safe/x", "Parts", crashingPart+" 1")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, e.receivedCount(), qt.Equals, 0)
		time.Sleep(time.Minute)
	})
}
