package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{h.TotalCount(), at(50), at(95), at(99), float64(h.Max()) / microsPerMilli}
}

// ClassReport has the figures of one class of requests.
type ClassReport struct {
	Requests int `json:"requests"`
	Accepted int `json:"accepted"`
	Complete int `json:"complete"`
	Exact    int `json:"exact"`
	// FirstToken counts from the intended start; for non-streamed responses it ends with the complete response.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
}

// Report is the result of one load.
type Report struct {
	Name            string   `json:"name"`
	Mix             string   `json:"mix"`
	Policy          string   `json:"policy,omitempty"`
	Seed            uint64   `json:"seed"`
	Rate            float64  `json:"rate"`
	DurationSeconds float64  `json:"duration_seconds"`
	Requests        int      `json:"requests"`
	Dropped         int      `json:"dropped"`
	Accepted        int      `json:"accepted"`
	Complete        int      `json:"complete"`
	Exact           int      `json:"exact"`
	Repeated        int      `json:"repeated"`
	WrongRan        int      `json:"wrong_ran"`
	RunsChecked     bool     `json:"runs_checked"`
	Resumes         int      `json:"resumes"`
	Redirects       int      `json:"redirects"`
	Resends         int      `json:"resends"`
	Broken          []string `json:"broken_promises"`

	// Refusals counts attempts, not requests; connection_broken counts attempts without a response.
	Refusals map[string]int         `json:"refusals"`
	Classes  map[string]ClassReport `json:"classes"`
	// RefusalTimes has the times from sending a non-repeatable call to its refusal, by refusal name.
	RefusalTimes map[string]Quantiles `json:"refusal_times,omitempty"`

	TokensReceived   int     `json:"tokens_received"`
	TokensGenerated  uint64  `json:"tokens_generated"`
	TokensPrefilled  uint64  `json:"tokens_prefilled"`
	TokensCached     uint64  `json:"tokens_cached"`
	TokensRecomputed uint64  `json:"tokens_recomputed"`
	KVMoves          uint64  `json:"kv_moves"`
	CostMicros       uint64  `json:"cost_micros"`
	CostPerMillion   float64 `json:"cost_per_million_tokens"`

	// Figures has the results that are specific to one scenario.
	Figures  map[string]float64 `json:"figures,omitempty"`
	Timeline []second           `json:"timeline"`
	Examples []string           `json:"examples,omitempty"`
	Baseline *Report            `json:"baseline,omitempty"`
}

func newReport(l *loadRun) *Report {
	rec := l.rec
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := &Report{
		Mix:             l.opts.Mix,
		Seed:            l.opts.Seed,
		Rate:            l.opts.Rate,
		DurationSeconds: l.opts.Duration.Seconds(),
		Dropped:         l.dropped,
		Resumes:         rec.resumes,
		Redirects:       rec.redirects,
		Resends:         rec.resends,
		Refusals:        maps.Clone(rec.refusals),
		Classes:         map[string]ClassReport{},
		RefusalTimes:    map[string]Quantiles{},
		TokensReceived:  rec.tokensReceived,
		Figures:         map[string]float64{},
		Timeline:        rec.timeline,
		Examples:        rec.examples,
	}
	for name, c := range rec.classes {
		out.addClass(name, c)
	}
	for name, h := range rec.refusalTimes {
		out.RefusalTimes[name] = quantiles(h)
	}
	out.checkGuarantees()
	return out
}

func (r *Report) addClass(name string, c *classRecord) {
	r.Requests += c.requests
	r.Accepted += c.accepted
	r.Complete += c.complete
	r.Exact += c.exact
	r.Classes[name] = ClassReport{c.requests, c.accepted, c.complete, c.exact, quantiles(c.firstToken), quantiles(c.tokenGaps)}
}

func (r *Report) addTokens(before, after *stats) {
	totalBefore, totalAfter := before.total(), after.total()
	r.TokensGenerated = totalAfter.GeneratedTokens - totalBefore.GeneratedTokens
	r.TokensPrefilled = totalAfter.PrefilledTokens - totalBefore.PrefilledTokens
	r.TokensCached = totalAfter.CachedTokens - totalBefore.CachedTokens
	r.TokensRecomputed = totalAfter.RecomputedTokens - totalBefore.RecomputedTokens
	r.KVMoves = totalAfter.KVImports - totalBefore.KVImports
	r.CostMicros = after.CostMicros - before.CostMicros
	if r.TokensReceived > 0 {
		// Millionths of the currency unit per token equal currency units per million tokens.
		r.CostPerMillion = float64(r.CostMicros) / float64(r.TokensReceived)
	}
}

func (r *Report) addRuns(attempts []callAttempt, runs map[string][]string) {
	repeated, wrong := checkRuns(attempts, runs)
	r.Repeated, r.WrongRan, r.RunsChecked = len(repeated), len(wrong), true
	for _, text := range append(repeated, wrong...) {
		if len(r.Examples) < maxExamples {
			r.Examples = append(r.Examples, text)
		}
	}
}

// checkGuarantees lists the violated guarantees among those that hold for every load.
func (r *Report) checkGuarantees() {
	r.Broken = nil
	r.addViolation(r.Accepted-r.Complete, "accepted requests without a complete response")
	r.addViolation(r.Complete-r.Exact, "complete responses that differ from the expected one")
	r.addViolation(r.Repeated, "non-repeatable calls that ran more than once")
	r.addViolation(r.WrongRan, "wrong values of ran")
}

// addViolation adds a violated guarantee if the count is not zero.
func (r *Report) addViolation(count int, description string) {
	if count != 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%d %s", count, description))
	}
}

// Line returns the report as one line.
func (r *Report) Line() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s mix=%s seed=%d requests=%d accepted=%d complete=%d exact=%d repeated=%s wrong_ran=%s recomputed=%d generated=%d resumes=%d redirects=%d dropped=%d",
		r.Name, r.Mix, r.Seed, r.Requests, r.Accepted, r.Complete, r.Exact, r.checkedCount(r.Repeated), r.checkedCount(r.WrongRan),
		r.TokensRecomputed, r.TokensGenerated, r.Resumes, r.Redirects, r.Dropped)
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(&out, " %s=%.4g", name, r.Figures[name])
	}
	if len(r.Broken) > 0 {
		fmt.Fprintf(&out, " BROKEN: %s", strings.Join(r.Broken, "; "))
	}
	return out.String()
}

// checkedCount returns the count, or "unchecked" if there was no run log to compare with.
func (r *Report) checkedCount(count int) string {
	if !r.RunsChecked {
		return "unchecked"
	}
	return fmt.Sprint(count)
}

// WriteJSON writes the report to a file.
func (r *Report) WriteJSON(path string) error { return writeJSON(path, r) }

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// ReadJSON reads a report from a file.
func ReadJSON(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := &Report{}
	if err := json.Unmarshal(data, out); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return out, nil
}
