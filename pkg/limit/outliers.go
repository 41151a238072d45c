package limit

import (
	"sync"
	"time"
)

// Outliers takes servers that fail out of their group for a while. At most a set share of a group is out at a time, so
// that a fault of a dependency, which makes all servers fail, does not empty the group.
type Outliers struct {
	now        func() time.Time
	maxPercent int
	mu         sync.Mutex
	groups     map[string]map[string]*outlier
	groupOf    map[string]string
}

type outlier struct {
	failures  int     // in a row; negative counts successes in a row
	failing   float64 // mean share of failures
	seen      int
	ejected   bool
	ejections int
	until     time.Time
	probing   bool
	probedAt  time.Time
	passed    int // probes in a row
}

const (
	ejectAfter       = 5   // failures in a row
	ejectRate        = 0.5 // share of failures above which a server is ejected
	ejectSeen        = 20  // results before the rate counts
	failingKeep      = 0.95
	ejectionTime     = 5 * time.Second
	maxEjectionTime  = 60 * time.Second
	probeTimeout     = 10 * time.Second // a probe whose result never came
	probesToRecover  = 3
	forgiveSuccesses = 100 // successes in a row after which earlier ejections no longer lengthen the next
)

// NewOutliers returns an Outliers that ejects at most maxPercent of a group.
func NewOutliers(maxPercent int, now func() time.Time) *Outliers {
	return &Outliers{now: now, maxPercent: maxPercent, groups: make(map[string]map[string]*outlier), groupOf: make(map[string]string)}
}

// SetServers replaces the servers of all groups; those that remain keep their state.
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
		o.shrink(group)
	}
}

// shrink readmits servers when a group has become smaller.
func (o *Outliers) shrink(group string) {
	excess := o.ejectedIn(group) - o.allowed(group)
	for _, s := range o.groups[group] {
		if excess > 0 && s.ejected {
			s.recover()
			excess--
		}
	}
}

func (o *Outliers) allowed(group string) int { return len(o.groups[group]) * o.maxPercent / 100 }

func (o *Outliers) ejectedIn(group string) int {
	n := 0
	for _, s := range o.groups[group] {
		if s.ejected {
			n++
		}
	}
	return n
}

// Allow reports whether a request may go to a server. For an ejected server whose time has passed, true makes the
// request the probe; its result must be observed.
func (o *Outliers) Allow(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.groups[o.groupOf[server]][server]
	if s == nil || !s.ejected {
		return true
	}
	now := o.now()
	if now.Before(s.until) || s.probing && now.Sub(s.probedAt) < probeTimeout {
		return false
	}
	s.probing, s.probedAt = true, now
	return true
}

// Observe takes the result of a request. Results that say nothing about the server, such as a caller that went away,
// must not be observed.
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
	s.seen++
	s.failing *= failingKeep
	if ok {
		s.failures = min(s.failures, 0) - 1
		if s.failures <= -forgiveSuccesses {
			s.ejections = 0
		}
		return
	}
	s.failing += 1 - failingKeep
	s.failures = max(s.failures, 0) + 1
	failing := s.failures >= ejectAfter || s.seen >= ejectSeen && s.failing > ejectRate
	if failing && o.ejectedIn(group) < o.allowed(group) {
		s.eject(now)
	}
}

func (s *outlier) eject(now time.Time) {
	s.ejected = true
	s.probing = false
	s.passed = 0
	s.until = now.Add(min(maxEjectionTime, ejectionTime<<min(s.ejections, 4)))
	s.ejections++
}

func (s *outlier) probe(ok bool, now time.Time) {
	if !s.probing {
		return // the result of a request sent before the ejection
	}
	s.probing = false
	if !ok {
		s.eject(now)
		return
	}
	if s.passed++; s.passed >= probesToRecover {
		s.recover()
	}
}

func (s *outlier) recover() {
	*s = outlier{ejections: s.ejections}
}

// Ejected returns the servers of a group that are out.
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
