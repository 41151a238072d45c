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
	opts    Options
	targets atomic.Pointer[targets]
	snap    atomic.Pointer[snapshot]
	index   *prefixIndex
	counter atomic.Uint64 // random source
	turn    atomic.Uint64 // position of round robin
	// homeTrust is the observed share of prompts found on their home server, by depth, as float64 bits.
	homeTrust [len(homeDepths)]atomic.Uint64
	peers     atomic.Uint64 // nodes that send to the same servers, float64 bits
	began     int64

	mu     sync.Mutex // serializes changes of the snapshot
	states map[string]*state
	free   []freeNumber
	next   uint32
}

type freeNumber struct{ number, generation uint32 }

type targets struct {
	firstToken, betweenTokens float64 // seconds
	recompute                 float64 // 0 to 1
}

// entry is the part of a server that the scan reads.
type entry struct {
	state       *state
	price       float64 // over the highest price of the group
	loss        float64 // probability that the server is lost while it runs a request
	distance    float64 // seconds
	concurrency float64
	stated      bool // the group states the concurrency
	unavailable bool // leaving
	suspect     bool
}

type bitset []uint64

func (b bitset) has(i int32) bool { return b != nil && b[i/64]&(1<<(i%64)) != 0 }

type snapshot struct {
	servers  []Server
	entries  []entry
	groups   map[string][]int32
	rings    map[string]homeRing
	subsets  map[string][]int32 // per group, the servers this node prefers for requests without a prefix
	models   map[string]bitset
	adapters map[string]bitset
	position []int32 // by state number; -1 when absent
	byID     map[string]int32
}

// New returns a Router without servers.
func New(opts Options) *Router {
	opts = opts.withDefaults()
	r := &Router{
		opts:   opts,
		index:  newPrefixIndex(opts.IndexBlocks),
		began:  opts.Now().UnixMilli(),
		states: make(map[string]*state),
	}
	r.counter.Store(opts.Seed)
	storeFloat(&r.peers, 1)
	for i := range r.homeTrust {
		storeFloat(&r.homeTrust[i], initialHomeTrust)
	}
	r.SetTargets(opts.FirstTokenTarget, opts.BetweenTokensTarget, opts.RecomputeWeight)
	r.SetServers(nil)
	return r
}

// SetTargets takes the policy of a new configuration. Targets of 0 keep the defaults.
func (r *Router) SetTargets(firstToken, betweenTokens time.Duration, recomputeWeight uint32) {
	setDuration(&firstToken, defaultFirstToken)
	setDuration(&betweenTokens, defaultBetweenTokens)
	r.targets.Store(&targets{
		firstToken:    firstToken.Seconds(),
		betweenTokens: betweenTokens.Seconds(),
		recompute:     float64(min(recomputeWeight, 100)) / 100,
	})
}

// SetPeers tells how many nodes, this one included, send requests to the same servers. What this node sent since a
// load report stands for what each node sent that has the server in its subset.
func (r *Router) SetPeers(n int) {
	peers := float64(max(1, n))
	if loadFloat(&r.peers) != peers {
		storeFloat(&r.peers, peers)
		r.SetServers(r.snap.Load().servers)
	}
}

// SetServers replaces the set of servers. Counters and estimates of servers that remain survive. The slice must not
// be changed afterwards.
func (r *Router) SetServers(servers []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropStates(servers)
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
	highest := make(map[string]uint64)
	for i := range servers {
		highest[servers[i].Group] = max(highest[servers[i].Group], servers[i].PricePerHourMicros)
	}
	reclaims := reclaimShares(servers)
	words := (len(servers) + 63) / 64
	for i := range servers {
		srv := &servers[i]
		st := r.stateOf(srv.ID)
		st.report(srv.Load, srv.LoadAt)
		s.byID[srv.ID] = int32(i)
		s.groups[srv.Group] = append(s.groups[srv.Group], int32(i))
		mark(s.models, srv.Models, i, words)
		mark(s.adapters, srv.Adapters, i, words)
		s.entries[i] = r.entryOf(srv, st, highest[srv.Group], reclaims[srv.FailureDomain])
	}
	for group, members := range s.groups {
		s.rings[group] = newHomeRing(servers, members)
		s.subsets[group] = r.subsetOf(servers, members)
	}
	s.position = make([]int32, r.next)
	for i := range s.position {
		s.position[i] = -1
	}
	for i := range s.entries {
		s.position[s.entries[i].state.number] = int32(i)
	}
	r.snap.Store(s)
}

// SetLoad takes one load report, which is cheaper than SetServers. Reports of unknown servers are dropped.
func (r *Router) SetLoad(server string, load backend.Load, at time.Time) {
	s := r.snap.Load()
	if i, ok := s.byID[server]; ok {
		s.entries[i].state.report(load, at)
	}
}

func mark(sets map[string]bitset, names []string, i, words int) {
	for _, name := range names {
		if sets[name] == nil {
			sets[name] = make(bitset, words)
		}
		sets[name][i/64] |= 1 << (i % 64)
	}
}

// reclaimShares returns the share of reclaimable servers of each failure domain that are leaving or suspect. It tells
// that a domain is being reclaimed before each of its servers has announced it.
func reclaimShares(servers []Server) map[string]float64 {
	total, gone := make(map[string]float64), make(map[string]float64)
	for i := range servers {
		srv := &servers[i]
		if !srv.Reclaimable {
			continue
		}
		total[srv.FailureDomain]++
		if srv.Leaving || srv.Suspect {
			gone[srv.FailureDomain]++
		}
	}
	for domain := range total {
		total[domain] = gone[domain] / total[domain]
	}
	return total
}

func (r *Router) entryOf(srv *Server, st *state, highest uint64, reclaimShare float64) entry {
	e := entry{state: st, unavailable: srv.Leaving, suspect: srv.Suspect, concurrency: float64(srv.Concurrency), stated: srv.Concurrency > 0}
	if e.concurrency == 0 {
		e.concurrency = defaultConcurrency
	}
	if highest > 0 {
		e.price = float64(srv.PricePerHourMicros) / float64(highest)
	}
	if srv.Reclaimable {
		e.loss = baseLoss + (1-baseLoss)*reclaimShare
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
	if n := len(r.free); n > 0 {
		slot = r.free[n-1]
		r.free = r.free[:n-1]
	} else {
		slot.number = r.next
		r.next++
	}
	st := newState(slot.number, slot.generation)
	r.states[id] = st
	return st
}

// dropStates frees the records of servers that are gone. Requests in flight on them keep their own reference.
func (r *Router) dropStates(servers []Server) {
	keep := make(map[string]bool, len(servers))
	for i := range servers {
		keep[servers[i].ID] = true
	}
	for id, st := range r.states {
		if !keep[id] {
			delete(r.states, id)
			// The next server with this number gets another generation, so that old hints do not apply to it.
			r.free = append(r.free, freeNumber{st.number, st.generation.Load() + 1})
		}
	}
}

func (r *Router) nowMillis() int64 { return r.opts.Now().UnixMilli() }

// tick is the age of index entries, in seconds from 1.
func (r *Router) tick(now int64) uint32 { return uint32((now-r.began)/1000) + 1 }

// random returns the next value of a splitmix64 sequence.
func (r *Router) random() uint64 {
	return mix(r.counter.Add(0x9e3779b97f4a7c15))
}

// errNoServer is shared, so that a refusal allocates nothing.
var errNoServer = code.New(code.NoBackendServer, "no backend server can take the request").WithRetryAfter(time.Second)

// Pick chooses a server and counts the request on it. The error is a *code.Error.
func (r *Router) Pick(req *Request) (Pick, error) {
	s := r.snap.Load()
	c := chooser{router: r, snap: s, req: req, targets: r.targets.Load(), members: s.groups[req.Group],
		subset: s.subsets[req.Group]}
	c.peers = max(1, loadFloat(&r.peers)*float64(len(c.subset))/float64(max(1, len(c.members))))
	if req.Model != "" {
		c.model = s.models[req.Model]
	}
	if req.Adapter != "" {
		c.adapter = s.adapters[req.Adapter]
	}
	// A dispatch that met an isolation in the same instant is taken back and chosen again.
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
	hinted, home := c.hintedTokens(i)
	pick := Pick{
		Server:             &c.snap.servers[i],
		ExpectedFirstToken: time.Duration(c.firstToken(e, cached) * float64(time.Second)),
		ExpectedCached:     uint32(cached),
		Alone:              c.req.Isolate && others == 0 && st.queued.Load()+st.extra.Load() <= 0,
		router:             r,
		state:              st,
		hinted:             uint32(hinted),
		home:               home,
		isolated:           c.req.Isolate,
	}
	st.add(now, 1)
	r.recordPrefix(c.req.Blocks, st, now)
	return pick, true
}

func (r *Router) recordPrefix(blocks []uint64, st *state, now int64) {
	name := hintName(st)
	tick := r.tick(now)
	for i := range rungs(len(blocks)) {
		r.index.insert(blocks[rungDepth(i)-1], name, tick)
	}
}

// hintName packs number and generation of a server.
func hintName(st *state) uint32 {
	return st.number&numberMask | (st.generation.Load()&generationMask)<<numberBits
}

// toleratedGap is how many missing events leave the hints trusted. One event concerns one block of some thousands; at a
// loss of 2% every prompt of some kilobytes leaves a gap, and hints would always be suspect.
const toleratedGap = 16

// ObserveCache takes cache events of a server in order. After a larger gap in the sequence the older hints of this
// server count half, until ResyncCache replaces them.
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
		if st.synced && event.Sequence > st.sequence+1+toleratedGap {
			st.suspectBefore.Store(tick)
		}
		st.synced = true
		st.sequence = event.Sequence
		r.apply(st, event, tick)
	}
}

// ResyncCache forgets all hints of a server and takes events that describe its whole cache.
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
	st.suspectBefore.Store(0)
	st.synced = false
	tick := r.tick(r.nowMillis())
	for _, event := range events {
		st.synced = true
		st.sequence = event.Sequence
		r.apply(st, event, tick)
	}
}

// CacheSuspect tells whether a gap in the server's cache events has not been resynchronized yet.
func (r *Router) CacheSuspect(server string) bool {
	s := r.snap.Load()
	i, ok := s.byID[server]
	return ok && s.entries[i].state.suspectBefore.Load() > 0
}

func (r *Router) apply(st *state, event backend.CacheEvent, tick uint32) {
	if event.Removed {
		r.index.remove(event.Block, st.number)
		return
	}
	r.index.insert(event.Block, hintName(st), tick)
}
