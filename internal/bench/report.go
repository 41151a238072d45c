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
	// FirstToken counts from the intended start; for answers that come in one piece it is the whole answer.
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

	// Refusals count tries, not requests; connection_broken counts tries without an answer.
	Refusals map[string]int         `json:"refusals"`
	Classes  map[string]ClassReport `json:"classes"`
	// RefusalTimes are the times to a refusal of non-repeatable calls.
	RefusalTimes map[string]Quantiles `json:"refusal_times,omitempty"`

	TokensReceived   int     `json:"tokens_received"`
	TokensGenerated  uint64  `json:"tokens_generated"`
	TokensPrefilled  uint64  `json:"tokens_prefilled"`
	TokensCached     uint64  `json:"tokens_cached"`
	TokensRecomputed uint64  `json:"tokens_recomputed"`
	KVMoves          uint64  `json:"kv_moves"`
	CostMicros       uint64  `json:"cost_micros"`
	CostPerMillion   float64 `json:"cost_per_million_tokens"`

	// Figures are those of one scenario.
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
		TokensReceived:  rec.received,
		Figures:         map[string]float64{},
		Timeline:        rec.timeline,
		Examples:        rec.examples,
	}
	for name, c := range rec.classes {
		out.addClass(name, c)
	}
	for name, h := range rec.refusedMs {
		out.RefusalTimes[name] = quantiles(h)
	}
	out.judge()
	return out
}

func (r *Report) addClass(name string, c *classRecord) {
	r.Requests += c.requests
	r.Accepted += c.accepted
	r.Complete += c.complete
	r.Exact += c.exact
	r.Classes[name] = ClassReport{c.requests, c.accepted, c.complete, c.exact, quantiles(c.first), quantiles(c.gaps)}
}

func (r *Report) addTokens(before, after *stats) {
	a, b := before.total(), after.total()
	r.TokensGenerated = b.GeneratedTokens - a.GeneratedTokens
	r.TokensPrefilled = b.PrefilledTokens - a.PrefilledTokens
	r.TokensCached = b.CachedTokens - a.CachedTokens
	r.TokensRecomputed = b.RecomputedTokens - a.RecomputedTokens
	r.KVMoves = b.KVImports - a.KVImports
	r.CostMicros = after.CostMicros - before.CostMicros
	if r.TokensReceived > 0 {
		// Micros per token are units per million tokens.
		r.CostPerMillion = float64(r.CostMicros) / float64(r.TokensReceived)
	}
}

func (r *Report) addRuns(claims []claim, runs map[string][]string) {
	repeated, wrong := checkRuns(claims, runs)
	r.Repeated, r.WrongRan, r.RunsChecked = len(repeated), len(wrong), true
	for _, text := range append(repeated, wrong...) {
		if len(r.Examples) < maxExamples {
			r.Examples = append(r.Examples, text)
		}
	}
}

// judge lists the promises that every load must keep.
func (r *Report) judge() {
	r.Broken = nil
	r.breaks(r.Accepted-r.Complete, "accepted requests without a complete answer")
	r.breaks(r.Complete-r.Exact, "complete answers that differ from the expected one")
	r.breaks(r.Repeated, "non-repeatable calls that ran more than once")
	r.breaks(r.WrongRan, "wrong values of ran")
}

// breaks notes a broken promise when the count is not zero.
func (r *Report) breaks(count int, what string) {
	if count != 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%d %s", count, what))
	}
}

// Line is the report in one line.
func (r *Report) Line() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s mix=%s seed=%d requests=%d accepted=%d complete=%d exact=%d repeated=%s wrong_ran=%s recomputed=%d generated=%d resumes=%d redirects=%d dropped=%d",
		r.Name, r.Mix, r.Seed, r.Requests, r.Accepted, r.Complete, r.Exact, r.checked(r.Repeated), r.checked(r.WrongRan),
		r.TokensRecomputed, r.TokensGenerated, r.Resumes, r.Redirects, r.Dropped)
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(&out, " %s=%.4g", name, r.Figures[name])
	}
	if len(r.Broken) > 0 {
		fmt.Fprintf(&out, " BROKEN: %s", strings.Join(r.Broken, "; "))
	}
	return out.String()
}

// checked is the count, or a mark that there was no run log to compare with.
func (r *Report) checked(count int) string {
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

// ReadJSON reads a report.
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
