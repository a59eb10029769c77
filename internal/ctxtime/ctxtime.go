// Package ctxtime provides a sleep that a context can end early.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
// If d is not positive, it returns immediately, and reports whether ctx is
// still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
