package fleet

import (
	"maps"
	"math"
	"time"
)

const (
	// sampleTime is the length of one sample; sampleCount samples make the history of the forecast.
	sampleTime  = 10 * time.Second
	sampleCount = 18
	// recentCount samples make the level of the forecast: 1 minute.
	recentCount = 6
	// forecastAhead is about the time from a decision to a server that has its model loaded.
	forecastAhead = 2 * time.Minute
	// trendErrors is how many standard errors are taken off a trend, so that noise is not extrapolated.
	trendErrors = 3
	peakBucket  = time.Minute
)

// Memory is what a plan keeps from step to step. The zero value is that of a new holder, which drains nothing before
// it has observed the demand for the hold time.
type Memory struct {
	// peaks has the highest need per group in each minute.
	peaks map[string]*peaks
}

type peaks struct {
	since   time.Time
	buckets map[int64]float64
}

// observe adds the need of a group and returns the peak of the hold time; known is false before the hold
// time has passed.
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

// History has the demand of the last minutes and forecasts it. It is not safe for concurrent use.
type History struct {
	started time.Time
	// samples has the mean demand of each sample time, oldest first.
	samples []map[string]Demand
	sum     map[string]Demand
	count   float64
}

// Add takes the demand per model as it is now; call it about once a second.
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

// Forecast returns the expected demand per model after the time that a start takes. Only a rising trend counts, and
// only one that stands out from the noise.
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

// expect extrapolates one figure by a straight line through the samples.
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
