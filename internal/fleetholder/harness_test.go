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

// world has the platform and the servers that the fleet loops of several nodes share.
type world struct {
	t       *testing.T
	cloud   *standin.Cloud
	table   *table.Table
	weights *standin.Weights

	mu        sync.Mutex
	index     *config.Index
	demand    map[string]fleet.Demand
	servers   map[string]*server
	checks    bool // servers check fencing numbers
	announced map[string]time.Time
	acts      []act
}

// server is an engine or a service.
type server struct {
	models, adapters []string
	role             string
	fencing          uint64
	stale            int
	busyUntil        time.Time
	stopped          time.Time
}

// act is one call that a holder made.
type act struct {
	at         time.Time
	node, kind string
	what       string
}

func newWorld(t *testing.T, seed uint64, weightsRate uint32) *world {
	w := &world{t: t, table: table.New(table.Options{Seed: seed}), servers: map[string]*server{}, announced: map[string]time.Time{}}
	w.weights = standin.NewWeights(weightsRate)
	var prices []platform.Price
	for _, d := range testDomains {
		for class, price := range map[string]uint64{"gpu": 9, "cpu": 1} {
			prices = append(prices, platform.Price{InstanceClass: class, FailureDomain: d.Name, Reclaimable: true, PricePerHourMicros: price},
				platform.Price{InstanceClass: class, FailureDomain: d.Name, PricePerHourMicros: 3 * price})
		}
	}
	w.cloud = standin.NewCloud(standin.CloudOptions{Launch: w.launch, StartDelay: 30 * time.Second, ListLag: 2 * time.Second, Prices: prices})
	w.configure("")
	return w
}

// configure puts the example folder with one more file into force.
func (w *world) configure(file string) {
	files := example.Files()
	if file != "" {
		files["90-test.json"] = []byte(file)
	}
	merged, faults := config.Merge(files)
	assert.Equal(w.t, len(faults), 0, "%v", faults)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index = config.NewIndex(&pb.Snapshot{Merged: merged, FolderRevision: 1})
}

func (w *world) launch(_ context.Context, i platform.Instance) (standin.Server, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[i.ID] = &server{}
	return standin.Server{Addr: i.ID, Stop: func() { w.stopped(i.ID) }}, nil
}

func (w *world) stopped(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id].stopped = time.Now()
}

// addExample adds the servers of the example folder: 8 engines with all models, half of them reclaimable, and 4 services.
func (w *world) addExample() {
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
		w.servers[instance.ID] = s
		w.cloud.Add(instance, func() { w.stopped(instance.ID) })
	}
}

func (w *world) load(id string) backend.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	out := backend.Load{Models: slices.Clone(s.models), Adapters: slices.Clone(s.adapters), StartedUnixMillis: 1}
	if time.Now().Before(s.busyUntil) {
		out.Running = 1
	}
	return out
}

func (w *world) order(addr string, o backend.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[addr]
	if w.checks && o.Fencing < s.fencing {
		s.stale++
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

// live returns the instances of a group that are not leaving.
func (w *world) live(group string) []platform.Instance {
	list, _ := w.cloud.Instances(context.Background())
	return slices.DeleteFunc(list, func(i platform.Instance) bool { return i.BackendGroup != group || i.State != platform.Live })
}

func (w *world) locked(fn func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fn()
}

// server returns the state of a server.
func (w *world) server(id string) (out server) {
	w.locked(func() { out = *w.servers[id] })
	return out
}

// calls returns the calls of all holders so far.
func (w *world) calls() (out []act) {
	w.locked(func() { out = slices.Clone(w.acts) })
	return out
}

func (w *world) count(kind string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.acts {
		if a.kind == kind {
			n++
		}
	}
	return n
}

// testNode is one node; its calls go through the node itself, which can be paused like a process.
type testNode struct {
	*world
	name   string
	fleet  *Fleet
	client *table.Client
	mu     sync.Mutex
	until  time.Time
	// place is where the node pauses next, for longer than its lease.
	place string
	// staleRow changes what the node reads of the fleet's row.
	staleRow func(platform.Row) platform.Row
	// late delivers an order after that time although the call has failed.
	late time.Duration
}

// start runs the fleet loop of a node until the test ends.
func (w *world) start(name string, ctx context.Context, wg *sync.WaitGroup) *testNode {
	n := &testNode{world: w, name: name, client: w.table.NewClient(name)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ids := 0
	n.fleet = New(Options{
		Leases:    lease.New(lease.Options{Table: n, Node: name, ID: func() string { ids++; return fmt.Sprint(ids) }}),
		Table:     n,
		Cloud:     nodeCloud{w.cloud, n},
		Instances: w.cloud,
		Weights:   w.weights,
		Order:     n.giveOrder,
		Load:      func(_ context.Context, i platform.Instance) (backend.Load, error) { return w.load(i.ID), nil },
		Config: func() *config.Index {
			n.wait()
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.index
		},
		Servers: n.list,
		Domains: func() []fleet.Domain { return testDomains },
		Demand: func() map[string]fleet.Demand {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.demand
		},
		Announce: func(server string, _ time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.announced[server].IsZero() {
				w.announced[server] = time.Now()
			}
		},
		Metrics: metrics.NewSet(),
		Log:     logrus.NewEntry(log),
	})
	wg.Go(func() { n.fleet.Run(ctx) })
	return n
}

func (n *testNode) list() []Server {
	n.reach("plan")
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
	n.until = time.Now().Add(d)
}

// pauseAt makes the node pause the next time it gets to a place.
func (n *testNode) pauseAt(place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.place = place
}

// reach pauses the node if it is to pause here.
func (n *testNode) reach(place string) {
	n.mu.Lock()
	here := n.place == place
	if here {
		n.place, n.until = "", time.Now().Add(5*time.Minute)
	}
	n.mu.Unlock()
	n.wait()
}

// woken reports whether the node has reached its place and is no longer paused.
func (n *testNode) woken() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.place == "" && time.Now().After(n.until)
}

func (n *testNode) wait() {
	n.mu.Lock()
	until := n.until
	n.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (n *testNode) Get(ctx context.Context, table, key string) (platform.Row, error) {
	n.wait()
	defer n.wait()
	row, err := n.client.Get(ctx, table, key)
	n.locked(func() {
		if table == tableName && n.staleRow != nil && err == nil {
			row = n.staleRow(row)
		}
	})
	return row, err
}

func (n *testNode) List(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	return n.client.List(ctx, table, prefix, after, limit)
}

func (n *testNode) Commit(ctx context.Context, m []platform.Mutation) ([]uint64, error) {
	n.wait()
	defer n.wait()
	if m[0].Table == tableName {
		n.reach("before row")
		defer n.reach("after row")
	}
	return n.client.Commit(ctx, m)
}

func (n *testNode) record(kind, what string) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.acts = append(n.acts, act{time.Now(), n.name, kind, what})
}

func (n *testNode) giveOrder(ctx context.Context, addr string, o backend.Order) error {
	n.record("order", string(o.Kind)+" "+o.Model)
	var late time.Duration
	n.locked(func() { late = n.late })
	if late > 0 {
		time.AfterFunc(late, func() { _ = n.order(addr, o) })
		<-ctx.Done()
		return backend.ErrInterrupted
	}
	return n.order(addr, o)
}

// nodeCloud records the calls of a node.
type nodeCloud struct {
	*standin.Cloud
	n *testNode
}

func (c nodeCloud) Start(ctx context.Context, req platform.StartRequest) (platform.Instance, error) {
	c.n.record("start", req.Token)
	return c.Cloud.Start(ctx, req)
}

func (c nodeCloud) Stop(ctx context.Context, id string) error {
	c.n.record("stop", id)
	return c.Cloud.Stop(ctx, id)
}
