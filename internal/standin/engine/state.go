package engine

import (
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// maxEvents bounds the cache events an engine keeps; a reader that is further behind sees a gap.
const maxEvents = 8192

// eventLog keeps cache events in the order of their numbers. A lost event leaves a gap in the numbers.
type eventLog struct {
	loss     float64
	sequence uint64
	events   []delayedEvent
}

type delayedEvent struct {
	visible time.Time
	event   backend.CacheEvent
}

func (l *eventLog) clear() {
	l.sequence = 0
	l.events = nil
}

func (l *eventLog) add(visible time.Time, block uint64, removed, lost bool) {
	l.sequence++
	if lost {
		return
	}
	if len(l.events) >= 2*maxEvents {
		l.events = append(l.events[:0], l.events[maxEvents:]...)
	}
	l.events = append(l.events, delayedEvent{visible, backend.CacheEvent{Sequence: l.sequence, Block: block, Removed: removed}})
}

func (l *eventLog) after(sequence uint64, now time.Time) []backend.CacheEvent {
	first := sort.Search(len(l.events), func(i int) bool { return l.events[i].event.Sequence > sequence })
	out := []backend.CacheEvent{}
	for _, e := range l.events[first:] {
		if e.visible.After(now) {
			break
		}
		out = append(out, e.event)
	}
	return out
}

// loadSamplesPerLag is how many samples of the load are kept per lag time.
const loadSamplesPerLag = 8

// loadHistory keeps samples of the load, so that reports can lag.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load backend.Load
}

// recordLoad takes a sample when the last one is old enough, or when forced.
func (e *Engine) recordLoad(now time.Time, force bool) {
	h := &e.loads
	if e.options.LoadLag == 0 {
		return
	}
	last := len(h.samples) - 1
	if last >= 0 && !force && now.Sub(h.samples[last].at) < e.options.LoadLag/loadSamplesPerLag {
		return
	}
	h.samples = append(h.samples, loadSample{now, e.currentLoad(now)})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= e.options.LoadLag {
		h.samples = h.samples[1:]
	}
}

func (e *Engine) reportedLoad(now time.Time) backend.Load {
	if e.options.LoadLag == 0 {
		return e.currentLoad(now)
	}
	e.recordLoad(now, false)
	samples := e.loads.samples
	for len(samples) > 1 && now.Sub(samples[1].at) >= e.options.LoadLag {
		samples = samples[1:]
	}
	return samples[0].load
}

func (e *Engine) currentLoad(now time.Time) backend.Load {
	load := backend.Load{
		Running:           uint32(len(e.running)),
		Waiting:           uint32(len(e.waiting)),
		CachePercent:      e.cache.percent(),
		StepMicros:        uint32(e.stepTime.Microseconds()),
		StartedUnixMillis: e.started,
	}
	for _, s := range e.running {
		load.PrefillTokens += uint32(s.prefill)
	}
	for _, s := range e.waiting {
		load.PrefillTokens += uint32(s.prompt + len(s.request.Resume))
	}
	for name, m := range e.models {
		if now.Before(m.ready) {
			continue
		}
		load.Models = append(load.Models, name)
		for adapter := range m.adapters {
			load.Adapters = append(load.Adapters, name+":"+adapter)
		}
	}
	slices.Sort(load.Models)
	slices.Sort(load.Adapters)
	return load
}

type loadedModel struct {
	version  string
	ready    time.Time
	adapters map[string]bool
}

func (e *Engine) loadModel(model, version string, loadTime time.Duration) {
	if m := e.models[model]; m != nil && m.version == version {
		return
	}
	e.models[model] = &loadedModel{version: version, ready: time.Now().Add(loadTime), adapters: map[string]bool{}}
}

func (e *Engine) loadAdapter(model, adapter string) bool {
	m := e.models[model]
	if m == nil {
		return false
	}
	if adapter != "" {
		m.adapters[adapter] = true
	}
	return true
}

func (e *Engine) serves(model, adapter string, now time.Time) bool {
	m := e.models[model]
	return m != nil && !now.Before(m.ready) && (adapter == "" || m.adapters[adapter])
}

var (
	errStaleFencing = errors.New("fencing number is stale")
	errUnknownOrder = errors.New("unknown kind of order")
)

// order puts an order into force. Requests that run already are not affected by an unload or a change of role.
func (e *Engine) order(o backend.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && o.Fencing < e.fencing {
		e.stats.StaleOrders++
		return errStaleFencing
	}
	e.fencing = max(e.fencing, o.Fencing)
	switch o.Kind {
	case backend.LoadModel:
		e.loadModel(o.Model, o.Version, e.options.LoadTime)
	case backend.LoadAdapter:
		if !e.loadAdapter(o.Model, o.Adapter) {
			return refusal("model of the adapter is not loaded")
		}
	case backend.Unload:
		e.unload(o)
	case backend.SetRole:
		e.role = o.Role
	default:
		return errUnknownOrder
	}
	e.stats.Orders++
	e.recordLoad(time.Now(), true)
	return nil
}

// unload removes an adapter, or a model when no adapter is named. An order for another version than the loaded one
// is out of date and does nothing.
func (e *Engine) unload(o backend.Order) {
	m := e.models[o.Model]
	switch {
	case m == nil:
	case o.Adapter != "":
		delete(m.adapters, o.Adapter)
	case o.Version == "" || o.Version == m.version:
		delete(e.models, o.Model)
	}
}

// exportedKV describes the KV cache of a request. A real one has the tensors; here the digest of the request and
// the number of tokens are enough.
type exportedKV struct {
	ID     string `json:"id"`
	Digest uint64 `json:"digest"`
	Tokens int    `json:"tokens"`
}

type importedKV struct {
	exportedKV
	expires time.Time
}

func (e *Engine) exportKV(id string) (exportedKV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil || !s.active || s.prefill > 0 {
		return exportedKV{}, false
	}
	e.stats.KVExports++
	return exportedKV{ID: id, Digest: s.answer.digest, Tokens: s.prompt + int(s.position.Load())}, true
}

func (e *Engine) importKV(id string, kv exportedKV) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireImports(time.Now())
	if old := e.imports[id]; old != nil {
		e.cache.private -= old.Tokens
		delete(e.imports, id)
	}
	if !e.cache.fits(kv.Tokens) {
		return refusal("no memory for the KV cache")
	}
	e.imports[id] = &importedKV{kv, time.Now().Add(importLifetime)}
	e.cache.grow(kv.Tokens)
	e.stats.KVImports++
	return nil
}

func (e *Engine) expireImports(now time.Time) {
	for id, kv := range e.imports {
		if now.After(kv.expires) {
			e.cache.private -= kv.Tokens
			delete(e.imports, id)
		}
	}
}

// Stats counts the work of an engine since New, over restarts.
type Stats struct {
	Runs            uint64 `json:"runs"` // requests that entered the batch
	Cancelled       uint64 `json:"cancelled"`
	Crashes         uint64 `json:"crashes"`
	CachedTokens    uint64 `json:"cached_tokens"`
	PrefilledTokens uint64 `json:"prefilled_tokens"`
	GeneratedTokens uint64 `json:"generated_tokens"`
	// RecomputedTokens are those that were prefilled or generated again because an attempt lost its position.
	RecomputedTokens uint64 `json:"recomputed_tokens"`
	// ServedTokens were written to a caller.
	ServedTokens uint64 `json:"served_tokens"`
	Orders       uint64 `json:"orders"`
	StaleOrders  uint64 `json:"stale_orders"`
	KVExports    uint64 `json:"kv_exports"`
	KVImports    uint64 `json:"kv_imports"`
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.ServedTokens = e.served.Load()
	return stats
}

// Running returns the number of sequences in the batch at present, without the lag of load reports.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

func (e *Engine) countPrefill(s *sequence, tokens int) {
	s.done += tokens
	e.stats.PrefilledTokens += uint64(tokens)
	switch {
	case e.options.Tracker == nil && s.request.Attempt > 1:
		e.stats.RecomputedTokens += uint64(tokens)
	case e.options.Tracker != nil:
		// Tokens are computed in order, so those below the earlier attempts' count are computed again.
		before := s.cached + s.done - tokens
		e.stats.RecomputedTokens += uint64(max(0, min(s.cached+s.done, s.record.computed)-before))
	}
}

func (e *Engine) countGenerated(s *sequence, position uint32) {
	e.stats.GeneratedTokens++
	if position < s.record.generated {
		e.stats.RecomputedTokens++
	}
}

// maxProgressRecords bounds the memory of a RecomputeTracker.
const maxProgressRecords = 1 << 17

// RecomputeTracker remembers how far any engine got with each response. Engines of one process share it, to count recomputed
// tokens. A nil RecomputeTracker remembers nothing.
type RecomputeTracker struct {
	mu      sync.Mutex
	records map[string]progressRecord
	order   []string // oldest first
}

// progressRecord has the tokens of prompt and resume that an attempt has computed, and the position it reached.
type progressRecord struct {
	computed  int
	generated uint32
}

// NewRecomputeTracker returns an empty tracker.
func NewRecomputeTracker() *RecomputeTracker {
	return &RecomputeTracker{records: map[string]progressRecord{}}
}

func (l *RecomputeTracker) attempt(id string) progressRecord {
	if l == nil {
		return progressRecord{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[id]
}

func (l *RecomputeTracker) note(id string, computed int, generated uint32) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.records[id]
	if !known {
		if len(l.order) >= maxProgressRecords {
			delete(l.records, l.order[0])
			l.order = l.order[1:]
		}
		l.order = append(l.order, id)
	}
	l.records[id] = progressRecord{max(old.computed, computed), max(old.generated, generated)}
}
