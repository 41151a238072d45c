package route

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Weights of the score. Latencies enter it relative to their targets. TestPolicyGoals of sim_test.go guards the
// result of these weights.
const (
	// steepThreshold is the share of the target above which the latency term rises steeply. It is below 1 because
	// estimates are means and the target is a 95th percentile.
	steepThreshold  = 0.7
	flatSlope       = 0.1 // slope of the latency term, per share of the target
	steepSlope      = 8.0 // additional slope between steepThreshold and the target
	overTargetSlope = 2.0 // factor on the logarithm above the target
	costWeight      = 0.6
	busyPriceFactor = 0.6 // factor on the price of a server that already runs requests, so that idle servers stay idle
	// recomputeUnit is the number of tokens whose recomputation adds the weight of recomputed tokens to the score: from
	// minRecomputeWeight, at a configured weight of 0, to minRecomputeWeight+1 at 100.
	recomputeUnit      = 2048.0
	minRecomputeWeight = 2.0 // weight of recomputed tokens at a configured weight of 0
	// baseLossProbability is the assumed probability that a reclaimable server is lost during a request while no
	// reclaimable server of its failure domain is leaving or suspect.
	baseLossProbability = 0.01
	// staleHintFactor is the factor on hints recorded before a gap in the cache events.
	staleHintFactor = 0.5
	// maxOccupancy is the share of a server's concurrency above which it counts as overloaded. The rest is reserved
	// for requests that other nodes send before the next report.
	maxOccupancy = 0.85
	// scoreJitter is the range of the random term of the score. It spreads the requests of nodes that see the same
	// reports over servers with similar scores.
	scoreJitter = 0.2
	// adapterLoadSeconds is the time to load an adapter that is not resident, in seconds.
	adapterLoadSeconds = 0.25
	// priorityPriceDivisor divides the price once per priority class above the lowest, for at most three classes.
	priorityPriceDivisor = 2.0

	// widenAbove is the best score above which servers outside the subset are scored too. Price and a short uncached
	// prompt alone stay below it.
	widenAbove  = 2.0
	widenSample = 4 // servers of the whole group scored then
	maxHints    = 16
)

// prefixHint is a candidate from the prefix index or the home ring.
type prefixHint struct {
	serverIndex int32
	depth       int32 // cached blocks
	stale       bool  // recorded before a gap in the cache events
}

// chooser holds the state of one choice. It stays on the stack of Pick.
type chooser struct {
	router         *Router
	snap           *snapshot
	req            *Request
	targets        *targets
	members        []int32
	subset         []int32
	model, adapter bitset
	hints          [maxHints]prefixHint
	hintCount      int
	homes          [homesPerDepth * len(homeDepths)]prefixHint
	homeDepthIndex [homesPerDepth * len(homeDepths)]int // indexes into homeDepths
	homeCount      int
	senders        float64 // expected number of nodes, this one included, that send to a server of the subset
	stage          int
}

// The stages of a choice. Each admits servers that the one before leaves out: suspect ones, then those on which the
// model is not resident.
const (
	stageHealthy = iota
	stageSuspect
	stageNotResident
	stageCount
)

func (c *chooser) choose() int32 {
	if len(c.members) == 0 {
		return -1
	}
	c.findPrefix()
	c.findHomes()
	if preferred := c.preferred(); preferred >= 0 {
		return preferred
	}
	for c.stage = stageHealthy; c.stage < stageCount; c.stage++ {
		if best := c.chooseStage(); best >= 0 {
			return best
		}
	}
	return -1
}

// preferred returns the server that the request prefers if it is eligible in the first stage, else -1.
func (c *chooser) preferred() int32 {
	if c.req.Prefer == "" || c.req.Isolate {
		return -1
	}
	c.stage = stageHealthy
	for _, i := range c.members {
		if c.snap.servers[i].ID == c.req.Prefer && c.eligible(i) {
			return i
		}
	}
	return -1
}

func (c *chooser) chooseStage() int32 {
	if c.req.Isolate {
		return c.scan(c.isolationScore)
	}
	switch c.router.opts.Policy {
	case RoundRobin:
		return c.roundRobin()
	case LeastLoaded:
		if best := c.powerOfTwoChoices(); best >= 0 {
			return best
		}
		return c.scan(c.loadScore)
	case PrefixOnly:
		return c.scan(c.prefixScore)
	}
	if c.router.opts.Sample < 0 || len(c.members) <= c.router.opts.Sample {
		return c.scan(c.score)
	}
	if best := c.sample(); best >= 0 {
		return best
	}
	return c.scan(c.score)
}

// eligible reports whether a server may take the request at the current stage.
func (c *chooser) eligible(i int32) bool {
	e := &c.snap.entries[i]
	if e.leaving || e.state.isolated.Load() != 0 {
		return false
	}
	if e.suspect && c.stage < stageSuspect {
		return false
	}
	if c.req.Model != "" && c.stage < stageNotResident && !c.model.has(i) {
		return false
	}
	for _, id := range c.req.Exclude {
		if id == c.snap.servers[i].ID {
			return false
		}
	}
	return true
}

// scan returns the eligible server with the lowest score, or -1. It starts at a random server, so that ties are broken
// randomly.
func (c *chooser) scan(score func(int32) float64) int32 {
	best, lowest := int32(-1), 0.0
	n := len(c.members)
	start := int(c.router.random() % uint64(n))
	for k := range n {
		position := start + k
		if position >= n {
			position -= n
		}
		i := c.members[position]
		if !c.eligible(i) {
			continue
		}
		if v := score(i); best < 0 || v < lowest {
			best, lowest = i, v
		}
	}
	return best
}

// sample scores the servers that cache the prefix and some random ones of the subset. When the best score is above
// widenAbove, some random ones of the whole group are scored as well.
func (c *chooser) sample() int32 {
	best, lowest := int32(-1), math.Inf(1)
	consider := func(i int32) {
		if c.eligible(i) {
			if v := c.score(i); v < lowest {
				best, lowest = i, v
			}
		}
	}
	for k := range c.hintCount {
		consider(c.hints[k].serverIndex)
	}
	for k := range c.homeCount {
		consider(c.homes[k].serverIndex)
	}
	for range c.router.opts.Sample {
		consider(c.subset[c.router.random()%uint64(len(c.subset))])
	}
	if lowest > widenAbove && len(c.subset) < len(c.members) {
		for range widenSample {
			consider(c.members[c.router.random()%uint64(len(c.members))])
		}
	}
	return best
}

// powerOfTwoChoices takes the less loaded of two random servers. With delayed load reports this gives a lower latency
// than the least loaded of all servers, to which every node would send at the same time.
func (c *chooser) powerOfTwoChoices() int32 {
	n := uint64(len(c.members))
	a, b := c.members[c.router.random()%n], c.members[c.router.random()%n]
	switch {
	case !c.eligible(a) && !c.eligible(b):
		return -1
	case !c.eligible(a):
		return b
	case c.eligible(b) && c.loadScore(b) < c.loadScore(a):
		return b
	}
	return a
}

func (c *chooser) roundRobin() int32 {
	n := uint64(len(c.members))
	start := c.router.nextRoundRobin.Add(1)
	for k := range n {
		if i := c.members[(start+k)%n]; c.eligible(i) {
			return i
		}
	}
	return -1
}

// queueLength estimates the number of requests on a server: those reported, plus those sent since by this node, scaled
// to all nodes that send to the server.
func (c *chooser) queueLength(e *entry) float64 {
	return max(0, float64(e.state.queued.Load())+c.senders*float64(e.state.unreported.Load()))
}

func (c *chooser) loadScore(i int32) float64 {
	e := &c.snap.entries[i]
	return c.queueLength(e) / e.capacity()
}

func (c *chooser) prefixScore(i int32) float64 {
	return c.loadScore(i)/1e6 - c.cachedTokens(i)
}

// hashFraction maps a pair of strings to [0, 1).
func hashFraction(a, b string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// isolationScore ranks servers for an isolated request: by the fewest other requests, then by price or, with an
// IsolateKey, mostly by a hash of key and server.
func (c *chooser) isolationScore(i int32) float64 {
	e := &c.snap.entries[i]
	load := c.queueLength(e) + float64(e.state.inflight.Load())
	if c.req.IsolateKey == "" {
		return load + e.price/2
	}
	return load + e.price/8 + hashFraction(c.req.IsolateKey, c.snap.servers[i].ID)
}

// capacity returns the number of requests that the server runs at a time: the configured concurrency, else the batch
// size seen in its reports, else the default.
func (e *entry) capacity() float64 {
	if batch := e.state.batch.Load(); batch > 0 && !e.concurrencySet {
		return float64(batch)
	}
	return e.concurrency
}

// firstToken returns the expected time to the first token, in seconds.
func (c *chooser) firstToken(e *entry, cached float64) float64 {
	st := e.state
	step := loadFloat(&st.step)
	queue := c.queueLength(e)
	wait := 0.0
	if capacity := e.capacity(); queue >= capacity {
		output := float64(c.req.OutputTokens)
		if output == 0 {
			output = defaultOutputTokens
		}
		wait = (queue - capacity + 1) / capacity * output * step
	}
	// The prefill of prompts that wait on the server is not added: with it, the p95 of the simulation at 80% load was
	// 205 ms instead of 176 ms.
	prefill := (float64(c.req.PromptTokens) - cached) / c.router.opts.PrefillTokensPerSecond
	return e.distance + loadFloat(&st.bias)*(wait+prefill+step)
}

// betweenTokens returns the expected decode step with this request in the batch, in seconds.
func (c *chooser) betweenTokens(e *entry) float64 {
	st := e.state
	added := c.senders*float64(st.unreported.Load()) + 1
	return max(0, loadFloat(&st.step)+added*loadFloat(&st.growth))
}

// latencyPenalty returns the latency term for a latency as a share of its target. It is nearly flat up to
// steepThreshold and steep above it. Above the target it grows only logarithmically: when every server is over the
// target, a cached prefix must still decide, because recomputing it adds to the overload.
func latencyPenalty(share float64) float64 {
	over := math.Max(0, math.Min(share, 1)-steepThreshold)
	v := flatSlope*share + steepSlope*over
	if share > 1 {
		v += overTargetSlope * math.Log(share)
	}
	return v
}

func (c *chooser) score(i int32) float64 {
	e := &c.snap.entries[i]
	cached := c.cachedTokens(i)
	firstToken := c.firstToken(e, cached)
	if c.req.Adapter != "" && !c.adapter.has(i) {
		firstToken += adapterLoadSeconds
	}
	latency := latencyPenalty(firstToken/c.targets.firstToken) + latencyPenalty(c.betweenTokens(e)/c.targets.betweenTokens)
	latency += steepSlope * max(0, c.queueLength(e)/e.capacity()-maxOccupancy)
	price := e.price
	if c.queueLength(e) > 0 {
		price *= busyPriceFactor
	}
	for range min(c.req.Priority, 3) {
		price /= priorityPriceDivisor
	}
	prompt := float64(c.req.PromptTokens)
	recompute := (prompt - cached) / recomputeUnit
	recompute += e.loss * (prompt + float64(c.req.OutputTokens)) / recomputeUnit
	jitter := scoreJitter * float64(c.router.random()>>11) / (1 << 53)
	return latency + costWeight*price + (minRecomputeWeight+c.targets.recompute)*recompute + jitter
}

// findPrefix collects the servers that cache the longest prefixes, by binary search over the indexed depths.
func (c *chooser) findPrefix() {
	c.hintCount = 0
	low, high := 0, indexedDepths(len(c.req.Blocks))-1
	for low <= high {
		middle := (low + high) / 2
		depth := indexedDepth(middle)
		hints, ok := c.router.index.lookup(c.req.Blocks[depth-1])
		if ok {
			ok = c.addHints(&hints, int32(depth))
		}
		if ok {
			low = middle + 1
		} else {
			high = middle - 1
		}
	}
}

// findHomes collects the home servers of the prompt's prefixes, deepest first.
func (c *chooser) findHomes() {
	c.homeCount = 0
	ring := c.snap.rings[c.req.Group]
	for k := len(homeDepths) - 1; k >= 0; k-- {
		depth := homeDepths[k]
		if depth > len(c.req.Blocks) {
			continue
		}
		for _, serverIndex := range ring.homes(c.req.Blocks[depth-1]) {
			if serverIndex >= 0 {
				c.homeDepthIndex[c.homeCount] = k
				c.homes[c.homeCount] = prefixHint{serverIndex: serverIndex, depth: int32(depth)}
				c.homeCount++
			}
		}
	}
}

// addHints adds the hints whose server is known and has not restarted since, and reports whether there was any.
func (c *chooser) addHints(hints *[serversPerKey]hint, depth int32) bool {
	found := false
	for _, h := range hints {
		number := h.server & serverNumberMask
		if h.tick == 0 || int(number) >= len(c.snap.indexByNumber) || c.snap.indexByNumber[number] < 0 {
			continue
		}
		serverIndex := c.snap.indexByNumber[number]
		st := c.snap.entries[serverIndex].state
		if packServer(st) != h.server {
			continue
		}
		found = true
		c.addHint(prefixHint{serverIndex: serverIndex, depth: depth, stale: h.tick <= st.staleBefore.Load()})
	}
	return found
}

func (c *chooser) addHint(h prefixHint) {
	for k := range c.hintCount {
		if c.hints[k].serverIndex == h.serverIndex {
			if h.depth > c.hints[k].depth {
				c.hints[k] = h
			}
			return
		}
	}
	if c.hintCount < maxHints {
		c.hints[c.hintCount] = h
		c.hintCount++
	}
}

// hintedTokens returns the prompt tokens that are cached on a server according to the prefix index; home is -1 then.
// Without a hint it returns those according to the home ring, and home is the index into homeDepths.
func (c *chooser) hintedTokens(i int32) (tokens float64, home int) {
	for k := range c.hintCount {
		if h := &c.hints[k]; h.serverIndex == i {
			tokens = c.tokensOf(h.depth)
			if h.stale {
				tokens *= staleHintFactor
			}
			return tokens, -1
		}
	}
	for k := range c.homeCount {
		if h := &c.homes[k]; h.serverIndex == i {
			return c.tokensOf(h.depth), c.homeDepthIndex[k]
		}
	}
	return 0, -1
}

// tokensOf converts a depth in blocks to tokens. The tail after the last whole block is half a block on average.
func (c *chooser) tokensOf(depth int32) float64 {
	return float64(c.req.PromptTokens) * 2 * float64(depth) / float64(2*len(c.req.Blocks)+1)
}

// cachedTokens returns the expected number of cached prompt tokens: hintedTokens times the observed accuracy of such
// hints.
func (c *chooser) cachedTokens(i int32) float64 {
	tokens, home := c.hintedTokens(i)
	if tokens == 0 {
		return 0
	}
	if home < 0 {
		return tokens * loadFloat(&c.snap.entries[i].state.hintAccuracy)
	}
	tokens *= loadFloat(&c.router.homeAccuracy[home])
	if c.isSecondHome(i) {
		tokens *= secondHomeFactor
	}
	return tokens
}

func (c *chooser) isSecondHome(i int32) bool {
	for k := range c.homeCount {
		if c.homes[k].serverIndex == i {
			return k%homesPerDepth > 0
		}
	}
	return false
}
