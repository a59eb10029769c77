package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// inlineBody is the largest body, in bytes, that is written before the
	// answer is read. A replica may answer while it reads a longer one.
	inlineBody = 2 << 10
	// strangersSkipped is how many answers to other requests are skipped.
	strangersSkipped = 3
	// strangerBody bounds the body of an answer that is skipped, in bytes.
	strangerBody = 1 << 20
)

// errStranger says that an answer belongs to another request.
var errStranger = errors.New("answer belongs to another request")

// Request is a request as a replica gets it.
type Request struct {
	Addr string
	// Method and Target stand in the request line as they are.
	Method, Target string
	Host           string
	Header         http.Header
	Body           []byte
	// Deadline ends all reading and writing.
	Deadline time.Time
	// Matches says whether the answer with this status and header belongs to
	// this request.
	Matches func(status int, header http.Header) bool
}

// Answer is an answer whose header has arrived. Close must be called once,
// after which Body must not be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 where it is not known.
	Length int64

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	sending *sending
	// reusable says that the connection may serve another request once the
	// body was read to its end.
	reusable bool
	ended    bool
	release  func() bool
	closing  sync.Once
}

// sending writes a request.
type sending struct {
	written atomic.Int64
	done    chan struct{}
	err     error
}

// Send sends a request once and waits for the header of its answer. An error
// is verdict.NotRun where no byte was written. When ctx ends, the connection
// is closed at once, also while the answer is being read.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r.Addr)
	if err != nil {
		return nil, err
	}
	// The connection is closed from another goroutine; all calls on it then
	// fail.
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(r.Deadline)
	s := p.write(c, r)
	a, err := p.receive(c, r)
	if err != nil {
		release()
		_ = c.Close()
		<-s.done
		return nil, failure(ctx, r, s, err)
	}
	a.sending, a.release = s, release
	return a, nil
}

func failure(ctx context.Context, r *Request, s *sending, err error) error {
	v := verdict.MayHaveRun
	if s.written.Load() == 0 {
		v = verdict.NotRun
	}
	code := verdict.CodeUnavailable
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		code = verdict.CodeCancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		code = verdict.CodeDeadline
	}
	if s.err != nil && v == verdict.NotRun {
		err = s.err
	}
	return verdict.New(v, code, "%s %s at %s: %w", r.Method, r.Target, r.Addr, err)
}

// write writes the request, a long one on a goroutine of its own.
func (p *Pool) write(c *conn, r *Request) *sending {
	s := &sending{done: make(chan struct{})}
	text := encode(r)
	if len(r.Body) <= inlineBody {
		s.run(c, text)
	} else {
		go s.run(c, text)
	}
	return s
}

func (s *sending) run(c *conn, text []byte) {
	defer close(s.done)
	// A write that fails may have sent a part.
	s.written.Store(1)
	n, err := c.Write(text)
	s.err = err
	if err != nil && n == 0 {
		s.written.Store(0)
	}
}

func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || bodyExpected(r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the header of the request's answer.
func (p *Pool) receive(c *conn, r *Request) (*Answer, error) {
	clean := true
	asked := &http.Request{Method: r.Method}
	for skipped := 0; ; {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			return p.answer(c, resp, clean), nil
		}
		if skipped++; skipped > strangersSkipped || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errStranger
		}
		clean = false
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strangerBody)); err != nil {
			return nil, err
		}
	}
}

func (p *Pool) answer(c *conn, resp *http.Response, clean bool) *Answer {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, pool: p, conn: c, body: resp.Body}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.reusable = clean && framed && !resp.Close
	if keep, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.keep = keep
	}
	return a
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close ends the answer. A connection whose answer was not read to the end is
// closed, which tells the replica to stop.
func (a *Answer) Close() {
	a.closing.Do(func() {
		kept := a.release() && a.ended && a.reusable && a.sent()
		if kept {
			a.pool.put(a.conn)
			return
		}
		_ = a.conn.Close()
	})
}

// sent says whether the request was written whole.
func (a *Answer) sent() bool {
	select {
	case <-a.sending.done:
		return a.sending.err == nil
	default:
		return false
	}
}
