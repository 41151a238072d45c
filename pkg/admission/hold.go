package admission

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/fairqueue"
)

const (
	// holdPart is the longest time that a request waits on a node, as a part of its target. One that is rejected after more
	// than an eighth would rather have been rejected at once; the rest is for the response.
	holdPart = 0.12
	// holdMargin is how far the wait may be above the bound, as a part of the slack, for it to be reached while the
	// request waits.
	holdMargin = 0.125
	// minHold is the shortest wait that is worth a second decision.
	minHold = 5 * time.Millisecond
	// maxWaiting limits the requests of a service that wait on a node.
	maxWaiting = 64
)

// holdTime returns how much longer a request may wait here, or 0 if it is unlikely to be admitted in that time.
func (g *Gate) holdTime(r *Request, reason Reason, now time.Time) time.Duration {
	if r.Target == 0 || reason == OverShare || reason == Late && r.Wait+r.Own > r.Target {
		return 0
	}
	hold := time.Duration(holdPart*float64(r.Target)) - r.Elapsed
	if hold < minHold || hold+r.Wait+r.Own > r.Left {
		return 0
	}
	slack, rank := g.tightest(r.Priority, now)
	if r.Wait.Seconds() > (bound(rank, true)+boundRamp+holdMargin)*slack {
		return 0
	}
	admitted := max(g.admitted.perSecond(now), g.start.rate())
	if r.Ahead+r.Cost > admitted*hold.Seconds() {
		return 0
	}
	return hold
}

// Waiter is a request that waits on this node.
type Waiter struct {
	Workspace string
	Priority  int
	Cost      float64
	Deadline  time.Time
	Bytes     int
	// Ready receives a value when the request is to be decided again.
	Ready chan struct{}

	place fairqueue.Item[*Waiter]
}

// Line holds the requests of one service that wait on this node, in the order in which they are decided again: the most
// urgent class first, in a class by fair shares of cost between workspaces, in a workspace by deadline. The caller
// serializes calls.
type Line struct {
	// MaxBytes limits the size of the bodies that wait.
	MaxBytes int

	classes [Priorities]fairqueue.Queue[*Waiter]
	flows   [Priorities]map[string]*fairqueue.Flow[*Waiter]
	costs   [Priorities]float64
	length  int
	bytes   int
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return l.length }

// Ahead returns the cost of the waiting requests that are at least as urgent.
func (l *Line) Ahead(priority int) float64 {
	if l.length == 0 {
		return 0
	}
	sum := 0.0
	for p := 0; p <= min(max(priority, 0), Priorities-1); p++ {
		sum += l.costs[p]
	}
	return sum
}

// Push adds a request and reports whether there is room for it. weight is that of its workspace.
func (l *Line) Push(w *Waiter, weight float64) bool {
	if l.length >= maxWaiting || l.bytes+w.Bytes > l.MaxBytes {
		return false
	}
	p := min(max(w.Priority, 0), Priorities-1)
	if l.flows[p] == nil || len(l.flows[p]) > maxFlows && l.classes[p].Len() == 0 {
		l.flows[p] = map[string]*fairqueue.Flow[*Waiter]{}
	}
	f := l.flows[p][w.Workspace]
	if f == nil {
		f = &fairqueue.Flow[*Waiter]{}
		l.flows[p][w.Workspace] = f
	}
	f.Weight = 1
	if weight > 0 {
		f.Weight = weight
	}
	w.place = fairqueue.Item[*Waiter]{Order: w.Deadline.UnixNano(), Cost: w.Cost, Value: w}
	l.classes[p].Push(f, &w.place)
	l.account(w, p, 1)
	return true
}

// Next returns the request that is decided next, or nil. It stays in the line.
func (l *Line) Next() *Waiter {
	for p := range l.classes {
		if _, item := l.classes[p].First(); item != nil {
			return item.Value
		}
	}
	return nil
}

// Remove takes a request out of the line, if it is in it. admitted charges it to the share of its workspace.
func (l *Line) Remove(w *Waiter, admitted bool) {
	if !w.place.Queued() {
		return
	}
	p := min(max(w.Priority, 0), Priorities-1)
	l.classes[p].Remove(&w.place)
	if admitted {
		l.classes[p].Charge(l.flows[p][w.Workspace], w.Cost)
	}
	l.account(w, p, -1)
}

func (l *Line) account(w *Waiter, p, sign int) {
	l.length += sign
	l.bytes += sign * w.Bytes
	l.costs[p] = max(l.costs[p]+float64(sign)*w.Cost, 0)
	if l.classes[p].Len() == 0 {
		l.costs[p] = 0
	}
}
