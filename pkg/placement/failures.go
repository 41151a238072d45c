package placement

import (
	"math"
	"time"
)

// failureDeviations is the number of standard deviations by which a server's failures must exceed the mean to count.
const failureDeviations = 2

// usualFailures is the number of recent failures of a server that says nothing about it, given the mean over the servers:
// the numbers of short times vary by chance.
//
// Load pattern: a seventh of the requests of a route fails wherever it runs. If each failure counted against its server,
// all nodes would avoid the servers that have failed last: one or two of five servers would get nearly all requests at a
// time, with queues of three times their slots, while the others are idle.
func usualFailures(mean float64) float64 { return mean + failureDeviations*math.Sqrt(mean) }

// failureCost is the penalty of a server for failures beyond the usual number.
func failureCost(failures, usual float64) time.Duration {
	return time.Duration(max(0, failures-usual) * float64(failurePenalty))
}
