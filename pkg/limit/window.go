package limit

import (
	"sync"
	"time"
)

// windowSlots is the number of slots of a RetryWindow's window, which slides in steps of one slot, a tenth of it.
const windowSlots = 10

// RetryWindow bounds the retries of requests to one service within any sliding window: a ratio of the requests in the
// window plus this node's part of a fixed allowance. Each node applies the ratio to its own requests, so the bound holds
// for all nodes together.
//
// Load pattern: many servers fail at once while callers also retry on their own. A percentage alone would allow too few
// retries at low load, and a token bucket would release what accumulated over a quiet hour at once.
type RetryWindow struct {
	mu             sync.Mutex
	ratio          float64
	fixedAllowance float64
	slot           time.Duration
	requests       [windowSlots + 1]float64
	retries        [windowSlots + 1]float64
	current        int64
}

// NewRetryWindow returns a window that allows ratio retries per request plus a fixed allowance of retries per window.
func NewRetryWindow(ratio float64, window time.Duration, allowance float64) *RetryWindow {
	return &RetryWindow{ratio: ratio, fixedAllowance: allowance, slot: max(window/windowSlots, time.Millisecond)}
}

// SetAllowance changes the fixed allowance, which is this node's part of the allowance of all nodes.
func (w *RetryWindow) SetAllowance(allowance float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fixedAllowance = allowance
}

// Request counts a request.
func (w *RetryWindow) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current%int64(len(w.requests))]++
}

// Withdraw reports whether a retry may be sent and, if so, counts it.
func (w *RetryWindow) Withdraw(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, retries := 0.0, 0.0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if retries+1 > w.ratio*requests+w.fixedAllowance {
		return false
	}
	w.retries[w.current%int64(len(w.retries))]++
	return true
}

// advance moves the window to the current time and clears the slots that have left it.
func (w *RetryWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(w.slot)
	for steps := 0; w.current < slot && steps < len(w.requests); steps++ {
		w.current = max(w.current+1, slot-int64(len(w.requests))+1)
		i := w.current % int64(len(w.requests))
		w.requests[i], w.retries[i] = 0, 0
	}
	w.current = max(w.current, slot)
}
