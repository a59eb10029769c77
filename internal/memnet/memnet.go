// Package memnet is an in-memory network of stream connections for tests and
// experiments. It works under testing/synctest and can delay data, cut links
// between hosts and kill hosts. A Network and its connections are safe for
// concurrent use.
package memnet

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// errReset is the error of a read from a connection that has been reset.
var errReset error = syscall.ECONNRESET

// errRefused is the error of a dial to an address without a listener.
var errRefused error = syscall.ECONNREFUSED

// Local ports are assigned in ascending order from firstPort, and start again
// after portSpan ports.
const (
	firstPort = 20000
	portSpan  = 40000
)

// dialTimeout limits the time of a dial over a cut link.
const dialTimeout = 2 * time.Second

// addr is an address "ip:port"; it implements net.Addr.
type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

func (a addr) host() string {
	host, _, err := net.SplitHostPort(string(a))
	if err != nil {
		return string(a)
	}
	return host
}

// pair holds the two ends of a connection.
type pair struct{ a, b *conn }

func (p *pair) reset() {
	p.a.in.abort()
	p.a.out.abort()
}

// Network connects hosts, which are identified by their IP addresses. It is
// safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	pairs     map[*pair]struct{}
	cuts      map[[2]string]bool
	latency   func(from, to string) time.Duration
	nextPort  int
}

// New returns a network without listeners and without latency.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		pairs:     make(map[*pair]struct{}),
		cuts:      make(map[[2]string]bool),
		latency:   func(string, string) time.Duration { return 0 },
	}
}

// SetLatency sets the function that returns the one-way delay from one host to
// another. It applies to new connections.
func (n *Network) SetLatency(f func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = f
}

// Listen returns a listener on the address "ip:port".
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, used := n.listeners[address]; used {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{network: n, address: addr(address), backlog: make(chan *conn, 1024), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for the host with the address from.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := addr(address)
	if n.isCut(from, to.host()) {
		// The context of the caller may outlive its request by far, so it does
		// not bound the dial.
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: to, Err: ctx.Err()}
	}
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil {
		n.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: to, Err: errRefused}
	}
	n.nextPort++
	local := addr(net.JoinHostPort(from, strconv.Itoa(firstPort+n.nextPort%portSpan)))
	delay := n.latency(from, to.host())
	p := n.newPairLocked(local, to, delay)
	n.mu.Unlock()
	select {
	case l.backlog <- p.b:
		return p.a, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: to, Err: errRefused}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: to, Err: ctx.Err()}
	}
}

func (n *Network) newPairLocked(local, remote addr, latency time.Duration) *pair {
	outbound, inbound := newHalfConn(), newHalfConn()
	p := &pair{}
	p.a = &conn{network: n, in: inbound, out: outbound, local: local, remote: remote, latency: latency, pair: p}
	p.b = &conn{network: n, in: outbound, out: inbound, local: remote, remote: local, latency: latency, pair: p}
	n.pairs[p] = struct{}{}
	return p
}

// SetCut blocks all traffic between two hosts if on is true, and restores it
// otherwise. While a link is cut, written data is lost and dials block until
// they time out. When the link is restored, the connections that were open are
// reset.
func (n *Network) SetCut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link(a, b)] = on
	if !on {
		n.resetLocked(func(p *pair) bool {
			return link(p.a.local.host(), p.a.remote.host()) == link(a, b)
		})
	}
}

// Reset resets every connection of a host. Its listeners remain.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetLocked(func(p *pair) bool {
		return p.a.local.host() == host || p.a.remote.host() == host
	})
}

// Kill resets every connection of a host and closes its listeners.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var closing []*listener
	for _, l := range n.listeners {
		if l.address.host() == host {
			closing = append(closing, l)
		}
	}
	n.resetLocked(func(p *pair) bool {
		return p.a.local.host() == host || p.a.remote.host() == host
	})
	n.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
}

func (n *Network) resetLocked(match func(*pair) bool) {
	for p := range n.pairs {
		if match(p) {
			p.reset()
			delete(n.pairs, p)
		}
	}
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[link(a, b)]
}

func (n *Network) removePair(p *pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pairs, p)
}

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// listener accepts connections to one address.
type listener struct {
	network *Network
	address addr
	backlog chan *conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
