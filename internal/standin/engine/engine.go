// Package engine is a stand-in for a model engine. It has continuous batching, a prefix cache of limited size, delayed
// and incomplete cache events, delayed load reports, KV cache export and import, orders and fault injection.
//
// Responses are deterministic, see ExpectedResponse: they do not depend on the attempt or the server, so that a test can
// compare a response that was continued on another engine token by token. One goroutine runs the batch. Since every
// token can be computed from its offset, the loop only publishes the position of each sequence; the HTTP handlers write
// the tokens. A slow reader therefore never delays the batch.
//
// The protocol is JSON over HTTP/1.1:
//
//	POST /v1/generate           backend.GenerateRequest; the response has one backend.Chunk per line and token, the
//	                            last with finish_reason and usage; an empty line is a heartbeat while the
//	                            request waits or is prefilled
//	GET  /v1/load               backend.Load
//	GET  /v1/cache-events       list of backend.CacheEvent with a sequence greater than the parameter after
//	POST /v1/kv/export?id=ID    KV cache of a running request; 404 if it is not running
//	POST /v1/kv/import?id=ID    makes a KV cache available to the request that names ID in kv_from
//	POST /v1/orders             backend.Order
//
// Status 503 means that a request was refused and did not start, 409 that a fencing token is stale.
package engine

import (
	"container/heap"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/backend"
)

// Defaults of Options.
const (
	DefaultStepBase               = 8 * time.Millisecond
	DefaultStepPerSequence        = 50 * time.Microsecond
	DefaultPrefillTokensPerSecond = 20_000
	DefaultMaxBatch               = 64
	DefaultMaxWaiting             = 1024
	DefaultCacheTokens            = 200_000
)

const (
	// prefillChunkTokens is the maximum number of tokens prefilled in one step. It bounds how long a prompt delays
	// running sequences.
	prefillChunkTokens = 512
	// heartbeatInterval is the time between heartbeats to requests that have no token yet.
	heartbeatInterval = time.Second
	// stepSlack is the delay behind the schedule from which the loop starts a new schedule instead of catching up.
	stepSlack = 5 * time.Millisecond
	// importLifetime is the time after which an imported KV cache that no request has used is dropped.
	importLifetime = 30 * time.Second
)

// RoleStandby is the role of an engine that refuses requests. Engines with any other role serve them.
const RoleStandby = "standby"

// Options configure an engine. A zero value means the default where there is one; otherwise it means none.
type Options struct {
	Name string
	// Models are loaded when the engine starts and after each restart, as "model" or "model:adapter".
	Models []string
	Seed   uint64
	// StepBase is the duration of a decode step with an empty batch; StepPerSequence is added per decoding sequence.
	StepBase               time.Duration
	StepPerSequence        time.Duration
	PrefillTokensPerSecond int
	// CacheTokens is the memory for prefixes and running sequences, in tokens.
	CacheTokens int
	// MaxBatch and MaxWaiting bound running and waiting requests. A request that finds MaxWaiting others waiting is
	// refused.
	MaxBatch   int
	MaxWaiting int
	// ChecksFencing makes the engine refuse orders with a stale fencing token; otherwise the token is ignored.
	ChecksFencing bool
	// LoadTime is the time from the order to load a model until the engine serves it.
	LoadTime time.Duration
	// LoadLag is the delay of load reports, CacheEventDelay that of cache events.
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	// CacheEventLoss is the probability that a cache event is lost.
	CacheEventLoss float64
	// RestartAfter restarts the engine this long after a poison request crashed it; 0 leaves it crashed.
	RestartAfter time.Duration
	// Tracker is shared by the engines of a fleet to count recomputed tokens exactly. If it is nil, all tokens that
	// attempts after the first prefill count as recomputed.
	Tracker *RecomputeTracker
	// Listen opens listeners; nil means TCP.
	Listen netfault.ListenFunc
}

// FromSettings returns the options for an engine of a stand-in process.
func FromSettings(server *pb.StandinServer, seed uint64) Options {
	return Options{
		Name:                   server.GetName(),
		Models:                 server.GetModels(),
		Seed:                   seed,
		StepBase:               time.Duration(server.GetStepBaseUs()) * time.Microsecond,
		StepPerSequence:        time.Duration(server.GetStepPerSequenceUs()) * time.Microsecond,
		PrefillTokensPerSecond: int(server.GetPrefillTokensPerSecond()),
		CacheTokens:            int(server.GetCacheTokens()),
		MaxBatch:               int(server.GetMaxBatch()),
		ChecksFencing:          server.GetChecksFencing(),
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.StepBase, DefaultStepBase)
	setDefault(&o.StepPerSequence, DefaultStepPerSequence)
	setDefault(&o.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&o.CacheTokens, DefaultCacheTokens)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is an engine stand-in. It implements http.Handler; Listen serves it at its own address until Crash.
type Engine struct {
	options   Options
	net       *netfault.Server
	wake      chan struct{} // capacity 1
	closing   chan struct{}
	closeOnce sync.Once

	servedTokens atomic.Uint64 // tokens written to clients
	isFrozen     atomic.Bool   // true while frozen is not nil; read without the lock for each token

	lifecycle sync.Mutex // held during Crash and Restart; acquired before mu

	mu            sync.Mutex
	crashSignal   chan struct{} // closed by Crash
	crashed       bool
	frozen        chan struct{} // closed by Unfreeze or Crash; nil when not frozen
	poison        string
	random        *rand.Rand
	started       int64 // Unix milliseconds
	running       []*sequence
	waiting       waitingQueue
	byID          map[string]*sequence
	arrivals      uint64
	cache         *prefixCache
	imports       map[string]*importedKV
	models        map[string]*loadedModel
	role          string
	fencing       uint64
	events        eventLog
	loads         loadHistory
	stepTime      time.Duration
	lastHeartbeat time.Time
	stats         Stats
}

// sequence is one request on the engine. Engine.mu guards it, except for the fields from position on.
type sequence struct {
	request      backend.GenerateRequest
	response     response
	arrival      uint64
	priority     uint32
	hashes       []uint64
	blockTokens  []int // per block
	promptTokens int

	pinned           int // leading blocks that are pinned in the cache
	privateTokens    int // tokens in private memory
	cachedTokens     int
	remainingPrefill int // tokens still to prefill
	plannedPrefill   int // tokens to prefill in the current step
	prefilledTokens  int
	active           bool
	ended            bool
	earlierProgress  progressRecord

	position atomic.Uint32 // response tokens so far, including resumed ones
	finished atomic.Bool   // set after usage and the final position
	usage    backend.Usage
	notify   chan struct{} // capacity 1
}

func (s *sequence) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// New returns a running engine. Close ends it.
func New(options Options) *Engine {
	options.setDefaults()
	name := fnv.New64a()
	_, _ = name.Write([]byte(options.Name))
	e := &Engine{
		options: options,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		random:  rand.New(rand.NewPCG(options.Seed, name.Sum64())),
	}
	e.events.loss = options.CacheEventLoss
	e.reset()
	e.net = netfault.New(e, options.Listen)
	go e.loop()
	return e
}

// reset puts the engine into the state of a process that has just started. The fencing token is kept, because engines
// that check it store it with their configuration.
func (e *Engine) reset() {
	e.crashSignal = make(chan struct{})
	e.crashed = false
	e.started = max(time.Now().UnixMilli(), e.started+1)
	e.running = nil
	e.waiting = nil
	e.byID = map[string]*sequence{}
	e.imports = map[string]*importedKV{}
	e.role = ""
	e.events.clear()
	e.loads = loadHistory{}
	e.cache = newPrefixCache(e.options.CacheTokens, func(hash uint64, removed bool) {
		lost := e.events.loss > 0 && e.random.Float64() < e.events.loss
		e.events.add(time.Now().Add(e.options.CacheEventDelay), hash, removed, lost)
	})
	e.models = map[string]*loadedModel{}
	for _, m := range e.options.Models {
		model, adapter, _ := strings.Cut(m, ":")
		e.loadModel(model, "", 0)
		e.loadAdapter(model, adapter)
	}
	e.recordLoad(time.Now(), true)
}

// Listen serves the engine at addr, an IP:port.
func (e *Engine) Listen(addr string) error { return e.net.Listen(addr) }

// Net returns the server behind Listen, for injecting connection faults.
func (e *Engine) Net() *netfault.Server { return e.net }

// Addr returns the address at which the engine listens, or "" before Listen.
func (e *Engine) Addr() string { return e.net.Addr() }

// Close stops the engine and closes its connections.
func (e *Engine) Close() {
	e.closeOnce.Do(func() { close(e.closing) })
	e.Crash()
	e.net.Close()
}

func (e *Engine) loop() {
	var scheduledEnd time.Time // scheduled end of the previous step
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mu.Lock()
		step, ok, poisoned := e.planStep(time.Now())
		e.mu.Unlock()
		if poisoned {
			e.crashAndScheduleRestart()
			continue
		}
		if !ok {
			select {
			case <-e.wake:
			case <-e.closing:
				return
			}
			continue
		}
		// The schedule is absolute, so that timers which fire late do not slow the engine down.
		now := time.Now()
		if now.Sub(scheduledEnd) > stepSlack {
			scheduledEnd = now
		}
		scheduledEnd = scheduledEnd.Add(step)
		timer.Reset(scheduledEnd.Sub(now))
		select {
		case <-timer.C:
		case <-e.closing:
			return
		}
		e.waitUnfrozen(context.Background(), nil)
		e.mu.Lock()
		e.applyStep(time.Now())
		e.mu.Unlock()
	}
}

// planStep admits waiting requests, distributes the prefill work and returns the duration of the step. ok is false if
// there is nothing to run; poisoned is true if an admitted request crashes the engine.
func (e *Engine) planStep(now time.Time) (step time.Duration, ok, poisoned bool) {
	e.expireImports(now)
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatch {
		if !e.admit(e.waiting[0]) {
			break
		}
		s := heap.Pop(&e.waiting).(*sequence)
		if e.poison != "" && strings.Contains(s.request.Prompt, e.poison) {
			return 0, false, true
		}
	}
	if len(e.running) == 0 {
		return 0, false, false
	}
	budget := prefillChunkTokens
	decoding := 0
	for _, s := range e.running {
		s.plannedPrefill = min(s.remainingPrefill, budget)
		budget -= s.plannedPrefill
		if s.remainingPrefill == 0 {
			decoding++
		}
	}
	prefill := prefillChunkTokens - budget
	step = e.options.StepBase + time.Duration(decoding)*e.options.StepPerSequence
	step += time.Duration(prefill) * time.Second / time.Duration(e.options.PrefillTokensPerSecond)
	e.stepTime = step
	return step, true, false
}

// admit adds a request to the batch. It returns false if the request does not fit into memory now and running
// sequences will free some.
func (e *Engine) admit(s *sequence) bool {
	total := s.promptTokens + len(s.request.Resume)
	blocks := e.cache.match(s.hashes)
	cached := 0
	for _, n := range s.blockTokens[:blocks] {
		cached += n
	}
	kv := e.imports[s.request.KVFrom]
	imported := kv != nil && kv.Digest == s.response.digest
	private := total - cached
	e.cache.pin(s.hashes[:blocks])
	need := private
	if imported {
		need -= kv.Tokens // the sequence takes over its memory
	}
	if !e.cache.fits(need) && len(e.running) > 0 {
		e.cache.unpin(s.hashes[:blocks])
		return false
	}
	if imported {
		e.cache.privateTokens -= kv.Tokens
		delete(e.imports, s.request.KVFrom)
		cached = max(cached, min(total, kv.Tokens))
	}
	s.pinned = blocks
	s.privateTokens = private
	e.cache.addPrivate(private)
	s.cachedTokens = cached
	s.remainingPrefill = total - cached
	s.active = true
	s.earlierProgress = e.options.Tracker.progress(s.request.ID)
	e.running = append(e.running, s)
	e.stats.Runs++
	e.stats.CachedTokens += uint64(cached)
	return true
}

// applyStep completes a step: the planned tokens are prefilled, and each sequence whose prefill is complete gets one
// token.
func (e *Engine) applyStep(now time.Time) {
	remaining := e.running[:0]
	for _, s := range e.running {
		e.advance(s)
		if !s.ended {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	if now.Sub(e.lastHeartbeat) >= heartbeatInterval {
		e.lastHeartbeat = now
		e.signalWaiting()
	}
	e.recordLoad(now, len(e.running) == 0)
}

func (e *Engine) advance(s *sequence) {
	if s.remainingPrefill > 0 {
		e.countPrefill(s, s.plannedPrefill)
		s.remainingPrefill -= s.plannedPrefill
		s.plannedPrefill = 0
		if s.remainingPrefill > 0 {
			return
		}
	}
	if s.pinned < len(s.hashes) {
		for _, n := range s.blockTokens[s.pinned:] {
			s.privateTokens -= n
		}
		e.cache.insert(s.hashes[s.pinned:], s.blockTokens[s.pinned:])
		s.pinned = len(s.hashes)
	}
	position := s.position.Load()
	if position < s.response.length {
		e.countGenerated(s, position)
		s.privateTokens++
		e.cache.addPrivate(1)
		position++
		s.position.Store(position)
	}
	if position >= s.response.length {
		e.end(s)
	}
	s.signal()
}

// end releases the memory of a running sequence; the caller removes it from running.
func (e *Engine) end(s *sequence) {
	s.ended = true
	s.usage = backend.Usage{
		PromptTokens:    uint32(s.promptTokens),
		CachedTokens:    uint32(s.cachedTokens),
		PrefilledTokens: uint32(s.prefilledTokens),
		GeneratedTokens: s.position.Load() - uint32(len(s.request.Resume)),
	}
	s.finished.Store(true)
	e.cache.privateTokens -= s.privateTokens
	e.cache.unpin(s.hashes[:s.pinned])
	e.unregister(s)
}

// unregister removes an admitted request from byID and records its progress in the tracker.
func (e *Engine) unregister(s *sequence) {
	if e.byID[s.request.ID] == s {
		delete(e.byID, s.request.ID)
	}
	computed := s.cachedTokens + s.prefilledTokens
	if s.remainingPrefill == 0 {
		computed = s.promptTokens + int(s.position.Load())
	}
	e.options.Tracker.record(s.request.ID, computed, s.position.Load())
}

// signalWaiting makes the handlers of requests that have no token yet send a heartbeat.
func (e *Engine) signalWaiting() {
	for _, s := range e.waiting {
		s.signal()
	}
	for _, s := range e.running {
		if s.remainingPrefill > 0 {
			s.signal()
		}
	}
}

// refusal is the reason for which the engine did not start a request.
type refusal string

// Error implements error.
func (r refusal) Error() string { return string(r) }

// submit adds a request to the waiting queue, or returns a refusal.
func (e *Engine) submit(req backend.GenerateRequest) (*sequence, error) {
	s := &sequence{request: req, response: responseFor(&req), priority: req.Priority, notify: make(chan struct{}, 1)}
	s.hashes, s.blockTokens, s.promptTokens = blockTokens(req.Model, req.Adapter, req.Prompt)
	s.position.Store(uint32(len(req.Resume)))
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.crashed:
		return nil, refusal("engine is down")
	case e.role == RoleStandby:
		return nil, refusal("engine is on standby")
	case !e.serves(req.Model, req.Adapter, time.Now()):
		return nil, refusal("model or adapter is not loaded")
	case len(e.waiting) >= e.options.MaxWaiting:
		return nil, refusal("queue is full")
	case s.promptTokens+len(req.Resume) > e.options.CacheTokens:
		return nil, refusal("request exceeds the memory")
	}
	if len(req.Resume) >= int(s.response.length) { // all tokens are there; only the end is missing
		s.ended = true
		s.usage.PromptTokens = uint32(s.promptTokens)
		s.finished.Store(true)
		s.signal()
		return s, nil
	}
	e.arrivals++
	s.arrival = e.arrivals
	e.byID[req.ID] = s
	heap.Push(&e.waiting, s)
	e.recordLoad(time.Now(), false)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, nil
}

// cancel removes a request whose client has disconnected. It does nothing for a finished request.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ended {
		return
	}
	if !s.active {
		s.ended = true
		e.waiting.remove(s)
		if e.byID[s.request.ID] == s {
			delete(e.byID, s.request.ID)
		}
		return
	}
	for i, other := range e.running {
		if other == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.end(s)
			e.stats.Cancelled++
			break
		}
	}
	e.recordLoad(time.Now(), len(e.running) == 0)
}

// waitingQueue is a heap ordered by priority, highest first, then by arrival.
type waitingQueue []*sequence

// Len implements heap.Interface.
func (q waitingQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitingQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap implements heap.Interface.
func (q waitingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitingQueue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

func (q *waitingQueue) remove(s *sequence) {
	for i, other := range *q {
		if other == s {
			heap.Remove(q, i)
			return
		}
	}
}

var _ http.Handler = (*Engine)(nil)
