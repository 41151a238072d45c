package edge

import (
	"math"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// demandTimeConstant is the time constant of the exponentially decaying average of arriving work.
const demandTimeConstant = 2 * time.Second

// minDemandSpan is the shortest time, in seconds, over which a rate is computed.
const minDemandSpan = 0.5

// demandMeter measures the work that arrives at this node for each service, whether admitted or not.
type demandMeter struct {
	mu             sync.Mutex
	decayedAt      time.Time
	firstRequestAt time.Time
	services       map[string]*demandRate
}

// demandRate holds exponentially decaying sums of tokens and requests. Divided by demandTimeConstant they are rates.
type demandRate struct {
	prefill, output, requests float64
}

func newDemandMeter(now time.Time) *demandMeter {
	return &demandMeter{decayedAt: now, services: map[string]*demandRate{}}
}

func (m *demandMeter) add(service string, prefill, output float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	if m.firstRequestAt.IsZero() {
		m.firstRequestAt = now
	}
	d := m.services[service]
	if d == nil {
		d = &demandRate{}
		m.services[service] = d
	}
	d.prefill += prefill
	d.output += output
	d.requests++
}

// observedFor returns how long ago the first request arrived at this node, or 0 before it.
func (m *demandMeter) observedFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstRequestAt.IsZero() {
		return 0
	}
	return now.Sub(m.firstRequestAt)
}

func (m *demandMeter) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(m.decayedAt)) / float64(demandTimeConstant))
	m.decayedAt = now
	for _, d := range m.services {
		d.prefill *= factor
		d.output *= factor
		d.requests *= factor
	}
}

func (m *demandMeter) export(now time.Time) []*pb.ServiceDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	// Shortly after the first request the sums cover less than the time constant.
	span := max(minDemandSpan,
		demandTimeConstant.Seconds()*(1-math.Exp(-float64(now.Sub(m.firstRequestAt))/float64(demandTimeConstant))))
	out := make([]*pb.ServiceDemand, 0, len(m.services))
	for name, d := range m.services {
		out = append(out, &pb.ServiceDemand{Service: name, Prefill: float32(d.prefill / span),
			Output: float32(d.output / span), Requests: float32(d.requests / span)})
	}
	return out
}
