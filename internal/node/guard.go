package node

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// budgetPoll is how often an accepted response asks again for a retry.
	budgetPoll = 20 * time.Millisecond
	// budgetPatience is how long the retry of an accepted response waits for budget. It then goes ahead: the
	// response was accepted, and the wait has spread the retries of a wave.
	budgetPatience = 500 * time.Millisecond

	strikeKeyPrefix = "strike/"
	// strikeTTL is how long strikes are kept without a change.
	strikeTTL = time.Hour
	// strikeTick is how often crashes are decided on and changes are told to other nodes.
	strikeTick = 250 * time.Millisecond
	// crashProbes is how often a server whose connection broke is asked whether it lives, crashProbeWait the wait
	// between two questions. The server may still be about to go down when the connection breaks.
	crashProbes    = 3
	crashProbeWait = 100 * time.Millisecond
	crashTimeout   = 500 * time.Millisecond
)

// guard keeps failures from spreading: it holds the retry budget and the strikes of requests that crash servers.
type guard struct {
	budget  *limit.Budget
	strikes *strike.Tracker
	cluster *cluster
	metrics *metrics.Set
	// load asks a server for its load; hasNotice tells whether an instance is reclaimed; startedAt returns the last
	// known start time of a server in Unix milliseconds.
	load      func(ctx context.Context, server *route.Server) (backend.Load, error)
	hasNotice func(server string) bool
	startedAt func(server string) int64

	mu      sync.Mutex
	probing map[string]bool
}

func newGuard(c *cluster, m *metrics.Set) *guard {
	g := &guard{
		budget:  limit.NewBudget(config.DefaultRetryPercent),
		strikes: strike.New(strike.Options{}),
		cluster: c,
		metrics: m,
		probing: map[string]bool{},
	}
	c.gossip.Watch(strikeKeyPrefix, g.heard)
	return g
}

func (g *guard) setPolicy(p config.Policy) { g.budget.SetPercent(p.RetryPercent) }

// Request counts a first attempt, which adds to the retry budget.
func (g *guard) Request() { g.budget.Request() }

// Take implements dispatch.Budget.
func (g *guard) Take() bool { return g.budget.Withdraw() }

// Wait implements generate.Budget.
func (g *guard) Wait(ctx context.Context) error {
	patience, cancel := context.WithTimeout(ctx, budgetPatience)
	defer cancel()
	for !g.budget.Withdraw() {
		clock.Sleep(patience, budgetPoll)
		if patience.Err() != nil {
			g.metrics.Retry("over_budget")
			break
		}
	}
	return ctx.Err()
}

// State implements generate.Strikes.
func (g *guard) State(digest string) (strike.State, time.Duration) {
	return g.strikes.State(digest, time.Now())
}

// Begin implements generate.Strikes. When the run's connection breaks, the server is asked whether it still lives.
func (g *guard) Begin(server *route.Server, digest string) (func(strike.Outcome), bool) {
	run, ok := g.strikes.Began(server.ID, digest, time.Now())
	if !ok {
		return nil, false
	}
	started := g.startedAt(server.ID)
	return func(outcome strike.Outcome) {
		run.Ended(outcome, time.Now())
		if outcome == strike.Interrupted {
			go g.probe(server, started)
		}
	}, true
}

// probe reports a crash when the server refuses connections or has started anew. One probe per server runs at a time.
func (g *guard) probe(server *route.Server, started int64) {
	g.mu.Lock()
	busy := g.probing[server.ID]
	g.probing[server.ID] = true
	g.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.probing, server.ID)
	}()
	for range crashProbes {
		ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
		load, err := g.load(ctx, server)
		timedOut := ctx.Err() != nil
		cancel()
		restarted := err == nil && started != 0 && load.StartedUnixMillis != started
		if err != nil || restarted {
			g.crashed(server, started, err != nil && timedOut)
			return
		}
		clock.Sleep(context.Background(), crashProbeWait)
	}
}

// crashed reports a crash. A server that does not answer at all may be cut off, which is no sign of a crash.
func (g *guard) crashed(server *route.Server, started int64, unreachable bool) {
	g.metrics.Count("server_crashes", "server", server.ID, 1)
	g.strikes.Crashed(strike.Crash{
		Server:      server.ID,
		Domain:      server.FailureDomain,
		Started:     started,
		HadNotice:   g.hasNotice(server.ID),
		Unreachable: unreachable,
	}, time.Now())
	g.publish()
}

// run decides on crashes and tells other nodes of strikes until ctx ends.
func (g *guard) run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, strikeTick)
		g.strikes.Tick(time.Now())
		g.publish()
	}
}

func (g *guard) publish() {
	for _, change := range g.strikes.Changes() {
		message := &pb.Strike{Servers: change.Record.Servers, Quarantined: change.Record.Quarantined}
		g.cluster.publish(strikeKeyPrefix+change.Digest, message, strikeTTL, true)
	}
}

func (g *guard) heard(item *pb.GossipItem) {
	var message pb.Strike
	if proto.Unmarshal(item.Value, &message) != nil {
		return
	}
	record := strike.Record{Servers: message.Servers, Quarantined: message.Quarantined}
	g.strikes.Merge(strings.TrimPrefix(item.Key, strikeKeyPrefix), record, time.Now())
}

// status lists the digests of quarantined requests.
func (g *guard) status() []string { return g.strikes.Quarantines(time.Now()) }

// loadOf returns a function that asks a backend server of either kind for its load.
func loadOf(engine backend.Engine, service backend.Service, instance func(string) (platform.Instance, bool)) func(context.Context, *route.Server) (backend.Load, error) {
	return func(ctx context.Context, server *route.Server) (backend.Load, error) {
		if i, ok := instance(server.ID); ok && i.Kind == platform.PlainService {
			return service.Load(ctx, server.Addr)
		}
		return engine.Load(ctx, server.Addr)
	}
}

// errNoInstance means that a server is not in the instance list any more.
var errNoInstance = errors.New("node: no such instance")
