package sendonce_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/internal/sendonce"
)

const address = "10.0.0.1:80"

// closingServer answers the first request of each connection and closes the
// connection during the second one.
type closingServer struct {
	// readSecond makes the server read the second request before it closes the
	// connection. Otherwise the server closes it right after the first answer.
	readSecond bool
	requests   atomic.Int64
	dials      atomic.Int64
}

func (s *closingServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.dials.Add(1)
		go s.handle(conn)
	}
}

func (s *closingServer) handle(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	if !s.read(r) {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if s.readSecond {
		s.read(r)
	}
}

func (s *closingServer) read(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	s.requests.Add(1)
	_, _ = io.Copy(io.Discard, req.Body)
	return true
}

func request(c *qt.C, method, body string) *http.Request {
	req, err := http.NewRequest(method, "http://"+address+"/orders", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Idempotency-Key", "key-1")
	return req
}

func TestSendOnceNeverRepeatsAfterReusedConnectionCloses(t *testing.T) {
	for _, test := range []struct {
		name, method, body string
	}{
		{"POST with a body", http.MethodPost, "order"},
		{"POST without a body", http.MethodPost, ""},
		{"GET without a body", http.MethodGet, ""},
		{"DELETE without a body", http.MethodDelete, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := memnet.New()
				l, err := network.Listen(address)
				c.Assert(err, qt.IsNil)
				defer l.Close()
				server := &closingServer{readSecond: true}
				go server.serve(l)
				transport := sendonce.New(network.Dialer("10.0.0.2"))
				defer transport.Close()

				resp, _, err := transport.SendOnce(request(c, test.method, test.body))
				c.Assert(err, qt.IsNil)
				_, _ = io.Copy(io.Discard, resp.Body)
				c.Assert(resp.Body.Close(), qt.IsNil)
				synctest.Wait()

				_, written, err := transport.SendOnce(request(c, test.method, test.body))
				c.Assert(err, qt.IsNotNil)
				c.Assert(written, qt.IsTrue)
				time.Sleep(time.Minute)
				c.Assert(server.requests.Load(), qt.Equals, int64(2))
				c.Assert(server.dials.Load(), qt.Equals, int64(1))
			})
		})
	}
}

// brokenConn fails all writes once broken is set.
type brokenConn struct {
	net.Conn
	broken *atomic.Bool
}

func (b brokenConn) Write(p []byte) (int, error) {
	if b.broken.Load() {
		return 0, errors.New("broken")
	}
	return b.Conn.Write(p)
}

func TestSendOnceDoesNotDialAgainIfNothingWasWritten(t *testing.T) {
	for _, body := range []string{"", "order"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			network := memnet.New()
			l, err := network.Listen(address)
			c.Assert(err, qt.IsNil)
			defer l.Close()
			server := &closingServer{readSecond: true}
			go server.serve(l)
			var broken atomic.Bool
			dial := network.Dialer("10.0.0.2")
			transport := sendonce.New(func(ctx context.Context, n, a string) (net.Conn, error) {
				conn, err := dial(ctx, n, a)
				return brokenConn{Conn: conn, broken: &broken}, err
			})
			defer transport.Close()
			resp, _, err := transport.SendOnce(request(c, http.MethodPost, body))
			c.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			c.Assert(resp.Body.Close(), qt.IsNil)
			synctest.Wait()

			broken.Store(true)
			_, _, err = transport.SendOnce(request(c, http.MethodPost, body))
			c.Assert(err, qt.IsNotNil)
			time.Sleep(time.Minute)
			c.Assert(server.requests.Load(), qt.Equals, int64(1))
			c.Assert(server.dials.Load(), qt.Equals, int64(1))
		})
	}
}

func TestSendOnceReportsWhetherBytesWereWritten(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(n *memnet.Network, cancel context.CancelFunc)
		written bool
	}{
		{"dial refused", func(n *memnet.Network, _ context.CancelFunc) { n.Kill("10.0.0.1") }, false},
		{"cancelled before the dial", func(_ *memnet.Network, cancel context.CancelFunc) { cancel() }, false},
		{"dial hangs", func(n *memnet.Network, _ context.CancelFunc) { n.SetCut("10.0.0.1", "10.0.0.2", true) }, false},
		{"no answer", func(*memnet.Network, context.CancelFunc) {}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := memnet.New()
				l, err := network.Listen(address)
				c.Assert(err, qt.IsNil)
				defer l.Close()
				transport := sendonce.New(network.Dialer("10.0.0.2"))
				defer transport.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				test.prepare(network, cancel)
				_, written, err := transport.SendOnce(request(c, http.MethodPost, "order").WithContext(ctx))
				c.Assert(err, qt.IsNotNil)
				c.Assert(written, qt.Equals, test.written)
			})
		})
	}
}

// TestHeaderWithoutAnEnd plays a server in trouble that sends a header, or
// informational answers, until the client closes.
func TestHeaderWithoutAnEnd(t *testing.T) {
	const (
		maxTaken = 512 << 10
		sent     = 4 << 20
	)
	for _, test := range []struct{ name, prefix, unit string }{
		{"header line", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1024)},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("x", 1024) + "\r\n"},
		{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 1024)},
		{"informational answers", "", "HTTP/1.1 102 Processing\r\nA: " + strings.Repeat("x", 1024) + "\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := memnet.New()
				l, err := network.Listen(address)
				c.Assert(err, qt.IsNil)
				defer l.Close()
				var taken atomic.Int64
				go func() {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					defer nc.Close()
					req, err := http.ReadRequest(bufio.NewReader(nc))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, err = io.WriteString(nc, test.prefix)
					for err == nil {
						if taken.Load() > sent {
							time.Sleep(time.Second)
						}
						var n int
						n, err = io.WriteString(nc, test.unit)
						taken.Add(int64(n))
					}
				}()
				transport := sendonce.New(network.Dialer("10.0.0.2"))
				defer transport.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, written, err := transport.SendOnce(request(c, http.MethodPost, "order").WithContext(ctx))
				c.Assert(err, qt.IsNotNil)
				c.Assert(written, qt.IsTrue)
				time.Sleep(10 * time.Second)
				c.Assert(taken.Load() <= maxTaken, qt.IsTrue, qt.Commentf("%d bytes", taken.Load()))
			})
		})
	}
}
