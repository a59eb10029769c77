package usage

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stepAbove is the least change of the wall clock against the steady one
	// that counts as a step rather than as drift or slewing.
	stepAbove = 300 * time.Millisecond
)

// Clock tells the time of day and keeps to its course when the wall clock is
// stepped. It is safe for concurrent use.
type Clock struct {
	wall   func() time.Time
	steady func() time.Duration

	mu sync.Mutex
	// offset is the wall clock's lead on the steady one as it was trusted
	// last.
	offset time.Duration
	set    bool
}

// NewClock returns the clock of this host.
func NewClock() *Clock {
	return &Clock{wall: time.Now, steady: bootTime}
}

// bootTime is the time since the host started, suspension included.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // no steady clock: steps can't be told
	}
	return time.Duration(ts.Nano())
}

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.steady()
	lead := time.Duration(c.wall().UnixNano()) - steady
	if change := (lead - c.offset).Abs(); !c.set || change < stepAbove {
		c.offset, c.set = lead, true
	}
	return time.Unix(0, int64(steady+c.offset))
}
