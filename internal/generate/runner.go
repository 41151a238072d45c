// Package generate runs the generation attempts of responses on their home node.
//
// # Design
//
// A response is accepted once it has a log here and on a replica; from then on, this node is responsible for completing
// it. One goroutine runs the attempts one after another. An attempt continues from the tokens in the log, so the failure
// of a backend server costs the prefill of what the next server has not cached, but never a token of the response.
//
// When a backend server is leaving, each of its responses takes the cheapest option: finish on that server if the
// expected remaining time fits into the notice period, move with its KV cache to another server, or recompute on
// another server. During a move, the old attempt runs on while the KV cache is copied, so that the caller sees no pause
// longer than the switch.
//
// An accepted response is not refused for lack of retry budget: it waits for budget until its deadline. A response that
// has no token yet and finds no server fails after noServerTimeout with a retry time.
package generate

import (
	"context"
	"errors"
	"hash/maphash"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/openai"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/stream"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// noServerTimeout is how long a response without a token waits for a backend server before it fails.
	noServerTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the wait between attempts, which doubles until an attempt yields tokens.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// readerGracePeriod is how long a streamed response runs on without a reader, so that a caller whose connection broke
	// can resume without a recompute.
	readerGracePeriod = 5 * time.Second

	runShards = 32
)

// Reasons of retries, as counted in the metrics.
const (
	reasonRefused     = "refused"
	reasonUnreachable = "unreachable"
	reasonInterrupted = "interrupted"
	reasonSilent      = "silent"
	reasonMoved       = "moved"
	reasonNoServer    = "no_server"
	reasonHeld        = "held"
)

// errMoved cancels an attempt whose response continues on another server.
var errMoved = errors.New("generate: response moves to another server")

// errHeld means that the request must wait for a decision on its strikes, or for another run of it to end.
var errHeld = errors.New("generate: request is held")

// errHandover cancels the run of a response whose home node changes to another node.
var errHandover = errors.New("generate: response moves to another node")

// errNoReader cancels a run whose response has no reader.
var errNoReader = errors.New("generate: response has no reader")

// Budget limits retries.
type Budget interface {
	// Wait withdraws one retry from the budget, waiting until one is available or ctx ends.
	Wait(ctx context.Context) error
}

// Strikes tracks requests that may crash servers.
type Strikes interface {
	// State returns how a request that is about to run may run now and, if it is held or quarantined, when to ask again.
	State(req strike.Request) (state strike.State, wait time.Duration)
	// TryStart counts a run on a server. If ok is false, the request must not run now; otherwise answering should be called
	// with the first token, and end must be called once.
	TryStart(server *route.Server, req strike.Request) (answering func(), end func(strike.Outcome), ok bool)
}

// ServerLimits adapts the number of requests in flight on each server.
type ServerLimits interface {
	Acquire(server string) bool
	Observe(server string, firstToken time.Duration)
	Release(server string)
}

// Progress forwards changes of a log to its replica.
type Progress interface {
	Changed(log *stream.Log)
	// Confirm returns when the replica has the tokens, which are not in the log yet, or when sending them has failed.
	Confirm(ctx context.Context, log *stream.Log, attempt, offset uint32, tokens []string)
}

// Health tracks failures of servers.
type Health interface {
	Observe(server string, ok bool)
}

// Options holds the dependencies and settings of a Runner.
type Options struct {
	Router   *route.Router
	Engine   backend.Engine
	Budget   Budget
	Strikes  Strikes
	Limits   ServerLimits
	Progress Progress
	Health   Health
	// Config returns the configuration in force.
	Config func() *config.Index
	// Moves limits the number of concurrent moves. 0 means 8.
	Moves   int
	Metrics *metrics.Set
	Log     *logrus.Entry
	// Restart disables moves and starts each further attempt from the first token; the log drops the tokens that it
	// already has. It is the baseline for measurements.
	Restart bool
}

// Runner runs the generation of the responses whose home node is this node.
type Runner struct {
	Options
	seed   maphash.Seed
	shards [runShards]runShard
	moves  chan struct{}
	wg     sync.WaitGroup
}

type runShard struct {
	mu   sync.Mutex
	runs map[string]*run
}

// run is one response in progress.
type run struct {
	log     *stream.Log
	req     openai.Request
	model   config.Model
	content strike.Request
	blocks  []uint64
	cancel  context.CancelCauseFunc

	// preferredServer is the server of the previous home node's last attempt. It is used for the first attempt here.
	preferredServer string
	// mu guards the fields below, except startedAt and excluded, which only the goroutine of the run uses.
	mu         sync.Mutex
	server     string
	addr       string
	stop       context.CancelCauseFunc // cancels the current attempt
	moving     bool
	target     *route.Pick // reserved server for the next attempt after a move
	kv         string      // handle of the KV cache that the next attempt can use
	kvServer   string      // server that holds that KV cache
	firstToken time.Time
	startedAt  time.Time
	excluded   []string // servers that failed recently and are excluded from the next attempt
}

// NewRunner returns a Runner.
func NewRunner(opts Options) *Runner {
	if opts.Moves <= 0 {
		opts.Moves = 8
	}
	r := &Runner{Options: opts, seed: maphash.MakeSeed(), moves: make(chan struct{}, opts.Moves)}
	for i := range r.shards {
		r.shards[i].runs = map[string]*run{}
	}
	return r
}

func (r *Runner) shard(id string) *runShard {
	return &r.shards[maphash.String(r.seed, id)%runShards]
}

// Content identifies the content of a request, independent of its sender.
func Content(path string, body []byte, req openai.Request) strike.Request {
	out := strike.Request{Digest: digest(path, body)}
	for _, part := range req.SharedParts {
		out.Parts = append(out.Parts, req.Model+"/"+part)
	}
	return out
}

func digest(path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 36)
}

// Run starts the generation of a log's response in the background; done is called when this node no longer runs it. If
// the response is already running, Run does nothing and done is not called. It returns an error if the request is
// invalid or its model is no longer configured.
func (r *Runner) Run(log *stream.Log, done func()) error { return r.RunWithKV(log, "", done) }

// RunWithKV is like Run for a response whose KV cache is available under the handle kv on the log's server.
func (r *Runner) RunWithKV(log *stream.Log, kv string, done func()) error {
	meta := log.Meta()
	req, err := openai.ParseRequest(meta.Path, meta.Request)
	if err != nil {
		return code.Wrap(code.Internal, code.RanUnknown, "internal error", err)
	}
	model, ok := r.Config().Model(req.Model)
	if !ok {
		return code.New(code.UnknownModel, "the model is no longer configured")
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	run := &run{
		log:             log,
		req:             req,
		model:           model,
		content:         Content(meta.Path, meta.Request, req),
		blocks:          backend.PrefixBlocks(nil, model.Name, model.Adapter, req.Prompt),
		cancel:          cancel,
		preferredServer: log.Server(),
		kv:              kv,
		kvServer:        log.Server(),
	}
	if !r.register(meta.ID, run) {
		cancel(nil)
		return nil
	}
	r.wg.Go(func() {
		defer done()
		defer cancel(nil)
		defer r.unregister(meta.ID)
		ctx, stop := withDeadline(ctx, meta.Deadline)
		defer stop()
		r.complete(ctx, run)
		run.releaseTarget()
		r.Progress.Changed(log)
	})
	return nil
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

func (r *Runner) register(id string, run *run) bool {
	shard := r.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, ok := shard.runs[id]; ok {
		return false
	}
	shard.runs[id] = run
	return true
}

func (r *Runner) unregister(id string) {
	shard := r.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.runs, id)
}

func (r *Runner) lookup(id string) *run {
	shard := r.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.runs[id]
}

func (r *Runner) each(fn func(*run)) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		runs := make([]*run, 0, len(shard.runs))
		for _, run := range shard.runs {
			runs = append(runs, run)
		}
		shard.mu.Unlock()
		for _, run := range runs {
			fn(run)
		}
	}
}

// Running returns the number of responses in progress.
func (r *Runner) Running() int {
	n := 0
	for i := range r.shards {
		r.shards[i].mu.Lock()
		n += len(r.shards[i].runs)
		r.shards[i].mu.Unlock()
	}
	return n
}

// Wait returns when no response is in progress.
func (r *Runner) Wait() { r.wg.Wait() }

// ReaderClosed must be called when a reader of a response has stopped. A response without readers is cancelled: a
// streamed one after readerGracePeriod, any other at once.
func (r *Runner) ReaderClosed(log *stream.Log) {
	run := r.lookup(log.Meta().ID)
	if run == nil {
		return
	}
	open, total := log.Readers()
	if open > 0 {
		return
	}
	if !run.req.Stream {
		run.cancel(errNoReader)
		return
	}
	time.AfterFunc(readerGracePeriod, func() {
		openNow, totalNow := log.Readers()
		if openNow == 0 && totalNow == total {
			run.cancel(errNoReader)
		}
	})
}

// Stop ends the run of a response that another node continues. It reports whether the response was running here.
func (r *Runner) Stop(id string) bool {
	run := r.lookup(id)
	if run == nil {
		return false
	}
	run.cancel(errHandover)
	return true
}
