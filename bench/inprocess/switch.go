package inprocess

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/coltsfootcleat/coltsfootcleat/app"
)

// networkSwitch wraps the network of an entry to simulate failures.
// Disconnecting it closes all connections and listeners at once, as a crash of
// the host would; pausing it blocks all traffic, as a suspended process would.
// It is safe for concurrent use.
type networkSwitch struct {
	inner app.Network

	mu           sync.Mutex
	resumed      *sync.Cond
	paused       bool
	disconnected bool
	open         map[closer]struct{}
}

type closer interface{ Close() error }

func newNetworkSwitch(inner app.Network) *networkSwitch {
	s := &networkSwitch{inner: inner, open: make(map[closer]struct{})}
	s.resumed = sync.NewCond(&s.mu)
	return s
}

// network returns the network that the entry uses.
func (s *networkSwitch) network() app.Network {
	return app.Network{Listen: s.listen, Dial: s.dial}
}

// waitWhilePaused blocks while the entry is paused, and reports whether the
// network is still connected.
func (s *networkSwitch) waitWhilePaused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.paused && !s.disconnected {
		s.resumed.Wait()
	}
	return !s.disconnected
}

func (s *networkSwitch) setPaused(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
	s.resumed.Broadcast()
}

// disconnect closes all connections and listeners, and refuses new ones from
// then on.
func (s *networkSwitch) disconnect() {
	s.mu.Lock()
	s.disconnected = true
	open := s.open
	s.open = nil
	s.resumed.Broadcast()
	s.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

// track registers a connection or listener for disconnect to close. It returns
// false if the network is already disconnected.
func (s *networkSwitch) track(c closer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnected {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *networkSwitch) untrack(c closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *networkSwitch) listen(address string) (net.Listener, error) {
	l, err := s.inner.Listen(address)
	if err != nil {
		return nil, err
	}
	out := &switchedListener{Listener: l, netSwitch: s}
	if !s.track(out) {
		_ = l.Close()
		return nil, syscall.ECONNREFUSED
	}
	return out, nil
}

func (s *networkSwitch) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !s.waitWhilePaused() {
		return nil, syscall.ENETUNREACH
	}
	c, err := s.inner.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return s.wrap(c)
}

func (s *networkSwitch) wrap(c net.Conn) (net.Conn, error) {
	out := &switchedConn{Conn: c, netSwitch: s}
	if !s.track(out) {
		_ = c.Close()
		return nil, syscall.ECONNRESET
	}
	return out, nil
}

type switchedListener struct {
	net.Listener
	netSwitch *networkSwitch
}

func (l *switchedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if wrapped, err := l.netSwitch.wrap(c); err == nil {
			return wrapped, nil
		}
	}
}

func (l *switchedListener) Close() error {
	l.netSwitch.untrack(l)
	return l.Listener.Close()
}

type switchedConn struct {
	net.Conn
	netSwitch *networkSwitch
}

func (c *switchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.netSwitch.waitWhilePaused() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *switchedConn) Write(p []byte) (int, error) {
	if !c.netSwitch.waitWhilePaused() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

func (c *switchedConn) Close() error {
	c.netSwitch.untrack(c)
	return c.Conn.Close()
}
