package infra

import "sync"

// Epoch is the highest epoch that a table has stated so far. A table that is
// restored from a copy, and so loses commits that it has acknowledged, begins a new
// epoch, which is one higher. It is safe for concurrent use. A nil Epoch is that of
// a table that loses nothing: it is always 0.
type Epoch struct {
	mu      sync.Mutex
	current uint64
	changed chan struct{}
}

// NewEpoch returns an Epoch of which nothing has been observed yet.
func NewEpoch() *Epoch { return &Epoch{changed: make(chan struct{})} }

// Observe records an epoch that the table has stated. Answers may arrive out of
// order, so a lower one than the current one has no effect.
func (e *Epoch) Observe(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch <= e.current {
		return
	}
	e.current = epoch
	close(e.changed)
	e.changed = make(chan struct{})
}

// Current returns the highest epoch observed.
func (e *Epoch) Current() uint64 {
	epoch, _ := e.Watch()
	return epoch
}

// Watch returns the highest epoch observed, and a channel that is closed when a
// higher one is. The channel of a nil Epoch is nil.
func (e *Epoch) Watch() (uint64, <-chan struct{}) {
	if e == nil {
		return 0, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.changed
}
