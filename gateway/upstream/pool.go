package upstream

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// dialTimeout bounds the time to open a connection. A lost SYN is
	// retransmitted only after a second, so a longer timeout rarely helps.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is the time that a connection may be idle if the
	// replica states none.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that the replica states,
	// so that no request is in transit when the replica closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerReplica is the maximum number of idle connections to one
	// replica.
	maxIdlePerReplica = 24
	// maxRequests is the maximum number of requests with different IDs that are
	// sent on one connection. It bounds the memory for their IDs.
	maxRequests = 512
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool holds the idle connections to replicas. It is safe for concurrent use.
type Pool struct {
	dial Dial

	mu     sync.Mutex
	closed bool
	idle   map[string][]*conn
}

// NewPool returns a Pool that opens connections with dial.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// conn is a connection to a replica. It is used by one request at a time.
type conn struct {
	net.Conn
	addr   string
	opened time.Time
	reader *bufio.Reader
	// bound is what reader reads from.
	bound *boundedReader
	// idleTimeout is the maximum time that the connection may be idle, and
	// idleDeadline the time at which it expires if it stays idle.
	idleTimeout  time.Duration
	idleDeadline time.Time
	// sent holds the hashes of the IDs of the requests that were sent on the
	// connection.
	sent []uint64
}

// idSeed makes the hashes of IDs unpredictable to clients.
var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

// Close closes the idle connections. Connections that are returned later are
// closed as well.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr := range p.idle {
		p.dropLocked(addr)
	}
}

// Sweep closes connections whose idle timeout has passed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for addr, list := range p.idle {
		unexpired := list[:0]
		for _, c := range list {
			if now.Before(c.idleDeadline) {
				unexpired = append(unexpired, c)
			} else {
				_ = c.Close()
			}
		}
		if len(unexpired) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = unexpired
		}
	}
}

// dropLocked closes the idle connections to an address.
func (p *Pool) dropLocked(addr string) {
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// get returns an idle connection on which id was not sent yet and that is still
// usable, or a new one. Its errors have the verdict NotRun.
func (p *Pool) get(ctx context.Context, addr, id string) (*conn, error) {
	for {
		c := p.pop(addr, id)
		if c == nil {
			break
		}
		if c.isUsable() {
			return c, nil
		}
		_ = c.Close()
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dial(dialCtx, "tcp", addr)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connect to %s: %w", addr, err)
	}
	bound := &boundedReader{from: nc, left: math.MaxInt64, head: headScanner{ended: true}}
	return &conn{Conn: nc, addr: addr, opened: time.Now(), idleDeadline: time.Now().Add(defaultIdleTimeout), reader: bufio.NewReaderSize(bound, readBufferSize), bound: bound, idleTimeout: defaultIdleTimeout}, nil
}

// boundedReader reads from a connection and fails with errTooLong after a
// number of bytes. It is used by one goroutine at a time.
type boundedReader struct {
	from io.Reader
	left int64
	// head scans all bytes that are read.
	head headScanner
}

// set bounds the bytes to read from now on. Bytes that are already buffered
// don't count.
func (b *boundedReader) set(n int64) { b.left = n }

func (b *boundedReader) clear() { b.left = math.MaxInt64 }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.from.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	b.head.scan(p[:n])
	return n, err
}

// pop removes and returns the most recently used connection whose idle timeout
// has not passed and on which id was not sent yet, or nil. A replica may repeat its
// answer to an earlier request with that ID on the connection.
func (p *Pool) pop(addr, id string) *conn {
	hash := hashID(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	now := time.Now()
	for i, c := range slices.Backward(list) {
		expired := !now.Before(c.idleDeadline)
		if !expired && slices.Contains(c.sent, hash) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[addr] = list
		if !expired {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put returns a connection on which an answer has ended to the pool, or closes it if
// it can't be reused.
func (p *Pool) put(c *conn) {
	c.idleDeadline = time.Now().Add(c.idleTimeout)
	p.giveBack(c)
}

// giveBack is like put for a connection on which nothing was sent since it was taken.
func (p *Pool) giveBack(c *conn) {
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= maxIdlePerReplica || c.idleTimeout <= 0 || len(c.sent) >= maxRequests {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// isUsable reports whether an idle connection is still usable, which is the
// case if neither unexpected bytes nor the end of the stream have arrived on
// it.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = err == syscall.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

// parseKeepAlive returns the timeout of a Keep-Alive header minus idleMargin,
// or false if the header states none.
func parseKeepAlive(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds)*time.Second - idleMargin, true
	}
	return 0, false
}
