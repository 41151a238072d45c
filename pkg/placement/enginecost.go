package placement

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/cost"
)

const (
	// engineReportMemory is the time constant with which an engine's report of its requests gives way to the heartbeats of
	// the other nodes.
	engineReportMemory = 200 * time.Millisecond
	// engineUnseenFactor corrects the number of requests that are not seen yet, since prompts are of very different lengths. In
	// replays of 26 nodes at 0.7 of the capacity 0.160 of the first events are late with 1, 0.151 with 2 and 0.195 with 0.5.
	engineUnseenFactor = 2
	// networkTime is the part of the time to a first event that does not depend on the engine.
	networkTime = 0.004
	// sharedRecomputeWeight weighs shared prompt tokens that would have to be recomputed, in addition to the time they take.
	// With 2, and unseen requests that are thought to compete for the same cached prompt, 16.6 million shared tokens were read
	// again in 30 s of a day at high load, instead of 7.3 million.
	sharedRecomputeWeight = 6
	// prefillEffect is the part of the time of a prefill by which each running request is delayed: prompts are prefilled in
	// chunks between decoding steps.
	prefillEffect = 0.005
	// decodeEffect is the time in seconds by which a request of the usual length delays each other one there.
	decodeEffect = 0.0005
	// usableMemory is the part of the KV cache that running requests are expected to fill at most, so that errors of the
	// predicted lengths preempt nothing; preemptionPenalty is added above, in seconds: what a preempted request loses.
	usableMemory      = 0.9
	preemptionPenalty = 2.0
	// fillPenalty, in seconds, keeps large requests away from caches that are fuller than others, which two nodes could fill up
	// at the same time.
	fillPenalty = 0.5
	// maxTailRatio bounds the ratio of the tail of an output to its median that memory is reserved for.
	maxTailRatio = 4
	// rendezvousRanks is how many servers in rendezvous order are looked at for some that can take the request.
	rendezvousRanks = 4
)

// pickEngineByCost selects the engine with the least expected time to the first event, plus the effect on the other
// requests there.
//
// Load pattern: prompts and outputs of very different lengths arrive while the speed of each engine changes several times a
// second. Engines have few slots, which long outputs occupy, and a limited KV cache; a request that exceeds it preempts
// others.
func (b *Board) pickEngineByCost(r *EngineRequest, now time.Time) *Ticket {
	prediction := b.costs.Output(r.Output)
	chosen, expected, memory, ok := b.chooseEngine(r, prediction, now)
	if !ok {
		return nil
	}
	s := chosen.server
	t := b.begin(s, now, chosen.uncached, b.corrected(r.Service, expected), r.Prompt)
	t.byCost = &costTicket{engine: true, expected: expected, output: r.Output, whole: !r.Resumed, events: prediction.Mean, memory: memory, workTime: chosen.workTime,
		prefillShare: b.prefillShare(chosen, expected), predicted: b.engineCost(s.Server, chosen.uncached, prediction.Mean)}
	s.own.Events += prediction.Mean
	s.own.Memory += memory
	s.sent(expected, now)
	b.costs.ObservePrompt(r.Service, chosen.uncached)
	return t
}

// prefillShare is the share of the prefill of the request itself in its expected time.
func (b *Board) prefillShare(o *option, expected time.Duration) float64 {
	own := (o.uncached + attention(o.uncached)) * o.workTime * (1 + decodeSlowdown*o.busy) / b.costs.Rates(o.server.Service).Prefill
	return min(own/max(expected.Seconds(), 1e-3), 1)
}

func (b *Board) chooseEngine(r *EngineRequest, p cost.Prediction, now time.Time) (chosen *option, expected time.Duration, memory float64, ok bool) {
	b.expirePeers(now)
	preferred := b.preferredByHash(r, now)
	options := b.compared(&r.Choice, &preferred, now)
	if len(options) == 0 {
		return nil, 0, 0, false
	}
	rates := b.costs.Rates(r.Service)
	memory = memoryNeeded(r, p)
	shared := sharedTokens(r.Prompt)
	unseenEach := b.arrivals[r.Service].perSecond * b.arrivals[r.Service].age.Seconds() / float64(len(b.groups[r.Service]))
	for i := range options {
		o := &options[i]
		cached := o.server.cached.tokens(r.Prompt, now)
		for rank, s := range preferred {
			if s == o.server {
				cached = max(cached, assumedCacheHits[rank]*shared)
				o.holdsPrompt = shared > 0
			}
		}
		o.uncached = max(float64(r.PromptTokens)-cached, 0)
		b.fillEngine(o, &rates, p.Mean, now)
		o.penalty += sharedRecomputeWeight * max(shared-cached, 0) / rates.Prefill * o.workTime
		o.penalty += memoryPenalty(o.server, float64(r.CacheTokens), memory, unseenEach)
	}
	addFailures(options)
	index, extra := choose(options, engineUnseenFactor*unseenEach*float64(len(options)), b.random.Float64())
	if float64(r.PromptTokens) < rates.Prompt {
		index = b.trial(&r.Choice, options, index, now)
	}
	return &options[index], seconds(options[index].expected(extra)), memory, true
}

// fillEngine computes the figures of an engine for a request whose uncached tokens are known.
func (b *Board) fillEngine(o *option, rates *cost.Rates, events float64, now time.Time) {
	s := o.server
	o.workTime = s.workTime(b.costs.SpeedMemory(s.Service), now)
	own, others := s.ownShare(engineReportMemory, now)
	o.busy, o.variance, o.slots = own+others, minVariance+0.3*others, float64(s.Slots)
	prefill := b.remainingPrefill(s, rates, o.workTime)
	tokens := o.uncached + attention(o.uncached)
	perToken := (1 + decodeSlowdown*o.busy) / rates.Prefill
	memory := b.costs.SpeedMemory(s.Service)
	perToken *= s.workTimeOver((prefill+tokens)*perToken, memory, now)
	eventTime := rates.EventTime * o.workTime
	o.fixed = networkTime + eventTime + tokens*perToken
	o.queue = prefill * perToken
	o.each = rates.Prompt * perToken
	remaining := rates.Events
	if outstanding := s.own.Events + max(0, s.shared.peers.Events); outstanding > 0 && o.busy >= 1 {
		remaining = outstanding / o.busy
	}
	o.round = remaining*rates.EventTime*s.workTimeOver(remaining*rates.EventTime, memory, now) + rates.Prompt*perToken
	o.penalty = b.serverPenalty(s, now) + o.busy*prefillEffect*o.uncached*perToken +
		o.busy*decodeEffect*min(max(events/max(rates.Events, 1), 0.25), 4)
}

// remainingPrefill estimates the prompt tokens that are ahead of a new request. The other nodes' figures are old, and each
// request counts in full until its first event has arrived, while the engine works on.
func (b *Board) remainingPrefill(s *server, rates *cost.Rates, workTime float64) float64 {
	own, others := s.own.Prefill, max(0, s.shared.peers.Prefill)
	if own+others == 0 {
		return 0
	}
	age := b.arrivals[s.Service].age.Seconds() * others / (own + others)
	return max(0, own+others-rates.Prefill*(age/workTime+rates.EventTime))
}

// memoryNeeded is the number of tokens that a request is expected to take of the KV cache at its end. The tail of the
// output's length decides, since a request that exceeds the cache preempts others.
func memoryNeeded(r *EngineRequest, p cost.Prediction) float64 {
	output := r.Output.Limit
	if r.Output.Hint > 0 && (output == 0 || r.Output.Hint < output) {
		output = r.Output.Hint
	}
	expected := float64(output) * min(p.Tail/p.Median, maxTailRatio)
	if r.Output.Limit > 0 {
		expected = min(expected, float64(r.Output.Limit))
	}
	needed := float64(r.PromptTokens) + expected
	if r.CacheTokens > 0 {
		needed = min(needed, float64(r.CacheTokens)) // whatever a caller states
	}
	return needed
}

// memoryPenalty is the penalty of a server whose KV cache the request would probably exceed.
func memoryPenalty(s *server, capacity, needed, unseenEach float64) float64 {
	if capacity <= 0 {
		return 0
	}
	reserved := s.own.Memory + max(0, s.shared.peers.Memory)
	over := reserved + needed*(1+unseenEach) - usableMemory*capacity
	if over <= 0 {
		return fillPenalty * needed / capacity * reserved / capacity
	}
	return preemptionPenalty * (1 + over/capacity)
}

// preferredByHash returns the first servers that can take a request in the rendezvous order of its prompt.
func (b *Board) preferredByHash(r *EngineRequest, now time.Time) (preferred [len(assumedCacheHits)]*server) {
	if len(r.Prompt) < 2 {
		return preferred
	}
	key := hashText(r.Prompt[len(r.Prompt)-2].ID)
	var ranked [rendezvousRanks]*server
	var weights [rendezvousRanks]uint64
	for _, s := range b.groups[r.Service] {
		weight := mix(key ^ s.shared.hash)
		if weight <= weights[rendezvousRanks-1] {
			continue
		}
		rank := rendezvousRanks - 1
		for ; rank > 0 && weight > weights[rank-1]; rank-- {
			ranked[rank], weights[rank] = ranked[rank-1], weights[rank-1]
		}
		ranked[rank], weights[rank] = s, weight
	}
	n := 0
	for _, s := range ranked {
		if s != nil && n < len(preferred) && b.canTake(&r.Choice, s, now) {
			preferred[n] = s
			n++
		}
	}
	return preferred
}
