// Package clock waits with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, not at all when it is not positive. It returns false when ctx ends first.
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
