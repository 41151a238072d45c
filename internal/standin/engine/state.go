package engine

import (
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// maxEvents bounds the cache events that an event log retains: with 2*maxEvents events it drops the oldest maxEvents
// before it adds the next one. A reader that has not read the dropped events sees a gap.
const maxEvents = 8192

// eventLog has the recent cache events in order of their sequence numbers. A lost event leaves a gap in the numbers.
type eventLog struct {
	loss     float64
	sequence uint64
	events   []delayedEvent
}

type delayedEvent struct {
	visibleAt time.Time
	event     backend.CacheEvent
}

func (l *eventLog) clear() {
	l.sequence = 0
	l.events = nil
}

func (l *eventLog) add(visibleAt time.Time, block uint64, removed, lost bool) {
	l.sequence++
	if lost {
		return
	}
	if len(l.events) >= 2*maxEvents {
		l.events = append(l.events[:0], l.events[maxEvents:]...)
	}
	l.events = append(l.events, delayedEvent{visibleAt, backend.CacheEvent{Sequence: l.sequence, Block: block, Removed: removed}})
}

func (l *eventLog) after(sequence uint64, now time.Time) []backend.CacheEvent {
	first := sort.Search(len(l.events), func(i int) bool { return l.events[i].event.Sequence > sequence })
	out := []backend.CacheEvent{}
	for _, e := range l.events[first:] {
		if e.visibleAt.After(now) {
			break
		}
		out = append(out, e.event)
	}
	return out
}

// loadSamplesPerLag is the maximum number of load samples taken during LoadLag, apart from forced ones.
const loadSamplesPerLag = 8

// loadHistory has the recent load samples, from which delayed reports are made.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load backend.Load
}

// recordLoad adds a sample if the last one is old enough or if force is set.
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
		load.PrefillTokens += uint32(s.remainingPrefill)
	}
	for _, s := range e.waiting {
		load.PrefillTokens += uint32(s.promptTokens + len(s.request.Resume))
	}
	for name, m := range e.models {
		if now.Before(m.readyAt) {
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
	readyAt  time.Time
	adapters map[string]bool
}

func (e *Engine) loadModel(model, version string, loadTime time.Duration) {
	if m := e.models[model]; m != nil && m.version == version {
		return
	}
	e.models[model] = &loadedModel{version: version, readyAt: time.Now().Add(loadTime), adapters: map[string]bool{}}
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
	return m != nil && !now.Before(m.readyAt) && (adapter == "" || m.adapters[adapter])
}

var (
	errStaleFencing = errors.New("fencing number is stale")
	errUnknownOrder = errors.New("unknown kind of order")
)

// order executes an order. Requests that are already running are not affected by an unload or a change of role.
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

// unload removes an adapter, or a model if no adapter is named. An order for another version than the loaded one
// is out of date and ignored.
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

// exportedKV describes the KV cache of a request. In place of the tensors that a real engine exports it has only the
// digest of the request and the number of tokens.
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
	if s == nil || !s.active || s.remainingPrefill > 0 {
		return exportedKV{}, false
	}
	e.stats.KVExports++
	return exportedKV{ID: id, Digest: s.response.digest, Tokens: s.promptTokens + int(s.position.Load())}, true
}

func (e *Engine) importKV(id string, kv exportedKV) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireImports(time.Now())
	if old := e.imports[id]; old != nil {
		e.cache.privateTokens -= old.Tokens
		delete(e.imports, id)
	}
	if !e.cache.fits(kv.Tokens) {
		return refusal("no memory for the KV cache")
	}
	e.imports[id] = &importedKV{kv, time.Now().Add(importLifetime)}
	e.cache.addPrivate(kv.Tokens)
	e.stats.KVImports++
	return nil
}

func (e *Engine) expireImports(now time.Time) {
	for id, kv := range e.imports {
		if now.After(kv.expires) {
			e.cache.privateTokens -= kv.Tokens
			delete(e.imports, id)
		}
	}
}

// Stats has the counters of an engine since New, across restarts.
type Stats struct {
	Runs            uint64 `json:"runs"` // requests that entered the batch
	Cancelled       uint64 `json:"cancelled"`
	Crashes         uint64 `json:"crashes"`
	CachedTokens    uint64 `json:"cached_tokens"`
	PrefilledTokens uint64 `json:"prefilled_tokens"`
	GeneratedTokens uint64 `json:"generated_tokens"`
	// RecomputedTokens were prefilled or generated again because the progress of an earlier attempt was lost.
	RecomputedTokens uint64 `json:"recomputed_tokens"`
	// ServedTokens were written to a client.
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
	stats.ServedTokens = e.servedTokens.Load()
	return stats
}

// Running returns the current number of sequences in the batch, without the delay of load reports.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

func (e *Engine) countPrefill(s *sequence, tokens int) {
	s.prefilledTokens += tokens
	e.stats.PrefilledTokens += uint64(tokens)
	switch {
	case e.options.Tracker == nil && s.request.Attempt > 1:
		e.stats.RecomputedTokens += uint64(tokens)
	case e.options.Tracker != nil:
		// Tokens are computed in order, so those below the count of earlier attempts are recomputed.
		before := s.cachedTokens + s.prefilledTokens - tokens
		e.stats.RecomputedTokens += uint64(max(0, min(s.cachedTokens+s.prefilledTokens, s.earlierProgress.computed)-before))
	}
}

func (e *Engine) countGenerated(s *sequence, position uint32) {
	e.stats.GeneratedTokens++
	if position < s.earlierProgress.generated {
		e.stats.RecomputedTokens++
	}
}

// maxProgressRecords bounds the memory of a RecomputeTracker.
const maxProgressRecords = 1 << 17

// RecomputeTracker has the furthest progress of any engine with each response. The engines of one process share it to
// count recomputed tokens. A nil RecomputeTracker records nothing.
type RecomputeTracker struct {
	mu      sync.Mutex
	records map[string]progressRecord
	order   []string // oldest first
}

// progressRecord is the number of leading tokens of prompt and response that attempts have computed, and the response
// position that they reached.
type progressRecord struct {
	computed  int
	generated uint32
}

// NewRecomputeTracker returns an empty tracker.
func NewRecomputeTracker() *RecomputeTracker {
	return &RecomputeTracker{records: map[string]progressRecord{}}
}

func (t *RecomputeTracker) progress(id string) progressRecord {
	if t == nil {
		return progressRecord{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[id]
}

func (t *RecomputeTracker) record(id string, computed int, generated uint32) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.records[id]
	if !ok {
		if len(t.order) >= maxProgressRecords {
			delete(t.records, t.order[0])
			t.order = t.order[1:]
		}
		t.order = append(t.order, id)
	}
	t.records[id] = progressRecord{max(old.computed, computed), max(old.generated, generated)}
}
