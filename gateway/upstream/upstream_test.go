package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const addr = "10.0.0.9:80"

// replica is a replica whose answers are scripted.
type replica struct {
	requests    atomic.Int64
	connections atomic.Int64
	// script is called for each request, with the index of the request on its
	// connection, counted from 0. The connection is closed if it returns false.
	script func(nc net.Conn, id string, n int) bool
}

func (r *replica) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		r.connections.Add(1)
		go r.serveConn(nc)
	}
}

func (r *replica) serveConn(nc net.Conn) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r.requests.Add(1)
		if !r.script(nc, req.Header.Get("Id"), n) {
			return
		}
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newReplica starts a replica and returns it with a pool that can reach it.
func newReplica(t *testing.T, script func(nc net.Conn, id string, n int) bool) (*replica, *upstream.Pool) {
	network := memnet.New()
	l, err := network.Listen(addr)
	qt.Assert(t, err, qt.IsNil)
	r := &replica{script: script}
	go r.serve(l)
	pool := upstream.NewPool(network.Dialer("10.0.0.1"))
	t.Cleanup(func() {
		pool.Close()
		l.Close()
	})
	return r, pool
}

func request(id, body string) *upstream.Request {
	return &upstream.Request{
		Addr: addr, ID: id, Method: "POST", Target: "/a%2Fb?q", Host: "h",
		Header: http.Header{"Id": {id}}, Body: []byte(body),
		Deadline: time.Now().Add(5 * time.Second),
		Matches:  func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// sendAndRead sends a request and returns the body of its answer.
func sendAndRead(pool *upstream.Pool, id, body string) (string, error) {
	a, err := pool.Send(context.Background(), request(id, body))
	if err != nil {
		return "", err
	}
	defer a.Close()
	text, err := io.ReadAll(a)
	return string(text), err
}

func TestAnswersOfFaultyReplicas(t *testing.T) {
	for _, test := range []struct {
		name   string
		script func(nc net.Conn, id string, n int) bool
		// first and second are the bodies that two consecutive requests get.
		first, second string
		failFirst     bool
		failSecond    bool
		connections   int64
	}{{
		name: "plain answers share a connection",
		script: func(nc net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(nc, answer(id, "for "+id))
			return true
		},
		first: "for a", second: "for b", connections: 1,
	}, {
		name: "extra answer",
		script: func(nc net.Conn, id string, n int) bool {
			_, _ = io.WriteString(nc, answer(id, "for "+id)+answer(id, "again"))
			return true
		},
		first: "for a", second: "for b", connections: 2,
	}, {
		name: "extra answer that comes with the next request",
		script: func(nc net.Conn, id string, n int) bool {
			if n == 1 {
				_, _ = io.WriteString(nc, answer("a", "late"))
			}
			_, _ = io.WriteString(nc, answer(id, "for "+id))
			return true
		},
		first: "for a", second: "for b", connections: 1,
	}, {
		name: "only an answer to another request",
		script: func(nc net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(nc, answer("x", "not yours"))
			return false
		},
		failFirst: true, failSecond: true, connections: 2,
	}, {
		name: "answer without a length ends with its connection",
		script: func(nc net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nfor "+id)
			return false
		},
		first: "for a", second: "for b", connections: 2,
	}, {
		name: "broken off in the body",
		script: func(nc net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(nc, strings.TrimSuffix(answer(id, "for "+id), id))
			return false
		},
		first: "for ", failFirst: true, second: "for ", failSecond: true, connections: 2,
	}, {
		name: "no answer",
		script: func(net.Conn, string, int) bool {
			return false
		},
		failFirst: true, failSecond: true, connections: 2,
	}, {
		name: "bytes that are no answer",
		script: func(nc net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(nc, "\x00\x01garbage\r\n\r\n")
			return false
		},
		failFirst: true, failSecond: true, connections: 2,
	}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, pool := newReplica(t, test.script)
				first, err := sendAndRead(pool, "a", "body")
				qt.Check(t, first, qt.Equals, test.first)
				qt.Check(t, err != nil, qt.Equals, test.failFirst)
				if test.failFirst && first == "" {
					qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
				}
				synctest.Wait()
				second, err := sendAndRead(pool, "b", "body")
				qt.Check(t, second, qt.Equals, test.second)
				qt.Check(t, err != nil, qt.Equals, test.failSecond)
				qt.Check(t, r.requests.Load(), qt.Equals, int64(2))
				qt.Check(t, r.connections.Load(), qt.Equals, test.connections)
			})
		})
	}
}

func TestRequestIsNotRepeatedIfReusedConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, pool := newReplica(t, func(nc net.Conn, id string, n int) bool {
			if n > 0 {
				return false
			}
			_, _ = io.WriteString(nc, answer(id, "ok"))
			return true
		})
		_, err := sendAndRead(pool, "a", "")
		qt.Assert(t, err, qt.IsNil)
		// The replica closes the reused connection after it has read the second
		// request.
		_, err = sendAndRead(pool, "b", "")
		qt.Assert(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		qt.Assert(t, r.requests.Load(), qt.Equals, int64(2))
	})
}

func TestRequestToUnreachableReplicaIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := upstream.NewPool(memnet.New().Dialer("10.0.0.1"))
		defer pool.Close()
		_, err := sendAndRead(pool, "a", "")
		qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
	})
}

// Guards against the rest of a long body being read as the next request. This
// could happen if a replica answers before it has read the body and the
// connection is then reused.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		l, err := network.Listen(addr)
		qt.Assert(t, err, qt.IsNil)
		defer l.Close()
		var connections atomic.Int64
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				connections.Add(1)
				go func() {
					req, err := http.ReadRequest(bufio.NewReader(nc))
					if err != nil {
						return
					}
					_, _ = io.WriteString(nc, answer(req.Header.Get("Id"), "early"))
				}()
			}
		}()
		pool := upstream.NewPool(network.Dialer("10.0.0.1"))
		defer pool.Close()
		long := strings.Repeat("x", 8<<20)
		for _, id := range []string{"a", "b"} {
			text, err := sendAndRead(pool, id, long)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, text, qt.Equals, "early")
		}
		qt.Assert(t, connections.Load(), qt.Equals, int64(2))
	})
}

func TestCancelClosesTheConnectionAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closedAt := make(chan time.Time, 1)
		_, pool := newReplica(t, func(nc net.Conn, _ string, _ int) bool {
			_, _ = nc.Read(make([]byte, 1))
			closedAt <- time.Now()
			return false
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		_, err := pool.Send(ctx, request("a", ""))
		qt.Assert(t, verdict.CodeOf(err), qt.Equals, verdict.CodeCancelled)
		qt.Assert(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		qt.Assert(t, (<-closedAt).Sub(began) < 1100*time.Millisecond, qt.IsTrue)
	})
}

func TestIdleConnectionsAreClosedBeforeTheReplicaClosesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, pool := newReplica(t, func(nc net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		for i, pause := range []time.Duration{time.Second, 1900 * time.Millisecond} {
			_, err := sendAndRead(pool, fmt.Sprint("a", i), "")
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(pause)
			_, err = sendAndRead(pool, fmt.Sprint("b", i), "")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.connections.Load(), qt.Equals, int64(i+1))
		}
	})
}

// failingConn fails each write after a number of bytes in all.
type failingConn struct {
	net.Conn
	left int
}

func (c *failingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b[:min(len(b), c.left)])
	c.left -= n
	if err == nil && n < len(b) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Guards against a request counting as not run although some bytes of it have left.
func TestRequestWhoseWriteFailsHasNotRunOnlyIfNoByteHasLeft(t *testing.T) {
	for _, body := range []int{0, 100, 300 << 10} {
		for _, bytes := range []int{0, 1, 50, 200, 1 << 10, 200 << 10} {
			t.Run(fmt.Sprintf("%d of a body of %d", bytes, body), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					network := memnet.New()
					l, err := network.Listen(addr)
					qt.Assert(t, err, qt.IsNil)
					defer l.Close()
					var received atomic.Int64
					go func() {
						nc, err := l.Accept()
						if err != nil {
							return
						}
						n, _ := io.Copy(io.Discard, nc)
						received.Store(n)
					}()
					dial := network.Dialer("10.0.0.1")
					pool := upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
						nc, err := dial(ctx, network, addr)
						return &failingConn{nc, bytes}, err
					})
					defer pool.Close()
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					_, err = pool.Send(ctx, request("a", strings.Repeat("x", body)))
					qt.Assert(t, err, qt.IsNotNil)
					synctest.Wait()
					want := verdict.MayHaveRun
					if received.Load() == 0 {
						want = verdict.NotRun
					}
					qt.Check(t, verdict.Of(err), qt.Equals, want, qt.Commentf("%d bytes were received", received.Load()))
				})
			})
		}
	}
}

// timedOutConn fails its reads like a connection to a host that the kernel has given
// up on.
type timedOutConn struct{ net.Conn }

func (timedOutConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// Guards against a host that is lost being taken for a request that is late, and its
// failure counting against no replica.
func TestLostHostIsNoDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		l, err := network.Listen(addr)
		qt.Assert(t, err, qt.IsNil)
		defer l.Close()
		dial := network.Dialer("10.0.0.1")
		pool := upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			return timedOutConn{nc}, err
		})
		defer pool.Close()
		_, err = pool.Send(context.Background(), request("a", ""))
		qt.Check(t, verdict.CodeOf(err), qt.Equals, verdict.CodeUnavailable)
		qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		qt.Check(t, err, qt.ErrorIs, upstream.ErrNoAnswer)
	})
}
