package app

import (
	"context"
	"sync"
)

// Gate counts the requests in flight of an entry, so that a drain can wait for
// them. Once closed it admits no new requests; those in flight finish. It is
// safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	drained  chan struct{}
}

// NewGate returns an open Gate.
func NewGate() *Gate {
	return &Gate{drained: make(chan struct{})}
}

// Enter admits a request. It returns false once the gate is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

// Hold counts a request that was accepted earlier as in flight, even if the
// gate has been closed since.
func (g *Gate) Hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
}

// Leave records that a request has finished.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.signalLocked()
}

// Close stops admitting requests. It may be called more than once.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signalLocked()
}

// Closed reports whether the gate was closed.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Wait waits until the gate is closed and no request is in flight.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) signalLocked() {
	if !g.closed || g.inFlight > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}
