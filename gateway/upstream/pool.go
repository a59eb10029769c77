package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// dialTimeout bounds the set-up of a connection. A lost opening packet is
	// sent again only after a second, so that waiting longer rarely helps.
	dialTimeout = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept where the replica doesn't
	// say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the replica states, for requests
	// on the way when it closes.
	idleMargin = 700 * time.Millisecond
	// idlePerReplica bounds the idle connections to one replica.
	idlePerReplica = 24
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool keeps connections to replicas. It is safe for concurrent use.
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

// conn is one connection. It belongs to one request at a time.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// keep is how long it may be idle; expires is when that is over.
	keep    time.Duration
	expires time.Time
}

// Close closes the idle connections and keeps none from now on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr := range p.idle {
		p.dropLocked(addr)
	}
}

// Sweep closes connections that were idle too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

func (p *Pool) dropLocked(addr string) {
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// get returns an idle connection that is still open, or a new one. A failure
// is verdict.NotRun.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.quiet() {
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
	return &conn{Conn: nc, addr: addr, reader: bufio.NewReaderSize(nc, readBuffer), keep: defaultIdle}, nil
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	now := time.Now()
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if now.Before(c.expires) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.expires = time.Now().Add(c.keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= idlePerReplica || c.keep <= 0 {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// quiet says whether nothing has arrived on an idle connection, neither bytes
// of an answer that nobody awaits nor its end.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepAlive reads the idle time of a Keep-Alive header.
func keepAlive(header string) (time.Duration, bool) {
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
