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
	workerKeyPrefix = "worker/"
	// routerInterval is how often the router is given the loads that other nodes have observed.
	routerInterval = 250 * time.Millisecond
	// maxDirectPolls is the product of nodes and servers up to which a node with open requests polls every engine
	// itself. With 8 nodes and 24 servers, each server is polled 16 times per second.
	maxDirectPolls = 256
	// maxParallelPolls bounds the number of concurrent direct polls.
	maxParallelPolls = 16
	// maxExactLoadAge is how long an exact load is preferred to the quantized load in the load view.
	maxExactLoadAge = 2 * loadview.PollPeriod
	// pollTimeout bounds one direct poll of a server's load and one read of its cache events.
	pollTimeout = 500 * time.Millisecond
)

// loads tracks the load of the backend servers: it polls those that this node observes, and receives the loads of the
// others from their observers.
type loads struct {
	engine              backend.Engine
	service             backend.Service
	router              *route.Router
	cluster             *cluster
	instance            func(string) (platform.Instance, bool)
	hasOpenRequests     func() bool
	othersPolledAt      time.Time // last direct poll of the servers that other nodes observe; only run uses it
	requestServerUpdate func()    // updates the router's list of servers soon
	view                *loadview.Runner

	mu             sync.Mutex
	workerStates   map[string]*pb.WorkerState // by server
	polledLoads    map[string]servers.Load    // exact loads of the servers that this node polls
	lastCacheEvent map[string]uint64          // sequence number by server
}

func newLoads(n *Node) *loads {
	l := &loads{
		engine:              n.opts.Engine,
		service:             n.opts.Service,
		router:              n.router,
		cluster:             n.cluster,
		instance:            func(id string) (platform.Instance, bool) { return n.tracker.Instance(id) },
		hasOpenRequests:     func() bool { return n.openRequests.Load() > 0 },
		requestServerUpdate: func() { n.tracker.RequestUpdate() },
		workerStates:        map[string]*pb.WorkerState{},
		polledLoads:         map[string]servers.Load{},
		lastCacheEvent:      map[string]uint64{},
	}
	core := loadview.NewCore(loadview.Config{
		Node:          n.opts.Settings.Node,
		FailureDomain: n.opts.Settings.FailureDomain,
		Rand:          n.random.fork(),
	}, n.cluster.gossip, n.cluster.view)
	l.view = loadview.NewRunner(core, n.transport, l.poll)
	n.cluster.gossip.Watch(workerKeyPrefix, l.handleWorkerState)
	return l
}

// setServers sets the list of backend servers.
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
	query := l.service.Load
	if instance.Kind == platform.ModelEngine {
		query = l.engine.Load
	}
	load, err := query(ctx, instance.Addr)
	if err != nil {
		return nil, err
	}
	l.record(server, load)
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

// record stores the exact load of a polled server, and publishes its models, adapters and start time when they change.
func (l *loads) record(server string, load backend.Load) {
	state := &pb.WorkerState{Models: load.Models, Adapters: load.Adapters, StartedUnixMs: uint64(load.StartedUnixMillis)}
	now := time.Now()
	l.mu.Lock()
	l.polledLoads[server] = servers.Load{Load: load, At: now}
	known := l.workerStates[server]
	l.mu.Unlock()
	l.router.SetLoad(server, load, now)
	if known == nil || !proto.Equal(known, state) {
		// Urgent, because it changes only a few times a day and requests wait for it.
		l.cluster.publish(workerKeyPrefix+server, state, 0, true)
	}
}

func (l *loads) handleWorkerState(item *pb.GossipItem) {
	state := &pb.WorkerState{}
	if proto.Unmarshal(item.Value, state) != nil {
		return
	}
	l.mu.Lock()
	l.workerStates[strings.TrimPrefix(item.Key, workerKeyPrefix)] = state
	l.mu.Unlock()
	l.requestServerUpdate()
}

// hasWorkerStates reports whether the loaded models are known for at least the given percentage of the servers. A node
// that knows few of them would send requests to servers that have to load the model first.
func (l *loads) hasWorkerStates(list []platform.Instance, percent int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := 0
	for _, instance := range list {
		if l.workerStates[instance.ID] != nil {
			known++
		}
	}
	return 100*known >= percent*len(list)
}

// pollCache reads the new cache events of a polled server and passes them to the router.
func (l *loads) pollCache(instance platform.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	l.mu.Lock()
	after := l.lastCacheEvent[instance.ID]
	l.mu.Unlock()
	events, err := l.engine.CacheEvents(ctx, instance.Addr, after)
	if err != nil || len(events) == 0 {
		return
	}
	l.mu.Lock()
	current := l.lastCacheEvent[instance.ID] == after // false if a concurrent poll was faster
	l.lastCacheEvent[instance.ID] = events[len(events)-1].Sequence
	l.mu.Unlock()
	if current {
		l.router.ObserveCache(instance.ID, events)
	}
}

// get returns the last known load of a server.
func (l *loads) get(server string) (servers.Load, bool) {
	now := time.Now()
	quantized, ok := l.view.Get(now, server)
	l.mu.Lock()
	state, polled := l.workerStates[server], l.polledLoads[server]
	l.mu.Unlock()
	if now.Sub(polled.At) < maxExactLoadAge {
		return polled, true
	}
	if !ok && state == nil {
		return servers.Load{}, false
	}
	out := servers.Load{
		Load: backend.Load{
			Running:      quantized.Running,
			Waiting:      quantized.Waiting,
			CachePercent: quantized.CachePercent,
			StepMicros:   quantized.StepMicros,
		},
		At:          now.Add(-quantized.Age),
		Unreachable: quantized.Unreachable,
	}
	if state != nil {
		out.Models, out.Adapters = state.Models, state.Adapters
		out.StartedUnixMillis = int64(state.StartedUnixMs)
	}
	return out, true
}

// startedAt returns the last known start time of a server in Unix milliseconds, or 0 if it is unknown.
func (l *loads) startedAt(server string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.workerStates[server].GetStartedUnixMs())
}

// pollOthers also polls the engines that this node does not observe, while it has open requests and the deployment is
// small enough. It reports whether the node polls them directly. Gossiped loads are quantized in steps of half an
// octave, too coarse to fill a server with a batch size of 16 up to the latency target: with them, the time to first
// token at 80% of capacity was 738 ms at p95.
func (l *loads) pollOthers(ctx context.Context, list []platform.Instance, observed []string) bool {
	if !l.hasOpenRequests() || len(list)*len(l.cluster.live()) > maxDirectPolls {
		return false
	}
	now := time.Now()
	if now.Sub(l.othersPolledAt) < loadview.PollPeriod {
		return true
	}
	l.othersPolledAt = now
	group := errgroup.Group{}
	group.SetLimit(maxParallelPolls)
	for _, instance := range list {
		if instance.Kind != platform.ModelEngine || slices.Contains(observed, instance.ID) {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			_, _ = l.poll(ctx, instance.ID) // an unreachable server is reported by its observer
			return nil
		})
	}
	_ = group.Wait()
	return true
}

// run polls and exchanges loads, and passes those that other nodes observe to the router, until ctx ends.
func (l *loads) run(ctx context.Context, list func() []platform.Instance) {
	var wg sync.WaitGroup
	wg.Go(func() { l.view.Run(ctx) })
	for ctx.Err() == nil {
		clock.Sleep(ctx, routerInterval)
		observed := l.view.AssignedWorkers()
		direct := l.pollOthers(ctx, list(), observed)
		for _, instance := range list() {
			if direct || slices.Contains(observed, instance.ID) {
				continue // record has passed the exact load to the router
			}
			if load, ok := l.get(instance.ID); ok {
				l.router.SetLoad(instance.ID, load.Load, load.At)
			}
		}
	}
	wg.Wait()
}
