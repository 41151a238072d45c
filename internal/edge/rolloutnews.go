package edge

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/rollout"
)

// rolloutTold is how long after the time limit of an order the nodes tell each other of it. Nodes that start later read
// its state from the store.
const rolloutTold = 30 * time.Second

// learn takes over an order that arrived at start, unless a newer one is known. The caller holds mu.
func (r *rollouts) learn(o rollout.Order, from string, start, now time.Time) *serviceVersions {
	s := r.versions(o.Service)
	if s == nil {
		return nil
	}
	if s.state != nil {
		if s.isSame(o, now) {
			if platform.EraOf(o.Version) > platform.EraOf(s.state.Version) {
				s.returnedAt = now
			}
			s.state.Version = max(s.state.Version, o.Version)
			return s
		}
		if !isNewerOrder(o.Version, s.state.Version) {
			return nil
		}
	}
	r.updateInForce(s)
	if from == "" {
		from = s.inForce
	}
	// An earlier incarnation of this node may have spent its part of the slack.
	inherited, slack := start.Before(r.started), 0.0
	if !inherited {
		slack = r.trafficPart(o.Service, now)
	}
	s.state = rollout.NewRollout(o, from, r.bounds, start)
	s.gate, s.recorder, s.heardAt = rollout.NewGate(r.bounds, rand.Float64(), slack), rollout.NewRecorder(), now
	if from == o.To && s.inForce == o.To && len(s.ready) == 1 && s.ready[o.To] > 0 {
		s.state.From = o.To
		s.state.Adopt(rollout.Completing, "", now) // there is nothing to do
	} else if from == o.To {
		s.state.From = "" // until updateInForce has found the version that carries the load
	}
	s.inherited = inherited
	s.rankCanaries(now)
	r.changed(o.Service, s)
	return s
}

// isSame reports whether a row is the known order. In another era of the store, and shortly after it has begun, a row with
// the same content is in the copy, or the operator has written it again.
func (s *serviceVersions) isSame(o rollout.Order, now time.Time) bool {
	known := s.state.Order
	return known.To == o.To && known.Duration == o.Duration && (known.Version == o.Version ||
		platform.EraOf(known.Version) != platform.EraOf(o.Version) || now.Sub(s.returnedAt) < returnSettleTime)
}

// isNewerOrder reports whether an order's row was written after the known one. A row of a copy of the store is older
// although its era is later.
func isNewerOrder(version, known uint64) bool {
	if platform.EraOf(version) != platform.EraOf(known) {
		return version > known && platform.NumberOf(version) > platform.NumberOf(known)
	}
	return version > known
}

// export returns the rollouts for a heartbeat; an urgent one has no counts.
func (r *rollouts) export(urgent bool, now time.Time) []*pb.RolloutState {
	if !r.enabled() {
		return nil
	}
	leads := r.leads(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*pb.RolloutState
	for name, s := range r.services {
		if s.state == nil || now.Sub(s.state.Deadline()) > rolloutTold {
			continue
		}
		state := &pb.RolloutState{Service: name, To: s.state.To, From: s.state.From, Order: s.state.Version,
			DurationMs: uint32(s.state.Duration.Milliseconds()), AgeMs: uint32(max(0, now.Sub(s.state.Start).Milliseconds())),
			Phase: uint32(s.state.Phase()), Reason: s.state.Reason, Leads: leads}
		if !urgent && !s.state.Phase().Decided() {
			state.Counts = encodeCounts(s.recorder.Export(now))
		}
		out = append(out, state)
	}
	return out
}

// handleHeartbeat takes over what another node says of its rollouts.
func (r *rollouts) handleHeartbeat(heartbeat *pb.PeerBeat, now time.Time) {
	if !r.enabled() || len(heartbeat.Rollouts) == 0 {
		return
	}
	leads := r.leads(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range heartbeat.Rollouts {
		order := rollout.Order{Service: state.Service, To: state.To, Version: state.Order, Duration: time.Duration(state.DurationMs) * time.Millisecond}
		if order.To == "" || order.Duration <= 0 || state.Phase < uint32(rollout.Canary) || state.Phase > uint32(rollout.Completed) {
			continue
		}
		start := now.Add(-time.Duration(state.AgeMs) * time.Millisecond)
		s := r.learn(order, state.From, start, now)
		if s == nil {
			continue
		}
		r.adopt(s, state, start, leads, now)
		if !heartbeat.NewsOnly && !s.state.Phase().Decided() {
			s.state.Judge.Set(incarnation(heartbeat.Node, heartbeat.Started), decodeCounts(state.Counts))
		}
	}
}

// adopt takes over a phase. The caller holds mu.
func (r *rollouts) adopt(s *serviceVersions, state *pb.RolloutState, start time.Time, leads bool, now time.Time) {
	phase := rollout.Phase(state.Phase)
	if state.Leads {
		s.heardAt = now
		if state.From != "" {
			s.state.From = state.From
		}
	}
	if start.Before(s.state.Start) {
		s.state.Start = start // the other node has known of the order for longer
	}
	// A node that leads goes on where the one before it was.
	if !state.Leads && !leads && phase != rollout.Reverting && !phase.Final() {
		return
	}
	if s.state.Adopt(phase, state.Reason, now) {
		r.changed(state.Service, s)
	}
}

func encodeCounts(e rollout.Evidence) []*pb.RolloutCounts {
	var out []*pb.RolloutCounts
	for key, pair := range e {
		for version, counts := range pair {
			c := &pb.RolloutCounts{Route: key.Route, Domain: key.Domain, NewVersion: rollout.Version(version) == rollout.New, Failed: counts.Failed}
			for bucket, n := range counts.Times {
				if n > 0 {
					c.Times = append(c.Times, uint32(bucket), n)
				}
			}
			if c.Failed > 0 || len(c.Times) > 0 {
				out = append(out, c)
			}
		}
	}
	return out
}

// maxCount limits a count of another node, so that sums of them do not overflow.
const maxCount = math.MaxUint32 >> 12

func decodeCounts(list []*pb.RolloutCounts) rollout.Evidence {
	out := rollout.Evidence{}
	for _, c := range list {
		counts := rollout.Counts{Failed: min(c.Failed, maxCount)}
		for i := 0; i+1 < len(c.Times); i += 2 {
			if bucket := c.Times[i]; bucket < rollout.Buckets {
				counts.Times[bucket] = min(c.Times[i+1], maxCount)
			}
		}
		version := rollout.Old
		if c.NewVersion {
			version = rollout.New
		}
		out.Set(rollout.Key{Route: c.Route, Domain: c.Domain}, version, counts)
	}
	return out
}
