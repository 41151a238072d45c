package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

const (
	// The ring of recent sends covers 64 x 64 ms, longer than any load report lags in normal operation.
	ringSlots      = 64
	ringSlotMillis = 64

	learnRate  = 0.1
	minBias    = 0.5
	maxBias    = 4.0
	minTrust   = 0.1
	failureHit = 1.5 // factor on the latency estimate per refusal or failure
	// A decode step grows by about 1.5% per further request in the batch until reports show the server's own slope.
	defaultStepGrowth = 0.015
)

// ringSlot counts requests that this node sent, less those that ended, within one slot of time.
type ringSlot struct {
	epoch    int64
	requests int32
}

// state is the mutable record of one server.
type state struct {
	number     uint32
	generation atomic.Uint32 // changes when the server restarts, which empties its cache

	inflight atomic.Int32 // requests of this node
	isolated atomic.Int32

	// The last report.
	queued  atomic.Int32  // running and waiting
	batch   atomic.Int32  // running while others waited: what the server runs at a time; 0 means unknown
	step    atomic.Uint64 // seconds, float64 bits
	growth  atomic.Uint64 // seconds per further request in the batch, float64 bits
	started atomic.Int64

	// extra counts what this node sent since the last report.
	extra atomic.Int32

	bias  atomic.Uint64 // observed first token over expected first token, float64 bits
	trust atomic.Uint64 // observed cached tokens over expected cached tokens, float64 bits

	mu       sync.Mutex
	ring     [ringSlots]ringSlot
	reportAt int64 // Unix milliseconds
	fit      stepFit

	cacheMu  sync.Mutex
	sequence uint64
	synced   bool
	// suspectBefore discounts hints up to this tick; see ObserveCache.
	suspectBefore atomic.Uint32
}

func loadFloat(a *atomic.Uint64) float64     { return math.Float64frombits(a.Load()) }
func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

func newState(number, generation uint32) *state {
	st := &state{number: number}
	st.generation.Store(generation)
	storeFloat(&st.step, defaultStep.Seconds())
	storeFloat(&st.growth, defaultStep.Seconds()*defaultStepGrowth)
	storeFloat(&st.bias, 1)
	storeFloat(&st.trust, 1)
	return st
}

// add counts sent (positive) or ended (negative) requests.
func (st *state) add(now int64, requests int32) {
	epoch := now / ringSlotMillis
	st.mu.Lock()
	slot := &st.ring[epoch%ringSlots]
	if slot.epoch != epoch {
		*slot = ringSlot{epoch: epoch}
	}
	slot.requests += requests
	st.extra.Add(requests)
	st.mu.Unlock()
}

// report takes a load report made at a time. Reports older than the last one are dropped.
func (st *state) report(load backend.Load, at time.Time) {
	millis := at.UnixMilli()
	st.mu.Lock()
	defer st.mu.Unlock()
	if at.IsZero() || millis <= st.reportAt {
		return
	}
	st.reportAt = millis
	if old := st.started.Swap(load.StartedUnixMillis); old != 0 && old != load.StartedUnixMillis {
		st.generation.Add(1)
		storeFloat(&st.trust, 1)
	}
	st.queued.Store(int32(load.Running + load.Waiting))
	if load.Waiting > 0 && load.Running > 0 {
		st.batch.Store(int32(load.Running))
	}
	if load.StepMicros > 0 {
		step := float64(load.StepMicros) / 1e6
		storeFloat(&st.step, step)
		storeFloat(&st.growth, st.fit.slope(float64(load.Running), step))
	}
	var requests int32
	for i := range st.ring {
		// A slot that began before the report may hold work the report counts already; half a slot is the error.
		if st.ring[i].epoch > millis/ringSlotMillis {
			requests += st.ring[i].requests
		}
	}
	st.extra.Store(requests)
}

// learn adjusts the estimates by a finished request.
func (st *state) learn(p *Pick, result Result) {
	switch result.Outcome {
	case Refused, Failed:
		storeFloat(&st.bias, min(maxBias, loadFloat(&st.bias)*failureHit))
		return
	case Cancelled:
		return
	}
	if result.FirstToken > 0 && p.ExpectedFirstToken > 0 {
		// The expectation includes the bias, so the quotient corrects it.
		bias := loadFloat(&st.bias)
		ratio := result.FirstToken.Seconds() / p.ExpectedFirstToken.Seconds()
		target := min(maxBias, max(minBias, bias*ratio))
		storeFloat(&st.bias, bias+learnRate*(target-bias))
	}
	if p.home < 0 {
		learnTrust(&st.trust, p, result)
	}
}

func (r *Router) learnHome(p *Pick, result Result) {
	if p.home >= 0 && result.Outcome == Succeeded {
		learnTrust(&r.homeTrust[p.home], p, result)
	}
}

func learnTrust(trust *atomic.Uint64, p *Pick, result Result) {
	if result.PromptTokens == 0 || p.hinted == 0 {
		return
	}
	old := loadFloat(trust)
	seen := min(1, float64(result.CachedTokens)/float64(p.hinted))
	storeFloat(trust, max(minTrust, old+learnRate*(seen-old)))
}

// stepFit estimates how a decode step grows with the batch, by a regression over recent reports.
type stepFit struct {
	weight, x, y, xx, xy float64
}

func (f *stepFit) slope(running, step float64) float64 {
	const keep = 0.95
	f.weight = keep*f.weight + 1
	f.x = keep*f.x + running
	f.y = keep*f.y + step
	f.xx = keep*f.xx + running*running
	f.xy = keep*f.xy + running*step
	meanX, meanY := f.x/f.weight, f.y/f.weight
	variance := f.xx/f.weight - meanX*meanX
	covariance := f.xy/f.weight - meanX*meanY
	fallback := step * defaultStepGrowth
	if variance < 1 || covariance <= 0 {
		return fallback
	}
	// Noise must not make a batch look free or unaffordable.
	return min(4*fallback, max(fallback/4, covariance/variance))
}
