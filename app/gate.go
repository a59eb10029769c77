package app

import (
	"context"
	"sync"
)

// Gate counts requests in progress. Once closed it lets no new one in; those
// inside finish. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	inside int
	closed bool
	empty  chan struct{}
}

// NewGate returns an open Gate.
func NewGate() *Gate {
	return &Gate{empty: make(chan struct{})}
}

// Enter lets a request in. It returns false once the gate is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inside++
	return true
}

// Hold counts work in that may begin while the gate is closed: it was accepted
// before.
func (g *Gate) Hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside++
}

// Leave lets a request out.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	g.signalLocked()
}

// Close lets no new request in. It may be called more than once.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signalLocked()
}

// Closed says whether the gate was closed.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inside
}

// Wait waits until the gate is closed and the last request has left.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) signalLocked() {
	if !g.closed || g.inside > 0 {
		return
	}
	select {
	case <-g.empty:
	default:
		close(g.empty)
	}
}
