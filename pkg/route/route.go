// Package route chooses the backend server for a request.
//
// A Router holds an immutable snapshot of all servers, which SetServers replaces, and one mutable record per server
// that survives such replacements: the last load report, the requests that this node has sent since that report, and
// the latency and cache estimates from finished requests. Pick locks single shards of the prefix index and the chosen
// server's record, and does not allocate.
//
// The default policy scores each candidate by three terms: expected latency relative to the latency target, price, and
// prompt tokens that would have to be recomputed. Up to a share of the target the latency term is nearly flat, so that
// price and cache decide and cheap servers fill up first; above it the term rises steeply. A prefix that many requests
// share is therefore also cached on a second server as soon as the first one would miss the target.
//
// Load reports lag, and all nodes see the same reports. If each took the best of all servers, they would all send to
// the same server until its next report. The router therefore scores, besides the servers that cache the prefix, a
// random sample from a subset of servers that differs between nodes. The smaller the subset, the better the requests
// that this node sent to a server since its last report predict what all nodes sent. See
// docs/measurements-decisions.md for the comparisons.
package route

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// Policy selects how Pick ranks servers.
type Policy string

// The policies. CostAware is the default; the others exist for comparison.
const (
	CostAware   Policy = "cost-aware"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
	PrefixOnly  Policy = "prefix-only"
)

// Server describes one backend server.
type Server struct {
	ID, Addr, Group, Region, FailureDomain string
	// Models and Adapters list those that are resident: a request for them loads no weights.
	Models, Adapters   []string
	PricePerHourMicros uint64
	Reclaimable        bool
	// Leaving servers get no new work. Suspect servers get work only when no other server with the model is left.
	Leaving, Suspect bool
	Load             backend.Load
	// LoadAt is the time at which the server made the load report, on this node's clock. Zero means no report.
	LoadAt time.Time
	// Concurrency is the number of requests the server runs before it queues; 0 means unknown.
	Concurrency uint32
}

// Options configures a Router. Zero values give the defaults.
type Options struct {
	Policy Policy
	// RecomputeWeight is the weight of recomputed tokens relative to price, 0 to 100. Even at 0 they have some weight.
	RecomputeWeight uint32
	// FirstTokenTarget and BetweenTokensTarget are the latency targets, as 95th percentiles.
	FirstTokenTarget, BetweenTokensTarget time.Duration
	// Region and FailureDomain are those of this node.
	Region, FailureDomain string
	// DomainDistance and RegionDistance are the round-trip times to another failure domain and to another region.
	DomainDistance, RegionDistance time.Duration
	// PrefillTokensPerSecond is the assumed prefill rate of a server; estimates from results correct for its error.
	PrefillTokensPerSecond float64
	// Sample is the number of random candidates per choice; a negative value scans all servers.
	Sample int
	// IndexBlocks is the size of the prefix index in blocks; each takes about 40 bytes.
	IndexBlocks int
	// Seed must differ between nodes, since it selects the node's subset of servers.
	Seed uint64
	Now  func() time.Time
}

const (
	defaultFirstToken    = 420 * time.Millisecond
	defaultBetweenTokens = 37 * time.Millisecond
	defaultDomainRTT     = 2 * time.Millisecond
	defaultRegionRTT     = 60 * time.Millisecond
	defaultPrefillRate   = 8000.0 // tokens/s
	defaultSample        = 16
	defaultIndexBlocks   = 1 << 17
	defaultConcurrency   = 32
	defaultStep          = 15 * time.Millisecond
	defaultOutputTokens  = 256
)

func (o Options) withDefaults() Options {
	if o.Policy == "" {
		o.Policy = CostAware
	}
	setDuration(&o.FirstTokenTarget, defaultFirstToken)
	setDuration(&o.BetweenTokensTarget, defaultBetweenTokens)
	setDuration(&o.DomainDistance, defaultDomainRTT)
	setDuration(&o.RegionDistance, defaultRegionRTT)
	if o.PrefillTokensPerSecond <= 0 {
		o.PrefillTokensPerSecond = defaultPrefillRate
	}
	if o.Sample == 0 {
		o.Sample = defaultSample
	}
	if o.IndexBlocks <= 0 {
		o.IndexBlocks = defaultIndexBlocks
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Model, Adapter, Group string
	// Blocks are the chained prefix hashes of the prompt, see backend.PrefixBlocks.
	Blocks []uint64
	// PromptTokens and OutputTokens are estimates; 0 output tokens means unknown.
	PromptTokens, OutputTokens uint32
	// Prefer is the ID of the server that holds the request's KV cache; it is chosen when it can take the request.
	Prefer string
	// Exclude lists the IDs of servers that must not be chosen, because they were tried already.
	Exclude []string
	// Isolate requests a server that runs nothing else meanwhile. It is for a request with a strike: one that was
	// running on a server when the server crashed. IsolateKey spreads different requests over the servers and gives a
	// request the same order of servers on every node, so that isolated requests of two nodes do not meet on a server.
	Isolate    bool
	IsolateKey string
	Priority   uint32
}

// Outcome classifies how a dispatched request ended.
type Outcome uint8

// The outcomes. Only the measured times of Succeeded update the latency estimate; Refused and Failed raise it until
// later successes lower it again.
const (
	Succeeded Outcome = iota
	Refused
	Failed
	Cancelled
)

// Result describes a finished request; the router updates its estimates with it.
type Result struct {
	// FirstToken is the time from dispatch to the first token; 0 means unknown.
	FirstToken time.Duration
	Outcome    Outcome
	// PromptTokens and CachedTokens come from the engine's usage report; 0 prompt tokens means unknown.
	PromptTokens, CachedTokens uint32
}

// Pick is a chosen server. Its Done must be called once, on the same variable that Pick was stored in.
type Pick struct {
	// Server is shared and immutable.
	Server *Server
	// ExpectedFirstToken is the estimate the choice was based on.
	ExpectedFirstToken time.Duration
	// ExpectedCached is the expected number of cached prompt tokens, from the prefix index or the home ring.
	ExpectedCached uint32
	// Alone is set for an isolated request when the server ran nothing else as far as is known.
	Alone bool

	router         *Router
	state          *state
	hintedTokens   uint32 // tokens cached according to the prefix index or the home ring, not corrected
	homeDepthIndex int    // index into homeDepths when the estimate is from the home ring, else -1
	isolated       bool
}

// Done removes the request from the in-flight counters and updates the estimates with its result. Further calls do
// nothing.
func (p *Pick) Done(result Result) {
	if p.state == nil {
		return
	}
	st := p.state
	p.state = nil
	st.countSent(p.router.nowMillis(), -1)
	st.inflight.Add(-1)
	if p.isolated {
		st.isolated.Store(0)
	}
	st.update(p, result)
	p.router.updateHomeAccuracy(p, result)
}
