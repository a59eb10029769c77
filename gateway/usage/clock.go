package usage

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minClockStep is the smallest change of the wall clock relative to the
	// monotonic clock that counts as a step instead of drift or slewing.
	minClockStep = 300 * time.Millisecond
)

// Clock returns the time of day and ignores steps of the wall clock. It is safe
// for concurrent use.
type Clock struct {
	wall      func() time.Time
	monotonic func() time.Duration

	mu sync.Mutex
	// offset is the difference between the wall clock and the monotonic clock
	// as of the last call of Now without a step.
	offset    time.Duration
	offsetSet bool
}

// NewClock returns a Clock for the clocks of this host.
func NewClock() *Clock {
	return &Clock{wall: time.Now, monotonic: bootTime}
}

// bootTime returns the time since the host started, including the time for
// which it was suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // steps can't be detected without a monotonic clock
	}
	return time.Duration(ts.Nano())
}

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	monotonic := c.monotonic()
	offset := time.Duration(c.wall().UnixNano()) - monotonic
	if change := (offset - c.offset).Abs(); !c.offsetSet || change < minClockStep {
		c.offset, c.offsetSet = offset, true
	}
	return time.Unix(0, int64(monotonic+c.offset))
}
