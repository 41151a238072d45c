package limit

import (
	"sync"
	"time"
)

// Outliers ejects failing servers from their group for a limited time. Only a fixed percentage of a group may be ejected
// at the same time, so that the failure of a dependency, which makes all servers fail, does not empty the group.
type Outliers struct {
	now        func() time.Time
	maxPercent int
	mu         sync.Mutex
	groups     map[string]map[string]*outlier
	groupOf    map[string]string
}

type outlier struct {
	consecutive  int     // number of consecutive failures, or of consecutive successes if negative
	failureRate  float64 // moving average of the failure rate
	results      int
	ejected      bool
	ejections    int
	ejectedUntil time.Time
	probing      bool
	probedAt     time.Time
	probesPassed int // consecutive successful probes
}

const (
	ejectAfter       = 5   // consecutive failures after which a server is ejected
	ejectFailureRate = 0.5 // failure rate above which a server is ejected
	minRateResults   = 20  // results needed before the failure rate is used
	failureRateDecay = 0.95
	ejectionTime     = 5 * time.Second
	maxEjectionTime  = 60 * time.Second
	probeTimeout     = 10 * time.Second // after which another probe replaces one without a result
	probesToRecover  = 3                // consecutive successful probes after which a server is readmitted
	successesToReset = 100              // consecutive successes after which earlier ejections no longer lengthen the next
)

// NewOutliers returns an Outliers that ejects at most maxPercent of the servers of a group.
func NewOutliers(maxPercent int, now func() time.Time) *Outliers {
	return &Outliers{now: now, maxPercent: maxPercent, groups: make(map[string]map[string]*outlier), groupOf: make(map[string]string)}
}

// SetServers replaces the servers of all groups, given by group name. Servers that remain keep their state.
func (o *Outliers) SetServers(groups map[string][]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[string]map[string]*outlier, len(groups))
	groupOf := make(map[string]string)
	for group, servers := range groups {
		next[group] = make(map[string]*outlier, len(servers))
		for _, id := range servers {
			s := o.groups[group][id]
			if s == nil {
				s = &outlier{}
			}
			next[group][id] = s
			groupOf[id] = group
		}
	}
	o.groups, o.groupOf = next, groupOf
	for group := range next {
		o.readmitExcess(group)
	}
}

// readmitExcess readmits ejected servers when a smaller group allows fewer of them.
func (o *Outliers) readmitExcess(group string) {
	excess := o.ejectedIn(group) - o.maxEjected(group)
	for _, s := range o.groups[group] {
		if excess > 0 && s.ejected {
			s.recover()
			excess--
		}
	}
}

func (o *Outliers) maxEjected(group string) int { return len(o.groups[group]) * o.maxPercent / 100 }

func (o *Outliers) ejectedIn(group string) int {
	n := 0
	for _, s := range o.groups[group] {
		if s.ejected {
			n++
		}
	}
	return n
}

// Allow reports whether a request may go to a server. When it returns true for an ejected server, whose ejection time
// has then passed, the request is a probe and its result must be passed to Observe.
func (o *Outliers) Allow(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.groups[o.groupOf[server]][server]
	if s == nil || !s.ejected {
		return true
	}
	now := o.now()
	if now.Before(s.ejectedUntil) || s.probing && now.Sub(s.probedAt) < probeTimeout {
		return false
	}
	s.probing, s.probedAt = true, now
	return true
}

// Observe records the result of a request. Results that do not depend on the server, such as a cancellation by the
// caller, must not be passed.
func (o *Outliers) Observe(server string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	group := o.groupOf[server]
	s := o.groups[group][server]
	if s == nil {
		return
	}
	now := o.now()
	if s.ejected {
		s.probe(ok, now)
		return
	}
	s.results++
	s.failureRate *= failureRateDecay
	if ok {
		s.consecutive = min(s.consecutive, 0) - 1
		if s.consecutive <= -successesToReset {
			s.ejections = 0
		}
		return
	}
	s.failureRate += 1 - failureRateDecay
	s.consecutive = max(s.consecutive, 0) + 1
	failing := s.consecutive >= ejectAfter || s.results >= minRateResults && s.failureRate > ejectFailureRate
	if failing && o.ejectedIn(group) < o.maxEjected(group) {
		s.eject(now)
	}
}

func (s *outlier) eject(now time.Time) {
	s.ejected = true
	s.probing = false
	s.probesPassed = 0
	s.ejectedUntil = now.Add(min(maxEjectionTime, ejectionTime<<min(s.ejections, 4)))
	s.ejections++
}

func (s *outlier) probe(ok bool, now time.Time) {
	if !s.probing {
		return // the request was sent before the ejection
	}
	s.probing = false
	if !ok {
		s.eject(now)
		return
	}
	if s.probesPassed++; s.probesPassed >= probesToRecover {
		s.recover()
	}
}

func (s *outlier) recover() {
	*s = outlier{ejections: s.ejections}
}

// Ejected returns the ids of the ejected servers of a group.
func (o *Outliers) Ejected(group string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for id, s := range o.groups[group] {
		if s.ejected {
			out = append(out, id)
		}
	}
	return out
}
