// Package elapsed measures the time since an event on this host, for guarantees
// that must not be relied on after their expiry, such as leases.
package elapsed

import "time"

// Since returns the time since t by the monotonic or the wall clock of this
// host, whichever is greater, because the monotonic clock stops while a machine
// is suspended. Use Since where overestimating the time is safe, and time.Since
// where underestimating it is.
func Since(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
