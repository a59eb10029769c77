// Package sendonce sends HTTP/1.1 requests and reports for each failed one
// whether any byte of it may have reached the server.
//
// The clients of the table, the cloud and the endpoints use it, each for many
// requests at once.
//
// net/http repeats a request if a reused connection fails during it. It does so
// even for a POST if the request has an Idempotency-Key header. SendOnce gives
// every request a body that can't be rewound, which rules out every case in
// which net/http repeats a request.
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

	"github.com/coltsfootcleat/coltsfootcleat/internal/response"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Limits of idle connections.
const (
	maxIdlePerHost = 256
	idleTimeout    = 30 * time.Second
)

// maxHeaderBytes bounds the header of an answer. A server in trouble may send one
// without an end, and small hosts have many calls open at once.
const maxHeaderBytes = 64 << 10

// errAborted is the error of writes to a connection whose request has failed.
var errAborted = errors.New("request was aborted before it was written")

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Transport sends requests and reuses connections to any number of hosts. It is
// safe for concurrent use.
type Transport struct {
	http *http.Transport
}

// New returns a Transport that opens its connections with dial, or over TCP if
// dial is nil.
func New(dial Dial) *Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Transport{http: &http.Transport{
		DialContext:         trackWrites(dial),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// SendOnce sends the request at most once. If it fails, the second result
// reports whether any byte may have been written; false guarantees that none
// was. Redirects are not followed. If only the end of the connection marks the end of the
// answer's body, reading the body fails if the request was not written completely.
func (t *Transport) SendOnce(req *http.Request) (*http.Response, bool, error) {
	var used *trackedConn
	write := newRequestWrite()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			used, _ = info.Conn.(*trackedConn)
			if used != nil {
				used.beginRequest()
			}
		},
		WroteRequest: write.ended,
	}
	sent := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	sent.GetBody = nil
	if sent.Body == nil || sent.Body == http.NoBody {
		sent.Body = io.NopCloser(strings.NewReader(""))
	}
	resp, err := t.roundTrip(sent)
	if err == nil {
		if endsWithConnection(resp) {
			resp.Body = &connectionBody{resp.Body, used, write}
		}
		return resp, true, nil
	}
	if used == nil {
		return nil, false, err
	}
	return nil, used.abort(), err
}

// Verdict returns the verdict of a failed request, given whether any byte of it
// may have been written.
func Verdict(written bool) verdict.Verdict {
	if written {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// SendRepeatable sends a request that net/http may repeat. If it fails, the
// second result reports whether any byte may have been written.
func (t *Transport) SendRepeatable(req *http.Request) (*http.Response, bool, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := t.roundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	return resp, connected, err
}

// roundTrip sends a request by net/http. A malformed answer is an error.
func (t *Transport) roundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.http.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := response.Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// trackWrites returns a Dial whose connections are of type trackedConn.
func trackWrites(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// trackedConn is a connection that records whether any byte of the current
// request may have been written to it, and that can prevent all further writes.
type trackedConn struct {
	net.Conn
	mu sync.Mutex
	// written is set before the first byte of the current request is written.
	written bool
	// aborted makes all further writes fail.
	aborted bool

	// writing is held during a write. writeErr is the error of the first failed one.
	writing  sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.markWritten(); err != nil {
		return 0, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// writeError waits for a write in progress and returns the error of the first failed one.
func (c *trackedConn) writeError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// markWritten records a write. It must be called before the write, because a
// failed write may have sent some bytes.
func (c *trackedConn) markWritten() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return errAborted
	}
	c.written = true
	return nil
}

// beginRequest resets the record of writes for the next request.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// abort prevents all further writes and reports whether any byte of the current
// request may have been written. It is needed because RoundTrip may return on
// cancellation while net/http is still about to write the request.
func (c *trackedConn) abort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.Conn.Close()
	return c.written
}
