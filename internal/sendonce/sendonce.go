// Package sendonce sends HTTP/1.1 requests and knows for each failed one
// whether any byte of it may have reached the other side.
//
// net/http repeats a request by itself when a reused connection dies under
// it, and takes an Idempotency-Key header as leave to do so also for a POST.
// A request sent by Once can't be repeated: its body is never absent and
// can't be rewound, which rules out every path by which net/http repeats.
package sendonce

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Limits of idle connections.
const (
	idlePerHost = 256
	idleTimeout = 30 * time.Second
)

// errSealed is returned by a connection whose request was given up before
// its first byte.
var errSealed = errors.New("request was given up before it was written")

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Transport keeps connections to any number of hosts. It is safe for
// concurrent use.
type Transport struct {
	http *http.Transport
}

// New returns a Transport that opens its connections with dial; nil dials
// over TCP.
func New(dial Dial) *Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Transport{http: &http.Transport{
		DialContext:         guarded(dial),
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols,
	}}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// Once sends the request at most once. When it fails, the second result says
// whether any byte may have been written; false is a promise. Redirects are
// not followed.
func (t *Transport) Once(req *http.Request) (*http.Response, bool, error) {
	var used *guard
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used, _ = info.Conn.(*guard)
		if used != nil {
			used.begin()
		}
	}}
	sent := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	sent.GetBody = nil
	if sent.Body == nil || sent.Body == http.NoBody {
		sent.Body = io.NopCloser(strings.NewReader(""))
	}
	resp, err := t.http.RoundTrip(sent)
	if err == nil {
		return resp, true, nil
	}
	if used == nil {
		return nil, false, err
	}
	return nil, used.seal(), err
}

// Verdict returns what a failed request's caller may assume, by whether any
// byte of it may have been written.
func Verdict(written bool) verdict.Verdict {
	if written {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// Repeatable sends a request that net/http may repeat. When it fails, the
// second result says whether any byte may have been written.
func (t *Transport) Repeatable(req *http.Request) (*http.Response, bool, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	return resp, connected, err
}

func guarded(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guard{Conn: conn}, nil
	}
}

// guard notes whether the current request has been written to a connection,
// and can rule out that it ever will be.
type guard struct {
	net.Conn
	mu      sync.Mutex
	written bool
	sealed  bool
}

// Write implements net.Conn.
func (g *guard) Write(p []byte) (int, error) {
	if err := g.note(); err != nil {
		return 0, err
	}
	return g.Conn.Write(p)
}

// note must come before the write: a write that fails may have sent a part.
func (g *guard) note() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed {
		return errSealed
	}
	g.written = true
	return nil
}

func (g *guard) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.written = false
}

// seal stops all further writes and reports whether there were any. net/http
// may still be about to write when a cancelled request returns.
func (g *guard) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	_ = g.Conn.Close()
	return g.written
}
