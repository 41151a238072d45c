package fleetholder

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/example"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	standin "github.com/pollenlug/pollenlug/internal/standin/platform"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/fleet"
	"github.com/pollenlug/pollenlug/pkg/lease"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

var testDomains = []fleet.Domain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}, {Name: "d", Region: "r"}}

// testEnv holds the platform and the servers shared by the fleet loops of several nodes.
type testEnv struct {
	t       *testing.T
	cloud   *standin.Cloud
	table   *table.Table
	weights *standin.Weights

	mu           sync.Mutex
	index        *config.Index
	demand       map[string]fleet.Demand
	servers      map[string]*server
	checkFencing bool // servers check fencing tokens
	announced    map[string]time.Time
	recorded     []platformCall
}

// server is a simulated engine or plain service.
type server struct {
	models, adapters []string
	role             string
	fencing          uint64
	staleOrders      int
	busyUntil        time.Time
	stopped          time.Time
}

// platformCall is one call made by a holder.
type platformCall struct {
	at         time.Time
	node, kind string
	detail     string
}

func newTestEnv(t *testing.T, seed uint64, weightsRate uint32) *testEnv {
	env := &testEnv{t: t, table: table.New(table.Options{Seed: seed}), servers: map[string]*server{}, announced: map[string]time.Time{}}
	env.weights = standin.NewWeights(weightsRate)
	var prices []platform.Price
	for _, d := range testDomains {
		for class, price := range map[string]uint64{"gpu": 9, "cpu": 1} {
			prices = append(prices, platform.Price{InstanceClass: class, FailureDomain: d.Name, Reclaimable: true, PricePerHourMicros: price},
				platform.Price{InstanceClass: class, FailureDomain: d.Name, PricePerHourMicros: 3 * price})
		}
	}
	env.cloud = standin.NewCloud(standin.CloudOptions{Launch: env.launch, StartDelay: 30 * time.Second, ListLag: 2 * time.Second, Prices: prices})
	env.configure("")
	return env
}

// configure activates the example configuration folder plus one file; "" adds none.
func (env *testEnv) configure(file string) {
	files := example.Files()
	if file != "" {
		files["90-test.json"] = []byte(file)
	}
	merged, faults := config.Merge(files)
	assert.Equal(env.t, len(faults), 0, "%v", faults)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.index = config.NewIndex(&pb.Snapshot{Merged: merged, FolderRevision: 1})
}

func (env *testEnv) launch(_ context.Context, i platform.Instance) (standin.Server, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.servers[i.ID] = &server{}
	return standin.Server{Addr: i.ID, Stop: func() { env.markStopped(i.ID) }}, nil
}

func (env *testEnv) markStopped(id string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.servers[id].stopped = time.Now()
}

// addExample adds the servers of the example configuration: 8 engines with all models, half of them reclaimable, and 4
// services.
func (env *testEnv) addExample() {
	for i := range 12 {
		instance := platform.Instance{Kind: platform.ModelEngine, Region: "r", FailureDomain: testDomains[i%4].Name,
			BackendGroup: "assistant", InstanceClass: "gpu", Reclaimable: i >= 4, PricePerHourMicros: 9}
		if i >= 8 {
			instance.Kind, instance.BackendGroup, instance.InstanceClass, instance.Reclaimable = platform.PlainService, "booking", "cpu", i%2 == 0
		}
		instance.ID = fmt.Sprintf("%s-%d", instance.BackendGroup, i)
		instance.Addr = instance.ID
		s := &server{}
		if i < 8 {
			s.models = []string{"brief-large", "quote-small"}
			s.adapters = []string{"brief-large:harbour", "quote-small:harbour"}
		}
		env.servers[instance.ID] = s
		env.cloud.Add(instance, func() { env.markStopped(instance.ID) })
	}
}

func (env *testEnv) load(id string) backend.Load {
	env.mu.Lock()
	defer env.mu.Unlock()
	s := env.servers[id]
	out := backend.Load{Models: slices.Clone(s.models), Adapters: slices.Clone(s.adapters), StartedUnixMillis: 1}
	if time.Now().Before(s.busyUntil) {
		out.Running = 1
	}
	return out
}

func (env *testEnv) order(addr string, o backend.Order) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	s := env.servers[addr]
	if env.checkFencing && o.Fencing < s.fencing {
		s.staleOrders++
		return backend.ErrStaleFencing
	}
	s.fencing = max(s.fencing, o.Fencing)
	switch o.Kind {
	case backend.LoadModel:
		if !slices.Contains(s.models, o.Model) {
			s.models = append(s.models, o.Model)
		}
	case backend.LoadAdapter:
		s.adapters = append(s.adapters, o.Model+":"+o.Adapter)
	case backend.Unload:
		s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == o.Model })
	case backend.SetRole:
		s.role = o.Role
	}
	return nil
}

// liveInstances returns the instances of a group in the state live.
func (env *testEnv) liveInstances(group string) []platform.Instance {
	list, _ := env.cloud.Instances(context.Background())
	return slices.DeleteFunc(list, func(i platform.Instance) bool { return i.BackendGroup != group || i.State != platform.Live })
}

func (env *testEnv) withLock(fn func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	fn()
}

// server returns the state of a server.
func (env *testEnv) server(id string) (out server) {
	env.withLock(func() { out = *env.servers[id] })
	return out
}

// calls returns the calls made by all holders so far.
func (env *testEnv) calls() (out []platformCall) {
	env.withLock(func() { out = slices.Clone(env.recorded) })
	return out
}

func (env *testEnv) countCalls(kind string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, a := range env.recorded {
		if a.kind == kind {
			n++
		}
	}
	return n
}

// testNode is one node. The platform calls of its fleet loop go through it, so that it can be paused like a process.
type testNode struct {
	*testEnv
	name        string
	fleet       *Fleet
	client      *table.Client
	mu          sync.Mutex
	pausedUntil time.Time
	// pausePoint is where the node pauses next, for longer than its lease.
	pausePoint string
	// staleRow replaces the fleet row that the node reads.
	staleRow func(platform.Row) platform.Row
	// orderDelay makes order calls fail but delivers the orders after that time; 0 delivers them at once.
	orderDelay time.Duration
}

// start runs the fleet loop of a node until the test ends.
func (env *testEnv) start(name string, ctx context.Context, wg *sync.WaitGroup) *testNode {
	n := &testNode{testEnv: env, name: name, client: env.table.NewClient(name)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ids := 0
	n.fleet = New(Options{
		Leases:    lease.New(lease.Options{Table: n, Node: name, ID: func() string { ids++; return fmt.Sprint(ids) }}),
		Table:     n,
		Cloud:     recordingCloud{env.cloud, n},
		Instances: env.cloud,
		Weights:   env.weights,
		Order:     n.sendOrder,
		Load:      func(_ context.Context, i platform.Instance) (backend.Load, error) { return env.load(i.ID), nil },
		Config: func() *config.Index {
			n.waitWhilePaused()
			env.mu.Lock()
			defer env.mu.Unlock()
			return env.index
		},
		Servers: n.list,
		Domains: func() []fleet.Domain { return testDomains },
		Demand: func() map[string]fleet.Demand {
			env.mu.Lock()
			defer env.mu.Unlock()
			return env.demand
		},
		Announce: func(server string, _ time.Time) {
			env.mu.Lock()
			defer env.mu.Unlock()
			if env.announced[server].IsZero() {
				env.announced[server] = time.Now()
			}
		},
		Metrics: metrics.NewSet(),
		Log:     logrus.NewEntry(log),
	})
	wg.Go(func() { n.fleet.Run(ctx) })
	return n
}

func (n *testNode) list() []Server {
	n.pauseIfAt("plan")
	list, _ := n.cloud.Instances(context.Background())
	var out []Server
	for _, i := range list {
		out = append(out, Server{Instance: i, Load: n.load(i.ID), Known: i.State != platform.Starting, Noticed: i.State == platform.Leaving})
	}
	return out
}

func (n *testNode) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

// pauseAt makes the node pause the next time it reaches the point.
func (n *testNode) pauseAt(point string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausePoint = point
}

// pauseIfAt pauses the node if the point is its pause point.
func (n *testNode) pauseIfAt(point string) {
	n.mu.Lock()
	matches := n.pausePoint == point
	if matches {
		n.pausePoint, n.pausedUntil = "", time.Now().Add(5*time.Minute)
	}
	n.mu.Unlock()
	n.waitWhilePaused()
}

// resumed reports whether the node has reached its pause point and is no longer paused.
func (n *testNode) resumed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pausePoint == "" && time.Now().After(n.pausedUntil)
}

func (n *testNode) waitWhilePaused() {
	n.mu.Lock()
	until := n.pausedUntil
	n.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (n *testNode) Get(ctx context.Context, table, key string) (platform.Row, error) {
	n.waitWhilePaused()
	defer n.waitWhilePaused()
	row, err := n.client.Get(ctx, table, key)
	n.withLock(func() {
		if table == tableName && n.staleRow != nil && err == nil {
			row = n.staleRow(row)
		}
	})
	return row, err
}

func (n *testNode) List(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	return n.client.List(ctx, table, prefix, after, limit)
}

func (n *testNode) Era() (uint64, <-chan struct{}) { return n.client.Era() }

func (n *testNode) Commit(ctx context.Context, m []platform.Mutation) ([]uint64, error) {
	n.waitWhilePaused()
	defer n.waitWhilePaused()
	if m[0].Table == tableName {
		n.pauseIfAt("before row")
		defer n.pauseIfAt("after row")
	}
	return n.client.Commit(ctx, m)
}

func (n *testNode) record(kind, detail string) {
	n.testEnv.mu.Lock()
	defer n.testEnv.mu.Unlock()
	n.recorded = append(n.recorded, platformCall{time.Now(), n.name, kind, detail})
}

func (n *testNode) sendOrder(ctx context.Context, addr string, o backend.Order) error {
	n.record("order", string(o.Kind)+" "+o.Model)
	var delay time.Duration
	n.withLock(func() { delay = n.orderDelay })
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = n.order(addr, o) })
		<-ctx.Done()
		return backend.ErrInterrupted
	}
	return n.order(addr, o)
}

// recordingCloud records the calls of a node.
type recordingCloud struct {
	*standin.Cloud
	n *testNode
}

func (c recordingCloud) Start(ctx context.Context, req platform.StartRequest) (platform.Instance, error) {
	c.n.record("start", req.Token)
	return c.Cloud.Start(ctx, req)
}

func (c recordingCloud) Stop(ctx context.Context, id string) error {
	c.n.record("stop", id)
	return c.Cloud.Stop(ctx, id)
}
