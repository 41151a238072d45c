package route

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Weights of the score. The latency terms are in units of the target. They were tuned with the simulation of
// sim_test.go.
const (
	// headroom is the share of the target above which the latency term rises steeply. Estimates are means, and the
	// target is a 95th percentile.
	headroom     = 0.7
	flatSlope    = 0.1
	steepSlope   = 8.0
	lateSlope    = 2.0
	costWeight   = 0.6
	occupiedCost = 0.6 // price term of a server that runs something already, so that idle servers stay idle
	// recomputeUnit is the number of tokens whose repeated prefill weighs as much as the whole price term.
	recomputeUnit = 2048.0
	minRecompute  = 2.0
	// baseLoss is the assumed probability that a reclaimable server is lost during a request in calm times.
	baseLoss = 0.01
	// suspectHint discounts hints made before a gap in the cache events.
	suspectHint = 0.5
	// maxOccupancy is the share of a server's concurrency above which it counts as overloaded. The rest takes what
	// other nodes send before the next report.
	maxOccupancy = 0.85
	// noise spreads nodes that see the same report over servers of about the same score.
	noise = 0.2
	// adapterLoad is the time to load an adapter that is not resident, in seconds.
	adapterLoad = 0.25
	// priorityCost divides the price term per priority class above the lowest.
	priorityCost = 2.0

	// crowded is the score above which servers outside the subset are considered; it is above what price and a short
	// uncached prompt add up to.
	crowded    = 2.0
	wideSample = 4
	maxHints   = 16
)

// prefixHint is a candidate from the prefix index.
type prefixHint struct {
	position int32
	depth    int32 // blocks
	suspect  bool
}

// chooser holds one choice. It lives on the stack of Pick.
type chooser struct {
	router         *Router
	snap           *snapshot
	req            *Request
	targets        *targets
	members        []int32
	subset         []int32
	model, adapter bitset
	hints          [maxHints]prefixHint
	hinted         int
	homes          [homeCount * len(homeDepths)]prefixHint
	homeLevel      [homeCount * len(homeDepths)]int
	homeCount      int
	peers          float64
	strictness     int
}

// Each stage of relaxed admits servers that the stage before left out.
const (
	healthyResident = iota
	suspectResident
	anyResident
	stages
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
	for c.strictness = healthyResident; c.strictness < stages; c.strictness++ {
		if best := c.chooseStage(); best >= 0 {
			return best
		}
	}
	return -1
}

// preferred returns the server that the request prefers, if it is healthy and has the model.
func (c *chooser) preferred() int32 {
	if c.req.Prefer == "" || c.req.Isolate {
		return -1
	}
	c.strictness = healthyResident
	for _, i := range c.members {
		if c.snap.servers[i].ID == c.req.Prefer && c.eligible(i) {
			return i
		}
	}
	return -1
}

func (c *chooser) chooseStage() int32 {
	if c.req.Isolate {
		return c.scan(c.lossScore)
	}
	switch c.router.opts.Policy {
	case RoundRobin:
		return c.roundRobin()
	case LeastLoaded:
		if best := c.lessLoadedOfTwo(); best >= 0 {
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

// eligible tells whether a server may take the request at the current stage.
func (c *chooser) eligible(i int32) bool {
	e := &c.snap.entries[i]
	if e.unavailable || e.state.isolated.Load() != 0 {
		return false
	}
	if e.suspect && c.strictness < suspectResident {
		return false
	}
	if c.req.Model != "" && c.strictness < anyResident && !c.model.has(i) {
		return false
	}
	for _, id := range c.req.Exclude {
		if id == c.snap.servers[i].ID {
			return false
		}
	}
	return true
}

// scan returns the eligible server with the lowest score; it starts at a random one, so that ties spread.
func (c *chooser) scan(score func(int32) float64) int32 {
	best, lowest := int32(-1), 0.0
	n := len(c.members)
	start := int(c.router.random() % uint64(n))
	for k := range n {
		at := start + k
		if at >= n {
			at -= n
		}
		i := c.members[at]
		if !c.eligible(i) {
			continue
		}
		if v := score(i); best < 0 || v < lowest {
			best, lowest = i, v
		}
	}
	return best
}

// sample scores the servers that hold the prefix and a few random ones of the subset. When the best is crowded, a few
// of all servers are scored as well.
func (c *chooser) sample() int32 {
	best, lowest := int32(-1), math.Inf(1)
	try := func(i int32) {
		if c.eligible(i) {
			if v := c.score(i); v < lowest {
				best, lowest = i, v
			}
		}
	}
	for k := range c.hinted {
		try(c.hints[k].position)
	}
	for k := range c.homeCount {
		try(c.homes[k].position)
	}
	for range c.router.opts.Sample {
		try(c.subset[c.router.random()%uint64(len(c.subset))])
	}
	if lowest > crowded && len(c.subset) < len(c.members) {
		for range wideSample {
			try(c.members[c.router.random()%uint64(len(c.members))])
		}
	}
	return best
}

// lessLoadedOfTwo compares two random servers. With late load reports this holds a lower latency than the least loaded
// of all servers, to which every node would send.
func (c *chooser) lessLoadedOfTwo() int32 {
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
	start := c.router.turn.Add(1)
	for k := range n {
		if i := c.members[(start+k)%n]; c.eligible(i) {
			return i
		}
	}
	return -1
}

// queue returns the requests on a server: as reported, corrected by what this node sent since.
func (c *chooser) queue(e *entry) float64 {
	return max(0, float64(e.state.queued.Load())+c.peers*float64(e.state.extra.Load()))
}

func (c *chooser) loadScore(i int32) float64 {
	e := &c.snap.entries[i]
	return c.queue(e) / e.capacity()
}

func (c *chooser) prefixScore(i int32) float64 {
	return c.loadScore(i)/1e6 - c.cachedTokens(i)
}

// lossScore ranks servers for an isolated request: the fewest others, then the lowest price.
// hashFraction maps a pair of names to [0, 1).
func hashFraction(a, b string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return float64(d.Sum64()>>11) / (1 << 53)
}

func (c *chooser) lossScore(i int32) float64 {
	e := &c.snap.entries[i]
	load := c.queue(e) + float64(e.state.inflight.Load())
	if c.req.IsolateKey == "" {
		return load + e.price/2
	}
	return load + e.price/8 + hashFraction(c.req.IsolateKey, c.snap.servers[i].ID)
}

// capacity is how many requests the server runs at a time: what its group states, else what its reports have shown.
func (e *entry) capacity() float64 {
	if batch := e.state.batch.Load(); batch > 0 && !e.stated {
		return float64(batch)
	}
	return e.concurrency
}

// firstToken returns the expected time to the first token, in seconds.
func (c *chooser) firstToken(e *entry, cached float64) float64 {
	st := e.state
	step := loadFloat(&st.step)
	queue := c.queue(e)
	wait := 0.0
	if capacity := e.capacity(); queue >= capacity {
		output := float64(c.req.OutputTokens)
		if output == 0 {
			output = defaultOutputTokens
		}
		wait = (queue - capacity + 1) / capacity * output * step
	}
	// Prompts that wait on the server are left out: with them, the simulation's p95 at 80% rose from 176 to 205 ms.
	prefill := (float64(c.req.PromptTokens) - cached) / c.router.opts.PrefillTokensPerSecond
	return e.distance + loadFloat(&st.bias)*(wait+prefill+step)
}

// betweenTokens returns the expected decode step with this request in the batch, in seconds.
func (c *chooser) betweenTokens(e *entry) float64 {
	st := e.state
	added := c.peers*float64(st.extra.Load()) + 1
	return max(0, loadFloat(&st.step)+added*loadFloat(&st.growth))
}

// overTarget is nearly flat up to the headroom and steep above it. Beyond the target it grows by the logarithm only:
// when every server is over the target, a cached prefix still decides, since prefilling again adds to the overload.
func overTarget(share float64) float64 {
	over := math.Max(0, math.Min(share, 1)-headroom)
	v := flatSlope*share + steepSlope*over
	if share > 1 {
		v += lateSlope * math.Log(share)
	}
	return v
}

func (c *chooser) score(i int32) float64 {
	e := &c.snap.entries[i]
	cached := c.cachedTokens(i)
	first := c.firstToken(e, cached)
	if c.req.Adapter != "" && !c.adapter.has(i) {
		first += adapterLoad
	}
	latency := overTarget(first/c.targets.firstToken) + overTarget(c.betweenTokens(e)/c.targets.betweenTokens)
	latency += steepSlope * max(0, c.queue(e)/e.capacity()-maxOccupancy)
	price := e.price
	if c.queue(e) > 0 {
		price *= occupiedCost
	}
	for range min(c.req.Priority, 3) {
		price /= priorityCost
	}
	prompt := float64(c.req.PromptTokens)
	again := (prompt - cached) / recomputeUnit
	again += e.loss * (prompt + float64(c.req.OutputTokens)) / recomputeUnit
	spread := noise * float64(c.router.random()>>11) / (1 << 53)
	return latency + costWeight*price + (minRecompute+c.targets.recompute)*again + spread
}

// findPrefix collects the servers that hold the longest prefixes, by binary search over the ladder of depths.
func (c *chooser) findPrefix() {
	c.hinted = 0
	low, high := 0, rungs(len(c.req.Blocks))-1
	for low <= high {
		middle := (low + high) / 2
		depth := rungDepth(middle)
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
		for _, position := range ring.homes(c.req.Blocks[depth-1]) {
			if position >= 0 {
				c.homeLevel[c.homeCount] = k
				c.homes[c.homeCount] = prefixHint{position: position, depth: int32(depth)}
				c.homeCount++
			}
		}
	}
}

// addHints reports whether any hint names a server that is known and has not restarted since.
func (c *chooser) addHints(hints *[serversPerKey]hint, depth int32) bool {
	found := false
	for _, h := range hints {
		number := h.server & numberMask
		if h.tick == 0 || int(number) >= len(c.snap.position) || c.snap.position[number] < 0 {
			continue
		}
		position := c.snap.position[number]
		st := c.snap.entries[position].state
		if hintName(st) != h.server {
			continue
		}
		found = true
		c.addHint(prefixHint{position: position, depth: depth, suspect: h.tick <= st.suspectBefore.Load()})
	}
	return found
}

func (c *chooser) addHint(h prefixHint) {
	for k := range c.hinted {
		if c.hints[k].position == h.position {
			if h.depth > c.hints[k].depth {
				c.hints[k] = h
			}
			return
		}
	}
	if c.hinted < maxHints {
		c.hints[c.hinted] = h
		c.hinted++
	}
}

// hintedTokens returns the prompt tokens that the index says are cached on a server. Without a hint, the home ring
// answers, and home is the index of the depth.
func (c *chooser) hintedTokens(i int32) (tokens float64, home int) {
	for k := range c.hinted {
		if h := &c.hints[k]; h.position == i {
			tokens = c.tokensOf(h.depth)
			if h.suspect {
				tokens *= suspectHint
			}
			return tokens, -1
		}
	}
	for k := range c.homeCount {
		if h := &c.homes[k]; h.position == i {
			return c.tokensOf(h.depth), c.homeLevel[k]
		}
	}
	return 0, -1
}

// tokensOf converts a depth in blocks. The text after the last whole block is half a block on average.
func (c *chooser) tokensOf(depth int32) float64 {
	return float64(c.req.PromptTokens) * 2 * float64(depth) / float64(2*len(c.req.Blocks)+1)
}

// cachedTokens is hintedTokens, discounted by how often such hints were right.
func (c *chooser) cachedTokens(i int32) float64 {
	tokens, home := c.hintedTokens(i)
	if tokens == 0 {
		return 0
	}
	if home < 0 {
		return tokens * loadFloat(&c.snap.entries[i].state.trust)
	}
	tokens *= loadFloat(&c.router.homeTrust[home])
	if c.isSecondHome(i) {
		tokens *= secondHome
	}
	return tokens
}

func (c *chooser) isSecondHome(i int32) bool {
	for k := range c.homeCount {
		if c.homes[k].position == i {
			return k%homeCount > 0
		}
	}
	return false
}
