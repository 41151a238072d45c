package placement

import (
	"math"
	"time"
)

// failureDeviations is the number of standard deviations by which a server's failures must exceed the mean of the
// others to count.
const failureDeviations = 2

// usualFailures is the number of recent failures of a server that says nothing about it, given the failures of all
// candidates together, its own and how many they are: the numbers of short times vary by chance.
//
// Load pattern: a seventh of the requests of a route fails wherever it runs. If each failure counted against its server,
// all nodes would avoid the servers that have failed last: one or two of five servers would get nearly all requests at a
// time, with queues of three times their slots, while the others are idle.
func usualFailures(sum, own float64, servers int) float64 {
	if servers < 2 {
		return own
	}
	mean := max(0, sum-own) / float64(servers-1)
	return mean + failureDeviations*math.Sqrt(mean)
}

// failureCost is the penalty of a server for failures beyond the usual number.
func failureCost(sum, own float64, servers int) time.Duration {
	return time.Duration(max(0, own-usualFailures(sum, own, servers)) * float64(failurePenalty))
}
