package node

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/strikewire"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// budgetPollInterval is how often an accepted response that waits for a retry checks the budget.
	budgetPollInterval = 20 * time.Millisecond
	// budgetWaitTimeout is how long the retry of an accepted response waits for budget. After that it proceeds without
	// budget: the response was accepted, and the wait has spread out the retries of a burst.
	budgetWaitTimeout = 500 * time.Millisecond

	strikeKeyPrefix = "strike/"
	partKeyPrefix   = "part/"
	// strikeTTL is how long a gossiped strike is kept without a change.
	strikeTTL = time.Hour
	// strikeInterval is how often pending crashes are decided on and changes are published to other nodes.
	strikeInterval = 250 * time.Millisecond
	// Trials are published every strikeInterval while there are any, or recent strikes of parts; trialTTL ends those of a node
	// that died.
	trialKeyPrefix = "trial/"
	trialTTL       = 5 * time.Second
	// crashProbes is how many times a server whose connection broke is probed, crashProbeInterval the wait between two
	// probes, crashProbeTimeout the time limit of each. One probe is not enough: the server may still respond for a
	// moment after the connection breaks.
	crashProbes        = 3
	crashProbeInterval = 100 * time.Millisecond
	crashProbeTimeout  = 500 * time.Millisecond
)

// guard limits the spread of failures: it holds the retry budget and the strikes of requests that crash servers.
type guard struct {
	budget  *limit.Budget
	strikes *strike.Tracker
	cluster *cluster
	metrics *metrics.Set
	// queryLoad queries a server for its load. hasNotice reports whether a server is leaving or has left, after a
	// reclaim notice or by the fleet plan. startedAt returns the last known start time of a server in Unix
	// milliseconds.
	queryLoad func(ctx context.Context, server *route.Server) (backend.Load, error)
	hasNotice func(server string) bool
	startedAt func(server string) int64

	mu      sync.Mutex
	probing map[string]bool

	// announced is set if the last published trials of this node are not empty. Only run uses it.
	announced bool
}

func newGuard(c *cluster, m *metrics.Set) *guard {
	g := &guard{
		budget:  limit.NewBudget(config.DefaultRetryPercent),
		strikes: strike.New(strike.Options{Node: c.self.Node}),
		cluster: c,
		metrics: m,
		probing: map[string]bool{},
	}
	c.gossip.Watch(strikeKeyPrefix, g.handleStrike)
	c.gossip.Watch(partKeyPrefix, g.handlePart)
	c.gossip.Watch(trialKeyPrefix, g.handleTrials)
	return g
}

func (g *guard) setPolicy(p config.Policy) { g.budget.SetPercent(p.RetryPercent) }

// Request counts a first attempt, which adds to the retry budget.
func (g *guard) Request() { g.budget.Request() }

// Withdraw implements dispatch.Budget.
func (g *guard) Withdraw() bool { return g.budget.Withdraw() }

// Wait implements generate.Budget.
func (g *guard) Wait(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, budgetWaitTimeout)
	defer cancel()
	for !g.budget.Withdraw() {
		clock.Sleep(waitCtx, budgetPollInterval)
		if waitCtx.Err() != nil {
			g.metrics.Retry("over_budget")
			break
		}
	}
	return ctx.Err()
}

// State implements generate.Strikes.
func (g *guard) State(req strike.Request) (strike.State, time.Duration) {
	return g.strikes.Await(req, time.Now())
}

// TryStart implements generate.Strikes. If the connection breaks during the run, the server is probed for a crash.
func (g *guard) TryStart(server *route.Server, req strike.Request) (answering func(), end func(strike.Outcome), ok bool) {
	run, ok := g.strikes.TryStart(server.ID, req, time.Now())
	if !ok {
		return nil, nil, false
	}
	started := g.startedAt(server.ID)
	return func() { run.Answering(time.Now()) }, func(outcome strike.Outcome) {
		run.End(outcome, time.Now())
		if outcome == strike.Interrupted {
			go g.probe(server, started)
		}
	}, true
}

// probe reports a crash if the server does not respond or has restarted. At most one probe per server runs at a time.
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
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		load, err := g.queryLoad(ctx, server)
		timedOut := ctx.Err() != nil
		cancel()
		restarted := err == nil && started != 0 && load.StartedUnixMillis != started
		if err != nil || restarted {
			g.reportCrash(server, started, err != nil && timedOut)
			return
		}
		clock.Sleep(context.Background(), crashProbeInterval)
	}
}

// reportCrash adds a crash to the strikes. An unreachable server, whose probe has timed out, may only be cut off from
// the network, so that alone is no sign of a crash.
func (g *guard) reportCrash(server *route.Server, started int64, unreachable bool) {
	g.metrics.Count("server_crashes", "server", server.ID, 1)
	g.strikes.RecordCrash(strike.Crash{
		Server:      server.ID,
		Domain:      server.FailureDomain,
		Started:     started,
		HadNotice:   g.hasNotice(server.ID),
		Unreachable: unreachable,
	}, time.Now())
	g.publish()
}

// run decides on pending crashes and publishes strikes to the other nodes until ctx ends.
func (g *guard) run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, strikeInterval)
		g.strikes.Tick(time.Now())
		g.publish()
		g.publishTrials()
		for _, decision := range g.strikes.Decisions() {
			g.metrics.Count("strike_decisions", "verdict", string(decision.Verdict), 1)
			message, fields := logline.StrikeLine(decision)
			g.cluster.log.WithFields(fields).Info(message)
		}
	}
}

func (g *guard) publishTrials() {
	now := time.Now()
	trials := g.strikes.Trials(now)
	if len(trials) > 0 || g.announced || g.strikes.HasStruckParts(now) {
		message := &pb.Trials{Digests: trials}
		if at := g.strikes.LastServed(); !at.IsZero() {
			message.ServedUnixMillis = at.UnixMilli()
		}
		g.cluster.publish(trialKeyPrefix+g.cluster.self.Node, message, trialTTL, true)
	}
	g.announced = len(trials) > 0
}

func (g *guard) handleTrials(item *pb.GossipItem) {
	var message pb.Trials
	if err := proto.Unmarshal(item.Value, &message); err != nil {
		g.cluster.log.WithError(err).WithField("key", item.Key).Warning("decoding trials of a node failed")
		return
	}
	if node := strings.TrimPrefix(item.Key, trialKeyPrefix); node != g.cluster.self.Node {
		now := time.Now()
		g.strikes.SetPeerTrials(node, message.Digests, now)
		if message.ServedUnixMillis != 0 {
			g.strikes.AddPeerServed(strikewire.NotAfter(message.ServedUnixMillis, now))
		}
	}
}

func (g *guard) publish() {
	for _, change := range g.strikes.Changes() {
		message := &pb.Strike{Servers: change.Record.Servers, Correlated: change.Record.Correlated, Quarantined: change.Record.Quarantined}
		g.cluster.publish(strikeKeyPrefix+change.Digest, message, strikeTTL, true)
	}
	for _, change := range g.strikes.PartChanges() {
		g.cluster.publish(partKeyPrefix+change.Part, strikewire.EncodePartRow(change, time.Now()), strikeTTL, true)
	}
}

func (g *guard) handlePart(item *pb.GossipItem) {
	var message pb.PartRow
	if err := proto.Unmarshal(item.Value, &message); err != nil {
		g.cluster.log.WithError(err).WithField("key", item.Key).Warning("decoding record of a part failed")
		return
	}
	now := time.Now()
	g.strikes.MergePart(strikewire.DecodePartRow(strings.TrimPrefix(item.Key, partKeyPrefix), &message, now), now)
}

func (g *guard) handleStrike(item *pb.GossipItem) {
	var message pb.Strike
	if proto.Unmarshal(item.Value, &message) != nil {
		return
	}
	record := strike.Record{Servers: message.Servers, Correlated: message.Correlated, Quarantined: message.Quarantined}
	g.strikes.Merge(strings.TrimPrefix(item.Key, strikeKeyPrefix), record, time.Now())
}

// quarantines returns the digests of quarantined requests and the quarantined parts, as MODEL/HASH.
func (g *guard) quarantines() []string {
	now := time.Now()
	out := g.strikes.Quarantines(now)
	for _, part := range g.strikes.QuarantinedParts(now) {
		out = append(out, part.Part)
	}
	return out
}

// newLoadQuery returns a function that queries a backend server of either kind for its load.
func newLoadQuery(engine backend.Engine, service backend.Service, instance func(string) (platform.Instance, bool)) func(context.Context, *route.Server) (backend.Load, error) {
	return func(ctx context.Context, server *route.Server) (backend.Load, error) {
		if i, ok := instance(server.ID); ok && i.Kind == platform.PlainService {
			return service.Load(ctx, server.Addr)
		}
		return engine.Load(ctx, server.Addr)
	}
}

// errNoInstance means that a server is no longer in the instance list.
var errNoInstance = errors.New("node: no such instance")
