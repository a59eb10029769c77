// Package elapsed measures time on this host for promises that must lapse in
// time, such as leases.
package elapsed

import "time"

// Since returns the time since t on the monotonic or the wall clock of this
// host, whichever says more: the monotonic clock stands still while a machine
// is suspended. Use it where counting too much is safe, and time.Since where
// counting too little is.
func Since(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
