package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pollenlug/pollenlug/internal/adapter/enginehttp"
	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/pkg/backend"
)

// DefaultOverheadStreams is the number of streams that are open at the same time.
const DefaultOverheadStreams = 500

const (
	// overheadRounds is how often the path through the node and the direct path are measured, in turn.
	overheadRounds = 2
	// overheadRampUp is the time over which the streams of a round start.
	overheadRampUp = 2 * time.Second
	overheadTokens = 400
	// overheadTimeout bounds one path in one round.
	overheadTimeout = 2 * time.Minute
)

// OverheadOptions configures the comparison of an entry node with the engines behind it.
type OverheadOptions struct {
	Entries, Tokens, Engines []string
	Streams                  int
	Seed                     uint64
	// PID is the process of the entry node; 0 leaves out its CPU time and memory.
	PID int
}

// Overhead is the result of the comparison. CPU time and memory are those of the process with the given PID; they are
// zero when no PID was given.
type Overhead struct {
	Streams                 int       `json:"streams"`
	NodeFirst               Quantiles `json:"node_first_token"`
	EngineFirst             Quantiles `json:"engine_first_token"`
	NodeBetween             Quantiles `json:"node_between_tokens"`
	EngineBetween           Quantiles `json:"engine_between_tokens"`
	RelayedTokens           int       `json:"relayed_tokens"`
	Failed                  int       `json:"failed"`
	CPUMicrosPerToken       float64   `json:"cpu_us_per_token"`
	MemoryPerStreamKiB      float64   `json:"memory_per_stream_kib"`
	engineTokens            int
	nodeFirst, nodeGaps     *hdrhistogram.Histogram
	engineFirst, engineGaps *hdrhistogram.Histogram
	mu                      sync.Mutex
	idleUsage               processUsage
	peakKiB                 int64
}

// WriteJSON writes the result to a file.
func (o *Overhead) WriteJSON(path string) error { return writeJSON(path, o) }

// RunOverhead sends the same requests through an entry node and directly to the engines, in turn.
func RunOverhead(ctx context.Context, opts OverheadOptions) (*Overhead, error) {
	if len(opts.Entries) == 0 || len(opts.Engines) == 0 || len(opts.Tokens) == 0 {
		return nil, errors.New("bench: --overhead needs --entry, --engine and --token")
	}
	out := &Overhead{Streams: opts.Streams, nodeFirst: newHistogram(), nodeGaps: newHistogram(), engineFirst: newHistogram(), engineGaps: newHistogram()}
	cpuSeconds := 0.0
	for round := range overheadRounds {
		src := overheadSource(opts, round)
		before, err := out.readUsage(opts.PID)
		if err != nil {
			return nil, err
		}
		if round == 0 {
			out.idleUsage = before
		}
		out.measureNode(ctx, opts, src)
		after, err := out.readUsage(opts.PID)
		if err != nil {
			return nil, err
		}
		cpuSeconds += after.cpuSeconds - before.cpuSeconds
		out.measureEngines(ctx, opts, overheadSource(opts, round))
	}
	out.NodeFirst, out.NodeBetween = quantiles(out.nodeFirst), quantiles(out.nodeGaps)
	out.EngineFirst, out.EngineBetween = quantiles(out.engineFirst), quantiles(out.engineGaps)
	if opts.PID != 0 && out.RelayedTokens > 0 {
		out.CPUMicrosPerToken = cpuSeconds * 1e6 / float64(out.RelayedTokens)
		out.MemoryPerStreamKiB = float64(out.peakKiB-out.idleUsage.residentKiB) / float64(opts.Streams)
	}
	return out, nil
}

// overheadSource returns a source of the same requests for both paths, but different ones in each round, so that
// neither path gets more cache hits from the prompts of the other.
func overheadSource(opts OverheadOptions, round int) *requestSource {
	src, _ := newRequestSource(Options{Mix: Oleaje, Seed: opts.Seed + uint64(round), Tokens: opts.Tokens}, "")
	src.responseTokens = overheadTokens
	return src
}

// forEachStream calls run once per stream, with starts spread over overheadRampUp, and waits for all.
func (o *Overhead) forEachStream(ctx context.Context, opts OverheadOptions, src *requestSource, run func(context.Context, int, *request)) {
	ctx, cancel := context.WithTimeout(ctx, overheadTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range opts.Streams {
		r := src.shortGeneration("quote", kindStream, overheadTokens, overheadTokens+1)
		wg.Go(func() {
			clock.Sleep(ctx, overheadRampUp*time.Duration(i)/time.Duration(opts.Streams))
			run(ctx, i, &r)
		})
	}
	wg.Wait()
}

func (o *Overhead) measureNode(ctx context.Context, opts OverheadOptions, src *requestSource) {
	rec := newRecorder()
	caller := newCaller(opts.Entries[:1], 0, rec)
	defer caller.close()
	// All requests go to the given node, not to other entries that it lists.
	caller.cachedEntries, caller.entriesExpireAt = opts.Entries[:1], time.Now().Add(time.Hour)
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go o.watchMemory(watchCtx, opts.PID)
	o.forEachStream(ctx, opts, src, func(ctx context.Context, _ int, r *request) { caller.run(ctx, r, time.Now()) })
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range rec.classes {
		o.nodeFirst.Merge(c.firstToken)
		o.nodeGaps.Merge(c.tokenGaps)
		o.Failed += c.requests - c.exact
	}
	o.RelayedTokens += rec.tokensReceived
}

func (o *Overhead) measureEngines(ctx context.Context, opts OverheadOptions, src *requestSource) {
	client := enginehttp.New(enginehttp.Options{})
	o.forEachStream(ctx, opts, src, func(ctx context.Context, i int, r *request) {
		addr := opts.Engines[i%len(opts.Engines)]
		start := time.Now()
		var last time.Time
		err := client.Generate(ctx, addr, o.engineRequest(i, r), func(chunk backend.Chunk) error {
			if len(chunk.Tokens) > 0 {
				o.recordEngineTokens(start, &last, len(chunk.Tokens))
			}
			return nil
		})
		if err != nil {
			o.mu.Lock()
			o.Failed++
			o.mu.Unlock()
		}
	})
}

func (o *Overhead) engineRequest(i int, r *request) backend.GenerateRequest {
	out := r.engineRequest
	out.ID, out.Attempt = fmt.Sprintf("overhead-%d-%d", i, time.Now().UnixNano()), 1
	return out
}

func (o *Overhead) recordEngineTokens(start time.Time, last *time.Time, tokens int) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engineTokens += tokens
	if last.IsZero() {
		record(o.engineFirst, now.Sub(start))
	} else {
		record(o.engineGaps, now.Sub(*last))
	}
	*last = now
}

// Print writes the result as text.
func (o *Overhead) Print(out io.Writer) {
	line := func(name string, node, engine Quantiles) {
		fmt.Fprintf(out, "%s ms: node p50 %.2f p95 %.2f p99 %.2f, engine p50 %.2f p95 %.2f p99 %.2f, difference p50 %.2f p95 %.2f\n",
			name, node.P50, node.P95, node.P99, engine.P50, engine.P95, engine.P99, node.P50-engine.P50, node.P95-engine.P95)
	}
	line("first token", o.NodeFirst, o.EngineFirst)
	line("between tokens", o.NodeBetween, o.EngineBetween)
	fmt.Fprintf(out, "streams %d, relayed tokens %d, failed %d, CPU per relayed token %.2f us, memory per open stream %.1f KiB\n",
		o.Streams, o.RelayedTokens, o.Failed, o.CPUMicrosPerToken, o.MemoryPerStreamKiB)
}

// processUsage is the CPU time that a process has used so far and its current resident memory.
type processUsage struct {
	cpuSeconds  float64
	residentKiB int64
}

// ticksPerSecond is the frequency of the clock ticks in which Linux counts CPU time in /proc.
const ticksPerSecond = 100

// readUsage reads the CPU time and the resident memory of a process from /proc.
func (o *Overhead) readUsage(pid int) (processUsage, error) {
	if pid == 0 {
		return processUsage{}, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	return parseStat(string(data))
}

// watchMemory records the peak resident memory of a process.
func (o *Overhead) watchMemory(ctx context.Context, pid int) {
	const interval = 200 * time.Millisecond
	for ; ctx.Err() == nil; clock.Sleep(ctx, interval) {
		current, err := o.readUsage(pid)
		if err != nil || pid == 0 {
			return
		}
		o.mu.Lock()
		o.peakKiB = int64(math.Max(float64(o.peakKiB), float64(current.residentKiB)))
		o.mu.Unlock()
	}
}
