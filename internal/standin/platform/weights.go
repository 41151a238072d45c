package platform

import (
	"context"
	"sync"
	"time"
)

// Weights is a stand-in for the weight store. It admits one load of weights at a time, at a fixed rate.
type Weights struct {
	mibPerSecond uint32

	mu        sync.Mutex
	busyUntil time.Time // when the current load ends
	reserved  uint64    // MiB
}

// NewWeights returns a weight store; rate 0 means no limit.
func NewWeights(mibPerSecond uint32) *Weights { return &Weights{mibPerSecond: mibPerSecond} }

// Reserve implements platform.Weights. A load that must wait is not queued; its caller retries after the returned time.
func (w *Weights) Reserve(ctx context.Context, _ string, sizeMiB uint32) (time.Duration, error) {
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.busyUntil.After(now) {
		return w.busyUntil.Sub(now), nil
	}
	w.reserved += uint64(sizeMiB)
	if w.mibPerSecond > 0 {
		w.busyUntil = now.Add(time.Duration(sizeMiB) * time.Second / time.Duration(w.mibPerSecond))
	}
	return 0, nil
}

// ReservedMiB returns the total size of all admitted loads.
func (w *Weights) ReservedMiB() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reserved
}
