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

// counterBits is the number of low bits of a version that hold the number of its
// commit. The others hold the epoch.
const counterBits = 48

// Limits of the parts of a version.
const (
	MaxEpoch   = 1<<(64-counterBits) - 2 // the next one is that of ExpectAny
	MaxCounter = 1<<counterBits - 1
)

// NewVersion returns the version of a commit with a number, which a table counts
// anew in each epoch. Versions of a later epoch are higher than all earlier ones.
func NewVersion(epoch, counter uint64) uint64 { return epoch<<counterBits | counter }

// EpochOf returns the epoch of a version.
func EpochOf(version uint64) uint64 { return version >> counterBits }

// CounterOf returns the number of the commit of a version.
func CounterOf(version uint64) uint64 { return version & MaxCounter }
