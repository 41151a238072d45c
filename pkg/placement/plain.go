package placement

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// defaultPlainLatency is the assumed duration of a plain request on a server without results yet.
	defaultPlainLatency = 50 * time.Millisecond
	// failurePenalty is added for each recent failure of a server: a request to a failing server costs the caller its
	// response or a retry, which takes several times as long as a usual response.
	failurePenalty = 150 * time.Millisecond
	// domainPenalty accounts for the price and latency of traffic to another failure domain; it only breaks ties.
	domainPenalty = time.Millisecond
	// fullPenalty is added for fullPenaltyDuration to the score of a server that has refused a request as full.
	fullPenalty         = 100 * time.Millisecond
	fullPenaltyDuration = 200 * time.Millisecond
	// minJitter is the random part that breaks ties differently on each node.
	minJitter = time.Millisecond
)

// plainScore estimates the response time of one more request on a plain server with few slots.
//
// Load pattern: servers with few slots and unequal speed get short requests from all nodes, and some of the servers
// fail or hang. Least-outstanding-requests alone would prefer a failing server, since it is always idle.
func plainScore(load Load, slots int, latency time.Duration) time.Duration {
	if latency == 0 {
		latency = defaultPlainLatency
	}
	running := load.Running + 1
	rounds := 1.0
	if slots > 0 {
		rounds = max(1, running/float64(slots))
	}
	// With free slots, load does not add latency; this term only spreads requests over the servers.
	spread := 0.1 * load.Running / float64(max(slots, 1))
	return time.Duration((rounds + spread) * float64(latency))
}

// PickPlain selects a server for a request to a plain service and counts the request as in flight there. It returns nil
// when there is no candidate.
func (b *Board) PickPlain(c Choice, now time.Time) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sharedMachines[c.Service] {
		return b.pickPlainByCost(&c, now)
	}
	var best *server
	var bestScore time.Duration
	candidates := b.candidates(c, now)
	failures := b.sumFailures(candidates, now)
	for _, s := range candidates {
		load := b.total(s, now)
		jitter := time.Duration(b.unreported[c.Service] / float64(max(s.Slots, 1)) * float64(max(s.latency, defaultPlainLatency)))
		score := plainScore(load, s.Slots, s.latency) + failureCost(failures, load.Failures, len(candidates)) + b.commonPenalty(s, now) + b.randomBelow(min(jitter, maxJitter))
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return nil
	}
	return b.begin(best, now, 0, bestScore, nil)
}

// sumFailures returns the number of recent failures of all candidates together.
func (b *Board) sumFailures(candidates []*server, now time.Time) (sum float64) {
	for _, s := range candidates {
		sum += b.total(s, now).Failures
	}
	return sum
}

// commonPenalty returns the part of the score that is common to all kinds of servers.
func (b *Board) commonPenalty(s *server, now time.Time) time.Duration {
	penalty := b.randomBelow(minJitter)
	if s.Domain != b.domain {
		penalty += domainPenalty
	}
	if now.Sub(s.fullAt) < fullPenaltyDuration {
		penalty += fullPenalty
	}
	return penalty
}

// Utilization returns the fraction of the slots of a service's ready servers that is in use, and the number of these
// servers. The fraction may exceed 1; it is 0 when there are no slots.
func (b *Board) Utilization(service string, now time.Time) (utilization float64, servers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	running, slots := 0.0, 0
	for _, s := range b.groups[service] {
		if s.State != serving.Ready {
			continue
		}
		servers++
		slots += s.Slots
		running += b.total(s, now).Running
	}
	if slots == 0 {
		return 0, servers
	}
	return running / float64(slots), servers
}
