package fleet

import (
	"maps"
	"math"
	"time"
)

const (
	// sampleTime is the length of one sample, sampleCount the number of samples that a forecast uses: 3 minutes.
	sampleTime  = 10 * time.Second
	sampleCount = 18
	// recentCount is the number of latest samples whose mean is the base of the forecast: 1 minute.
	recentCount = 6
	// forecastAhead is approximately the time from the decision to start a server until it has loaded its model.
	forecastAhead = 2 * time.Minute
	// trendErrors is the number of standard errors subtracted from a trend, so that noise is not extrapolated.
	trendErrors = 3
	// peakBucket is the resolution of the recorded peaks.
	peakBucket = time.Minute
)

// Memory is the state of the planner between steps. The zero value is that of a new planner, which drains no server
// for lack of demand before it has observed the demand for holdTime.
type Memory struct {
	// peaks holds the highest needed capacity of each minute, by group.
	peaks map[string]*peaks
}

type peaks struct {
	since   time.Time
	buckets map[int64]float64
}

// observe records the needed capacity of a group and returns its peak within holdTime. known is false until the group
// has been observed for holdTime.
func (m *Memory) observe(now time.Time, group string, need float64) (peak float64, known bool) {
	p := m.peaks[group]
	if p == nil {
		p = &peaks{since: now, buckets: map[int64]float64{}}
		m.peaks[group] = p
	}
	minute := now.UnixNano() / int64(peakBucket)
	p.buckets[minute] = max(p.buckets[minute], need)
	oldest := now.Add(-holdTime).UnixNano() / int64(peakBucket)
	maps.DeleteFunc(p.buckets, func(at int64, _ float64) bool { return at < oldest })
	for _, v := range p.buckets {
		peak = max(peak, v)
	}
	return peak, now.Sub(p.since) >= holdTime
}

func (m *Memory) clone() *Memory {
	out := &Memory{peaks: map[string]*peaks{}}
	if m == nil {
		return out
	}
	for name, p := range m.peaks {
		out.peaks[name] = &peaks{p.since, maps.Clone(p.buckets)}
	}
	return out
}

// History records the demand of the last minutes and forecasts the demand from it. It is not safe for concurrent use.
type History struct {
	started time.Time // of the sample in progress, as are sum and count
	// samples holds the mean demand of each finished sample, oldest first.
	samples []map[string]Demand
	sum     map[string]Demand
	count   float64
}

// Add records the current demand per model. It should be called about once per second.
func (h *History) Add(now time.Time, demand map[string]Demand) {
	if h.sum == nil {
		h.started, h.sum = now, map[string]Demand{}
	}
	if now.Sub(h.started) >= sampleTime && h.count > 0 {
		h.samples = append(h.samples, mean(h.sum, h.count))
		h.samples = h.samples[max(0, len(h.samples)-sampleCount):]
		h.started, h.sum, h.count = now, map[string]Demand{}, 0
	}
	for model, d := range demand {
		s := h.sum[model]
		h.sum[model] = Demand{s.TokensPerSecond + d.TokensPerSecond, s.RequestsPerSecond + d.RequestsPerSecond}
	}
	h.count++
}

func mean(sum map[string]Demand, n float64) map[string]Demand {
	out := make(map[string]Demand, len(sum))
	for model, d := range sum {
		out[model] = Demand{d.TokensPerSecond / n, d.RequestsPerSecond / n}
	}
	return out
}

// Forecast returns the expected demand per model after forecastAhead. It extrapolates only a rising trend, and only the
// part of it that is statistically significant.
func (h *History) Forecast() map[string]Demand {
	models := map[string]bool{}
	for _, s := range h.samples {
		for model := range s {
			models[model] = true
		}
	}
	out := make(map[string]Demand, len(models))
	for model := range models {
		out[model] = Demand{
			h.expect(func(s map[string]Demand) float64 { return s[model].TokensPerSecond }),
			h.expect(func(s map[string]Demand) float64 { return s[model].RequestsPerSecond }),
		}
	}
	return out
}

// expect extrapolates one value by linear regression over the samples.
func (h *History) expect(value func(map[string]Demand) float64) float64 {
	n := len(h.samples)
	recent := h.samples[max(0, n-recentCount):]
	level := 0.0
	for _, s := range recent {
		level += value(s) / float64(len(recent))
	}
	if n < recentCount {
		return level
	}
	meanX, meanY := float64(n-1)/2, 0.0
	for _, s := range h.samples {
		meanY += value(s) / float64(n)
	}
	var sxx, sxy, syy float64
	for i, s := range h.samples {
		dx, dy := float64(i)-meanX, value(s)-meanY
		sxx, sxy, syy = sxx+dx*dx, sxy+dx*dy, syy+dy*dy
	}
	slope := sxy / sxx
	residual := max(0, syy-slope*sxy)
	slope -= trendErrors * math.Sqrt(residual/float64(n-2)/sxx)
	return level + max(0, slope)*float64(forecastAhead/sampleTime)
}
