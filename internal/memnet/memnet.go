// Package memnet is an in-memory network of stream connections for tests and
// experiments. It works under testing/synctest and can cut links and take
// hosts away.
package memnet

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var errReset error = syscall.ECONNRESET

// errRefused is returned where nothing listens.
var errRefused error = syscall.ECONNREFUSED

// Local ports are drawn from firstPort on.
const (
	firstPort = 20000
	portSpan  = 40000
)

// dialTimeout bounds a dial over a cut link.
const dialTimeout = 2 * time.Second

// addr is an "ip:port".
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

// pair is the two ends of a connection.
type pair struct{ a, b *conn }

func (p *pair) reset() {
	p.a.in.breakOff()
	p.a.out.breakOff()
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	pairs     map[*pair]struct{}
	cuts      map[[2]string]bool
	latency   func(from, to string) time.Duration
	nextPort  int
}

// New returns an empty network without latency.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		pairs:     make(map[*pair]struct{}),
		cuts:      make(map[[2]string]bool),
		latency:   func(string, string) time.Duration { return 0 },
	}
}

// SetLatency sets the one-way delay between two hosts for new connections.
func (n *Network) SetLatency(f func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = f
}

// Listen listens on "ip:port".
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

// Dialer returns a dial function for the host with address from.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := addr(address)
	if n.stalled(from, to.host()) {
		// Whoever dials may have given up on its context long ago.
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
	there, back := newHalf(), newHalf()
	p := &pair{}
	p.a = &conn{network: n, in: back, out: there, local: local, remote: remote, latency: latency, pair: p}
	p.b = &conn{network: n, in: there, out: back, local: remote, remote: local, latency: latency, pair: p}
	n.pairs[p] = struct{}{}
	return p
}

// Cut stops all traffic between two hosts, or lets it pass again. While a
// link is cut, writes vanish and dials hang until they time out. When it
// is restored, the connections that were open are reset.
func (n *Network) Cut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link(a, b)] = on
	if !on {
		n.resetLocked(func(p *pair) bool {
			return link(p.a.local.host(), p.a.remote.host()) == link(a, b)
		})
	}
}

// Kill resets every connection of a host and closes its listeners.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var dead []*listener
	for _, l := range n.listeners {
		if l.address.host() == host {
			dead = append(dead, l)
		}
	}
	n.resetLocked(func(p *pair) bool {
		return p.a.local.host() == host || p.a.remote.host() == host
	})
	n.mu.Unlock()
	for _, l := range dead {
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

func (n *Network) stalled(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[link(a, b)]
}

func (n *Network) forget(p *pair) {
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

// listener accepts connections of one address.
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
