package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/servers"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/loadview"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/route"
)

const (
	workerPrefix = "worker/"
	// routerInterval is how often the router gets the loads that other nodes have observed.
	routerInterval = 250 * time.Millisecond
	// directPolls is the number of nodes times servers up to which busy nodes poll every server: 8 nodes before 24
	// servers make 16 polls a second of each server.
	directPolls = 256
	// directParallel bounds the polls that are open at a time.
	directParallel = 16
	// exactAge is how long an exact load is preferred to the quantized one that the load view keeps of it.
	exactAge = 2 * loadview.PollPeriod
	// cacheTimeout bounds one read of a server's cache events.
	cacheTimeout = 500 * time.Millisecond
)

// loads knows the load of the backend servers: it polls those that this node observes and hears of the others.
type loads struct {
	engine   backend.Engine
	service  backend.Service
	router   *route.Router
	cluster  *cluster
	instance func(string) (platform.Instance, bool)
	busy     func() bool // the node has open requests
	polledAt time.Time   // when the servers of other observers were polled; only run uses it
	renew    func()      // makes the router's list of servers be renewed
	view     *loadview.Runner

	mu      sync.Mutex
	workers map[string]*pb.WorkerState // by server
	own     map[string]servers.Load    // exact loads of the servers that this node polls
	events  map[string]uint64          // last cache event by server
}

func newLoads(n *Node) *loads {
	l := &loads{
		engine:   n.opts.Engine,
		service:  n.opts.Service,
		router:   n.router,
		cluster:  n.cluster,
		instance: func(id string) (platform.Instance, bool) { return n.tracker.Instance(id) },
		busy:     func() bool { return n.openRequests.Load() > 0 },
		renew:    func() { n.tracker.RequestUpdate() },
		workers:  map[string]*pb.WorkerState{},
		own:      map[string]servers.Load{},
		events:   map[string]uint64{},
	}
	core := loadview.NewCore(loadview.Config{
		Node:          n.opts.Settings.Node,
		FailureDomain: n.opts.Settings.FailureDomain,
		Rand:          n.random.fork(),
	}, n.cluster.gossip, n.cluster.view)
	l.view = loadview.NewRunner(core, n.transport, l.poll)
	n.cluster.gossip.Watch(workerPrefix, l.heard)
	return l
}

// setServers tells which servers there are.
func (l *loads) setServers(list []platform.Instance) {
	workers := make([]loadview.Worker, 0, len(list))
	for _, instance := range list {
		workers = append(workers, loadview.Worker{Name: instance.ID, FailureDomain: instance.FailureDomain})
	}
	l.view.SetWorkers(workers)
}

// poll implements loadview.Poll.
func (l *loads) poll(ctx context.Context, server string) (*pb.WorkerLoad, error) {
	instance, ok := l.instance(server)
	if !ok {
		return nil, errNoInstance
	}
	ask := l.service.Load
	if instance.Kind == platform.ModelEngine {
		ask = l.engine.Load
	}
	load, err := ask(ctx, instance.Addr)
	if err != nil {
		return nil, err
	}
	l.note(server, load)
	if instance.Kind == platform.ModelEngine {
		go l.pollCache(instance)
	}
	return &pb.WorkerLoad{
		Server:        server,
		Running:       load.Running,
		Waiting:       load.Waiting,
		CachePercent:  load.CachePercent,
		StepUs:        load.StepMicros,
		Leaving:       instance.State == platform.Leaving,
		StartedUnixMs: uint64(load.StartedUnixMillis),
	}, nil
}

// note keeps the exact load of an observed server and tells the other nodes what changes rarely.
func (l *loads) note(server string, load backend.Load) {
	state := &pb.WorkerState{Models: load.Models, Adapters: load.Adapters, StartedUnixMs: uint64(load.StartedUnixMillis)}
	now := time.Now()
	l.mu.Lock()
	l.own[server] = servers.Load{Load: load, At: now}
	known := l.workers[server]
	l.mu.Unlock()
	l.router.SetLoad(server, load, now)
	if known == nil || !proto.Equal(known, state) {
		// Urgent, because it changes a few times a day only and requests wait for it.
		l.cluster.publish(workerPrefix+server, state, 0, true)
	}
}

func (l *loads) heard(item *pb.GossipItem) {
	state := &pb.WorkerState{}
	if proto.Unmarshal(item.Value, state) != nil {
		return
	}
	l.mu.Lock()
	l.workers[strings.TrimPrefix(item.Key, workerPrefix)] = state
	l.mu.Unlock()
	l.renew()
}

// knows reports whether the models of at least a part of the servers, in percent, are known. A node that knows few would
// send requests to servers that have to load the model first.
func (l *loads) knows(list []platform.Instance, percent int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := 0
	for _, instance := range list {
		if l.workers[instance.ID] != nil {
			known++
		}
	}
	return 100*known >= percent*len(list)
}

// pollCache gives the router the cache events of an observed server.
func (l *loads) pollCache(instance platform.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), cacheTimeout)
	defer cancel()
	l.mu.Lock()
	after := l.events[instance.ID]
	l.mu.Unlock()
	events, err := l.engine.CacheEvents(ctx, instance.Addr, after)
	if err != nil || len(events) == 0 {
		return
	}
	l.mu.Lock()
	fresh := l.events[instance.ID] == after // another poll may have been faster
	l.events[instance.ID] = events[len(events)-1].Sequence
	l.mu.Unlock()
	if fresh {
		l.router.ObserveCache(instance.ID, events)
	}
}

// get returns the last known load of a server.
func (l *loads) get(server string) (servers.Load, bool) {
	now := time.Now()
	seen, ok := l.view.Get(now, server)
	l.mu.Lock()
	state, exact := l.workers[server], l.own[server]
	l.mu.Unlock()
	if now.Sub(exact.At) < exactAge {
		return exact, true
	}
	if !ok && state == nil {
		return servers.Load{}, false
	}
	out := servers.Load{
		Load: backend.Load{
			Running:      seen.Running,
			Waiting:      seen.Waiting,
			CachePercent: seen.CachePercent,
			StepMicros:   seen.StepMicros,
		},
		At:          now.Add(-seen.Age),
		Unreachable: seen.Unreachable,
	}
	if state != nil {
		out.Models, out.Adapters = state.Models, state.Adapters
		out.StartedUnixMillis = int64(state.StartedUnixMs)
	}
	return out, true
}

// startedAt returns the last known start time of a server in Unix milliseconds, or 0.
func (l *loads) startedAt(server string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.workers[server].GetStartedUnixMs())
}

// pollOthers asks the servers that this node does not observe as well, while it serves requests and the deployment is
// small enough. Gossiped loads are quantized by half octaves, too coarse to fill a server whose batch is 16 up to the
// target: at 80% of capacity the first token took 738 ms at p95 with them.
func (l *loads) pollOthers(ctx context.Context, list []platform.Instance, observed []string) bool {
	if !l.busy() || len(list)*len(l.cluster.live()) > directPolls {
		return false
	}
	now := time.Now()
	if now.Sub(l.polledAt) < loadview.PollPeriod {
		return true
	}
	l.polledAt = now
	group := errgroup.Group{}
	group.SetLimit(directParallel)
	for _, instance := range list {
		if instance.Kind != platform.ModelEngine || slices.Contains(observed, instance.ID) {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
			defer cancel()
			_, _ = l.poll(ctx, instance.ID) // a server that does not answer is reported by its observer
			return nil
		})
	}
	_ = group.Wait()
	return true
}

// run polls and exchanges loads, and gives the router those that other nodes observe, until ctx ends.
func (l *loads) run(ctx context.Context, list func() []platform.Instance) {
	var wg sync.WaitGroup
	wg.Go(func() { l.view.Run(ctx) })
	for ctx.Err() == nil {
		clock.Sleep(ctx, routerInterval)
		observed := l.view.Duties()
		direct := l.pollOthers(ctx, list(), observed)
		for _, instance := range list() {
			if direct || slices.Contains(observed, instance.ID) {
				continue // note has given the router the exact load
			}
			if load, ok := l.get(instance.ID); ok {
				l.router.SetLoad(instance.ID, load.Load, load.At)
			}
		}
	}
	wg.Wait()
}
