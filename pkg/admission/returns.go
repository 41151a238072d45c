package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// returnShare is the part of the admitted cost that is reserved for returns of the most urgent class; each class after
	// it has half of the one before. In an overload that lasts, a return only takes the place of a first attempt, so that
	// a small part is enough; it lets the last ones of a burst return when it ends.
	returnShare = 0.25
	// honoredPart is the part of its remaining time that a client waits for a retry time at most.
	honoredPart = 1.0 / 3
	// minReturn is the shortest retry time. The load has changed by then; it is longer where the other nodes hear of the
	// reservation later.
	minReturn = 300 * time.Millisecond
	// returnTolerance is how much earlier than reserved a request may return, returnWindow how long after.
	returnTolerance = 20 * time.Millisecond
	returnWindow    = 2 * time.Second
	// maxBooked limits the reservations in memory.
	maxBooked = 4096
	// maxExported limits the reservations in one report; the others apply on this node only.
	maxExported = 16
)

// returns reserves times at which rejected requests return.
//
// Load pattern: hundreds of requests are rejected in the same second. With one retry time for all they return together
// and are rejected again. Each gets a time of its own, at the rate at which this node admits requests; all nodes together
// thus reserve a part of the served rate.
type returns struct {
	next   [Priorities]time.Time
	booked map[uint32]booking
}

type booking struct {
	due time.Time
	own bool // reserved by this node
}

// book reserves the return of a request, after the given time or later, and returns the time until then, or 0 if the
// client would not wait that long. A request that returns too early keeps its time.
func (s *returns) book(key uint32, rank int, cost, admitted float64, left, after time.Duration, now time.Time) time.Duration {
	most := time.Duration(honoredPart * float64(left))
	if b, ok := s.booked[key]; ok && b.due.After(now) {
		if wait := b.due.Sub(now); wait <= most {
			return wait
		}
		return 0
	}
	perSecond := admitted * returnShare / float64(int(1)<<rank)
	if perSecond <= 0 || len(s.booked) >= maxBooked {
		return 0
	}
	due := s.next[rank]
	if earliest := now.Add(max(minReturn, after)); due.Before(earliest) {
		due = earliest
	}
	wait := due.Sub(now)
	if wait > most {
		return 0
	}
	s.next[rank] = due.Add(time.Duration(cost / perSecond * float64(time.Second)))
	s.booked[key] = booking{due: due, own: true}
	return wait
}

// due reports whether a request returns at its reserved time. The reservation is used up then.
func (s *returns) due(key uint32, now time.Time) bool {
	if len(s.booked) == 0 {
		return false
	}
	b, ok := s.booked[key]
	if !ok || now.Before(b.due.Add(-returnTolerance)) {
		return false
	}
	delete(s.booked, key)
	return !now.After(b.due.Add(returnWindow))
}

func (s *returns) expire(now time.Time) {
	for key, b := range s.booked {
		if now.After(b.due.Add(returnWindow)) {
			delete(s.booked, key)
		}
	}
}

// Return is the reserved return of a request.
type Return struct {
	Key uint32
	In  time.Duration
}

// Returns lists the reservations of this node that are not over, at most the maxExported that are due first.
func (g *Gate) Returns(now time.Time) []Return {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Return
	for key, b := range g.returns.booked {
		if b.own && now.Before(b.due) {
			out = append(out, Return{Key: key, In: b.due.Sub(now)})
		}
	}
	slices.SortFunc(out, func(a, b Return) int { return cmp.Or(cmp.Compare(a.In, b.In), cmp.Compare(a.Key, b.Key)) })
	return out[:min(len(out), maxExported)]
}

// AddReturns stores the reservations of another node.
func (g *Gate) AddReturns(list []Return, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range list {
		if _, ok := g.returns.booked[r.Key]; !ok && len(g.returns.booked) < maxBooked && r.In >= 0 && r.In < maxReturn {
			g.returns.booked[r.Key] = booking{due: now.Add(r.In)}
		}
	}
}

// maxReturn is the longest retry time that is accepted from another node.
const maxReturn = time.Minute
