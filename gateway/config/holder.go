package config

import (
	"sync"
	"sync/atomic"
)

// Holder holds the current configuration, which is the newest that was offered.
// Its zero value holds none. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Configuration]

	mu       sync.Mutex
	onChange []func(*Configuration)
}

// Current returns the current configuration, or nil before the first Offer.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// OnChange registers f to be called with each new configuration. All calls of
// OnChange must precede the first Offer. Calls of f don't overlap.
func (h *Holder) OnChange(f func(*Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, f)
}

// Offer makes a compiled configuration the current one and calls the registered
// functions, if it is newer than the current one. It reports whether it is.
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
