package loadview

import (
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// quantized is a load in four bytes: the levels of running and waiting requests, the cache level (low four bits) with
// the flags, and the level of the step time.
type quantized [4]byte

// Flags and mask of the third byte.
const (
	flagLeaving     = 1 << 4
	flagUnreachable = 1 << 5
	flagUnobserved  = 1 << 6
	cacheMask       = 1<<4 - 1
)

const (
	// cacheStep is the size of a cache level, in percent.
	cacheStep = 7
	// stepUnit is the unit of step times before they are quantized, in microseconds.
	stepUnit = 100
	// maxLevel is the highest level; it stands for counts from half a million on.
	maxLevel = 38
)

// level returns the half-octave level of a count. The levels begin at 0, 1, 2, 3, 4, 6, 8, 12, 16, 24 and so on.
func level(count uint32) byte {
	n := byte(0)
	for n < maxLevel && valueOf(n+1) <= count {
		n++
	}
	return n
}

// valueOf returns the lowest count of a level.
func valueOf(n byte) uint32 {
	if n < 3 {
		return uint32(n)
	}
	if n%2 == 1 {
		return 3 << ((n - 3) / 2)
	}
	return 4 << ((n - 4) / 2)
}

func quantize(load *pb.WorkerLoad) quantized {
	q := quantized{level(load.Running), level(load.Waiting), byte(min(load.CachePercent, 100) / cacheStep),
		level(load.StepUs / stepUnit)}
	if load.Leaving {
		q[2] |= flagLeaving
	}
	if load.Unreachable {
		q[2] |= flagUnreachable
	}
	return q
}

func (q quantized) dequantize(age time.Duration) Load {
	return Load{Running: valueOf(min(q[0], maxLevel)), Waiting: valueOf(min(q[1], maxLevel)),
		CachePercent: uint32(q[2]&cacheMask) * cacheStep, StepMicros: valueOf(min(q[3], maxLevel)) * stepUnit,
		Leaving: q[2]&flagLeaving != 0, Unreachable: q[2]&flagUnreachable != 0, Unobserved: q[2]&flagUnobserved != 0,
		Age: max(age, 0)}
}

// jumped reports whether the change is too large to wait for changePeriod.
func (q quantized) jumped(before quantized) bool {
	return q[2]&^cacheMask != before[2]&^cacheMask || levelDistance(q[0], before[0]) >= jumpLevels ||
		levelDistance(q[1], before[1]) >= jumpLevels
}

// outsideLevel reports whether a count is outside a level by more than a tenth. Without this hysteresis a count near
// the boundary between two levels would switch back and forth.
func outsideLevel(count uint32, n byte) bool {
	return 10*count < 9*valueOf(n) || 10*count >= 11*valueOf(n+1)
}

// needsReport reports whether the load must be sent: the running requests are outside the level sent last, or another
// field changed.
func (q quantized) needsReport(running uint32, sent quantized) bool {
	return q[0] != sent[0] && outsideLevel(running, sent[0]) || q[1] != sent[1] || q[2] != sent[2] || q[3] != sent[3]
}

func levelDistance(a, b byte) int { return max(int(a)-int(b), int(b)-int(a)) }
