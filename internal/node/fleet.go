package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/fleetholder"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/fleet"
	"github.com/pollenlug/pollenlug/pkg/lease"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// leavePollInterval is how often runFleet checks whether the node is leaving.
const leavePollInterval = 250 * time.Millisecond

// newFleet returns the fleet loop, which starts and stops backend servers while this node holds the lease.
func (n *Node) newFleet() *fleetholder.Fleet {
	p := n.opts.Platform
	domains := &knownDomains{regions: map[string]string{}}
	return fleetholder.New(fleetholder.Options{
		Leases:    lease.New(lease.Options{Table: p.Table, Node: n.opts.Settings.Node}),
		Table:     p.Table,
		Cloud:     p.Cloud,
		Instances: p.Instances,
		Weights:   p.Weights,
		Order:     n.opts.Engine.Order,
		Load:      n.queryLoad,
		Config:    n.Config,
		Servers:   n.fleetServers,
		Domains:   func() []fleet.Domain { return domains.list(n) },
		Demand:    func() map[string]fleet.Demand { return n.modelDemand.total(n.Config()) },
		Announce:  n.tracker.Drain,
		Metrics:   n.metrics,
		Log:       n.log,
	})
}

// runFleet runs the fleet loop until ctx ends or the node is leaving, so that another node can take the lease at once.
func (n *Node) runFleet(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for ctx.Err() == nil && !n.Leaving() {
			clock.Sleep(ctx, leavePollInterval)
		}
	}()
	n.fleet.Run(ctx)
}

// queryLoad queries a backend server for its load.
func (n *Node) queryLoad(ctx context.Context, instance platform.Instance) (backend.Load, error) {
	if instance.Kind == platform.PlainService {
		return n.opts.Service.Load(ctx, instance.Addr)
	}
	return n.opts.Engine.Load(ctx, instance.Addr)
}

// fleetServers returns the backend servers with their loads. Known is set only for loads with a start time; without
// one, the loaded models are not known.
func (n *Node) fleetServers() []fleetholder.Server {
	list := n.tracker.List()
	out := make([]fleetholder.Server, 0, len(list))
	for _, instance := range list {
		load, ok := n.loads.get(instance.ID)
		out = append(out, fleetholder.Server{
			Instance: instance,
			Load:     load.Load,
			Known:    ok && load.StartedUnixMillis != 0,
			Noticed:  n.tracker.Reclaimed(instance.ID),
		})
	}
	return out
}

// countDemand counts a request towards the demand for its model; one for an adapter counts towards its base model. The
// returned function records the length of the response in tokens.
func (n *Node) countDemand(modelName string, maxTokens uint32) (recordTokens func(tokens uint32)) {
	if index := n.Config(); index != nil {
		if model, ok := index.Model(modelName); ok {
			return n.modelDemand.countRequest(model.Name, maxTokens)
		}
	}
	return func(uint32) {}
}

// knownDomains keeps the failure domains and their regions, including domains without instances left.
type knownDomains struct {
	mu      sync.Mutex
	regions map[string]string
}

func (k *knownDomains) list(n *Node) []fleet.Domain {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range n.cluster.members() {
		k.regions[m.FailureDomain] = m.Region
	}
	for _, instance := range n.tracker.List() {
		k.regions[instance.FailureDomain] = instance.Region
	}
	out := make([]fleet.Domain, 0, len(k.regions))
	for name, region := range k.regions {
		out = append(out, fleet.Domain{Name: name, Region: region})
	}
	slices.SortFunc(out, func(a, b fleet.Domain) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
