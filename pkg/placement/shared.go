package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// usualMemory is the time constant of the mean work time of a server, to which older reports give way, and maxInForce the
	// longest time for which a report counts in it.
	usualMemory = 2 * time.Second
	maxInForce  = 300 * time.Millisecond
	// A server that worked at less than 1/slowUsual of its usual speed and has not been heard of for trialAfter gets trialRate
	// requests per second of all nodes, so that its recovery is noticed; at most maxTrialShare of a node's requests.
	slowUsual     = 1.5
	trialAfter    = 400 * time.Millisecond
	trialRate     = 10.0
	maxTrialShare = 0.05
	// evidenceHalfLife is the half-life of what measured times say about a server's speed. A server that was slow gets
	// requests again within two seconds of its recovery.
	evidenceHalfLife = 700 * time.Millisecond
	// evidenceWeight is the weight of one measured time, evidenceTolerance the logarithm of a ratio that single measurements
	// of ordinary servers reach because costs vary.
	evidenceWeight    = 0.2
	evidenceTolerance = 0.7
	// pauseWeight is the weight of a measured pause between events in the logarithm of a speed estimate.
	pauseWeight = 0.75
	// overdueFactor is how many times its expected time an unanswered request must take to count as a sign of a slow server.
	overdueFactor = 2
	// minWorkTime and maxWorkTime bound the speed estimates.
	minWorkTime = 0.2
	maxWorkTime = 30.0
	// minAnchorAge and maxAnchorAge are the ages of the reports from which it is learned how long reports hold: about those
	// at which they are used.
	minAnchorAge = 80 * time.Millisecond
	maxAnchorAge = time.Second
	// maxReferenceAge is the largest age of a server's own report with which a pause between events is compared, to learn the
	// usual time of an event.
	maxReferenceAge = 40 * time.Millisecond
	// reportShareAge is the largest age of a report that is passed on to other nodes, and maxSharedReports how many are: at
	// 26 nodes about 5 are new between two heartbeats, and each takes 15 bytes. Replays are the same with 24 of 400 ms.
	reportShareAge   = 250 * time.Millisecond
	maxSharedReports = 12
)

// Report is a load that a server has reported to some node.
type Report struct {
	Running, Waiting int
	// HasCounts is set if the server has reported the numbers of requests; otherwise only its speed was measured.
	HasCounts bool
	// WorkTime is how long work took on the server's machine, relative to its usual time.
	WorkTime float64
	// Age is the time since the report arrived at the node that received it.
	Age time.Duration
}

// sharedState is what is known of a server on a shared machine.
type sharedState struct {
	hash uint64 // of the server's id
	// peers is the sum of the loads that other nodes have reported lately.
	peers Load
	// workTime is the work time according to the newest report or measurement, of the time at, and others the number of other
	// nodes' requests according to the newest report of countedAt.
	workTime, others float64
	at, countedAt    time.Time
	// reported is the work time that the server itself reported last, at reportedAt.
	reported   float64
	reportedAt time.Time
	// anchor is an earlier report, from which it is learned how long reports hold.
	anchorWorkTime, anchorUsual float64
	anchorAt                    time.Time
	// usual is the mean work time, 0 before the first report, and usualSpeed the mean of its inverse. Their difference is how
	// much longer short work takes than long work on a server whose speed changes.
	usual, usualSpeed float64
	// evidence is the logarithm by which measured times exceeded the expected ones, as of evidenceAt.
	evidence   float64
	evidenceAt time.Time
	// unanswered is the number of own requests without a sign of an answer, unansweredSince the last sign or the time of the
	// first of them, and unansweredExpected the longest time expected for one of them.
	unanswered         int
	unansweredSince    time.Time
	unansweredExpected time.Duration
	// ownReport is the newest report or measurement of this node itself, of ownReportAt.
	ownReport   Report
	ownReportAt time.Time
}

// observeLoad records a report that was received own ago. Older reports than the newest one are ignored.
func (b *Board) observeLoad(s *server, r Report, own bool, now time.Time) {
	at := now.Add(-r.Age)
	if own {
		s.shared.ownReport, s.shared.ownReportAt = r, at
	}
	if !at.After(s.shared.at) {
		return
	}
	if r.WorkTime > 0 {
		workTime := min(max(r.WorkTime, minWorkTime), maxWorkTime)
		if s.shared.usual == 0 {
			s.shared.usual, s.shared.usualSpeed = 1, 1
		}
		// The report before was in force until this one.
		if s.shared.workTime > 0 {
			weight := 1 - math.Exp(-float64(min(at.Sub(s.shared.at), maxInForce))/float64(usualMemory))
			s.shared.usual += weight * (s.shared.workTime - s.shared.usual)
			s.shared.usualSpeed += weight * (1/s.shared.workTime - s.shared.usualSpeed)
		}
		s.shared.workTime = workTime
		if r.HasCounts {
			s.shared.reported, s.shared.reportedAt = workTime, at
		}
		if age := at.Sub(s.shared.anchorAt); age >= minAnchorAge {
			if age < maxAnchorAge {
				b.costs.ObserveSpeed(s.Service, s.shared.anchorWorkTime, s.shared.anchorUsual, workTime, age)
			}
			s.shared.anchorWorkTime, s.shared.anchorUsual, s.shared.anchorAt = workTime, s.shared.usual, at
		}
	}
	s.shared.at = at
	if r.HasCounts {
		s.shared.others, s.shared.countedAt = max(0, float64(r.Running+r.Waiting)-s.own.Running), at
	}
}

// freshness is the weight of a report of some time, from 1 to 0.
func freshness(at time.Time, memory time.Duration, now time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(now.Sub(at), 0)) / float64(memory))
}

// observePause derives the speed of an engine from the time between two events of a stream of this node. Single pauses vary
// because prompts are prefilled in between, so the estimate keeps a part of its value.
func (b *Board) observePause(s *server, pause time.Duration, now time.Time) {
	slowdown := 1 + decodeSlowdown*s.own.Running
	if now.Sub(s.shared.reportedAt) < maxReferenceAge {
		b.costs.ObserveEventTime(s.Service, pause.Seconds()/(s.shared.reported*slowdown))
	}
	measured := min(max(pause.Seconds()/(b.costs.Rates(s.Service).EventTime*slowdown), minWorkTime), maxWorkTime)
	workTime := math.Pow(measured, pauseWeight) * math.Pow(s.workTime(b.costs.SpeedMemory(s.Service), now), 1-pauseWeight)
	b.observeLoad(s, Report{WorkTime: workTime}, true, now)
}

// workTime estimates how long work takes on a server now, relative to its usual time.
//
// Load pattern: servers share machines, and how long work takes changes many times a second. A report is old when it
// arrives, so its weight falls with its age in favour of the server's mean. A server whose answers come late, or not at all,
// counts as slower than it reports until that is some time ago.
func (s *server) workTime(memory time.Duration, now time.Time) float64 {
	estimate := 1.0
	if s.shared.usual > 0 {
		estimate = s.shared.usual + (s.shared.workTime-s.shared.usual)*freshness(s.shared.at, memory, now)
	}
	evidence := s.shared.evidence * math.Exp2(-float64(now.Sub(s.shared.evidenceAt))/float64(evidenceHalfLife))
	if excess := math.Abs(evidence) - evidenceTolerance; excess > 0 {
		estimate *= math.Exp(math.Copysign(excess, evidence))
	}
	if s.shared.unanswered > 0 && s.shared.unansweredExpected > 0 {
		if overdue := float64(now.Sub(s.shared.unansweredSince)) / float64(s.shared.unansweredExpected); overdue > overdueFactor {
			estimate *= overdue / overdueFactor
		}
	}
	return min(max(estimate, minWorkTime), maxWorkTime)
}

// workTimeOver estimates the mean work time over the next work of a length in seconds at the usual speed: the longer it
// takes, the more often the speed changes meanwhile.
func (s *server) workTimeOver(work float64, memory time.Duration, now time.Time) float64 {
	current := s.workTime(memory, now)
	if s.shared.usual == 0 || work <= 0 {
		return current
	}
	periods := work * (1/s.shared.usualSpeed + current) / 2 / memory.Seconds()
	weight := (1 - math.Exp(-periods)) / periods
	return weight*current + (1-weight)/s.shared.usualSpeed
}

// trial returns the index of a server that a request should try because nothing has been heard of it since it was slow, or
// index. Only repeatable requests do, which can be sent to another server when they stall, and of them those that are short.
//
// Load pattern: a server becomes slow for some seconds, and all nodes stop using it. None of them then notices that it has
// recovered, and if all assumed so at the same time, each trial of a server that is still slow would make many requests late.
func (b *Board) trial(c *Choice, options []option, index int, now time.Time) int {
	if !c.Repeatable {
		return index
	}
	share := min(trialRate/max(b.arrivals[c.Service].perSecond, 1), maxTrialShare)
	for i := range options {
		s := &options[i].server.shared
		if s.usual > slowUsual && now.Sub(s.at) > trialAfter && s.unanswered == 0 && b.random.Float64() < share {
			return i
		}
	}
	return index
}

// addEvidence records the logarithm of the ratio of a measured to an expected time.
func (s *server) addEvidence(logRatio float64, now time.Time) {
	decayed := s.shared.evidence * math.Exp2(-float64(now.Sub(s.shared.evidenceAt))/float64(evidenceHalfLife))
	s.shared.evidence = decayed + evidenceWeight*(logRatio-decayed)
	s.shared.evidenceAt = now
}

// sent and answered track the requests of this node without a sign of an answer. A request that this node has given up is
// no such sign.
func (s *server) sent(expected time.Duration, now time.Time) {
	if s.shared.unanswered == 0 {
		s.shared.unansweredSince, s.shared.unansweredExpected = now, 0
	}
	s.shared.unanswered++
	s.shared.unansweredExpected = max(s.shared.unansweredExpected, expected)
}

func (s *server) answered(sign bool, now time.Time) {
	s.shared.unanswered = max(0, s.shared.unanswered-1)
	if sign {
		s.shared.unansweredSince = now
	}
}

// SetPeerReports records the reports of servers that another node has passed on, by server id.
func (b *Board) SetPeerReports(reports map[string]Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range reports {
		s := b.servers[id]
		if s == nil {
			continue
		}
		// Another node may learn sooner that servers of a service share their machines.
		if r.WorkTime > 0 {
			b.sharedMachines[s.Service] = true
		}
		b.observeLoad(s, r, false, now)
	}
}

// OwnReports returns the newest reports that this node received itself from servers on shared machines, by server id.
func (b *Board) OwnReports(now time.Time) map[string]Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var fresh []*server
	for _, s := range b.servers {
		if b.sharedMachines[s.Service] && !s.shared.ownReportAt.IsZero() && now.Sub(s.shared.ownReportAt) < reportShareAge {
			fresh = append(fresh, s)
		}
	}
	// Reports of servers come before measured speeds, of which streams yield many: calls to plain servers depend on them.
	slices.SortFunc(fresh, func(x, y *server) int {
		if x.shared.ownReport.HasCounts != y.shared.ownReport.HasCounts {
			return map[bool]int{true: -1, false: 1}[x.shared.ownReport.HasCounts]
		}
		return y.shared.ownReportAt.Compare(x.shared.ownReportAt)
	})
	out := make(map[string]Report, min(len(fresh), maxSharedReports))
	for _, s := range fresh[:min(len(fresh), maxSharedReports)] {
		r := s.shared.ownReport
		r.Age = now.Sub(s.shared.ownReportAt)
		out[s.ID] = r
	}
	return out
}

// arrivals is the rate of the requests that other nodes send to a service, and how old their loads are on average.
type arrivals struct {
	perSecond float64
	age       time.Duration
}

// SetArrivals sets the rate of the requests that the other nodes send to a service and the interval at which they report
// their loads.
func (b *Board) SetArrivals(service string, perSecond float64, interval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[service] = arrivals{perSecond: max(0, perSecond), age: interval / 2}
}

// replacePeer replaces the loads of another node in the sums; next is nil for a node that has left.
func (b *Board) replacePeer(node string, next *peerLoads, now time.Time) {
	if before := b.peers[node]; before != nil {
		b.count(before, -1)
	}
	if next == nil {
		delete(b.peers, node)
		return
	}
	b.peers[node] = next
	b.count(next, 1)
	if b.oldestPeer.IsZero() || now.Before(b.oldestPeer) {
		b.oldestPeer = now
	}
}

// count adds the loads of another node to the sums, or takes them out.
func (b *Board) count(p *peerLoads, sign float64) {
	if p.counted == (sign > 0) {
		return
	}
	p.counted = sign > 0
	for id, l := range p.loads {
		if s := b.servers[id]; s != nil {
			sum := &s.shared.peers
			sum.add(Load{Running: sign * l.Running, Prefill: sign * l.Prefill, Failures: sign * l.Failures, Events: sign * l.Events, Memory: sign * l.Memory})
		}
	}
}

// sumPeers computes the sums anew for another set of servers.
func (b *Board) sumPeers() {
	for _, s := range b.servers {
		s.shared.peers = Load{}
	}
	for _, p := range b.peers {
		if p.counted {
			p.counted = false
			b.count(p, 1)
		}
	}
}

// expirePeers takes loads out of the sums that are too old.
func (b *Board) expirePeers(now time.Time) {
	if b.oldestPeer.IsZero() || now.Sub(b.oldestPeer) < peerExpiry {
		return
	}
	b.oldestPeer = time.Time{}
	for _, p := range b.peers {
		switch {
		case !p.counted:
		case now.Sub(p.reportedAt) >= peerExpiry:
			b.count(p, -1)
		case b.oldestPeer.IsZero() || p.reportedAt.Before(b.oldestPeer):
			b.oldestPeer = p.reportedAt
		}
	}
}

// hashText is the 64-bit FNV-1a hash of a text, without allocation.
func hashText(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return h
}

// ownShare is what is known of a server's load now: this node's requests, and those of others by their reports and by the
// server's own, whose weight falls with its age.
func (s *server) ownShare(memory time.Duration, now time.Time) (running, others float64) {
	fresh := freshness(s.shared.countedAt, memory, now)
	return s.own.Running, fresh*s.shared.others + (1-fresh)*max(0, s.shared.peers.Running)
}
