package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferBytes bounds the unread data in one direction of a connection.
const bufferBytes = 64 << 10

// halfConn is one direction of a connection.
type halfConn struct {
	mu     sync.Mutex
	cond   *sync.Cond
	chunks []chunk
	size   int
	// eof is set when the writer has closed its end, and reset when the
	// network or either end has reset the connection.
	eof, reset    bool
	readDeadline  deadline
	writeDeadline deadline
}

type chunk struct {
	data []byte
	due  time.Time
}

func newHalfConn() *halfConn {
	h := &halfConn{}
	h.cond = sync.NewCond(&h.mu)
	return h
}

// deadline is a read or write deadline of a halfConn. When it passes, all
// goroutines that wait for the halfConn are woken up.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(h *halfConn, at time.Time) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if left := time.Until(at); !at.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, h.broadcast)
	}
	h.cond.Broadcast()
}

func (d *deadline) passed() bool {
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

func (h *halfConn) broadcast() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cond.Broadcast()
}

func (h *halfConn) write(p []byte, latency time.Duration) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	written := 0
	for written < len(p) {
		for h.size >= bufferBytes && !h.reset && !h.eof && !h.writeDeadline.passed() {
			h.cond.Wait()
		}
		switch {
		case h.reset || h.eof:
			return written, io.ErrClosedPipe
		case h.writeDeadline.passed():
			return written, os.ErrDeadlineExceeded
		}
		n := min(len(p)-written, bufferBytes-h.size)
		data := append([]byte(nil), p[written:written+n]...)
		h.chunks = append(h.chunks, chunk{data: data, due: time.Now().Add(latency)})
		h.size += n
		written += n
		if latency > 0 {
			time.AfterFunc(latency, h.broadcast)
		}
		h.cond.Broadcast()
	}
	return written, nil
}

func (h *halfConn) read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.reset:
			return 0, errReset
		case h.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case len(h.chunks) > 0 && !time.Now().Before(h.chunks[0].due):
			return h.consumeLocked(p), nil
		case len(h.chunks) == 0 && h.eof:
			return 0, io.EOF
		}
		h.cond.Wait()
	}
}

func (h *halfConn) consumeLocked(p []byte) int {
	c := &h.chunks[0]
	n := copy(p, c.data)
	c.data = c.data[n:]
	h.size -= n
	if len(c.data) == 0 {
		h.chunks = h.chunks[1:]
	}
	h.cond.Broadcast()
	return n
}

func (h *halfConn) closeWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eof = true
	h.cond.Broadcast()
}

func (h *halfConn) abort() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reset = true
	h.cond.Broadcast()
}

// conn is one end of a connection; it implements net.Conn.
type conn struct {
	network       *Network
	in, out       *halfConn
	local, remote addr
	latency       time.Duration
	once          sync.Once
	pair          *pair
}

func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *conn) Write(p []byte) (int, error) {
	if c.network.isCut(c.local.host(), c.remote.host()) {
		// A cut link discards written data, as a lossy network does until the
		// connection times out.
		return len(p), nil
	}
	return c.out.write(p, c.latency)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.closeWrite()
		c.in.abort()
		c.network.removePair(c.pair)
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.readDeadline.set(c.in, t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.writeDeadline.set(c.out, t)
	return nil
}
