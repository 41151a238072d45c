// Package rollout decides how the traffic of a service moves from one version of its servers to another, and whether it
// moves at all.
//
// Load pattern: an operator orders a version that may be bad: about half of its responses fail or are several times
// slower, at once, some seconds after its servers have started, under load only, or on one route only. The order has a
// time limit, and until then a bad version may get only a small share of the requests. Meanwhile both versions may be
// overloaded, lose a failure domain, or all nodes may restart.
//
// Each node counts the outcomes of its requests by version, route and failure domain (Recorder) and limits its own share
// of requests to the new version (Gate); the nodes send each other the counts, and each one sums and judges them (Judge).
// One node, the duty holder, advances the rollout (Rollout.Advance); every node stops it (Rollout.Observe). The package
// does no I/O; the clock is an argument.
package rollout

import (
	"fmt"
	"math"
	"time"
)

// Bounds limits what a bad version may get. Without an ExposureShare there are no rollouts.
type Bounds struct {
	// ExposureShare of all requests plus ExposureSlack may reach a bad version between the order and its time limit.
	ExposureShare, ExposureSlack float64
	// Rollback is how long after its fiftieth bad response a bad version may still get requests.
	Rollback time.Duration
}

// Enabled reports whether versions are rolled out at all.
func (b Bounds) Enabled() bool { return b.ExposureShare > 0 }

// Order is an operator's order to move a service to a version.
type Order struct {
	Service, To string
	Duration    time.Duration
	// Version is the version of the order's row in the store.
	Version uint64
}

// Phase is the state of a rollout on one node.
type Phase uint8

// Phases of a rollout. Reverting and Completing are decided but may not be in the store yet.
const (
	Canary Phase = iota + 1
	Ramp
	All
	Reverting
	Completing
	Reverted
	Completed
)

// String returns the name of the phase in log lines.
func (p Phase) String() string {
	names := [...]string{"none", "canary", "ramp", "all", "reverting", "completing", "reverted", "completed"}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprint(uint8(p))
}

// Final reports whether the outcome is in the store.
func (p Phase) Final() bool { return p == Reverted || p == Completed }

// Decided reports whether the outcome no longer changes.
func (p Phase) Decided() bool { return p >= Reverting }

const (
	// canaryShare and provingShare are the shares of requests for the new version, as fractions of ExposureShare, before
	// and after its servers are old enough to show faults that appear late. capShare limits their sum over time: the
	// rest of the bound is for requests that are sent while nodes learn that the version is bad.
	canaryShare  = 0.5
	provingShare = 1.2
	capShare     = 0.88
	// fewCanaryShare replaces canaryShare for a service with few servers, which needs the rest for its burst.
	fewCanaryShare = 0.3
	// slackShare is the part of ExposureSlack that is spent on canary requests.
	slackShare = 0.4
	// rampShare is the share of requests in the step between the canary and all requests.
	rampShare = 0.3
	// lateAge is the age at which servers are assumed to show faults that appear some time after their start, which is
	// after up to 3 s.
	lateAge = 3300 * time.Millisecond
	// streamRampPart and plainRampPart are the earliest end of the canary phase, as parts of the duration. Streams take
	// seconds to end, so their service gives up its old servers earlier. latestRampPart is the latest one.
	streamRampPart = 0.42
	plainRampPart  = 0.6
	latestRampPart = 0.76
	// lenientPart is when routes with few requests no longer need enough evidence of their own.
	lenientPart = 0.6
	// rampPart is the length of the ramp, at least minRamp, which exceeds the time until all nodes know each other's counts.
	rampPart = 0.08
	minRamp  = 900 * time.Millisecond
	// finalPart of the duration, from minFinal to maxFinal, is left for writing the outcome to a slow store.
	finalPart = 0.1
	minFinal  = time.Second
	maxFinal  = 30 * time.Second
	// minRouteSamples is the number of canary requests that a route should get in the canary phase; maxRouteShare limits
	// the share of a route with few requests.
	minRouteSamples = 40
	maxRouteShare   = 0.25
	// cleanRouteFactor and otherRouteFactor change the share of a route that has shown that the version is not bad there,
	// and that of the others.
	cleanRouteFactor, otherRouteFactor = 0.3, 2.0
	// burstPart is when a service with few servers begins to send a single new server as many requests as an old one
	// gets. The Gate then allows this for about two seconds.
	burstPart = 0.45
)

// Input is what Advance needs to know beside the evidence.
type Input struct {
	Now time.Time
	// OldServers and NewServers are the ready servers of both versions.
	OldServers, NewServers int
	// NewSince is when the first new servers started; zero without any.
	NewSince time.Time
	// Streams is set if a route of the service streams.
	Streams bool
}

// Rollout is one node's state of an order. It is not safe for concurrent use.
type Rollout struct {
	Order
	// From is the version in force when the order arrived.
	From string
	// Start is when the order arrived.
	Start time.Time
	// Judge has the evidence of all nodes.
	Judge *Judge
	// Reason is why the rollout was reverted.
	Reason string

	bounds   Bounds
	phase    Phase
	since    time.Time // of the phase
	newSince time.Time
	servers  int // the smaller number of servers of the two versions
	verdict  Verdict
}

// NewRollout returns the state of an order that arrived at start.
func NewRollout(o Order, from string, b Bounds, start time.Time) *Rollout {
	return &Rollout{Order: o, From: from, Start: start, Judge: NewJudge(), bounds: b, phase: Canary, since: start}
}

// Phase returns the current phase.
func (r *Rollout) Phase() Phase { return r.phase }

// Since returns when the current phase began.
func (r *Rollout) Since() time.Time { return r.since }

// Verdict returns the last judgement.
func (r *Rollout) Verdict() Verdict { return r.verdict }

// Deadline is the time limit of the order.
func (r *Rollout) Deadline() time.Time { return r.Start.Add(r.Duration) }

// FinalAt is when the outcome is decided at the latest, so that it is in the store before the time limit.
func (r *Rollout) FinalAt() time.Time {
	margin := min(max(time.Duration(finalPart*float64(r.Duration)), minFinal), maxFinal, r.Duration/2)
	return r.Deadline().Add(-margin)
}

// Adopt takes over the phase that the duty holder, or a node that has stopped the rollout, has reported. A decided
// outcome replaces any other phase, one in the store also a decided one.
func (r *Rollout) Adopt(p Phase, reason string, now time.Time) (changed bool) {
	if p == r.phase || r.phase.Final() || r.phase.Decided() && !p.Final() || p < r.phase {
		return false
	}
	if p == Reverting && reason != "" {
		r.Reason = reason
	}
	r.enter(p, now)
	return true
}

func (r *Rollout) enter(p Phase, now time.Time) { r.phase, r.since = p, now }

// SetServers records the servers of both versions.
func (r *Rollout) SetServers(in Input) {
	r.newSince, r.servers = in.NewSince, in.NewServers
	if in.OldServers > 0 {
		r.servers = min(in.NewServers, in.OldServers)
	}
}

// Observe judges the evidence and stops a bad version. Every node calls it, so that each one stops by itself.
func (r *Rollout) Observe(now time.Time) (changed bool) {
	if r.phase.Decided() {
		return false
	}
	verdict, judged := r.Judge.judge(now, r.provenAt(), r.phase == All)
	if judged {
		r.verdict = verdict
	}
	if !r.verdict.Bad {
		return false
	}
	r.Reason = r.verdict.Reason
	r.enter(Reverting, now)
	return true
}

// Advance moves the rollout on. Only the duty holder calls it, after Observe.
func (r *Rollout) Advance(in Input) (changed bool) {
	if r.phase.Decided() {
		return false
	}
	before := r.phase
	switch {
	case r.phase == All && !in.Now.Before(r.FinalAt()):
		r.enter(Completing, in.Now)
	case !in.Now.Before(r.FinalAt()):
		r.Reason = "not enough evidence before the time limit"
		if in.NewServers == 0 {
			r.Reason = "no server of the version is ready"
		}
		r.enter(Reverting, in.Now)
	case r.phase == Canary && r.trusted(in):
		r.enter(Ramp, in.Now)
	case r.phase == Ramp && in.Now.Sub(r.since) >= r.rampTime() && r.verdict.Calm && r.verdict.Clean:
		r.enter(All, in.Now)
	}
	return r.phase != before
}

// trusted reports whether the canary phase may end.
func (r *Rollout) trusted(in Input) bool {
	earliest := r.part(plainRampPart)
	if in.Streams {
		earliest = r.part(streamRampPart)
	}
	if in.NewServers == 0 || in.Now.Before(earliest) || in.Now.After(r.part(latestRampPart)) {
		return false
	}
	return r.verdict.Clean || r.verdict.CleanTogether && !in.Now.Before(r.part(lenientPart))
}

func (r *Rollout) part(fraction float64) time.Time {
	return r.Start.Add(time.Duration(fraction * float64(r.Duration)))
}

func (r *Rollout) rampTime() time.Duration {
	return max(time.Duration(rampPart*float64(r.Duration)), minRamp)
}

// share returns the share of requests for the new version.
func (r *Rollout) share(now time.Time) float64 {
	switch r.phase {
	case Canary:
		switch {
		case r.newSince.IsZero():
			return 0
		case now.Before(r.provenAt()):
			if r.fewServers() {
				return fewCanaryShare * r.bounds.ExposureShare
			}
			return canaryShare * r.bounds.ExposureShare
		case r.fewServers():
			return 1 / float64(max(r.servers, 2))
		}
		return provingShare * r.bounds.ExposureShare
	case Ramp:
		return rampShare
	case All, Completing, Completed:
		return 1
	}
	return 0
}

// RouteShare returns the share of the requests of a route for the new version now. A route with few requests gets a
// larger share in the canary phase, unless there are few servers; the Gate limits all routes together.
func (r *Rollout) RouteShare(route uint32, now time.Time) float64 {
	share := r.share(now)
	if r.phase != Canary || share == 0 {
		return share
	}
	if now.After(r.provenAt()) {
		factor := otherRouteFactor
		if r.verdict.cleanRoutes[route] {
			factor = cleanRouteFactor
		}
		share *= factor
	}
	if r.fewServers() {
		return share
	}
	if rate := r.Judge.routeRate(route, now.Sub(r.Start)); rate > 0 {
		expected := rate * streamRampPart * r.Duration.Seconds()
		share = max(share, min(maxRouteShare, minRouteSamples/expected))
	}
	return share
}

// fewServers reports whether the usual canary share is less than the load of one server.
func (r *Rollout) fewServers() bool {
	return float64(r.servers)*provingShare*r.bounds.ExposureShare < 1
}

// provenAt returns when the new servers are old enough, and loaded enough, that their responses prove something; zero
// without any.
func (r *Rollout) provenAt() time.Time {
	if r.newSince.IsZero() {
		return time.Time{}
	}
	at := r.newSince.Add(lateAge)
	if burst := r.part(burstPart); r.fewServers() && burst.After(at) {
		at = burst
	}
	return at
}

// Canaries returns how many of the new servers get requests, so that in the canary phase each has the load of an old one:
// faults that appear under load would not show on servers that are nearly idle. In the ramp all do, so that their caches
// are warm when all requests follow.
func (r *Rollout) Canaries(now time.Time) int {
	if r.phase != Canary {
		return math.MaxInt
	}
	return max(1, int(math.Round(r.share(now)*float64(r.servers))))
}

// Allows reports whether the node with this gate may send another request to the new version. In the canary phase its
// part is a share of the requests so far, in the ramp of those that are expected until the time limit.
func (r *Rollout) Allows(g *Gate, now time.Time) bool {
	switch r.phase {
	case Canary:
		return g.allows(r.bounds, 1)
	case Ramp:
		return g.allows(r.bounds, max(1, float64(r.Duration)/float64(max(now.Sub(r.Start), time.Millisecond))))
	}
	return true
}
