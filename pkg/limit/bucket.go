package limit

import (
	"math"
	"time"
)

// burstSeconds is the capacity of a bucket in seconds of its rate. All buckets of a limit together hold 0.4 s of the
// limit's rate, which is 4% of what any 10 s admit.
const burstSeconds = 0.4

// bucket is a token bucket. Its level may become negative: a request larger than the capacity passes when the bucket is
// full.
type bucket struct {
	rate, level float64
	at          time.Time
}

func (b *bucket) capacity() float64 { return max(1, b.rate*burstSeconds) }

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = min(b.capacity(), b.level+elapsed*b.rate)
		b.at = now
	}
}

// setRate changes the rate. With an infinite rate every request passes.
func (b *bucket) setRate(rate float64, now time.Time) {
	if math.IsInf(rate, 1) {
		*b = bucket{rate: rate, at: now}
		return
	}
	if math.IsInf(b.rate, 1) {
		b.rate = 0
		b.level = 0
		b.at = now
	}
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
}

// until returns how long a request of the given cost must wait, at most maxRetry; 0 means that it may pass now.
func (b *bucket) until(cost float64, now time.Time) time.Duration {
	if math.IsInf(b.rate, 1) {
		return 0
	}
	b.fill(now)
	missing := min(cost, b.capacity()) - b.level
	if missing <= 1e-9 {
		return 0
	}
	if b.rate <= 0 {
		return maxRetry
	}
	return time.Duration(min(maxRetry.Seconds(), missing/b.rate) * float64(time.Second))
}

func (b *bucket) take(cost float64) {
	if !math.IsInf(b.rate, 1) {
		b.level = min(b.capacity(), b.level-cost)
	}
}
