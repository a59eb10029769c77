package sendonce

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// errEarlyEnd is returned at the end of a body that the close of the connection marks,
// if the request was not written completely.
var errEarlyEnd = errors.New("connection ended before the request was written")

// endsWithConnection reports whether only the close of the connection marks the end of
// an answer's body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// connectionBody is the body of an answer that ends with its connection. It returns
// io.EOF only if the request was written completely. The kernel reports a reset to one
// call only: if the write fails with it, the next read returns io.EOF.
type connectionBody struct {
	io.ReadCloser
	conn  *trackedConn
	write *requestWrite
}

// Read implements io.Reader. At the end of the body, net/http closes the connection, which
// ends a write that is still in progress.
func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	cause := b.write.wait()
	if cause == nil {
		// net/http reports a request as written before it flushes its buffer.
		cause = b.conn.writeError()
	}
	if cause != nil {
		return n, fmt.Errorf("%w: %w", errEarlyEnd, cause)
	}
	return n, err
}

// requestWrite is the outcome of writing one request.
type requestWrite struct {
	once sync.Once
	done chan struct{}
	err  error
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

// ended is called when net/http has written the request.
func (w *requestWrite) ended(info httptrace.WroteRequestInfo) {
	w.once.Do(func() {
		w.err = info.Err
		close(w.done)
	})
}

// wait waits until the write has ended, and returns its error.
func (w *requestWrite) wait() error {
	<-w.done
	return w.err
}
