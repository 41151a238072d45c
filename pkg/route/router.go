package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
)

// Router chooses backend servers. Its methods may be called from several goroutines.
type Router struct {
	opts           Options
	targets        atomic.Pointer[targets]
	snap           atomic.Pointer[snapshot]
	index          *prefixIndex
	randomState    atomic.Uint64 // state of the random sequence
	nextRoundRobin atomic.Uint64 // next position of the round-robin policy
	// homeAccuracy has, by depth, the observed share of the tokens expected on a home server that were cached there, as
	// float64 bits.
	homeAccuracy [len(homeDepths)]atomic.Uint64
	nodeCount    atomic.Uint64 // number of nodes that send to the same servers, this one included, float64 bits
	startMillis  int64         // Unix milliseconds

	mu          sync.Mutex // serializes changes of the snapshot and guards the fields below
	states      map[string]*state
	freeNumbers []freeNumber
	nextNumber  uint32
}

// freeNumber is a state number that can be reused, with the generation that its next server gets.
type freeNumber struct{ number, generation uint32 }

type targets struct {
	firstToken, betweenTokens float64 // seconds
	recompute                 float64 // 0 to 1
}

// entry holds the properties of a server that scoring reads.
type entry struct {
	state          *state
	price          float64 // relative to the highest price of the group
	loss           float64 // probability that the server is lost while it runs a request
	distance       float64 // round-trip time, seconds
	concurrency    float64 // requests
	concurrencySet bool    // the concurrency was configured; else it is the default
	leaving        bool    // the server is leaving
	suspect        bool
}

type bitset []uint64

func (b bitset) has(i int32) bool { return b != nil && b[i/64]&(1<<(i%64)) != 0 }

type snapshot struct {
	servers       []Server
	entries       []entry
	groups        map[string][]int32 // indexes into servers and entries
	rings         map[string]homeRing
	subsets       map[string][]int32 // per group, the servers that this node samples from
	models        map[string]bitset
	adapters      map[string]bitset
	indexByNumber []int32 // index into servers by state number; -1 when absent
	byID          map[string]int32
}

// New returns a Router without servers.
func New(opts Options) *Router {
	opts = opts.withDefaults()
	r := &Router{
		opts:        opts,
		index:       newPrefixIndex(opts.IndexBlocks),
		startMillis: opts.Now().UnixMilli(),
		states:      make(map[string]*state),
	}
	r.randomState.Store(opts.Seed)
	storeFloat(&r.nodeCount, 1)
	for i := range r.homeAccuracy {
		storeFloat(&r.homeAccuracy[i], initialHomeAccuracy)
	}
	r.SetTargets(opts.FirstTokenTarget, opts.BetweenTokensTarget, opts.RecomputeWeight)
	r.SetServers(nil)
	return r
}

// SetTargets replaces the latency targets and the recompute weight. Targets of 0 mean the defaults.
func (r *Router) SetTargets(firstToken, betweenTokens time.Duration, recomputeWeight uint32) {
	setDuration(&firstToken, defaultFirstToken)
	setDuration(&betweenTokens, defaultBetweenTokens)
	r.targets.Store(&targets{
		firstToken:    firstToken.Seconds(),
		betweenTokens: betweenTokens.Seconds(),
		recompute:     float64(min(recomputeWeight, 100)) / 100,
	})
}

// SetNodeCount sets the number of nodes, this one included, that send requests to the same servers. The requests that
// this node sent to a server since its last report are taken as typical of each node that has the server in its subset.
func (r *Router) SetNodeCount(n int) {
	count := float64(max(1, n))
	if loadFloat(&r.nodeCount) != count {
		storeFloat(&r.nodeCount, count)
		r.SetServers(r.snap.Load().servers)
	}
}

// SetServers replaces the set of servers. Servers that remain keep their counters and estimates. The caller must not
// change the slice afterwards.
func (r *Router) SetServers(servers []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeStates(servers)
	s := &snapshot{
		servers:  servers,
		entries:  make([]entry, len(servers)),
		groups:   make(map[string][]int32),
		rings:    make(map[string]homeRing),
		subsets:  make(map[string][]int32),
		models:   make(map[string]bitset),
		adapters: make(map[string]bitset),
		byID:     make(map[string]int32, len(servers)),
	}
	highestPrices := make(map[string]uint64)
	for i := range servers {
		highestPrices[servers[i].Group] = max(highestPrices[servers[i].Group], servers[i].PricePerHourMicros)
	}
	reclaimedShares := reclaimedShareByDomain(servers)
	words := (len(servers) + 63) / 64
	for i := range servers {
		srv := &servers[i]
		st := r.stateOf(srv.ID)
		st.applyReport(srv.Load, srv.LoadAt)
		s.byID[srv.ID] = int32(i)
		s.groups[srv.Group] = append(s.groups[srv.Group], int32(i))
		addToBitsets(s.models, srv.Models, i, words)
		addToBitsets(s.adapters, srv.Adapters, i, words)
		s.entries[i] = r.newEntry(srv, st, highestPrices[srv.Group], reclaimedShares[srv.FailureDomain])
	}
	for group, members := range s.groups {
		s.rings[group] = newHomeRing(servers, members)
		s.subsets[group] = r.subsetOf(servers, members)
	}
	s.indexByNumber = make([]int32, r.nextNumber)
	for i := range s.indexByNumber {
		s.indexByNumber[i] = -1
	}
	for i := range s.entries {
		s.indexByNumber[s.entries[i].state.number] = int32(i)
	}
	r.snap.Store(s)
}

// SetLoad applies one load report, which is cheaper than SetServers. Reports of unknown servers are dropped.
func (r *Router) SetLoad(server string, load backend.Load, at time.Time) {
	s := r.snap.Load()
	if i, ok := s.byID[server]; ok {
		s.entries[i].state.applyReport(load, at)
	}
}

func addToBitsets(sets map[string]bitset, names []string, i, words int) {
	for _, name := range names {
		if sets[name] == nil {
			sets[name] = make(bitset, words)
		}
		sets[name][i/64] |= 1 << (i % 64)
	}
}

// reclaimedShareByDomain returns, by failure domain, the share of the reclaimable servers that are leaving or suspect.
// A high share shows that the domain is being reclaimed before each of its servers has announced it.
func reclaimedShareByDomain(servers []Server) map[string]float64 {
	total, reclaimed := make(map[string]float64), make(map[string]float64)
	for i := range servers {
		srv := &servers[i]
		if !srv.Reclaimable {
			continue
		}
		total[srv.FailureDomain]++
		if srv.Leaving || srv.Suspect {
			reclaimed[srv.FailureDomain]++
		}
	}
	for domain := range total {
		total[domain] = reclaimed[domain] / total[domain]
	}
	return total
}

func (r *Router) newEntry(srv *Server, st *state, highestPrice uint64, reclaimedShare float64) entry {
	e := entry{state: st, leaving: srv.Leaving, suspect: srv.Suspect, concurrency: float64(srv.Concurrency),
		concurrencySet: srv.Concurrency > 0}
	if e.concurrency == 0 {
		e.concurrency = defaultConcurrency
	}
	if highestPrice > 0 {
		e.price = float64(srv.PricePerHourMicros) / float64(highestPrice)
	}
	if srv.Reclaimable {
		e.loss = baseLossProbability + (1-baseLossProbability)*reclaimedShare
	}
	switch {
	case srv.Region != r.opts.Region:
		e.distance = r.opts.RegionDistance.Seconds()
	case srv.FailureDomain != r.opts.FailureDomain:
		e.distance = r.opts.DomainDistance.Seconds()
	}
	return e
}

func (r *Router) stateOf(id string) *state {
	if st := r.states[id]; st != nil {
		return st
	}
	var slot freeNumber
	if n := len(r.freeNumbers); n > 0 {
		slot = r.freeNumbers[n-1]
		r.freeNumbers = r.freeNumbers[:n-1]
	} else {
		slot.number = r.nextNumber
		r.nextNumber++
	}
	st := newState(slot.number, slot.generation)
	r.states[id] = st
	return st
}

// removeStates removes the records of servers that are gone. Requests in flight on them keep their own reference.
func (r *Router) removeStates(servers []Server) {
	keep := make(map[string]bool, len(servers))
	for i := range servers {
		keep[servers[i].ID] = true
	}
	for id, st := range r.states {
		if !keep[id] {
			delete(r.states, id)
			// The next server with this number gets another generation, which invalidates the old hints.
			r.freeNumbers = append(r.freeNumbers, freeNumber{st.number, st.generation.Load() + 1})
		}
	}
}

func (r *Router) nowMillis() int64 { return r.opts.Now().UnixMilli() }

// tick returns the time of index entries: seconds since the start of the router, plus 1 so that 0 means none.
func (r *Router) tick(now int64) uint32 { return uint32((now-r.startMillis)/1000) + 1 }

// random returns the next value of the splitmix64 sequence.
func (r *Router) random() uint64 {
	return mix(r.randomState.Add(0x9e3779b97f4a7c15))
}

// errNoServer is shared, so that a refusal does not allocate.
var errNoServer = code.New(code.NoBackendServer, "no backend server can take the request").WithRetryAfter(time.Second)

// Pick chooses a server and adds the request to its in-flight counters. The error is a *code.Error.
func (r *Router) Pick(req *Request) (Pick, error) {
	s := r.snap.Load()
	c := chooser{router: r, snap: s, req: req, targets: r.targets.Load(), members: s.groups[req.Group],
		subset: s.subsets[req.Group]}
	c.senders = max(1, loadFloat(&r.nodeCount)*float64(len(c.subset))/float64(max(1, len(c.members))))
	if req.Model != "" {
		c.model = s.models[req.Model]
	}
	if req.Adapter != "" {
		c.adapter = s.adapters[req.Adapter]
	}
	// Another goroutine may isolate the server between choice and dispatch; then the choice is repeated.
	for range 4 {
		best := c.choose()
		if best < 0 {
			break
		}
		if pick, ok := r.dispatch(&c, best); ok {
			return pick, nil
		}
	}
	return Pick{}, errNoServer
}

func (r *Router) dispatch(c *chooser, i int32) (Pick, bool) {
	e := &c.snap.entries[i]
	st := e.state
	if c.req.Isolate && !st.isolated.CompareAndSwap(0, 1) {
		return Pick{}, false
	}
	others := st.inflight.Add(1) - 1
	if !c.req.Isolate && st.isolated.Load() != 0 {
		st.inflight.Add(-1)
		return Pick{}, false
	}
	now := r.nowMillis()
	cached := c.cachedTokens(i)
	hintedTokens, homeDepthIndex := c.hintedTokens(i)
	pick := Pick{
		Server:             &c.snap.servers[i],
		ExpectedFirstToken: time.Duration(c.firstToken(e, cached) * float64(time.Second)),
		ExpectedCached:     uint32(cached),
		Alone:              c.req.Isolate && others == 0 && st.queued.Load()+st.unreported.Load() <= 0,
		router:             r,
		state:              st,
		hintedTokens:       uint32(hintedTokens),
		homeDepthIndex:     homeDepthIndex,
		isolated:           c.req.Isolate,
	}
	st.countSent(now, 1)
	r.recordPrefix(c.req.Blocks, st, now)
	return pick, true
}

func (r *Router) recordPrefix(blocks []uint64, st *state, now int64) {
	server := packServer(st)
	tick := r.tick(now)
	for i := range indexedDepths(len(blocks)) {
		r.index.insert(blocks[indexedDepth(i)-1], server, tick)
	}
}

// packServer packs the number and the generation of a server.
func packServer(st *state) uint32 {
	return st.number&serverNumberMask | (st.generation.Load()&generationMask)<<serverNumberBits
}

// maxEventGap is the number of consecutive missing cache events up to which hints keep their full weight. One event
// concerns one block of some thousands; at an event loss of 2% every prompt of some kilobytes leaves a gap, and without
// this tolerance the hints would be discounted all the time.
const maxEventGap = 16

// ObserveCache applies cache events of a server, in order. After a gap of more than maxEventGap events, older hints of
// this server have half weight until ResyncCache replaces them.
func (r *Router) ObserveCache(server string, events []backend.CacheEvent) {
	s := r.snap.Load()
	i, ok := s.byID[server]
	if !ok || len(events) == 0 {
		return
	}
	st := s.entries[i].state
	st.cacheMu.Lock()
	defer st.cacheMu.Unlock()
	tick := r.tick(r.nowMillis())
	for _, event := range events {
		if event.Sequence <= st.sequence && st.synced {
			continue // delivered twice
		}
		if st.synced && event.Sequence > st.sequence+1+maxEventGap {
			st.staleBefore.Store(tick)
		}
		st.synced = true
		st.sequence = event.Sequence
		r.applyCacheEvent(st, event, tick)
	}
}

// ResyncCache invalidates all hints of a server and applies events that describe its whole cache.
func (r *Router) ResyncCache(server string, events []backend.CacheEvent) {
	s := r.snap.Load()
	i, ok := s.byID[server]
	if !ok {
		return
	}
	st := s.entries[i].state
	st.cacheMu.Lock()
	defer st.cacheMu.Unlock()
	st.generation.Add(1)
	st.staleBefore.Store(0)
	st.synced = false
	tick := r.tick(r.nowMillis())
	for _, event := range events {
		st.synced = true
		st.sequence = event.Sequence
		r.applyCacheEvent(st, event, tick)
	}
}

// NeedsCacheResync reports whether there was a large gap in the server's cache events since the last ResyncCache.
func (r *Router) NeedsCacheResync(server string) bool {
	s := r.snap.Load()
	i, ok := s.byID[server]
	return ok && s.entries[i].state.staleBefore.Load() > 0
}

func (r *Router) applyCacheEvent(st *state, event backend.CacheEvent, tick uint32) {
	if event.Removed {
		r.index.remove(event.Block, st.number)
		return
	}
	r.index.insert(event.Block, packServer(st), tick)
}
