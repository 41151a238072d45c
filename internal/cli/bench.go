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

// defaultBenchDuration is the length of a load unless stated.
const defaultBenchDuration = 30 * time.Second

// benchFlags are the flags of `pollenlug bench`.
type benchFlags struct {
	load     bench.Options
	overhead bench.OverheadOptions
	sweep    bench.SweepOptions
	json     string
	html     string
	scenario string
	outage   time.Duration
	first    string // reports to compare
	second   string
	compare  bool
	measure  bool
	policies bool
}

func benchCommand() *command {
	c := newCommand("bench", "Puts a bounded load on a deployment, or runs a scenario on a cluster of its own, and checks the promises.")
	f := &benchFlags{load: bench.Options{Mix: bench.Oleaje, Rate: 20, Duration: defaultBenchDuration, Seed: 1}}
	f.overhead.Streams = bench.DefaultOverheadStreams
	f.attach(c.parsed)
	c.run = func(stdout, stderr io.Writer) int {
		ctx, stop := signals()
		defer stop()
		f.load.Entries, f.load.Tokens = split(f.load.Entries), split(f.load.Tokens)
		switch {
		case f.compare:
			return f.runCompare(stdout, stderr)
		case f.scenario != "":
			return f.runScenario(ctx, stdout, stderr)
		case f.measure:
			return f.runOverhead(ctx, stdout, stderr)
		case f.policies:
			return f.runSweep(ctx, stdout, stderr)
		default:
			return f.runLoad(ctx, stdout, stderr)
		}
	}
	return c
}

func (f *benchFlags) attach(c *flaggy.Subcommand) {
	c.StringSlice(&f.load.Entries, "e", "entry", "Address of an entry node; may be repeated or a comma list.")
	c.StringSlice(&f.load.Tokens, "t", "token", "Bearer token of a workspace; may be repeated or a comma list.")
	c.String(&f.load.Mix, "m", "mix", "Mix of requests: windwijzer or oleaje.")
	c.Float64(&f.load.Rate, "r", "rate", "Arrivals per second.")
	c.Duration(&f.load.Duration, "d", "duration", "Length of the load; of each run for --policy.")
	c.UInt64(&f.load.Seed, "", "seed", "Seed of arrivals, requests and stand-ins.")
	c.String(&f.load.Fault, "f", "fault", "Address of the stand-ins' fault API, for run, token and cost figures.")
	c.Int(&f.load.MaxOpen, "", "max-open", "Most open requests; later arrivals are dropped and counted.")
	c.String(&f.json, "j", "json", "File for the report as JSON.")
	c.String(&f.html, "", "report", "File for the report as HTML.")
	c.String(&f.scenario, "s", "scenario", "Runs a scenario: "+strings.Join(bench.Scenarios(), ", ")+".")
	c.Duration(&f.outage, "", "outage", "Length of the outage of store-outage (default 60s).")
	c.Bool(&f.compare, "", "compare", "Compares the JSON reports A and B.")
	c.Bool(&f.measure, "", "overhead", "Compares an entry node with the engines behind it.")
	c.StringSlice(&f.overhead.Engines, "", "engine", "For --overhead: address of an engine; may be repeated or a comma list.")
	c.Int(&f.overhead.Streams, "", "streams", "For --overhead: open streams.")
	c.Int(&f.overhead.PID, "", "node-pid", "For --overhead: process id of the entry node, for its CPU time and memory.")
	c.Bool(&f.policies, "", "policy", "Runs both mixes at 50, 80 and 100% of capacity with each routing policy.")
	c.IntSlice(&f.sweep.Loads, "", "load", "For --policy: load in percent of capacity; may be repeated.")
	c.AddPositionalValue(&f.first, "A", 1, false, "Report for --compare.")
	c.AddPositionalValue(&f.second, "B", 2, false, "Report for --compare.")
}

// split takes comma lists apart.
func split(values []string) []string {
	var out []string
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			if part = strings.TrimSpace(part); part != "" {
				out = append(out, part)
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
	return f.finish(report, stdout, stderr)
}

func (f *benchFlags) runScenario(ctx context.Context, stdout, stderr io.Writer) int {
	report, err := bench.RunScenario(ctx, bench.ScenarioOptions{Name: f.scenario, Seed: f.load.Seed, Outage: f.outage})
	if err != nil {
		return fail(stderr, err)
	}
	if f.json == "" {
		f.json = fmt.Sprintf("bench-%s-%d.json", f.scenario, f.load.Seed)
	}
	return f.finish(report, stdout, stderr)
}

// finish prints and writes a report. It returns ExitFault when a promise is broken.
func (f *benchFlags) finish(report *bench.Report, stdout, stderr io.Writer) int {
	fmt.Fprintln(stdout, report.Line())
	if report.Baseline != nil {
		fmt.Fprintln(stdout, report.Baseline.Line())
	}
	for _, example := range report.Examples {
		fmt.Fprintln(stdout, "  fault:", example)
	}
	var err error
	if f.json != "" {
		err = report.WriteJSON(f.json)
	}
	if f.html != "" {
		err = errors.Join(err, report.WriteHTML(f.html))
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
	if f.first == "" || f.second == "" {
		return fail(stderr, errors.New("usage: pollenlug bench --compare A.json B.json"))
	}
	a, err := bench.ReadJSON(f.first)
	if err != nil {
		return fail(stderr, err)
	}
	b, err := bench.ReadJSON(f.second)
	if err != nil {
		return fail(stderr, err)
	}
	bench.Compare(stdout, a, b)
	return ExitOK
}

func (f *benchFlags) runOverhead(ctx context.Context, stdout, stderr io.Writer) int {
	f.overhead.Entries, f.overhead.Tokens = f.load.Entries, f.load.Tokens
	f.overhead.Engines = split(f.overhead.Engines)
	f.overhead.Seed = f.load.Seed
	report, err := bench.RunOverhead(ctx, f.overhead)
	if err != nil {
		return fail(stderr, err)
	}
	report.Print(stdout)
	if f.json != "" {
		if err := report.WriteJSON(f.json); err != nil {
			return fail(stderr, err)
		}
	}
	return ExitOK
}

func (f *benchFlags) runSweep(ctx context.Context, stdout, stderr io.Writer) int {
	f.sweep.Seed, f.sweep.Duration = f.load.Seed, f.load.Duration
	rows, err := bench.RunSweep(ctx, f.sweep, stdout, stderr)
	if err != nil {
		return fail(stderr, err)
	}
	if f.json != "" {
		if err := rows.WriteJSON(f.json); err != nil {
			return fail(stderr, err)
		}
	}
	return ExitOK
}
