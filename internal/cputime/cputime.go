// Package cputime measures the processor time of this process.
package cputime

import (
	"syscall"
	"time"
)

// Used returns the user and system processor time that this process has
// consumed, or 0 if it is not available.
func Used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
