// Package generate runs the attempts of responses on the home node.
//
// # Design
//
// A response is accepted once it has a log here and on a replica; from then on it is this node's duty to complete
// it. One goroutine runs the attempts one after the other. An attempt continues from the tokens in the log, so that a
// failed backend server costs the prefill of what its successor has not cached and never a token of the answer.
//
// When a backend server is to leave, each of its responses takes the cheapest way: finish there when the expected
// rest fits into the notice, move the KV cache to another server, or recompute there. The move keeps the old attempt
// running while the KV cache is copied, so that the caller sees no pause longer than the switch.
//
// An accepted response is not refused for lack of retry budget: it waits for budget until its deadline. A response
// that has produced nothing and finds no server is given up early with a retry time.
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
	// noServerPatience is how long a response without a token waits for a backend server before it is given up.
	noServerPatience = 2 * time.Second
	// firstBackoff and lastBackoff bound the wait between attempts; the wait doubles.
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = time.Second
	// callerGrace is how long a streamed response runs on without a reader, so that a caller whose connection broke can
	// resume without a recompute.
	callerGrace = 5 * time.Second

	runShards = 32
)

// Reasons of retries, as counted.
const (
	reasonRefused     = "refused"
	reasonUnreachable = "unreachable"
	reasonInterrupted = "interrupted"
	reasonSilent      = "silent"
	reasonMoved       = "moved"
	reasonNoServer    = "no_server"
	reasonHeld        = "held"
)

// errMove cancels an attempt whose response continues on another server.
var errMove = errors.New("generate: response moves to another server")

// errHeld means that the request waits for a decision on its strikes, or for its other run to end.
var errHeld = errors.New("generate: request is held")

// errHandover cancels the run of a response whose home moves to another node.
var errHandover = errors.New("generate: response moves to another node")

// errNoReader cancels a run that nobody reads.
var errNoReader = errors.New("generate: nobody reads the response")

// Budget limits retries.
type Budget interface {
	// Wait takes one retry from the budget, waiting for it if need be.
	Wait(ctx context.Context) error
}

// Strikes knows the requests that crash servers.
type Strikes interface {
	// State tells how a request may run now, and for a held one how long until the decision.
	State(digest string) (state strike.State, wait time.Duration)
	// Begin counts a run on a server; false means that the request must not run now. end must be called once.
	Begin(server *route.Server, digest string) (end func(strike.Outcome), ok bool)
}

// ServerLimits adapts the number of requests in flight on each server.
type ServerLimits interface {
	Acquire(server string) bool
	Observe(server string, firstToken time.Duration)
	Release(server string)
}

// Progress is told about changes of a log, so that the replica receives them.
type Progress interface {
	Changed(log *stream.Log)
	// Confirm returns when the replica has the tokens, which are not in the log yet, or cannot get them.
	Confirm(ctx context.Context, log *stream.Log, attempt, offset uint32, tokens []string)
}

// Health learns which servers fail.
type Health interface {
	Observe(server string, ok bool)
}

// Options are the parts of a Runner.
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
	// Moves limits the moves that run at a time.
	Moves   int
	Metrics *metrics.Set
	Log     *logrus.Entry
	// Restart switches moves off and starts each further attempt from the first token. The log drops the tokens that it
	// has already. It is the baseline that measurements compare with.
	Restart bool
}

// Runner runs the responses whose home is this node.
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
	log    *stream.Log
	req    openai.Request
	model  config.Model
	digest string
	blocks []uint64
	cancel context.CancelCauseFunc

	// prefer is the server of an earlier home's attempt, for the first attempt here.
	prefer string
	// mu guards the fields below.
	mu         sync.Mutex
	server     string
	addr       string
	stop       context.CancelCauseFunc // ends the current attempt
	moving     bool
	target     *route.Pick // where the next attempt goes after a move
	kv         string      // handle of the KV cache that was imported there
	kvAt       string      // server that has it
	firstToken time.Time
	began      time.Time
	failed     []string // servers that failed lately, excluded from the next attempt
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

// Digest identifies the content of a request, whoever sends it.
func Digest(path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 36)
}

// Run starts the response of a log in the background; done is called when this node no longer runs it. A response
// that runs already is left alone. An error means that the log's request cannot be run.
func (r *Runner) Run(log *stream.Log, done func()) error { return r.RunWith(log, "", done) }

// RunWith is Run for a response whose KV cache waits under a handle on the log's server.
func (r *Runner) RunWith(log *stream.Log, kv string, done func()) error {
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
		log:    log,
		req:    req,
		model:  model,
		digest: Digest(meta.Path, meta.Request),
		blocks: backend.PrefixBlocks(nil, model.Name, model.Adapter, req.Prompt),
		cancel: cancel,
		prefer: log.Server(),
		kv:     kv,
		kvAt:   log.Server(),
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
		run.dropTarget()
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

func (r *Runner) get(id string) *run {
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

// ReaderClosed is called when a reader of a response has gone. A response that nobody reads any more is cancelled:
// a streamed one after a grace, any other at once.
func (r *Runner) ReaderClosed(log *stream.Log) {
	run := r.get(log.Meta().ID)
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
	time.AfterFunc(callerGrace, func() {
		openNow, totalNow := log.Readers()
		if openNow == 0 && totalNow == total {
			run.cancel(errNoReader)
		}
	})
}

// Stop ends the run of a response that another node continues. It reports whether the response was running.
func (r *Runner) Stop(id string) bool {
	run := r.get(id)
	if run == nil {
		return false
	}
	run.cancel(errHandover)
	return true
}
