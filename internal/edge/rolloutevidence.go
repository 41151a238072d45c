package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/pkg/rollout"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// versionAttempt is the first attempt of a request during a rollout.
type versionAttempt struct {
	recorder *rollout.Recorder
	attempt  *rollout.Attempt
	server   serving.Server
	sentAt   time.Time
}

// begin counts a send of a request. It returns nil if the attempt is no evidence: only first ones are.
func (r *rollouts) begin(req *request, server serving.Server, now time.Time) *versionAttempt {
	if !r.enabled() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[req.service.Name]
	if s == nil || s.state == nil || s.state.Phase().Final() {
		return nil
	}
	first, version := len(req.triedServers) == 1, rollout.Old
	if first {
		s.gate.Request()
	}
	if server.Version == s.state.To {
		s.gate.Sent()
		version = rollout.New
		r.metrics.Add("rollout_new_version_requests", 1)
	}
	if !first || s.state.Phase().Decided() {
		return nil
	}
	if len(s.routeNames) < maxRouteNames {
		s.routeNames[nameHash(req.route.Name)] = req.route.Name
	}
	key := rollout.Key{Route: nameHash(req.route.Name), Domain: nameHash(server.Domain)}
	return &versionAttempt{recorder: s.recorder, attempt: s.recorder.Begin(key, version, now), server: server, sentAt: now}
}

// firstEvent records the first event of a stream.
func (r *rollouts) firstEvent(a *versionAttempt, now time.Time) {
	if a == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.recorder.FirstEvent(a.attempt, now.Sub(a.sentAt))
}

// end records the outcome of an attempt.
func (r *rollouts) end(ctx context.Context, a *versionAttempt, result sendResult, now time.Time) {
	if a == nil {
		return
	}
	elapsed := now.Sub(a.sentAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case result.connLost && len(r.lost) < maxLostAttempts:
		r.lost = append(r.lost, lostAttempt{a, now})
	case result.connLost || result.status == notSent || result.status == notRun:
		a.recorder.Ended(a.attempt, 0)
	case result.status == serverFailed || result.status == delivered && !result.completed:
		a.recorder.Failed(a.attempt)
	case result.status == delivered:
		a.recorder.Answered(a.attempt, elapsed)
	case result.status == responseLost && result.reason == reasonStalled:
		a.recorder.Answered(a.attempt, elapsed) // it would have taken longer
	case result.status == responseLost:
		a.recorder.Failed(a.attempt)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a.recorder.Answered(a.attempt, elapsed)
	default:
		a.recorder.Ended(a.attempt, elapsed)
	}
}

// serverCrashed records a crash, which explains connections that broke.
func (r *rollouts) serverCrashed(s serving.Server, now time.Time) {
	if !r.enabled() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for process, at := range r.crashedAt {
		if now.Sub(at) > crashMemory {
			delete(r.crashedAt, process)
		}
	}
	r.crashedAt[serverProcess{s.ID, s.Born}] = now
}

// settleLost counts the attempts whose connection broke although their server goes on. The caller holds mu.
func (r *rollouts) settleLost(now time.Time) {
	r.lost = slices.DeleteFunc(r.lost, func(a lostAttempt) bool {
		if now.Sub(a.at) < lostSettleTime {
			return false
		}
		if r.goesOn(a.server, now) {
			a.recorder.Failed(a.attempt)
		} else {
			a.recorder.Ended(a.attempt, 0)
		}
		return true
	})
}

// goesOn reports whether a server's process has neither crashed nor left.
func (r *rollouts) goesOn(server serving.Server, now time.Time) bool {
	if _, crashed := r.crashedAt[serverProcess{server.ID, server.Born}]; crashed || r.isLeaving(server, now) {
		return false
	}
	s := r.services[server.Service]
	if s == nil {
		return false
	}
	_, ready := s.firstSeen[serverProcess{server.ID, server.Born}]
	return ready
}
