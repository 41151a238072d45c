package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// RoleStandby is the role of an engine that takes no new requests.
const RoleStandby = "standby"

// Priorities of orders, most urgent first.
const (
	priorityDrain         = iota // a draining server must refuse requests from nodes that do not know of the drain yet
	priorityFirst                // no server of the group holds the model
	priorityFirstInDomain        // no server of the failure domain holds the model
	priorityAdapter
	priorityMinimum     // fewer than min_servers_per_domain servers hold the model
	priorityEmptyServer // the server holds no model
	priorityShare       // the model has fewer servers than its share of the demand requires
	priorityVersion
	priorityUnload
)

// rankedOrder is an order with its priority and the demand of its model, which decides between equal priorities.
type rankedOrder struct {
	Order
	priority int
	demand   float64
}

// placement is the placement of the models of one group on its servers.
type placement struct {
	p       *planner
	g       *Group
	servers []*Server // live, not leaving, with a report
	orders  []*rankedOrder
	// models holds, by server, the models that are loaded or ordered. An ordered adapter has an entry of its own, under
	// "model:adapter".
	models map[*Server]map[string]bool
	total  float64 // demand
	// updating holds the pairs of model and failure domain in which a server has an order to load the model. Ordered
	// adapters and roles have entries too, which are not used.
	updating map[[2]string]bool
}

// planOrders plans the orders to the engines of a group.
func (p *planner) planOrders(g *Group, servers []*Server) {
	if g.Kind != platform.ModelEngine {
		return
	}
	pl := &placement{p: p, g: g, models: map[*Server]map[string]bool{}, updating: map[[2]string]bool{}}
	drained := map[string]bool{}
	for _, d := range p.out.Drains {
		drained[d.Server] = true
	}
	for _, s := range servers {
		switch {
		case s.Draining && s.Ordered[roleKey] != RoleStandby:
			order := backend.Order{Kind: backend.SetRole, Role: RoleStandby}
			pl.add(s, order, 0, priorityDrain, 0, "the server drains")
		case s.State == platform.Live && s.Known && !drained[s.ID]:
			pl.servers = append(pl.servers, s)
			pl.models[s] = modelsOn(s)
			for name := range s.Ordered {
				pl.updating[[2]string{name, s.Domain}] = true
			}
		}
	}
	for _, m := range g.Models {
		pl.total += p.in.Demand[m.Name].TokensPerSecond
	}
	pl.placeModels()
	for _, s := range pl.servers {
		pl.updateServer(s)
	}
	p.ranked = append(p.ranked, pl.orders...)
}

// roleKey is the key of the role in Server.Ordered.
const roleKey = "role"

func modelsOn(s *Server) map[string]bool {
	out := map[string]bool{}
	for name := range s.Models {
		out[name] = true
	}
	for name := range s.Ordered {
		if name != roleKey {
			out[name] = true
		}
	}
	return out
}

func (pl *placement) add(s *Server, o backend.Order, mib uint32, priority int, demand float64, reason string) {
	pl.orders = append(pl.orders, &rankedOrder{Order{s.ID, o, mib, reason}, priority, demand})
}

// placeModels adds the orders to load each model on the required number of servers in each failure domain.
func (pl *placement) placeModels() {
	byDomain := make([][]*Server, len(pl.p.domains))
	anywhere := map[string]bool{}
	for _, s := range pl.servers {
		if i, ok := pl.p.domainIndex[s.Domain]; ok {
			byDomain[i] = append(byDomain[i], s)
		}
		for name := range pl.models[s] {
			anywhere[name] = true
		}
	}
	models := slices.Clone(pl.g.Models)
	slices.SortStableFunc(models, func(a, b Model) int { return cmp.Compare(pl.share(b), pl.share(a)) })
	for _, servers := range byDomain {
		for _, m := range models {
			pl.spreadModel(servers, m, anywhere)
		}
		for _, s := range servers {
			if len(pl.models[s]) == 0 && len(models) > 0 {
				pl.load(s, models[0], priorityEmptyServer, "the server holds no model")
			}
		}
	}
}

// share returns a model's fraction of the group's demand, or an equal fraction per model when the group has no demand.
func (pl *placement) share(m Model) float64 {
	if pl.total <= 0 {
		return 1 / float64(len(pl.g.Models))
	}
	return pl.p.in.Demand[m.Name].TokensPerSecond / pl.total
}

// spreadModel adds the orders to load a model on servers of one failure domain until enough of them hold it. Servers
// with the fewest models are used first.
func (pl *placement) spreadModel(servers []*Server, m Model, anywhere map[string]bool) {
	n := float64(len(servers))
	target := min(len(servers), max(1, m.MinPerDomain, int(math.Ceil(modelHeadroom*pl.share(m)*n))))
	have := 0
	var free []*Server
	for _, s := range servers {
		if pl.models[s][m.Name] {
			have++
		} else {
			free = append(free, s)
		}
	}
	slices.SortStableFunc(free, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(len(pl.models[a]), len(pl.models[b])), cmp.Compare(a.Running, b.Running))
	})
	for _, s := range free[:max(0, min(len(free), target-have))] {
		priority := priorityShare
		switch {
		case !anywhere[m.Name]:
			priority = priorityFirst
		case have == 0:
			priority = priorityFirstInDomain
		case have < m.MinPerDomain:
			priority = priorityMinimum
		}
		pl.load(s, m, priority, fmt.Sprintf("%d of %d servers in %s hold the model", have, target, s.Domain))
		anywhere[m.Name] = true
		have++
	}
}

func (pl *placement) load(s *Server, m Model, priority int, reason string) {
	order := backend.Order{Kind: backend.LoadModel, Model: m.Name, Version: m.Version}
	pl.add(s, order, m.WeightsMiB, priority, pl.p.in.Demand[m.Name].TokensPerSecond, reason)
	pl.models[s][m.Name] = true
}

// updateServer adds the orders for missing adapters, outdated versions and models to unload on a server.
func (pl *placement) updateServer(s *Server) {
	configured := map[string]bool{}
	for _, m := range pl.g.Models {
		configured[m.Name] = true
		version, loaded := s.Models[m.Name]
		if !loaded {
			continue
		}
		demand := pl.p.in.Demand[m.Name].TokensPerSecond
		for _, a := range m.Adapters {
			key := m.Name + ":" + a
			if !slices.Contains(s.Adapters, key) && s.Ordered[key] == "" {
				pl.add(s, backend.Order{Kind: backend.LoadAdapter, Model: m.Name, Adapter: a}, 0, priorityAdapter, demand, "the adapter is not loaded")
			}
		}
		if version != m.Version && s.Ordered[m.Name] != m.Version && pl.mayUpdate(s, m) {
			order := backend.Order{Kind: backend.LoadModel, Model: m.Name, Version: m.Version}
			pl.add(s, order, m.WeightsMiB, priorityVersion, demand, fmt.Sprintf("the server holds version %q", version))
		}
	}
	for name, version := range s.Models {
		if !configured[name] && pl.g.ChecksFencing {
			pl.add(s, backend.Order{Kind: backend.Unload, Model: name, Version: version}, 0, priorityUnload, 0, "the model is no longer configured")
		}
	}
}

// mayUpdate allows the update of a model on one server per failure domain at a time, since an update may interrupt the
// model.
func (pl *placement) mayUpdate(s *Server, m Model) bool {
	place := [2]string{m.Name, s.Domain}
	if pl.updating[place] {
		return false
	}
	pl.updating[place] = true
	return true
}

// finishOrders sorts the orders of all groups by priority and keeps those that fit into a step.
func (p *planner) finishOrders() {
	slices.SortStableFunc(p.ranked, func(a, b *rankedOrder) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.demand, a.demand),
			cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, r := range p.ranked[:min(len(p.ranked), cmp.Or(p.in.MaxOrders, defaultMaxOrders))] {
		p.out.Orders = append(p.out.Orders, r.Order)
	}
}
