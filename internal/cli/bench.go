package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pollenlug/pollenlug/internal/bench"
)

// defaultLoadDuration is the duration of a load unless --duration is given.
const defaultLoadDuration = 30 * time.Second

// benchFlags are the flags of `pollenlug bench`.
type benchFlags struct {
	load         bench.Options
	overhead     bench.OverheadOptions
	sweep        bench.SweepOptions
	jsonPath     string
	htmlPath     string
	scenario     string
	outage       time.Duration
	reportA      string // reports to compare
	reportB      string
	compareMode  bool
	overheadMode bool
	sweepMode    bool
}

func benchCommand() *command {
	c := newCommand("bench", "Puts a bounded load on a deployment, or runs a scenario on its own cluster, and checks the guarantees given to callers.")
	f := &benchFlags{load: bench.Options{Mix: bench.Oleaje, Rate: 20, Duration: defaultLoadDuration, Seed: 1}}
	f.overhead.Streams = bench.DefaultOverheadStreams
	f.register(c.subcommand)
	c.run = func(stdout, stderr io.Writer) int {
		ctx, stop := signalContext()
		defer stop()
		f.load.Entries, f.load.Tokens = splitLists(f.load.Entries), splitLists(f.load.Tokens)
		switch {
		case f.compareMode:
			return f.runCompare(stdout, stderr)
		case f.scenario != "":
			return f.runScenario(ctx, stdout, stderr)
		case f.overheadMode:
			return f.runOverhead(ctx, stdout, stderr)
		case f.sweepMode:
			return f.runSweep(ctx, stdout, stderr)
		default:
			return f.runLoad(ctx, stdout, stderr)
		}
	}
	return c
}

func (f *benchFlags) register(c *flaggy.Subcommand) {
	c.StringSlice(&f.load.Entries, "e", "entry", "Address of an entry node; may be repeated or comma-separated.")
	c.StringSlice(&f.load.Tokens, "t", "token", "Bearer token of a workspace; may be repeated or comma-separated.")
	c.String(&f.load.Mix, "m", "mix", "Mix of requests: windwijzer or oleaje.")
	c.Float64(&f.load.Rate, "r", "rate", "Arrivals per second.")
	c.Duration(&f.load.Duration, "d", "duration", "Duration of the load; with --policy, of each run.")
	c.UInt64(&f.load.Seed, "", "seed", "Seed of the arrivals, requests and stand-ins.")
	c.String(&f.load.Fault, "f", "fault", "Address of the stand-ins' fault API, for run, token and cost figures.")
	c.Int(&f.load.MaxOpen, "", "max-open", "Maximum number of open requests; arrivals beyond it are dropped and counted.")
	c.String(&f.jsonPath, "j", "json", "File for the report as JSON.")
	c.String(&f.htmlPath, "", "report", "File for the report as HTML.")
	c.String(&f.scenario, "s", "scenario", "Runs a scenario: "+strings.Join(bench.Scenarios(), ", ")+".")
	c.Duration(&f.outage, "", "outage", "Duration of the outage in the store-outage scenario (default 60s).")
	c.Bool(&f.compareMode, "", "compare", "Compares the JSON reports A and B.")
	c.Bool(&f.overheadMode, "", "overhead", "Compares an entry node with the engines behind it.")
	c.StringSlice(&f.overhead.Engines, "", "engine", "For --overhead: address of an engine; may be repeated or comma-separated.")
	c.Int(&f.overhead.Streams, "", "streams", "For --overhead: number of concurrent streams.")
	c.Int(&f.overhead.PID, "", "node-pid", "For --overhead: process ID of the entry node, for its CPU time and memory.")
	c.Bool(&f.sweepMode, "", "policy", "Runs both mixes at 50, 80 and 100% of capacity with each routing policy.")
	c.IntSlice(&f.sweep.Loads, "", "load", "For --policy: load in percent of capacity; may be repeated.")
	c.AddPositionalValue(&f.reportA, "A", 1, false, "Report for --compare.")
	c.AddPositionalValue(&f.reportB, "B", 2, false, "Report for --compare.")
}

// splitLists splits comma-separated values and drops empty items.
func splitLists(values []string) []string {
	var out []string
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			if item = strings.TrimSpace(item); item != "" {
				out = append(out, item)
			}
		}
	}
	return out
}

func (f *benchFlags) runLoad(ctx context.Context, stdout, stderr io.Writer) int {
	report, err := bench.Run(ctx, f.load)
	if err != nil {
		return fail(stderr, err)
	}
	report.Name = "load"
	return f.writeReport(report, stdout, stderr)
}

func (f *benchFlags) runScenario(ctx context.Context, stdout, stderr io.Writer) int {
	report, err := bench.RunScenario(ctx, bench.ScenarioOptions{Name: f.scenario, Seed: f.load.Seed, Outage: f.outage})
	if err != nil {
		return fail(stderr, err)
	}
	if f.jsonPath == "" {
		f.jsonPath = fmt.Sprintf("bench-%s-%d.json", f.scenario, f.load.Seed)
	}
	return f.writeReport(report, stdout, stderr)
}

// writeReport prints a report and writes it to the requested files. It returns ExitFault when a guarantee is violated.
func (f *benchFlags) writeReport(report *bench.Report, stdout, stderr io.Writer) int {
	fmt.Fprintln(stdout, report.Line())
	if report.Baseline != nil {
		fmt.Fprintln(stdout, report.Baseline.Line())
	}
	for _, example := range report.Examples {
		fmt.Fprintln(stdout, "  fault:", example)
	}
	var err error
	if f.jsonPath != "" {
		err = report.WriteJSON(f.jsonPath)
	}
	if f.htmlPath != "" {
		err = errors.Join(err, report.WriteHTML(f.htmlPath))
	}
	if err != nil {
		return fail(stderr, err)
	}
	if len(report.Broken) > 0 {
		return ExitFault
	}
	return ExitOK
}

func (f *benchFlags) runCompare(stdout, stderr io.Writer) int {
	if f.reportA == "" || f.reportB == "" {
		return fail(stderr, errors.New("usage: pollenlug bench --compare A.json B.json"))
	}
	a, err := bench.ReadJSON(f.reportA)
	if err != nil {
		return fail(stderr, err)
	}
	b, err := bench.ReadJSON(f.reportB)
	if err != nil {
		return fail(stderr, err)
	}
	bench.Compare(stdout, a, b)
	return ExitOK
}

func (f *benchFlags) runOverhead(ctx context.Context, stdout, stderr io.Writer) int {
	f.overhead.Entries, f.overhead.Tokens = f.load.Entries, f.load.Tokens
	f.overhead.Engines = splitLists(f.overhead.Engines)
	f.overhead.Seed = f.load.Seed
	report, err := bench.RunOverhead(ctx, f.overhead)
	if err != nil {
		return fail(stderr, err)
	}
	report.Print(stdout)
	if f.jsonPath != "" {
		if err := report.WriteJSON(f.jsonPath); err != nil {
			return fail(stderr, err)
		}
	}
	return ExitOK
}

func (f *benchFlags) runSweep(ctx context.Context, stdout, stderr io.Writer) int {
	f.sweep.Seed, f.sweep.Duration = f.load.Seed, f.load.Duration
	sweep, err := bench.RunSweep(ctx, f.sweep, stdout, stderr)
	if err != nil {
		return fail(stderr, err)
	}
	if f.jsonPath != "" {
		if err := sweep.WriteJSON(f.jsonPath); err != nil {
			return fail(stderr, err)
		}
	}
	return ExitOK
}
