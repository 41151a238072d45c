package limit

import "sync/atomic"

// Budget is the shared budget of retries and hedges: each request deposits a percentage of the cost of one retry. It
// prevents retry storms, in which many simultaneous failures multiply the load.
type Budget struct {
	percent atomic.Int64
	level   atomic.Int64 // in hundredths of a retry
}

const (
	retryCost     = 100
	initialBudget = 3 * retryCost   // allows the first failures on a node with few requests to be retried
	maxBudget     = 100 * retryCost // bounds what accumulates while nothing fails
)

// NewBudget returns a budget that allows the given percentage of requests to be retried.
func NewBudget(percent uint32) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	b.level.Store(initialBudget)
	return b
}

// SetPercent changes the percentage; at most 100.
func (b *Budget) SetPercent(percent uint32) { b.percent.Store(int64(min(percent, 100))) }

// Request deposits the share of one first attempt.
func (b *Budget) Request() {
	deposit := b.percent.Load()
	for {
		level := b.level.Load()
		if level >= maxBudget || b.level.CompareAndSwap(level, min(maxBudget, level+deposit)) {
			return
		}
	}
}

// Withdraw reports whether a retry or hedge may be sent and, if so, takes it out of the budget.
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
