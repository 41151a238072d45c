// Package engine is a stand-in for a model engine: continuous batching, a prefix cache in limited memory, late and
// incomplete cache events, lagging load reports, KV cache export and import, orders and fault hooks.
//
// Answers are deterministic, see Answer: they never depend on the attempt or the server, so that a test can compare
// an answer that was continued on another engine token by token. One goroutine runs the batch. Since every token can
// be computed from its offset, the loop only publishes the position of each sequence; the HTTP handlers write the
// tokens. A slow reader thus never holds up the batch.
//
// The protocol is JSON over HTTP/1.1:
//
//	POST /v1/generate           backend.GenerateRequest; the answer has one backend.Chunk per token and line, the
//	                            last with finish_reason and usage; an empty line is a heartbeat while the
//	                            request waits or is prefilled
//	GET  /v1/load               backend.Load
//	GET  /v1/cache-events       list of backend.CacheEvent with a sequence greater than the parameter after
//	POST /v1/kv/export?id=ID    KV cache of a running request; 404 when it does not run
//	POST /v1/kv/import?id=ID    makes a KV cache available to the request that names ID in kv_from
//	POST /v1/orders             backend.Order
//
// Status 503 means that a request was refused and did not start, 409 that a fencing number is stale.
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
	// prefillChunkTokens is the most prompt work of one step; it bounds how long a prompt delays running sequences.
	prefillChunkTokens = 512
	// heartbeatInterval is the time between heartbeats to requests that have no token yet.
	heartbeatInterval = time.Second
	// stepSlack is how far the loop may fall behind its schedule before it stops catching up.
	stepSlack = 5 * time.Millisecond
	// importLifetime is how long an imported KV cache waits for its request.
	importLifetime = 30 * time.Second
)

// RoleStandby is the role of an engine that refuses requests. Other roles serve.
const RoleStandby = "standby"

// Options configure an engine. Zero values of numbers mean the defaults, of durations otherwise none.
type Options struct {
	Name string
	// Models are loaded from the start and after each restart, as "model" or "model:adapter".
	Models []string
	Seed   uint64
	// StepBase is the time of a decode step with an empty batch; StepPerSequence is added per decoding sequence.
	StepBase               time.Duration
	StepPerSequence        time.Duration
	PrefillTokensPerSecond int
	// CacheTokens is the memory for prefixes and running sequences.
	CacheTokens int
	// MaxBatch and MaxWaiting bound running and waiting requests; more are refused.
	MaxBatch   int
	MaxWaiting int
	// ChecksFencing makes the engine refuse orders with an old fencing number; otherwise the number is ignored.
	ChecksFencing bool
	// LoadTime is how long a model takes from the order until it serves.
	LoadTime time.Duration
	// LoadLag is the age of load reports, CacheEventDelay that of new cache events.
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	// CacheEventLoss is the probability that a cache event is lost.
	CacheEventLoss float64
	// RestartAfter restarts the engine this long after a poisoned request crashed it; 0 leaves it down.
	RestartAfter time.Duration
	// Tracker is shared by the engines of a fleet to count recomputed tokens exactly; nil means attempts above 1
	// count as recomputation of all that they prefill.
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

// Engine is one engine. It implements http.Handler; Listen serves it on an address of its own, which Crash closes.
type Engine struct {
	options Options
	net     *netfault.Server
	wake    chan struct{} // capacity 1
	closing chan struct{}
	closed  sync.Once

	served   atomic.Uint64 // tokens written to callers
	isFrozen atomic.Bool   // frozen is not nil; spares the lock for each token

	lifecycle sync.Mutex // held for the whole of Crash and Restart; taken before mu

	mu        sync.Mutex
	dead      chan struct{} // closed by Crash
	crashed   bool
	frozen    chan struct{} // closed by Unfreeze; nil when not frozen
	poison    string
	random    *rand.Rand
	started   int64 // Unix milliseconds
	running   []*sequence
	waiting   waitingQueue
	byID      map[string]*sequence
	arrivals  uint64
	cache     *prefixCache
	imports   map[string]*importedKV
	models    map[string]*loadedModel
	role      string
	fencing   uint64
	events    eventLog
	loads     loadHistory
	stepTime  time.Duration
	heartbeat time.Time
	stats     Stats
}

// sequence is one request on the engine. The engine's lock guards it, except for the fields from position on.
type sequence struct {
	request  backend.GenerateRequest
	answer   answer
	arrival  uint64
	priority uint32
	hashes   []uint64
	tokens   []int // per block
	prompt   int   // tokens of the prompt

	pinned  int // leading blocks that are pinned in the cache
	private int // tokens in private memory
	cached  int
	prefill int // tokens still to prefill
	planned int // tokens to prefill in the current step
	done    int // prefilled tokens
	active  bool
	ended   bool
	record  progressRecord

	position atomic.Uint32 // tokens of the answer so far, resumed ones included
	finished atomic.Bool   // set after usage and the last position
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

// reset gives the engine the state of a process that has just started. The fencing number is kept, as engines that
// check it keep it with their configuration.
func (e *Engine) reset() {
	e.dead = make(chan struct{})
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

// Net returns the server of Listen, for faults of its connections.
func (e *Engine) Net() *netfault.Server { return e.net }

// Addr returns the address of Listen.
func (e *Engine) Addr() string { return e.net.Addr() }

// Close ends the engine and its connections.
func (e *Engine) Close() {
	e.closed.Do(func() { close(e.closing) })
	e.Crash()
	e.net.Close()
}

func (e *Engine) loop() {
	var last time.Time // scheduled end of the step before
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mu.Lock()
		step, ok, poisoned := e.planStep(time.Now())
		e.mu.Unlock()
		if poisoned {
			e.crashPoisoned()
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
		// The schedule is absolute, so that late timers do not slow the engine down.
		now := time.Now()
		if now.Sub(last) > stepSlack {
			last = now
		}
		last = last.Add(step)
		timer.Reset(last.Sub(now))
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

// planStep admits waiting requests, distributes the prompt work and returns the time of the step. It returns
// poisoned when an admitted request crashes the engine.
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
		s.planned = min(s.prefill, budget)
		budget -= s.planned
		if s.prefill == 0 {
			decoding++
		}
	}
	prefill := prefillChunkTokens - budget
	step = e.options.StepBase + time.Duration(decoding)*e.options.StepPerSequence
	step += time.Duration(prefill) * time.Second / time.Duration(e.options.PrefillTokensPerSecond)
	e.stepTime = step
	return step, true, false
}

// admit moves a request into the batch, unless memory is short and other sequences will free some.
func (e *Engine) admit(s *sequence) bool {
	total := s.prompt + len(s.request.Resume)
	blocks := e.cache.match(s.hashes)
	cached := 0
	for _, n := range s.tokens[:blocks] {
		cached += n
	}
	kv := e.imports[s.request.KVFrom]
	imported := kv != nil && kv.Digest == s.answer.digest
	private := total - cached
	e.cache.pin(s.hashes[:blocks])
	need := private
	if imported {
		need -= kv.Tokens // its memory passes to the sequence
	}
	if !e.cache.fits(need) && len(e.running) > 0 {
		e.cache.unpin(s.hashes[:blocks])
		return false
	}
	if imported {
		e.cache.private -= kv.Tokens
		delete(e.imports, s.request.KVFrom)
		cached = max(cached, min(total, kv.Tokens))
	}
	s.pinned = blocks
	s.private = private
	e.cache.grow(private)
	s.cached = cached
	s.prefill = total - cached
	s.active = true
	s.record = e.options.Tracker.attempt(s.request.ID)
	e.running = append(e.running, s)
	e.stats.Runs++
	e.stats.CachedTokens += uint64(cached)
	return true
}

// applyStep ends a step: prompt work is done and each sequence whose prompt is complete gets one token.
func (e *Engine) applyStep(now time.Time) {
	keep := e.running[:0]
	for _, s := range e.running {
		e.advance(s)
		if !s.ended {
			keep = append(keep, s)
		}
	}
	clear(e.running[len(keep):])
	e.running = keep
	if now.Sub(e.heartbeat) >= heartbeatInterval {
		e.heartbeat = now
		e.signalWaiting()
	}
	e.recordLoad(now, len(e.running) == 0)
}

func (e *Engine) advance(s *sequence) {
	if s.prefill > 0 {
		e.countPrefill(s, s.planned)
		s.prefill -= s.planned
		s.planned = 0
		if s.prefill > 0 {
			return
		}
	}
	if s.pinned < len(s.hashes) {
		for _, n := range s.tokens[s.pinned:] {
			s.private -= n
		}
		e.cache.insert(s.hashes[s.pinned:], s.tokens[s.pinned:])
		s.pinned = len(s.hashes)
	}
	position := s.position.Load()
	if position < s.answer.length {
		e.countGenerated(s, position)
		s.private++
		e.cache.grow(1)
		position++
		s.position.Store(position)
	}
	if position >= s.answer.length {
		e.end(s)
	}
	s.signal()
}

// end frees what a running sequence holds; the caller removes it from running.
func (e *Engine) end(s *sequence) {
	s.ended = true
	s.usage = backend.Usage{
		PromptTokens:    uint32(s.prompt),
		CachedTokens:    uint32(s.cached),
		PrefilledTokens: uint32(s.done),
		GeneratedTokens: s.position.Load() - uint32(len(s.request.Resume)),
	}
	s.finished.Store(true)
	e.cache.private -= s.private
	e.cache.unpin(s.hashes[:s.pinned])
	e.forget(s)
}

// forget notes how far an admitted request got.
func (e *Engine) forget(s *sequence) {
	if e.byID[s.request.ID] == s {
		delete(e.byID, s.request.ID)
	}
	computed := s.cached + s.done
	if s.prefill == 0 {
		computed = s.prompt + int(s.position.Load())
	}
	e.options.Tracker.note(s.request.ID, computed, s.position.Load())
}

// signalWaiting makes the handlers of requests without a token send a heartbeat.
func (e *Engine) signalWaiting() {
	for _, s := range e.waiting {
		s.signal()
	}
	for _, s := range e.running {
		if s.prefill > 0 {
			s.signal()
		}
	}
}

// refusal says why a request did not start.
type refusal string

// Error implements error.
func (r refusal) Error() string { return string(r) }

// submit puts a request into the waiting queue.
func (e *Engine) submit(req backend.GenerateRequest) (*sequence, error) {
	s := &sequence{request: req, answer: answerFor(&req), priority: req.Priority, notify: make(chan struct{}, 1)}
	s.hashes, s.tokens, s.prompt = blockTokens(req.Model, req.Adapter, req.Prompt)
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
	case s.prompt+len(req.Resume) > e.options.CacheTokens:
		return nil, refusal("request exceeds the memory")
	}
	if len(req.Resume) >= int(s.answer.length) { // complete already; only the end is missing
		s.ended = true
		s.usage.PromptTokens = uint32(s.prompt)
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

// cancel removes a request whose caller has gone; for a finished one it does nothing.
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

// waitingQueue is a heap by priority, then by arrival.
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
