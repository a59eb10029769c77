package inprocess

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/coltsfootcleat/coltsfootcleat/app"
)

// powerSwitch stands between an entry and its network. Off cuts the entry
// from one moment to the next, as the death of its host would; pause holds
// all its traffic, as a frozen process would. It is safe for concurrent use.
type powerSwitch struct {
	inner app.Network

	mu     sync.Mutex
	resume *sync.Cond
	paused bool
	off    bool
	open   map[closer]struct{}
}

type closer interface{ Close() error }

func newPowerSwitch(inner app.Network) *powerSwitch {
	s := &powerSwitch{inner: inner, open: make(map[closer]struct{})}
	s.resume = sync.NewCond(&s.mu)
	return s
}

// network returns the network that the entry sees.
func (s *powerSwitch) network() app.Network {
	return app.Network{Listen: s.listen, Dial: s.dial}
}

// pass waits while the entry is paused and reports whether it is still on.
func (s *powerSwitch) pass() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.paused && !s.off {
		s.resume.Wait()
	}
	return !s.off
}

func (s *powerSwitch) setPaused(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = on
	s.resume.Broadcast()
}

// turnOff closes everything and lets nothing through any more.
func (s *powerSwitch) turnOff() {
	s.mu.Lock()
	s.off = true
	open := s.open
	s.open = nil
	s.resume.Broadcast()
	s.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

// keep registers what turnOff closes. It returns false when it is too late.
func (s *powerSwitch) keep(c closer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.off {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *powerSwitch) drop(c closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *powerSwitch) listen(address string) (net.Listener, error) {
	l, err := s.inner.Listen(address)
	if err != nil {
		return nil, err
	}
	out := &switchedListener{Listener: l, s: s}
	if !s.keep(out) {
		_ = l.Close()
		return nil, syscall.ECONNREFUSED
	}
	return out, nil
}

func (s *powerSwitch) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !s.pass() {
		return nil, syscall.ENETUNREACH
	}
	c, err := s.inner.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return s.wrap(c)
}

func (s *powerSwitch) wrap(c net.Conn) (net.Conn, error) {
	out := &switchedConn{Conn: c, s: s}
	if !s.keep(out) {
		_ = c.Close()
		return nil, syscall.ECONNRESET
	}
	return out, nil
}

type switchedListener struct {
	net.Listener
	s *powerSwitch
}

func (l *switchedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if wrapped, err := l.s.wrap(c); err == nil {
			return wrapped, nil
		}
	}
}

func (l *switchedListener) Close() error {
	l.s.drop(l)
	return l.Listener.Close()
}

type switchedConn struct {
	net.Conn
	s *powerSwitch
}

func (c *switchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.s.pass() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *switchedConn) Write(p []byte) (int, error) {
	if !c.s.pass() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

func (c *switchedConn) Close() error {
	c.s.drop(c)
	return c.Conn.Close()
}
