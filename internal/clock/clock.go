// Package clock provides a sleep that ends with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d; if d is not positive, it returns at once. It returns false if ctx ends first or has ended.
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
