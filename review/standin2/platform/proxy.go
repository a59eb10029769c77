package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// Proxy forwards TCP channels to one address.
type Proxy struct {
	Addr string

	to string
	l  net.Listener

	mu    sync.Mutex
	pairs []*pair
}

// pair is one channel. Once it is silent, bytes that arrive on either side are dropped.
type pair struct {
	a, b   net.Conn
	silent atomic.Bool
}

// StartProxy starts a proxy to an address that listens on a free port.
func StartProxy(ip, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: l.Addr().String(), to: to, l: l}
	go p.accept()
	return p, nil
}

func (p *Proxy) accept() {
	for {
		a, err := p.l.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = a.Close()
			continue
		}
		q := &pair{a: a, b: b}
		p.mu.Lock()
		p.pairs = append(p.pairs, q)
		p.mu.Unlock()
		go q.copy(a, b)
		go q.copy(b, a)
	}
}

// copy forwards bytes until the channel ends. A silent channel isn't closed.
func (q *pair) copy(from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if q.silent.Load() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Silence makes all channels that are open now silent for good. New ones work. It
// returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.pairs {
		q.silent.Store(true)
	}
	n := len(p.pairs)
	p.pairs = nil
	return n
}

// Close ends the proxy and its channels.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.pairs {
		_ = q.a.Close()
		_ = q.b.Close()
	}
}
