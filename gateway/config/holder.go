package config

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the newest configuration. The zero value has none. It is safe
// for concurrent use.
type Holder struct {
	current atomic.Pointer[Configuration]

	mu       sync.Mutex
	onChange []func(*Configuration)
}

// Current returns the configuration in force, or nil before the first.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// OnChange registers f for each new configuration. Register before the first
// Offer. Calls don't overlap.
func (h *Holder) OnChange(f func(*Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, f)
}

// Offer puts a compiled configuration in force if it is newer than the one
// that is, and says whether it was.
func (h *Holder) Offer(c *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	h.current.Store(c)
	for _, f := range h.onChange {
		f(c)
	}
	return true
}
