package callerguard

import (
	"math"

	"golang.org/x/sys/unix"
)

// Descriptors returns the number of descriptors that this process may open: the limit of the system, or configured if
// that is lower and positive.
func Descriptors(configured int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		limit.Cur = math.MaxInt32
	}
	if configured > 0 {
		return min(configured, int(limit.Cur))
	}
	return int(limit.Cur)
}
