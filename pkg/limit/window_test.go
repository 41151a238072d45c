package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a retry storm: in no window may retries exceed the ratio of requests plus the allowance, however few
// there were before.
func TestRepeatsKeepToTheWindow(t *testing.T) {
	const (
		ratio, allowance = 0.2, 7.0
		window           = 10 * time.Second
		step             = 10 * time.Millisecond
	)
	w := NewRetryWindow(ratio, window, allowance)
	now := time.Unix(1000, 0)
	var retries, requests []time.Time
	for i := range 4000 {
		now = now.Add(step)
		// Low load without failures, then all servers fail.
		if i < 2000 && i%5 == 0 || i >= 2000 {
			w.Request(now)
			requests = append(requests, now)
		}
		for i >= 2000 && w.Withdraw(now) {
			retries = append(retries, now)
		}
	}
	assert.Assert(t, len(retries) > 100)
	for _, end := range retries {
		count := func(list []time.Time) (n float64) {
			for _, at := range list {
				if !at.After(end) && end.Sub(at) < window {
					n++
				}
			}
			return n
		}
		// The window may include up to one slot more than its nominal length.
		assert.Assert(t, count(retries) <= ratio*1.11*count(requests)+allowance+1, "at %v", end)
	}
}
