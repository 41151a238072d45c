package limit

import (
	"math"
	"sync"
	"time"
)

// ServerLimits adapts the number of requests in flight on each backend server. The limit follows the gradient of the
// lowest latency seen lately over the current one, and falls at once when latency is over the target.
type ServerLimits struct {
	now    func() time.Time
	mu     sync.RWMutex
	target time.Duration
	byID   map[string]*serverLimit
}

type serverLimit struct {
	mu       sync.Mutex
	limit    float64
	inFlight int
	latency  float64    // mean of recent requests, seconds
	best     [2]float64 // lowest latency of the current and the previous period
	bestAt   time.Time
	cutAt    time.Time
}

const (
	initialServerLimit = 16
	minServerLimit     = 1
	maxServerLimit     = 1024
	latencyKeep        = 0.9
	// limitStep is the part of the way to the next limit that one full round of requests goes. Faster steps oscillate,
	// since latency shows the effect of a limit only a round later.
	limitStep = 0.3
	// tolerance is how far latency may rise over the best one before the limit falls: batching costs some latency.
	tolerance  = 2.0
	bestPeriod = 30 * time.Second
	targetCut  = 0.8
	// slowStartShare is the part of the target below which the limit doubles with each round. Engines batch, so the
	// limit of a new server is far above initialServerLimit.
	slowStartShare = 0.5
	cutPause       = time.Second // between cuts, so that one slow batch counts once
)

// NewServerLimits returns limits for servers that appear with their first request.
func NewServerLimits(target time.Duration, now func() time.Time) *ServerLimits {
	return &ServerLimits{now: now, target: target, byID: make(map[string]*serverLimit)}
}

// SetTarget changes the latency target.
func (l *ServerLimits) SetTarget(target time.Duration) {
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
}

// Keep drops the state of all other servers.
func (l *ServerLimits) Keep(servers []string) {
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

// Acquire counts a request on a server; false means that the server is at its limit. Release must follow true.
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

// Observe learns from the time to the first token of a request that is in flight. It is told at the first token and not
// at the end, which for a long answer comes a hundred times later.
func (l *ServerLimits) Observe(server string, latency time.Duration) {
	s, target := l.get(server)
	now := l.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := float64(s.inFlight) >= s.limit/2
	s.adapt(latency.Seconds(), target.Seconds(), busy, now)
}

// Release ends a request.
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
		s.latency, s.best, s.bestAt = latency, [2]float64{latency, latency}, now
	}
	if now.Sub(s.bestAt) >= bestPeriod {
		s.best = [2]float64{latency, s.best[0]}
		s.bestAt = now
	}
	s.best[0] = min(s.best[0], latency)
	s.latency = latencyKeep*s.latency + (1-latencyKeep)*latency
	if target > 0 && s.latency > target {
		if now.Sub(s.cutAt) >= cutPause {
			s.limit = max(minServerLimit, s.limit*targetCut)
			s.cutAt = now
		}
		return
	}
	gradient := min(1, max(0.5, tolerance*min(s.best[0], s.best[1])/s.latency))
	next := s.limit*gradient + math.Sqrt(s.limit)
	if next > s.limit && !busy {
		return // a limit that is not used says nothing about a higher one
	}
	next = s.limit + (next-s.limit)*limitStep/s.limit
	if s.latency < slowStartShare*target {
		next = s.limit + 1 // doubles the limit with each round of requests
	}
	s.limit = min(maxServerLimit, max(minServerLimit, next))
}
