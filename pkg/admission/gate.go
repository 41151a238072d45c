// Package admission decides, for one service on one node, whether a request is sent now, waits a short time or is
// rejected, and when a rejected one may return.
//
// Load pattern: bursts of the least urgent class, or one workspace within its limits at several times its usual load,
// arrive at servers that several classes share. A bound on the expected time of each class alone lets the class with the
// longest target fill the servers' queues beyond the target of the most urgent one. A Gate therefore bounds the wait that
// a request may find at its server by the targets of all classes that are at least as urgent, in steps: requests beyond
// the share of their workspace are shed first, then the least urgent ones.
//
// The Gate holds no requests and no clock. It assumes that servers start requests in about the order of arrival; the wait
// is what the node knows from its own requests and the reports of other nodes.
package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// Priorities is the number of priorities that are told apart; 0 is the most urgent. Higher ones count as the last.
	Priorities = 4

	// rateTime is the time constant of measured rates. An idle share is returned within it.
	rateTime = 700 * time.Millisecond
	// fastRateTime is that of the cost of all requests. The sum over the nodes shows a surge earlier than rates of single
	// workspaces could.
	fastRateTime = 250 * time.Millisecond
	// refreshInterval is how often shares are computed.
	refreshInterval = 100 * time.Millisecond
	// classExpiry is how long a class bounds the wait of others after its last request on this node. A node of a large
	// deployment receives about one request of the rarest class per second.
	classExpiry = 10 * time.Second
	// The weights of a new sample in the moving averages of the wait, of a class's own time and of its target. Several
	// routes may have one priority: lower targets weigh more, so that the average is near the lowest of the usual ones.
	waitWeight         = 0.2
	ownWeight          = 0.1
	lowerTargetWeight  = 0.1
	higherTargetWeight = 0.02
	// maxOwnPart limits the part of its target that a class's own time is taken to be; long prompts may take longer.
	maxOwnPart = 0.5

	// The bounds of the wait, as fractions of the slack of the tightest class that is at least as urgent. urgentBound is
	// that of the most urgent class within its share, the others are lower by boundStep for each class in between. The
	// bounds beyond the share are below all of those within it.
	urgentBound   = 0.85
	lessUrgent    = 0.6
	boundStep     = 0.1
	overBound     = 0.3
	overBoundStep = 0.05
	// boundRamp is the half width of the range around a bound in which a part of the requests passes, as a fraction of
	// the slack. Nodes with old views would otherwise all stop and all start at the same time.
	boundRamp = 0.1
	// rampPerAge widens the range for each second of the age of views; lentPerAge lowers the part that is lent.
	rampPerAge = 1.0
	lentPerAge = 8.0

	// lateFactor is the longest expected time of a request with the most urgent priority as a multiple of its target; it
	// is lower by lateStep for each step of priority, down to minLateFactor. The margin covers the error of the estimate,
	// which matters most for the most valuable requests; a late response has about a tenth of its value.
	lateFactor    = 1.4
	lateStep      = 0.15
	minLateFactor = 0.9

	// maxFlows limits the workspaces that are told apart; the others share one flow.
	maxFlows = 256
)

// MinQueued is the wait up to which nothing counts as queued at a server.
const MinQueued = 20 * time.Millisecond

// Request describes a request for a Gate.
type Request struct {
	Workspace string
	Priority  int
	// Cost is the predicted cost in server-seconds.
	Cost float64
	// Wait is the expected time until the server starts on the request, Own the time it then takes itself until its first
	// event or response.
	Wait, Own time.Duration
	// Elapsed is the time since the request arrived, Target its latency target from then; 0 if it has none.
	Elapsed, Target time.Duration
	// Left is the time until its deadline.
	Left time.Duration
	// Ahead is the cost of the requests waiting on this node that precede it.
	Ahead float64
	// Key identifies the content of the request, by which its return is recognized.
	Key uint32
	// Again is set when the request has waited on this node and is decided once more.
	Again bool
}

// Verdict is what happens to a request.
type Verdict uint8

// The verdicts.
const (
	Admit Verdict = iota
	// Hold means that the request waits on this node for at most Decision.Hold.
	Hold
	Reject
)

// Reason is why a request is not admitted.
type Reason uint8

// The reasons. Their texts are labels of metrics and a field of log lines.
const (
	None Reason = iota
	// OverShare means that the workspace uses more than its share while others need theirs.
	OverShare
	// Overload means that the capacity goes to more urgent requests or to those before it.
	Overload
	// Late means that the response is expected after the deadline or far beyond the target.
	Late
	// SlowStart means that the node admits at the rate of its part of the servers.
	SlowStart
)

var reasonNames = [...]string{None: "none", OverShare: "share", Overload: "overload", Late: "late", SlowStart: "slow_start"}

// String returns the label of a reason.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the result of Gate.Decide.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Hold is the longest time to wait.
	Hold time.Duration
	// RetryAfter is when a rejected request may return; 0 if no capacity could be reserved for its return.
	RetryAfter time.Duration
	// Invalid is set if values of the request were out of range and have been replaced.
	Invalid bool
}

// Gate is the admission state of one service on one node. It is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	flows       map[string]*flow
	ordered     []*flow // the flows in the order of their appearance, for sums that do not depend on that of a map
	weights     map[string]float64
	peers       []*peerReport // in the order of their appearance, too
	byNode      map[string]*peerReport
	classes     [Priorities]class
	arrived     fastRate // cost that arrives at this node
	admitted    rate     // cost admitted by this node
	served      rate     // cost of the requests that servers have answered
	peersServed float64  // cost per second answered to the other nodes
	demand      float64  // cost per second that arrives at all nodes
	capacity    capacity
	surge       surge
	drift       drift
	viewAge     time.Duration // how old reports of other nodes are
	wait        float64       // moving average of the wait in seconds
	refreshedAt time.Time
	returns     returns
	start       slowStart
}

// class is what a Gate knows of the requests of one priority.
type class struct {
	seenAt time.Time
	// target and own are moving averages in seconds; target is 0 without one.
	target, own float64
}

// slack returns the longest wait with which a usual request of the class is on time, in seconds.
func (c *class) slack() float64 { return c.target - min(c.own, maxOwnPart*c.target) }

// New returns the gate of a service on a node that starts at now.
func New(now time.Time) *Gate {
	g := &Gate{flows: map[string]*flow{}, weights: map[string]float64{}, byNode: map[string]*peerReport{}, refreshedAt: now}
	g.returns.booked = map[uint32]booking{}
	g.start.begin(now)
	return g
}

// Decide decides on a request. A request that is held is decided again when the load has changed.
func (g *Gate) Decide(r Request, now time.Time) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	invalid := r.correct()
	d := g.decide(&r, now)
	d.Invalid = invalid
	return d
}

func (g *Gate) decide(r *Request, now time.Time) Decision {
	f := g.flow(r.Workspace)
	if !r.Again {
		f.offered[r.Priority].add(r.Cost, now)
		g.arrived.add(r.Cost, now)
		g.observe(r, now)
		g.surge.arrival(now)
	}
	g.refresh(now)
	r.Wait = g.waitNow(r.Wait)
	if r.Wait+r.Own > r.Left {
		return g.reject(r, f, Late, now)
	}
	reason, inShare := g.check(r, f, now)
	if reason == None && !g.start.take(r.Cost, now) {
		reason = SlowStart
	}
	if reason == None {
		g.admitted.add(r.Cost, now)
		return Decision{}
	}
	if inShare {
		if hold := g.holdTime(r, reason, now); hold > 0 {
			return Decision{Verdict: Hold, Reason: reason, Hold: hold}
		}
	}
	return g.reject(r, f, reason, now)
}

// correct replaces values that are out of range and reports whether there were any.
func (r *Request) correct() bool {
	valid := *r
	valid.Priority = min(max(r.Priority, 0), maxPriority)
	if !(r.Cost >= 0 && r.Cost <= maxCost) { // also for values that are no number
		valid.Cost = min(max(r.Cost, 0), maxCost)
		if math.IsNaN(r.Cost) {
			valid.Cost = 0
		}
	}
	valid.Wait, valid.Own = max(r.Wait, 0), max(r.Own, 0)
	valid.Elapsed, valid.Target = max(r.Elapsed, 0), max(r.Target, 0)
	invalid := valid != *r
	valid.Priority = min(valid.Priority, Priorities-1)
	*r = valid
	return invalid
}

// maxPriority is the highest priority that is in range; it is the highest one that servers are told.
const maxPriority = 9

// maxCost is the highest cost of a request in server-seconds.
const maxCost = 60.0

// observe updates the class of a request and the average wait.
func (g *Gate) observe(r *Request, now time.Time) {
	c := &g.classes[r.Priority]
	if r.Target > 0 {
		target, own := r.Target.Seconds(), r.Own.Seconds()
		if c.target == 0 || now.Sub(c.seenAt) > classExpiry {
			c.target, c.own = target, own
		}
		weight := higherTargetWeight
		if target < c.target {
			weight = lowerTargetWeight
		}
		c.target += weight * (target - c.target)
		c.own += ownWeight * (own - c.own)
	}
	c.seenAt = now
	g.wait += waitWeight * (r.Wait.Seconds() - g.wait)
}

// tightest returns the slack in seconds of the tightest class that is at least as urgent as p, and how many classes are
// more urgent.
func (g *Gate) tightest(p int, now time.Time) (slack float64, rank int) {
	slack = math.Inf(1)
	for q := 0; q <= p; q++ {
		c := &g.classes[q]
		if now.Sub(c.seenAt) > classExpiry {
			continue
		}
		if c.target > 0 {
			slack = min(slack, c.slack())
		}
		if q < p {
			rank++
		}
	}
	return slack, rank
}

// check returns why a request cannot be sent now, or None, and whether it is within the share of its workspace.
func (g *Gate) check(r *Request, f *flow, now time.Time) (reason Reason, inShare bool) {
	inShare, least := true, false
	if !r.Again {
		inShare, least = f.take(r, now)
	}
	if r.Wait <= MinQueued && !g.capacity.pressed {
		return None, inShare
	}
	if r.Target > 0 && r.Elapsed+r.Wait+r.Own > lateBound(r.Target, r.Priority) {
		return Late, inShare
	}
	if g.returns.due(r.Key, now) {
		f.charge(r)
		inShare, least = true, true
	}
	slack, rank := g.tightest(r.Priority, now)
	if math.IsInf(slack, 1) {
		return None, inShare
	}
	bound := bound(rank, inShare)
	if least {
		bound = urgentBound
	}
	part := g.part(r.Wait.Seconds()/slack, bound)
	if !inShare {
		part *= g.lent()
	}
	if chance(r, now, boundChance) >= part {
		if !inShare && f.over {
			return OverShare, inShare
		}
		return Overload, inShare
	}
	// A request passes those that wait here only while the load is low.
	if r.Ahead > 0 && !r.Again && !least && r.Wait.Seconds() > overBound*slack {
		return Overload, inShare
	}
	return None, inShare
}

// bound returns the bound of the wait as a fraction of the slack.
func bound(rank int, inShare bool) float64 {
	switch {
	case !inShare:
		return overBound - overBoundStep*float64(rank)
	case rank == 0:
		return urgentBound
	}
	return lessUrgent - boundStep*float64(rank-1)
}

// part returns the part of the requests that pass a bound at the given ratio of wait to slack.
func (g *Gate) part(ratio, bound float64) float64 {
	ramp := boundRamp * (1 + rampPerAge*g.viewAge.Seconds())
	return min(max((bound+ramp-ratio)/(2*ramp), 0), 1)
}

// lent returns the part of the requests beyond their workspace's share that pass while the wait is low. With old views
// all of them would be sent for as long as it takes to see their effect.
func (g *Gate) lent() float64 {
	if !g.capacity.pressed {
		return 1
	}
	return 1 / (1 + lentPerAge*g.viewAge.Seconds())
}

func lateBound(target time.Duration, priority int) time.Duration {
	return time.Duration(float64(target) * max(minLateFactor, lateFactor-lateStep*float64(priority)))
}

// reject returns the rejection of a request, with the time of its return if there is capacity for it.
func (g *Gate) reject(r *Request, f *flow, reason Reason, now time.Time) Decision {
	d := Decision{Verdict: Reject, Reason: reason}
	// Later requests of a workspace over its share use it up; and how long the queues become in a surge is not known.
	if reason == OverShare || now.Before(g.capacity.surgeEnds) {
		return d
	}
	slack, rank := g.tightest(r.Priority, now)
	// The other nodes have heard of the reservation then, and the servers' queues are within the bounds.
	after := g.viewAge
	if !math.IsInf(slack, 1) {
		after = max(after, r.Wait-time.Duration(lessUrgent*slack*float64(time.Second)))
	}
	own := max(g.admitted.perSecond(now), g.start.rate())
	d.RetryAfter = g.returns.book(r.Key, rank, r.Cost, own, r.Left, after, now)
	return d
}
