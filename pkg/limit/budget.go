package limit

import "sync/atomic"

// Budget is the common budget of retries and hedges: each request deposits a percentage of one retry. It keeps a wave
// of failures from multiplying the load.
type Budget struct {
	percent atomic.Int64
	level   atomic.Int64 // in hundredths of a retry
}

const (
	retryCost     = 100
	initialBudget = 3 * retryCost   // lets the first failures of a quiet node be retried
	maxBudget     = 100 * retryCost // bounds what calm times save up
)

// NewBudget returns a budget of retries in percent of requests.
func NewBudget(percent uint32) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	b.level.Store(initialBudget)
	return b
}

// SetPercent changes the percentage; at most 100.
func (b *Budget) SetPercent(percent uint32) { b.percent.Store(int64(min(percent, 100))) }

// Request counts one first attempt.
func (b *Budget) Request() {
	deposit := b.percent.Load()
	for {
		level := b.level.Load()
		if level >= maxBudget || b.level.CompareAndSwap(level, min(maxBudget, level+deposit)) {
			return
		}
	}
}

// Withdraw takes one retry or hedge out of the budget and reports whether it may be sent.
func (b *Budget) Withdraw() bool {
	for {
		level := b.level.Load()
		if level < retryCost || b.percent.Load() == 0 {
			return false
		}
		if b.level.CompareAndSwap(level, level-retryCost) {
			return true
		}
	}
}
