package usage

import (
	"maps"
	"sync"
	"time"
)

// retainedWindows is the number of past windows whose counts an entry retains.
const retainedWindows = 12

// Counts holds the number of requests by customer.
type Counts map[string]int

// Counter counts the requests that began to run at one entry, by window and
// customer. It is safe for concurrent use.
type Counter struct {
	window time.Duration
	clock  *Clock

	mu     sync.Mutex
	counts map[int64]Counts
}

// NewCounter returns a Counter with windows of the given length. Window k
// begins k lengths after the Unix epoch.
func NewCounter(window time.Duration, clock *Clock) *Counter {
	return &Counter{window: window, clock: clock, counts: make(map[int64]Counts)}
}

// CountStart counts a request of a customer that begins to run now.
func (c *Counter) CountStart(customer string) {
	k := c.Window(c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts[k]
	if counts == nil {
		counts = make(Counts)
		c.counts[k] = counts
		for old := range c.counts {
			if old < k-retainedWindows {
				delete(c.counts, old)
			}
		}
	}
	counts[customer]++
}

// Window returns the number of the window that contains t.
func (c *Counter) Window(t time.Time) int64 { return t.UnixNano() / int64(c.window) }

// Recent returns a copy of the counts of the windows that ended less than age
// ago or have not ended.
func (c *Counter) Recent(age time.Duration) map[int64]map[string]int {
	oldest := c.Window(c.clock.Now().Add(-age))
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int64]map[string]int, len(c.counts))
	for k, counts := range c.counts {
		if k >= oldest {
			out[k] = maps.Clone(counts)
		}
	}
	return out
}
