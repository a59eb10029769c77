package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferBytes bounds what one direction of a connection holds.
const bufferBytes = 64 << 10

// half is one direction of a connection.
type half struct {
	mu     sync.Mutex
	cond   *sync.Cond
	chunks []chunk
	size   int
	// eof is set when the writer closed; broken when the network or either
	// end dropped the connection.
	eof, broken bool
	readBy      deadline
	writeBy     deadline
}

type chunk struct {
	data []byte
	due  time.Time
}

func newHalf() *half {
	h := &half{}
	h.cond = sync.NewCond(&h.mu)
	return h
}

// deadline wakes the waiters of a half when it passes.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(h *half, at time.Time) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if left := time.Until(at); !at.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, h.wake)
	}
	h.cond.Broadcast()
}

func (d *deadline) passed() bool {
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

func (h *half) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cond.Broadcast()
}

func (h *half) write(p []byte, latency time.Duration) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	written := 0
	for written < len(p) {
		for h.size >= bufferBytes && !h.broken && !h.eof && !h.writeBy.passed() {
			h.cond.Wait()
		}
		switch {
		case h.broken || h.eof:
			return written, io.ErrClosedPipe
		case h.writeBy.passed():
			return written, os.ErrDeadlineExceeded
		}
		n := min(len(p)-written, bufferBytes-h.size)
		data := append([]byte(nil), p[written:written+n]...)
		h.chunks = append(h.chunks, chunk{data: data, due: time.Now().Add(latency)})
		h.size += n
		written += n
		if latency > 0 {
			time.AfterFunc(latency, h.wake)
		}
		h.cond.Broadcast()
	}
	return written, nil
}

func (h *half) read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.broken:
			return 0, errReset
		case h.readBy.passed():
			return 0, os.ErrDeadlineExceeded
		case len(h.chunks) > 0 && !time.Now().Before(h.chunks[0].due):
			return h.takeLocked(p), nil
		case len(h.chunks) == 0 && h.eof:
			return 0, io.EOF
		}
		h.cond.Wait()
	}
}

func (h *half) takeLocked(p []byte) int {
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

func (h *half) closeWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eof = true
	h.cond.Broadcast()
}

func (h *half) breakOff() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = true
	h.cond.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	network       *Network
	in, out       *half
	local, remote addr
	latency       time.Duration
	once          sync.Once
	pair          *pair
}

func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *conn) Write(p []byte) (int, error) {
	if c.network.stalled(c.local.host(), c.remote.host()) {
		// A cut link swallows what is written, as a lossy network would until
		// the connection times out.
		return len(p), nil
	}
	return c.out.write(p, c.latency)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.closeWrite()
		c.in.breakOff()
		c.network.forget(c.pair)
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
	c.in.readBy.set(c.in, t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.writeBy.set(c.out, t)
	return nil
}
