package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/response"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// maxInlineBody is the maximum size, in bytes, of a body that is written
	// before the answer is read. Longer bodies are written concurrently,
	// because a replica may answer while it still reads the body.
	maxInlineBody = 2 << 10
	// maxSkippedAnswers is the maximum number of answers to other requests that
	// are skipped.
	maxSkippedAnswers = 3
	// maxSkippedBody is the maximum size of the body of a skipped answer, in
	// bytes.
	maxSkippedBody = 256 << 10
	// maxHeadBytes is the maximum size of the status line and the header of an
	// answer, together with the informational answers before it.
	maxHeadBytes = 64 << 10
)

// errTooLong is returned if a replica sends bytes without an end where the header
// of an answer is expected, or in the body of one that is not used.
var errTooLong = errors.New("replica sends bytes without an end")

// ErrAnswerBegun is wrapped by the error of a request whose answer broke off in its
// status line or header, or has a malformed one.
var ErrAnswerBegun = errors.New("header of the answer is incomplete or malformed")

// ErrNoAnswer is wrapped by the error of a request whose connection broke off before
// the first byte of the answer.
var ErrNoAnswer = errors.New("connection broke off before the answer")

// errEarlyEnd is returned at the end of a body that the close of the connection marks,
// if the request was not written completely.
var errEarlyEnd = errors.New("connection ended before the request was written")

// errMisdelivered is returned if too many answers belong to other requests, or
// if the end of such an answer can't be found.
var errMisdelivered = errors.New("answer belongs to another request")

// Request is a request to a replica.
type Request struct {
	Addr string
	// ID is the ID by which answers name the request. The client may send the
	// request again under the same one, which then goes out on another connection.
	ID string
	// Method and Target are written to the request line unchanged.
	Method, Target string
	Host           string
	Header         http.Header
	Body           []byte
	// Deadline is the deadline of all reads and writes.
	Deadline time.Time
	// Matches reports whether the answer with this status and header belongs to
	// this request.
	Matches func(status int, header http.Header) bool
	// Check is called when the connection is ready, before the first byte is
	// written. The request isn't sent if it returns an error. It may be nil.
	Check func() error
}

// Framing is how the end of an answer's body is marked.
type Framing string

const (
	// FramedByLength and FramedByChunks mark the end in the answer itself, so
	// that a body that was broken off can be told from a complete one.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByConnection leaves the end to the close of the connection. A
	// replica that crashes may close it in order, too.
	FramedByConnection Framing = "connection"
)

// framingOf returns the framing of a response.
func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByConnection
	}
}

// Answer is a replica's answer whose header has arrived. Close must be called
// when the body is no longer needed, and Read must not be called after Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length  int64
	Framing Framing
	// Served is the number of requests that were sent on the connection before.
	Served int
	// Opened is the time at which the connection was opened.
	Opened time.Time

	pool  *Pool
	conn  *conn
	body  io.ReadCloser
	write *requestWrite
	// reusable is set if the connection may serve another request after the
	// body has been read to its end.
	reusable  bool
	readToEnd bool
	// stopCancel keeps the end of the request's context from closing the
	// connection. It returns false if the context has already ended.
	stopCancel func() bool
	closeOnce  sync.Once
}

// requestWrite is the state of writing a request, which may run on another
// goroutine.
type requestWrite struct {
	// written is 1 if any byte may have been written, else 0.
	written atomic.Int64
	// done is closed after err is set.
	done chan struct{}
	err  error
}

// Send sends a request once and waits for the header of its answer. An error
// has the verdict NotRun if no byte was written, else MayHaveRun; it wraps
// ErrAnswerBegun if the header is incomplete or malformed, or ErrNoAnswer if the
// connection failed before. That of r.Check is returned
// unchanged. When ctx ends, the connection is closed at once, even while the body of
// the answer is being read.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r.Addr, r.ID)
	if err != nil {
		return nil, err
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			p.giveBack(c)
			return nil, err
		}
	}
	// Closing the connection makes all pending and later calls of its methods
	// fail.
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(r.Deadline)
	served := len(c.sent)
	c.sent = append(c.sent, hashID(r.ID))
	w := p.write(c, r)
	a, err := p.receive(c, r)
	if err != nil {
		stopCancel()
		_ = c.Close()
		<-w.done
		return nil, sendError(ctx, r, w, err)
	}
	a.write, a.stopCancel, a.Served, a.Opened = w, stopCancel, served, c.opened
	return a, nil
}

// sendError returns the error of a request without an answer, with verdict and
// code.
func sendError(ctx context.Context, r *Request, w *requestWrite, err error) error {
	v := verdict.MayHaveRun
	if w.written.Load() == 0 {
		v = verdict.NotRun
	}
	code := verdict.CodeUnavailable
	switch {
	case ctx.Err() != nil:
		code = verdict.CodeCancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		code = verdict.CodeDeadline
	}
	if w.err != nil && v == verdict.NotRun {
		err = w.err
	}
	return verdict.New(v, code, "%s %s at %s: %w", r.Method, r.Target, r.Addr, err)
}

// write writes the request. A long one is written on another goroutine.
func (p *Pool) write(c *conn, r *Request) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	text := encodeHead(r)
	if len(r.Body) <= maxInlineBody {
		w.run(c, net.Buffers{append(text, r.Body...)})
	} else {
		// A copy of a long body would take as much memory again.
		go w.run(c, net.Buffers{text, r.Body})
	}
	return w
}

// run writes the request to the connection.
func (w *requestWrite) run(c *conn, text net.Buffers) {
	defer close(w.done)
	// Set before the write, because a failed write may have sent some bytes.
	w.written.Store(1)
	n, err := text.WriteTo(c.Conn)
	w.err = err
	if err != nil && n == 0 {
		w.written.Store(0)
	}
}

// encodeHead returns the request in its HTTP/1.1 form, up to its body.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxInlineBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || methodHasBody(r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// methodHasBody reports whether requests with this method state the length of
// an empty body.
func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads answers up to the header of the one that belongs to the
// request. It skips informational answers and answers to other requests.
func (p *Pool) receive(c *conn, r *Request) (*Answer, error) {
	clean := true
	req := &http.Request{Method: r.Method}
	c.bound.set(maxHeadBytes)
	for skipped := 0; ; {
		begun := c.reader.Buffered() > 0
		resp, err := c.readResponse(req)
		if err != nil && (begun || c.bound.left < maxHeadBytes) {
			return nil, fmt.Errorf("%w: %w", ErrAnswerBegun, err)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			c.bound.clear()
			return p.newAnswer(c, resp, clean), nil
		}
		if skipped++; skipped > maxSkippedAnswers || framingOf(resp) == FramedByConnection {
			return nil, errMisdelivered
		}
		clean = false
		c.bound.set(maxSkippedBody)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
		}
		c.bound.set(maxHeadBytes)
	}
}

// readResponse reads an answer up to the end of its header. A malformed one is an error.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	c.bound.head = headScanner{}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.bound.head.scan(buffered)
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	if c.bound.head.folded {
		return nil, errFoldedLine
	}
	if err := response.Check(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// newAnswer returns the Answer of a response. clean is false if answers to
// other requests arrived on the connection.
func (p *Pool) newAnswer(c *conn, resp *http.Response, clean bool) *Answer {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framingOf(resp), pool: p, conn: c, body: resp.Body}
	a.reusable = clean && a.Framing != FramedByConnection && !resp.Close
	if timeout, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = timeout
	}
	return a
}

// Read reads the body. It returns io.EOF only at the end of a complete body,
// or when a connection that marks the end is closed in order.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if a.Framing == FramedByConnection {
		if err := a.waitWritten(); err != nil {
			return n, fmt.Errorf("%w: %w", errEarlyEnd, err)
		}
	}
	a.readToEnd = true
	return n, err
}

// waitWritten waits until the write of the request has ended, at the latest at its deadline,
// and returns its error. The kernel reports a reset to one call only: if the write fails
// with it, the next read returns io.EOF.
func (a *Answer) waitWritten() error {
	<-a.write.done
	return a.write.err
}

// Discard reads the rest of a body that is not used, up to a limit, so that the
// connection can be reused.
func (a *Answer) Discard() error {
	a.conn.bound.set(maxSkippedBody)
	_, err := io.Copy(io.Discard, a)
	return err
}

// Close ends the answer. It returns the connection to the pool if the request
// was written and the answer read completely. Otherwise it closes the
// connection, which makes the replica stop.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		reuse := a.stopCancel() && a.readToEnd && a.reusable && a.requestWritten() && a.conn.reader.Buffered() == 0
		if reuse {
			a.pool.put(a.conn)
			return
		}
		_ = a.conn.Close()
	})
}

// requestWritten reports whether the request was written completely.
func (a *Answer) requestWritten() bool {
	select {
	case <-a.write.done:
		return a.write.err == nil
	default:
		return false
	}
}
