// Package ctxtime waits with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d; it returns false when ctx ends first, or has ended.
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
