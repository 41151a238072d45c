// Package recent keeps histograms of what was measured in the last seconds, such as durations by route.
package recent

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the time that a histogram covers at least; it covers at most two of it.
	window = 30 * time.Second
	// bucketsPerOctave and buckets determine the precision of values, 19%, and the ratio of the largest to the smallest
	// one, 2^16.
	bucketsPerOctave = 4
	buckets          = 16*bucketsPerOctave + 1
	// minSamples is the number of values that quantiles are derived from at least.
	minSamples = 8
)

// Histograms holds one histogram per key. Its methods may be called concurrently. The zero value is not usable.
type Histograms struct {
	smallest float64

	mu sync.Mutex
	// current and before are the histograms of the current window and of the one before.
	current, before map[string]*counts
	windowEnd       time.Time
}

type counts [buckets]uint32

// New returns histograms of values that are not told apart below smallest nor above 2^16 times it.
func New(smallest float64) *Histograms { return &Histograms{smallest: smallest} }

// Record adds a value.
func (h *Histograms) Record(key string, value float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	c := h.current[key]
	if c == nil {
		c = &counts{}
		h.current[key] = c
	}
	c[h.bucketOf(value)]++
}

// rotate drops windows that have passed.
func (h *Histograms) rotate(now time.Time) {
	switch {
	case now.After(h.windowEnd.Add(window)):
		h.current, h.before, h.windowEnd = map[string]*counts{}, nil, now.Add(window)
	case now.After(h.windowEnd):
		h.current, h.before, h.windowEnd = map[string]*counts{}, h.current, now.Add(window)
	}
}

// Quantile returns the value that a fraction q of the recent values did not exceed; 1 selects the largest. ok is false if
// there are too few values.
func (h *Histograms) Quantile(key string, q float64, now time.Time) (value float64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	var sum counts
	total := uint32(0)
	for _, c := range []*counts{h.current[key], h.before[key]} {
		if c == nil {
			continue
		}
		for i, n := range c {
			sum[i] += n
			total += n
		}
	}
	if total < minSamples {
		return 0, false
	}
	seen := uint32(0)
	for i, n := range sum {
		if seen += n; float64(seen) >= q*float64(total) {
			return h.smallest * math.Exp2(float64(i)/bucketsPerOctave), true
		}
	}
	return 0, false
}

// bucketOf returns the bucket of a value. Each but the first holds the values up to its limit and above that of the bucket
// before it; the last one also holds all that are larger.
func (h *Histograms) bucketOf(value float64) int {
	if value <= h.smallest {
		return 0
	}
	return min(int(math.Ceil(bucketsPerOctave*math.Log2(value/h.smallest))), buckets-1)
}
