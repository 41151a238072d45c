package placement

import "time"

const (
	// lateFactor is the longest acceptable expected latency of a request with the most urgent priority, as a multiple of
	// its target. Less urgent requests are refused earlier, so that overload sheds the least important work first.
	lateFactor = 1.6
	// lateStep is subtracted from the factor for each step of lower priority.
	lateStep = 0.3
	// minLateFactor is the factor of the lowest priority.
	minLateFactor = 0.8
	// minRetryAfter keeps refused callers from retrying before the load has changed.
	minRetryAfter = 150 * time.Millisecond
	// maxRetryAfter is the upper bound of the retry time.
	maxRetryAfter = 3 * time.Second
)

// Decision is the result of Admit.
type Decision struct {
	Admit bool
	// RetryAfter is the time after which a refused request would be admitted if no others arrived.
	RetryAfter time.Duration
}

// Admit decides whether to send a request, given the expected time to its first event, the latency target, the remaining
// time to its deadline and its priority, of which 0 is the most urgent.
//
// Load pattern: arrivals exceed the engines' prefill rate for longer than any queue can absorb. A request that will miss
// its target anyway takes engine time from one that would meet it, until all are late. It is therefore refused at once,
// before it has used any resources, with the time until the work ahead of it is done.
func Admit(expected, target, remaining time.Duration, priority int) Decision {
	limit := time.Duration(float64(target) * max(minLateFactor, lateFactor-lateStep*float64(priority)))
	if limit == 0 || remaining < limit {
		limit = remaining
	}
	if expected <= limit {
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: min(max(expected-limit, minRetryAfter), maxRetryAfter)}
}
