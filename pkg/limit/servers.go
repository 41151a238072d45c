package limit

import (
	"math"
	"sync"
	"time"
)

// ServerLimits adapts the concurrency limit of each backend server. The limit follows the gradient between the lowest
// recent latency and the current one, and is cut at once when latency exceeds the target.
type ServerLimits struct {
	now    func() time.Time
	mu     sync.RWMutex
	target time.Duration
	byID   map[string]*serverLimit
}

type serverLimit struct {
	mu           sync.Mutex
	limit        float64
	inFlight     int
	latency      float64    // moving average, in seconds
	minLatency   [2]float64 // lowest latency of the current and the previous period, in seconds
	minLatencyAt time.Time
	cutAt        time.Time
}

const (
	initialServerLimit = 16
	minServerLimit     = 1
	maxServerLimit     = 1024
	latencyDecay       = 0.9
	// limitStep is the fraction of the distance to the next limit that one round of requests, as many as the limit,
	// covers. Larger steps oscillate, since latency shows the effect of a limit only one round later.
	limitStep = 0.3
	// latencyTolerance is the ratio of current to lowest latency above which the gradient is less than 1 and lowers the
	// limit: batching costs some latency.
	latencyTolerance = 2.0
	minLatencyPeriod = 30 * time.Second
	cutFactor        = 0.8
	// slowStartShare is the fraction of the target latency below which the limit doubles with each round of requests.
	// Engines batch, so the limit that suits a new server is far above initialServerLimit.
	slowStartShare = 0.5
	minCutInterval = time.Second // minimum time between cuts, so that one slow batch causes only one cut
)

// NewServerLimits returns the limits of a set of servers, each of which is added with its first request.
func NewServerLimits(target time.Duration, now func() time.Time) *ServerLimits {
	return &ServerLimits{now: now, target: target, byID: make(map[string]*serverLimit)}
}

// SetTarget changes the latency target.
func (l *ServerLimits) SetTarget(target time.Duration) {
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
}

// Retain drops the state of all servers that are not listed.
func (l *ServerLimits) Retain(servers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make(map[string]*serverLimit, len(servers))
	for _, id := range servers {
		if s := l.byID[id]; s != nil {
			kept[id] = s
		}
	}
	l.byID = kept
}

func (l *ServerLimits) get(server string) (*serverLimit, time.Duration) {
	l.mu.RLock()
	s, target := l.byID[server], l.target
	l.mu.RUnlock()
	if s != nil {
		return s, target
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s = l.byID[server]; s == nil {
		s = &serverLimit{limit: initialServerLimit}
		l.byID[server] = s
	}
	return s, l.target
}

// Acquire counts a request on a server, to be followed by Release. It returns false when the server is at its limit.
func (l *ServerLimits) Acquire(server string) bool {
	s, _ := l.get(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.inFlight) >= math.Floor(s.limit) {
		return false
	}
	s.inFlight++
	return true
}

// Observe adapts the limit to the time to first token of a request in flight. It must be called at the first token and
// not at the end of the response, which for a long response comes a hundred times later.
func (l *ServerLimits) Observe(server string, latency time.Duration) {
	s, target := l.get(server)
	now := l.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := float64(s.inFlight) >= s.limit/2
	s.adapt(latency.Seconds(), target.Seconds(), busy, now)
}

// Release counts a request as ended.
func (l *ServerLimits) Release(server string) {
	s, _ := l.get(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = max(0, s.inFlight-1)
}

// Limit returns the current limit of a server.
func (l *ServerLimits) Limit(server string) int {
	s, _ := l.get(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.limit)
}

func (s *serverLimit) adapt(latency, target float64, busy bool, now time.Time) {
	if s.latency == 0 {
		s.latency, s.minLatency, s.minLatencyAt = latency, [2]float64{latency, latency}, now
	}
	if now.Sub(s.minLatencyAt) >= minLatencyPeriod {
		s.minLatency = [2]float64{latency, s.minLatency[0]}
		s.minLatencyAt = now
	}
	s.minLatency[0] = min(s.minLatency[0], latency)
	s.latency = latencyDecay*s.latency + (1-latencyDecay)*latency
	if target > 0 && s.latency > target {
		if now.Sub(s.cutAt) >= minCutInterval {
			s.limit = max(minServerLimit, s.limit*cutFactor)
			s.cutAt = now
		}
		return
	}
	gradient := min(1, max(0.5, latencyTolerance*min(s.minLatency[0], s.minLatency[1])/s.latency))
	next := s.limit*gradient + math.Sqrt(s.limit)
	if next > s.limit && !busy {
		return // latency at low concurrency says nothing about a higher limit
	}
	next = s.limit + (next-s.limit)*limitStep/s.limit
	if s.latency < slowStartShare*target {
		next = s.limit + 1 // per request, so a round of requests doubles the limit
	}
	s.limit = min(maxServerLimit, max(minServerLimit, next))
}
