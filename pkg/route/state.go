package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

const (
	// The ring buffer of recent sends covers 64 x 64 ms, which exceeds the lag of load reports in normal operation.
	sendSlots      = 64
	sendSlotMillis = 64

	smoothing     = 0.1 // weight of a new result in the moving averages
	minBias       = 0.5
	maxBias       = 4.0
	minAccuracy   = 0.1
	failureFactor = 1.5 // factor on the latency estimate per refusal or failure
	// defaultStepGrowth is the assumed growth of a decode step per further request in the batch, relative to the step:
	// about 1.5% until reports show the server's own slope.
	defaultStepGrowth = 0.015
)

// sendSlot counts the requests that this node sent, minus those that ended, within one time slot.
type sendSlot struct {
	epoch    int64
	requests int32
}

// state is the mutable record of one server.
type state struct {
	number     uint32        // identifies the server in hints; reused after it is gone
	generation atomic.Uint32 // changes when the server restarts, which empties its cache, and on ResyncCache

	inflight atomic.Int32 // requests of this node
	isolated atomic.Int32 // 1 while an isolated request of this node runs

	// From the last load report.
	queued  atomic.Int32  // running and waiting requests
	batch   atomic.Int32  // running requests while others waited, that is, the batch size; 0 means unknown
	step    atomic.Uint64 // duration of a decode step in seconds, float64 bits
	growth  atomic.Uint64 // seconds per further request in the batch, float64 bits
	started atomic.Int64  // Unix milliseconds

	// unreported counts the requests that this node sent since the last report, minus those that ended since.
	unreported atomic.Int32

	bias         atomic.Uint64 // observed over expected time to the first token, moving average, float64 bits
	hintAccuracy atomic.Uint64 // observed over expected cached tokens, moving average, float64 bits

	mu       sync.Mutex
	sends    [sendSlots]sendSlot
	reportAt int64 // Unix milliseconds
	fit      stepFit

	cacheMu  sync.Mutex
	sequence uint64 // of the last cache event
	synced   bool   // sequence is valid
	// staleBefore is the tick up to which hints are discounted; see ObserveCache.
	staleBefore atomic.Uint32
}

func loadFloat(a *atomic.Uint64) float64     { return math.Float64frombits(a.Load()) }
func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

func newState(number, generation uint32) *state {
	st := &state{number: number}
	st.generation.Store(generation)
	storeFloat(&st.step, defaultStep.Seconds())
	storeFloat(&st.growth, defaultStep.Seconds()*defaultStepGrowth)
	storeFloat(&st.bias, 1)
	storeFloat(&st.hintAccuracy, 1)
	return st
}

// countSent counts requests that were sent (positive) or ended (negative).
func (st *state) countSent(now int64, requests int32) {
	epoch := now / sendSlotMillis
	st.mu.Lock()
	slot := &st.sends[epoch%sendSlots]
	if slot.epoch != epoch {
		*slot = sendSlot{epoch: epoch}
	}
	slot.requests += requests
	st.unreported.Add(requests)
	st.mu.Unlock()
}

// applyReport applies a load report that was made at the given time. A report not newer than the last one is dropped.
func (st *state) applyReport(load backend.Load, at time.Time) {
	millis := at.UnixMilli()
	st.mu.Lock()
	defer st.mu.Unlock()
	if at.IsZero() || millis <= st.reportAt {
		return
	}
	st.reportAt = millis
	if old := st.started.Swap(load.StartedUnixMillis); old != 0 && old != load.StartedUnixMillis {
		st.generation.Add(1)
		storeFloat(&st.hintAccuracy, 1)
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
	for i := range st.sends {
		// A slot that began before the report may hold requests that the report includes. Leaving it out is wrong by
		// half a slot on average.
		if st.sends[i].epoch > millis/sendSlotMillis {
			requests += st.sends[i].requests
		}
	}
	st.unreported.Store(requests)
}

// update updates the estimates with the result of a finished request.
func (st *state) update(p *Pick, result Result) {
	switch result.Outcome {
	case Refused, Failed:
		storeFloat(&st.bias, min(maxBias, loadFloat(&st.bias)*failureFactor))
		return
	case Cancelled:
		return
	}
	if result.FirstToken > 0 && p.ExpectedFirstToken > 0 {
		// The expected time includes the bias, so the ratio is relative to it.
		bias := loadFloat(&st.bias)
		ratio := result.FirstToken.Seconds() / p.ExpectedFirstToken.Seconds()
		target := min(maxBias, max(minBias, bias*ratio))
		storeFloat(&st.bias, bias+smoothing*(target-bias))
	}
	if p.homeDepthIndex < 0 {
		updateAccuracy(&st.hintAccuracy, p, result)
	}
}

func (r *Router) updateHomeAccuracy(p *Pick, result Result) {
	if p.homeDepthIndex >= 0 && result.Outcome == Succeeded {
		updateAccuracy(&r.homeAccuracy[p.homeDepthIndex], p, result)
	}
}

func updateAccuracy(accuracy *atomic.Uint64, p *Pick, result Result) {
	if result.PromptTokens == 0 || p.hintedTokens == 0 {
		return
	}
	old := loadFloat(accuracy)
	observed := min(1, float64(result.CachedTokens)/float64(p.hintedTokens))
	storeFloat(accuracy, max(minAccuracy, old+smoothing*(observed-old)))
}

// stepFit estimates the growth of a decode step with the batch size, by a linear regression over recent reports with
// exponentially decaying weights.
type stepFit struct {
	weight, x, y, xx, xy float64
}

// slope adds a report and returns the growth of the step, in seconds per request of the batch.
func (f *stepFit) slope(running, step float64) float64 {
	const decay = 0.95
	f.weight = decay*f.weight + 1
	f.x = decay*f.x + running
	f.y = decay*f.y + step
	f.xx = decay*f.xx + running*running
	f.xy = decay*f.xy + running*step
	meanX, meanY := f.x/f.weight, f.y/f.weight
	variance := f.xx/f.weight - meanX*meanX
	covariance := f.xy/f.weight - meanX*meanY
	fallback := step * defaultStepGrowth
	if variance < 1 || covariance <= 0 {
		return fallback
	}
	// The bounds keep noise from giving a slope near zero or far too steep.
	return min(4*fallback, max(fallback/4, covariance/variance))
}
