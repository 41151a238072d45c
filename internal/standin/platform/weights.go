package platform

import (
	"context"
	"sync"
	"time"
)

// Weights is the weight store: loads take turns at a fixed rate.
type Weights struct {
	mibPerSecond uint32

	mu       sync.Mutex
	busy     time.Time // the rate is used up until then
	reserved uint64    // MiB
}

// NewWeights returns a weight store; rate 0 means no limit.
func NewWeights(mibPerSecond uint32) *Weights { return &Weights{mibPerSecond: mibPerSecond} }

// Reserve implements platform.Weights. A load that must wait is not queued; its caller asks again.
func (w *Weights) Reserve(ctx context.Context, _ string, sizeMiB uint32) (time.Duration, error) {
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.busy.After(now) {
		return w.busy.Sub(now), nil
	}
	w.reserved += uint64(sizeMiB)
	if w.mibPerSecond > 0 {
		w.busy = now.Add(time.Duration(sizeMiB) * time.Second / time.Duration(w.mibPerSecond))
	}
	return 0, nil
}

// ReservedMiB returns the sum of all loads so far.
func (w *Weights) ReservedMiB() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reserved
}
