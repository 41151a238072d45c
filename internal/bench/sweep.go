package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/devcluster"
	"github.com/pollenlug/pollenlug/pkg/route"
)

// Engines of the sweep. They are slow enough that the load generator and the entry nodes, which share the machine with
// them, are not the bottleneck, and their caches cannot hold all prefixes.
const (
	sweepEngines         = 8
	sweepDecodeStep      = 20 * time.Millisecond
	sweepStepPerSequence = 500 * time.Microsecond
	sweepMaxBatch        = 16
	sweepPrefillRate     = 8000 // tokens per second
	sweepCacheTokens     = 24_000
	sweepTimeout         = time.Minute
	// sweepResponseTokens shortens the responses of windwijzer so that a run of some seconds reaches a steady state.
	sweepResponseTokens = 160
)

// Latency targets of the built-in folder at the 95th percentile, in milliseconds.
const (
	targetFirstMs   = 420
	targetBetweenMs = 37
)

var (
	sweepPolicies = []route.Policy{route.RoundRobin, route.LeastLoaded, route.PrefixOnly, route.CostAware}
	// SweepLoads has the default loads of a sweep, in percent of capacity.
	SweepLoads = []int{50, 80, 100}
)

// SweepOptions configures a sweep over the routing policies.
type SweepOptions struct {
	Seed uint64
	// Duration is the duration of each run.
	Duration time.Duration
	// Loads are in percent of capacity; empty means SweepLoads.
	Loads []int
}

// Sweep has the reports of a sweep, in the order of the runs.
type Sweep struct {
	Runs []SweepRun `json:"runs"`
}

// SweepRun is one run of a sweep.
type SweepRun struct {
	Policy  string    `json:"policy"`
	Percent int       `json:"percent_of_capacity"`
	First   Quantiles `json:"first_token"`
	Between Quantiles `json:"between_tokens"`
	Report  *Report   `json:"report"`
}

// WriteJSON writes all reports to a file.
func (s *Sweep) WriteJSON(path string) error { return writeJSON(path, s) }

// RunSweep runs both mixes at each load, by default 50, 80 and 100% of capacity, with each routing policy. It prints a
// table to out and a line for each run to progress. The fleet is the same in all runs, so the cost per token differs
// only by the number of received tokens.
func RunSweep(ctx context.Context, opts SweepOptions, out, progress io.Writer) (*Sweep, error) {
	sweep := &Sweep{}
	if len(opts.Loads) == 0 {
		opts.Loads = SweepLoads
	}
	for _, mix := range []string{Windwijzer, Oleaje} {
		for _, load := range opts.Loads {
			for _, policy := range sweepPolicies {
				run, err := runSweepPoint(ctx, opts, mix, load, policy)
				if err != nil {
					return nil, err
				}
				sweep.Runs = append(sweep.Runs, *run)
				fmt.Fprintf(progress, "%d%% %s: %s\n", run.Percent, run.Policy, run.Report.Line())
			}
		}
	}
	sweep.print(out)
	return sweep, nil
}

func runSweepPoint(ctx context.Context, opts SweepOptions, mix string, percent int, policy route.Policy) (*SweepRun, error) {
	tb, err := startTestbed(devcluster.Options{
		Seed:   opts.Seed,
		Policy: string(policy),
		Tune:   engineSpeed(sweepDecodeStep, sweepStepPerSequence, sweepMaxBatch, sweepPrefillRate, sweepCacheTokens),
	})
	if err != nil {
		return nil, err
	}
	defer tb.stop()
	if err := tb.setBatchSize(ctx); err != nil {
		return nil, err
	}
	load := tb.loadOptions(mix, 0, opts.Duration, opts.Seed)
	if mix == Windwijzer {
		load.LongAnswers = sweepResponseTokens
	}
	load.Rate = float64(percent) / 100 * capacity(load)
	load.Patience = sweepTimeout
	run, report, err := tb.runLoad(ctx, load, nil)
	if err != nil {
		return nil, err
	}
	report.Name, report.Policy = "sweep", string(policy)
	first, between := run.rec.streamLatencies()
	return &SweepRun{string(policy), percent, first, between, report}, nil
}

// sweepBackendGroup is a file of the operators' folder that tells the router how many requests an engine of the sweep
// runs concurrently.
const sweepBackendGroup = `{"backend_groups":[{"name":"assistant","override":true,"kind":"MODEL_ENGINE","checks_fencing":true,` +
	`"instance_classes":["gpu"],"min_servers":1,"concurrency":%d}]}`

// sweepConfigWait is how long the nodes have to apply the edited folder.
const sweepConfigWait = 3 * time.Second

// setBatchSize edits the folder to set the batch size of the engines as their concurrency.
func (tb *testbed) setBatchSize(ctx context.Context) error {
	req := devcluster.FaultRequest{File: "25-sweep.json", Content: fmt.Sprintf(sweepBackendGroup, sweepMaxBatch)}
	if err := callFaultAPI(ctx, http.MethodPost, tb.faultAddr, "/folder", req, nil); err != nil {
		return err
	}
	clock.Sleep(ctx, sweepConfigWait)
	return tb.verifyBatchSize()
}

// verifyBatchSize returns an error if the edit is not in force on every node.
func (tb *testbed) verifyBatchSize() error {
	for i := range testbedNodes {
		group, ok := tb.cluster.Node(i).Config().Group("assistant")
		if !ok || group.Concurrency != sweepMaxBatch {
			return fmt.Errorf("bench: batch size is not in force on entry node %d", i+1)
		}
	}
	return nil
}

// streamLatencies merges the latencies of all classes with streamed responses.
func (r *recorder) streamLatencies() (first, between Quantiles) {
	r.mu.Lock()
	defer r.mu.Unlock()
	firstToken, tokenGaps := newHistogram(), newHistogram()
	for _, c := range r.classes {
		if c.tokenGaps.TotalCount() > 0 {
			firstToken.Merge(c.firstToken)
			tokenGaps.Merge(c.tokenGaps)
		}
	}
	return quantiles(firstToken), quantiles(tokenGaps)
}

// capacity returns the arrivals per second of a load that all engines together can serve with full batches if the long
// prefixes are cached. A request costs its share of the decode steps and the prefill of its uncached tokens.
func capacity(opts Options) float64 {
	const sample = 2000
	src, err := newRequestSource(opts, "")
	if err != nil {
		return 0
	}
	step := sweepDecodeStep + sweepMaxBatch*sweepStepPerSequence
	seconds := 0.0
	for range sample {
		r := src.next()
		if r.wantTokens == nil {
			continue
		}
		seconds += float64(len(r.wantTokens)) * step.Seconds() / sweepMaxBatch
		seconds += float64(uncachedPromptTokens) / sweepPrefillRate
	}
	return sample / seconds * sweepEngines
}

// uncachedPromptTokens is the approximate length of a prompt without its shared prefix.
const uncachedPromptTokens = 20

func (s *Sweep) print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "mix\tload\tpolicy\trate/s\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99 ms\tcost/M\tat target\tprefilled\tcached\trecomputed\taccepted\texact\trefusals\t")
	for _, run := range s.Runs {
		r := run.Report
		fmt.Fprintf(table, "%s\t%d%%\t%s\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t\n",
			r.Mix, run.Percent, run.Policy, r.Rate, run.First.P50, run.First.P95, run.First.P99,
			run.Between.P50, run.Between.P95, run.Between.P99, r.CostPerMillion, run.metTarget(),
			r.TokensPrefilled, r.TokensCached, r.TokensRecomputed, r.Accepted, r.Exact, refusalText(r.Refusals))
	}
	_ = table.Flush()
}

// metTarget returns "yes" if the run met both latency targets and "no" otherwise. Costs are comparable only between
// runs that met them.
func (r *SweepRun) metTarget() string {
	if r.First.P95 <= targetFirstMs && r.Between.P95 <= targetBetweenMs {
		return "yes"
	}
	return "no"
}

func refusalText(refusals map[string]int) string {
	if len(refusals) == 0 {
		return "none"
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(refusals)) {
		out = append(out, fmt.Sprintf("%s=%d", name, refusals[name]))
	}
	return strings.Join(out, ",")
}
