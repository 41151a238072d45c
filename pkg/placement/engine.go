package placement

import (
	"hash/fnv"
	"time"

	"github.com/pollenlug/pollenlug/pkg/cost"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// prefillRate is the assumed prefill rate of an engine in prompt tokens per second until its own speed is known.
	// Engines publish about 66 per millisecond without decoding; running batches take some of that.
	prefillRate = 50_000
	// decodeSlowdown is the relative slowdown of prefill by each running request.
	decodeSlowdown = 0.008
	// attentionCost is the extra prefill cost of a pair of tokens, in tokens; engines publish 0.276 ms for a million
	// pairs.
	attentionCost = 0.276e-9 * prefillRate
	// baseFirstEvent is the time to the first event of a short prompt on an idle engine.
	baseFirstEvent = 30 * time.Millisecond
	// slotWait is the estimated wait for each request in excess of an engine's slots: the time until a slot becomes
	// free, which is a fraction of the duration of a request.
	slotWait = 120 * time.Millisecond
	// runningPenalty spreads requests over engines: each running request slows the decoding of all others.
	runningPenalty = 2 * time.Millisecond
	// recomputeWeight weighs shared prompt tokens that would have to be recomputed, in addition to the time they take,
	// since recomputation slows all requests on the engine.
	recomputeWeight = 6
	// slownessSampleWeight is the weight of a new sample in the estimated slowness of an engine, maxSlowness its bound.
	slownessSampleWeight = 0.15
	maxSlowness          = 6.0
)

// assumedCacheHits is the fraction of a prompt's shared parts that its preferred servers, in rendezvous order, are
// assumed to have cached although this node has not sent the prompt there: other nodes have.
var assumedCacheHits = [...]float64{0.9, 0.3}

// EngineLoad is the state of an engine that latency estimates depend on.
type EngineLoad struct {
	Load
	Slots int
	// Slowness is the recent ratio of actual to estimated time to first event; 0 counts as 1.
	Slowness float64
}

// attention returns the extra prefill cost of a long prompt, in tokens: each token attends to all before it.
func attention(uncached float64) float64 { return attentionCost * uncached * uncached / 2 }

// FirstEvent estimates the time to the first event of a request with the given number of uncached prompt tokens.
//
// Load pattern: prompts of very different lengths arrive in bursts; a long prompt delays the first event of all requests
// after it and the decoding of those that run. Counting requests alone would queue short prompts behind long ones.
func FirstEvent(l EngineLoad, uncached float64) time.Duration {
	rate := prefillRate / (1 + decodeSlowdown*l.Running)
	if l.Slowness > 0 {
		rate /= l.Slowness
	}
	wait := time.Duration((l.Prefill + uncached + attention(uncached)) / rate * float64(time.Second))
	if over := l.Running + 1 - float64(l.Slots); l.Slots > 0 && over > 0 {
		wait += time.Duration(over * float64(slotWait))
	}
	return baseFirstEvent + wait
}

// EngineRequest describes a request for the selection of an engine.
type EngineRequest struct {
	Choice
	Prompt       []serving.PromptPart
	PromptTokens int
	// Output describes the output of the request, Resumed is set if only the rest of it is requested, and CacheTokens is the
	// size of an engine's KV cache. They serve services on shared machines only.
	Output      cost.Output
	Resumed     bool
	CacheTokens int
}

// PickEngine selects an engine and counts the request as in flight there. It returns nil when there is no candidate. A
// caller for which Expected is too long ends the Ticket as Abandoned.
//
// Load pattern: some prompts share their leading parts with many others (a hot key). While the engine that has the parts
// cached has capacity, such requests go there; once its queue costs more than recomputing the parts, they go to another
// engine, which then has them cached as well.
func (b *Board) PickEngine(r EngineRequest, now time.Time) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sharedMachines[r.Service] {
		return b.pickEngineByCost(&r, now)
	}
	candidates := b.candidates(r.Choice, now)
	preferred := rendezvousServers(r.Prompt, candidates)
	b.shuffle(candidates)
	compared := 0
	var best *server
	var bestScore, bestExpected time.Duration
	var bestUncached float64
	for _, s := range candidates {
		cached := max(s.cached.tokens(r.Prompt, now), preferred.cachedFraction(s.ID)*sharedTokens(r.Prompt))
		if !b.inSample(r.Service, preferred.cachedFraction(s.ID) > 0, compared) {
			continue
		}
		compared++
		uncached := max(float64(r.PromptTokens)-cached, 0)
		load := EngineLoad{Load: b.total(s, now), Slots: s.Slots, Slowness: s.slowness}
		expected := FirstEvent(load, uncached)
		recomputed := max(sharedTokens(r.Prompt)-cached, 0)
		score := expected + time.Duration(load.Running)*runningPenalty +
			time.Duration(recomputeWeight*recomputed/prefillRate*float64(time.Second)) +
			time.Duration(load.Failures*float64(failurePenalty)) + b.commonPenalty(s, now) + b.engineJitter(r.Service)
		if best == nil || score < bestScore {
			best, bestScore, bestExpected, bestUncached = s, score, expected, uncached
		}
	}
	if best == nil {
		return nil
	}
	return b.begin(best, now, bestUncached, bestExpected, r.Prompt)
}

// observeFirstEvent updates the estimated slowness of an engine with a measured time to first event.
func (s *server) observeFirstEvent(elapsed, expected time.Duration) {
	if s.slowness == 0 {
		s.slowness = 1
	}
	// The expected time already includes the current slowness, so the ratio is a correction of it.
	ratio := min(max(float64(elapsed)/float64(max(expected, baseFirstEvent)), 0.5), 3)
	s.slowness = min(max(s.slowness*(1+slownessSampleWeight*(ratio-1)), 1), maxSlowness)
}

// sharedTokens returns the tokens of all parts but the last, which is specific to the request.
func sharedTokens(prompt []serving.PromptPart) float64 {
	sum := 0
	for i := 0; i+1 < len(prompt); i++ {
		sum += prompt[i].Tokens
	}
	return float64(sum)
}

// rendezvousServers returns the preferred servers of a prompt: the first in the rendezvous order of its last shared
// part. All nodes compute the same order without communication, and a change of the fleet affects only the prompts of the
// servers that changed.
func rendezvousServers(prompt []serving.PromptPart, servers []*server) preferredServers {
	var preferred preferredServers
	if len(prompt) < 2 {
		return preferred
	}
	key := prompt[len(prompt)-2].ID
	var weights [len(assumedCacheHits)]uint64
	for _, s := range servers {
		h := fnv.New64a()
		_, _ = h.Write([]byte(key)) // never fails
		_, _ = h.Write([]byte(s.ID))
		weight := mix(h.Sum64())
		for rank := range preferred {
			if preferred[rank] == "" || weight > weights[rank] {
				copy(preferred[rank+1:], preferred[rank:])
				copy(weights[rank+1:], weights[rank:])
				preferred[rank], weights[rank] = s.ID, weight
				break
			}
		}
	}
	return preferred
}

// preferredServers holds the ids of the first servers of a rendezvous order.
type preferredServers [len(assumedCacheHits)]string

// cachedFraction returns the fraction of the shared parts that a server is assumed to have cached.
func (h *preferredServers) cachedFraction(id string) float64 {
	for rank := range h {
		if h[rank] == id {
			return assumedCacheHits[rank]
		}
	}
	return 0
}

// mix spreads the bits of an FNV hash, which hardly differ in the high bits when only the last input bytes differ.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
