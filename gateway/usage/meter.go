package usage

import (
	"maps"
	"sync"
	"time"
)

// windowsKept is how many windows an entry remembers.
const windowsKept = 12

// Counts are requests by customer.
type Counts map[string]int

// Counter counts the requests that began to run at one entry. It is safe for
// concurrent use.
type Counter struct {
	window time.Duration
	clock  *Clock

	mu     sync.Mutex
	counts map[int64]Counts
}

// NewCounter returns a Meter for windows of a length; window k begins k lengths
// after the start of 1970.
func NewCounter(window time.Duration, clock *Clock) *Counter {
	return &Counter{window: window, clock: clock, counts: make(map[int64]Counts)}
}

// Started counts a request of a customer that began to run now.
func (m *Counter) Started(customer string) {
	k := m.Window(m.clock.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts[k]
	if counts == nil {
		counts = make(Counts)
		m.counts[k] = counts
		for old := range m.counts {
			if old < k-windowsKept {
				delete(m.counts, old)
			}
		}
	}
	counts[customer]++
}

// Window returns the number of the window of a time.
func (m *Counter) Window(t time.Time) int64 { return t.UnixNano() / int64(m.window) }

// Recent returns a copy of the windows that ended less than age ago or have
// not ended.
func (m *Counter) Recent(age time.Duration) map[int64]map[string]int {
	oldest := m.Window(m.clock.Now().Add(-age))
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[int64]map[string]int, len(m.counts))
	for k, counts := range m.counts {
		if k >= oldest {
			out[k] = maps.Clone(counts)
		}
	}
	return out
}
