// Package limit decides which requests run immediately, which are queued and which are refused.
//
// Admission is the entry point. A request is checked against the limits of its workspace, which apply to all nodes
// together (see Shares), and then takes one of the node's slots. While slots are free this costs one shard lock and one
// atomic operation. When all slots are taken, requests wait in a fair queue (see fairQueue), and those that would miss
// their deadline are refused at once with a retry time.
//
// ServerLimits adapts the concurrency limit of each backend server, Budget bounds retries and hedges together, and
// Outliers ejects failing servers from a group.
package limit

import (
	"context"
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/pkg/code"
)

// Workspace is the configuration of one workspace: its weight, its priority and its limits, which apply to all nodes
// together. A limit of 0 means no limit.
type Workspace struct {
	Name string
	// Share is the weight in fair queueing; 0 means 1.
	Share uint32
	// Priority is added to that of each request.
	Priority                                       uint32
	RequestsPerSecond, TokensPerSecond, Concurrent uint32
}

// Options configures an Admission. Zero values give the defaults.
type Options struct {
	// Node is the name of this node.
	Node string
	// Concurrency is the number of requests that may run at the same time; 0 means 256.
	Concurrency int
	// QueueLimit is the number of requests that may wait, summed over all workspaces; 0 means 1,024.
	QueueLimit int
	Now        func() time.Time
}

const (
	defaultConcurrency = 256
	defaultQueueLimit  = 1024
	admissionShards    = 32
)

// Request describes a request for admission.
type Request struct {
	Workspace string
	Priority  uint32
	// Tokens is the estimated number of prompt and output tokens.
	Tokens uint32
	// Deadline is when the response must be complete; zero means none.
	Deadline time.Time
}

// Admission admits requests on one node.
type Admission struct {
	now    func() time.Time
	shares *Shares
	queue  fairQueue
	seed   maphash.Seed
	shards [admissionShards]admissionShard
}

type admissionShard struct {
	mu         sync.Mutex
	workspaces map[string]*workspace
	_          [48]byte // padding: keeps the locks of adjacent shards on different cache lines
}

// workspace is the state of one workspace on this node. It is guarded by the lock of its shard, except for queued.
type workspace struct {
	config           Workspace
	requests, tokens bucket
	concurrentQuota  float64 // infinite when there is no limit

	offeredRequests, offeredTokens uint64 // since the last export
	peakConcurrent, refused        int    // since the last export
	smoothed                       [3]smoothedDemand

	concurrent atomic.Int64 // incremented only under the lock
	queued     queuedWorkspace
}

// NewAdmission returns an Admission without workspaces; requests of unknown workspaces are admitted with weight 1 and
// no limits.
func NewAdmission(opts Options) *Admission {
	if opts.Concurrency <= 0 {
		opts.Concurrency = defaultConcurrency
	}
	if opts.QueueLimit <= 0 {
		opts.QueueLimit = defaultQueueLimit
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	a := &Admission{now: opts.Now, shares: NewShares(opts.Node, opts.Now()), seed: maphash.MakeSeed()}
	a.queue.limit = opts.QueueLimit
	a.queue.now = opts.Now
	a.queue.recentlyServed = make(map[*workspace]bool)
	a.queue.slots.Store(int64(opts.Concurrency))
	for i := range a.shards {
		a.shards[i].workspaces = make(map[string]*workspace)
	}
	return a
}

func (a *Admission) shard(name string) *admissionShard {
	return &a.shards[maphash.String(a.seed, name)%admissionShards]
}

// SetConcurrency changes the number of slots, which is at least 1. Running requests are not affected.
func (a *Admission) SetConcurrency(n int) {
	a.queue.slots.Store(int64(max(1, n)))
	a.queue.wake()
}

// SetWorkspaces applies the workspaces of a new configuration. Workspaces that are no longer listed lose their limits.
func (a *Admission) SetWorkspaces(workspaces []Workspace) {
	a.shares.SetLimits(workspaces)
	listed := make(map[string]bool, len(workspaces))
	var weights float64
	for _, config := range workspaces {
		listed[config.Name] = true
		weights += float64(max(1, config.Share))
		s := a.shard(config.Name)
		s.mu.Lock()
		s.get(config.Name, a.now()).config = config
		s.mu.Unlock()
	}
	a.forEachWorkspace(func(name string, w *workspace) {
		if !listed[name] {
			w.config = Workspace{Name: name}
		}
	})
	a.queue.setTotalWeight(max(1, weights))
	a.recompute()
}

// SetNodes sets the nodes that may admit requests, this one included; see Shares.SetNodes.
func (a *Admission) SetNodes(nodes []string) {
	a.shares.SetNodes(nodes, a.now())
	a.recompute()
}

// SetDemand stores the demand that another node has gossiped. It takes effect with the next ExportDemand.
func (a *Admission) SetDemand(node string, demands []Demand) {
	a.shares.SetDemand(node, demands, a.now())
}

// ExportDemand returns the demand of the workspaces on this node since the last call and updates this node's shares. It
// must be called once per second.
func (a *Admission) ExportDemand() []Demand {
	now := a.now()
	var demands []Demand
	a.forEachWorkspace(func(name string, w *workspace) {
		d := Demand{
			Workspace:  name,
			Requests:   w.smoothed[0].next(float64(w.offeredRequests)),
			Tokens:     w.smoothed[1].next(float64(w.offeredTokens)),
			Concurrent: w.smoothed[2].next(float64(w.peakConcurrent + w.refused)),
		}
		w.offeredRequests, w.offeredTokens, w.peakConcurrent, w.refused = 0, 0, int(w.concurrent.Load()), 0
		if d.Requests > 0 || d.Concurrent > 0 {
			demands = append(demands, d)
		}
	})
	a.shares.Record(demands, now)
	a.recompute()
	return demands
}

func (a *Admission) forEachWorkspace(visit func(string, *workspace)) {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for name, w := range s.workspaces {
			visit(name, w)
		}
		s.mu.Unlock()
	}
}

func (a *Admission) recompute() {
	now := a.now()
	a.forEachWorkspace(func(name string, w *workspace) {
		share := a.shares.Share(name, now)
		w.requests.setRate(share.Requests, now)
		w.tokens.setRate(share.Tokens, now)
		w.concurrentQuota = share.Concurrent
	})
}

func (s *admissionShard) get(name string, now time.Time) *workspace {
	w := s.workspaces[name]
	if w == nil {
		w = &workspace{config: Workspace{Name: name}, concurrentQuota: math.Inf(1)}
		w.requests.setRate(math.Inf(1), now)
		w.tokens.setRate(math.Inf(1), now)
		s.workspaces[name] = w
	}
	return w
}

// Grant is the permission to run one request. It must be released with Done.
type Grant struct {
	// Waited is the time spent in the queue.
	Waited    time.Duration
	admission *Admission
	shard     *admissionShard
	workspace *workspace
	tokens    uint32
	startedAt time.Time
	done      atomic.Bool
}

// Acquire admits a request, if necessary after waiting in the queue, or refuses it. The error is a *code.Error with
// RanNo; refusals have RetryAfter set.
func (a *Admission) Acquire(ctx context.Context, req Request) (*Grant, error) {
	now := a.now()
	s := a.shard(req.Workspace)
	s.mu.Lock()
	w := s.get(req.Workspace, now)
	refusal := w.admit(&req, now)
	config := w.config
	s.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	g := &Grant{admission: a, shard: s, workspace: w, tokens: req.Tokens, startedAt: now}
	if a.queue.tryTake() {
		return g, nil
	}
	if err := a.queue.wait(ctx, w, &config, &req, now); err != nil {
		s.mu.Lock()
		w.refund(req.Tokens)
		s.mu.Unlock()
		return nil, err
	}
	g.startedAt = a.now()
	g.Waited = g.startedAt.Sub(now)
	return g, nil
}

// admit checks this node's share of the workspace's limits and counts the request if it is within them.
func (w *workspace) admit(req *Request, now time.Time) *code.Error {
	w.offeredRequests++
	w.offeredTokens += uint64(req.Tokens)
	if float64(w.concurrent.Load()+1) > w.concurrentQuota {
		w.refused++
		return code.New(code.ConcurrencyLimited, "the workspace has too many open requests").WithRetryAfter(time.Second)
	}
	if wait := w.requests.until(1, now); wait > 0 {
		return code.New(code.RequestRateLimited, "the workspace is over its request rate").WithRetryAfter(clampRetry(wait))
	}
	if wait := w.tokens.until(float64(req.Tokens), now); wait > 0 {
		return code.New(code.TokenRateLimited, "the workspace is over its token rate").WithRetryAfter(clampRetry(wait))
	}
	w.requests.take(1)
	w.tokens.take(float64(req.Tokens))
	w.peakConcurrent = max(w.peakConcurrent, int(w.concurrent.Add(1)))
	return nil
}

// refund returns what admit took, for a request that did not run.
func (w *workspace) refund(tokens uint32) {
	w.concurrent.Add(-1)
	w.requests.take(-1)
	w.tokens.take(-float64(tokens))
}

// Done ends the request and frees its slot. tokens is the number of tokens actually used; 0 keeps the estimate. Further
// calls do nothing.
func (g *Grant) Done(tokens uint32) {
	if g.done.Swap(true) {
		return
	}
	a, w := g.admission, g.workspace
	w.concurrent.Add(-1)
	if tokens > 0 && tokens != g.tokens {
		g.shard.mu.Lock()
		w.tokens.take(float64(tokens) - float64(g.tokens))
		g.shard.mu.Unlock()
	}
	a.queue.release(w, a.now().Sub(g.startedAt))
}

const (
	minRetry = 50 * time.Millisecond
	maxRetry = 30 * time.Second
)

func clampRetry(d time.Duration) time.Duration { return min(maxRetry, max(minRetry, d)) }
