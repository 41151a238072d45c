package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// RoleStandby is the role of an engine that takes no new request.
const RoleStandby = "standby"

// Needs of orders, most needed first.
const (
	needDrain      = iota // a draining server must refuse what nodes send that have not heard of it
	needFirst             // no server of the group holds the model
	needFirstLocal        // no server of the failure domain holds it
	needAdapter
	needMinimum // fewer than min_servers_per_domain hold it
	needEmpty   // the server holds no model
	needShare   // the model has fewer servers than its share of the demand
	needVersion
	needUnload
)

// ranked is an order with its need.
type ranked struct {
	Order
	need   int
	demand float64
}

// placing is the placement of one group.
type placing struct {
	p       *planner
	g       *Group
	servers []*Server // live, not leaving, with a report
	orders  []*ranked
	// holds counts the models that a server has or is about to have.
	holds map[*Server]map[string]bool
	total float64 // demand
	// updating has the models and failure domains in which a server loads the model.
	updating map[[2]string]bool
}

// place plans the orders to the engines of a group.
func (p *planner) place(g *Group, servers []*Server) {
	if g.Kind != platform.ModelEngine {
		return
	}
	pl := &placing{p: p, g: g, holds: map[*Server]map[string]bool{}, updating: map[[2]string]bool{}}
	drained := map[string]bool{}
	for _, d := range p.out.Drains {
		drained[d.Server] = true
	}
	for _, s := range servers {
		switch {
		case s.Draining && s.Ordered[roleKey] != RoleStandby:
			order := backend.Order{Kind: backend.SetRole, Role: RoleStandby}
			pl.add(s, order, 0, needDrain, 0, "the server drains")
		case s.State == platform.Live && s.Known && !drained[s.ID]:
			pl.servers = append(pl.servers, s)
			pl.holds[s] = held(s)
			for name := range s.Ordered {
				pl.updating[[2]string{name, s.Domain}] = true
			}
		}
	}
	for _, m := range g.Models {
		pl.total += p.in.Demand[m.Name].TokensPerSecond
	}
	pl.domains()
	for _, s := range pl.servers {
		pl.refresh(s)
	}
	p.ranked = append(p.ranked, pl.orders...)
}

// roleKey is the key of a role in Server.Ordered.
const roleKey = "role"

func held(s *Server) map[string]bool {
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

func (pl *placing) add(s *Server, o backend.Order, mib uint32, need int, demand float64, reason string) {
	pl.orders = append(pl.orders, &ranked{Order{s.ID, o, mib, reason}, need, demand})
}

// domains gives each failure domain its servers of each model.
func (pl *placing) domains() {
	byDomain := make([][]*Server, len(pl.p.domains))
	anywhere := map[string]bool{}
	for _, s := range pl.servers {
		if i, ok := pl.p.position[s.Domain]; ok {
			byDomain[i] = append(byDomain[i], s)
		}
		for name := range pl.holds[s] {
			anywhere[name] = true
		}
	}
	models := slices.Clone(pl.g.Models)
	slices.SortStableFunc(models, func(a, b Model) int { return cmp.Compare(pl.share(b), pl.share(a)) })
	for _, servers := range byDomain {
		for _, m := range models {
			pl.spread(servers, m, anywhere)
		}
		for _, s := range servers {
			if len(pl.holds[s]) == 0 && len(models) > 0 {
				pl.load(s, models[0], needEmpty, "the server holds no model")
			}
		}
	}
}

// share is the part of the group's demand that a model has.
func (pl *placing) share(m Model) float64 {
	if pl.total <= 0 {
		return 1 / float64(len(pl.g.Models))
	}
	return pl.p.in.Demand[m.Name].TokensPerSecond / pl.total
}

// spread loads a model on servers of one failure domain until it has its number, those with the fewest models first.
func (pl *placing) spread(servers []*Server, m Model, anywhere map[string]bool) {
	n := float64(len(servers))
	target := min(len(servers), max(1, m.MinPerDomain, int(math.Ceil(modelHeadroom*pl.share(m)*n))))
	have := 0
	var free []*Server
	for _, s := range servers {
		if pl.holds[s][m.Name] {
			have++
		} else {
			free = append(free, s)
		}
	}
	slices.SortStableFunc(free, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(len(pl.holds[a]), len(pl.holds[b])), cmp.Compare(a.Running, b.Running))
	})
	for _, s := range free[:max(0, min(len(free), target-have))] {
		need := needShare
		switch {
		case !anywhere[m.Name]:
			need = needFirst
		case have == 0:
			need = needFirstLocal
		case have < m.MinPerDomain:
			need = needMinimum
		}
		pl.load(s, m, need, fmt.Sprintf("%d of %d servers in %s hold the model", have, target, s.Domain))
		anywhere[m.Name] = true
		have++
	}
}

func (pl *placing) load(s *Server, m Model, need int, reason string) {
	order := backend.Order{Kind: backend.LoadModel, Model: m.Name, Version: m.Version}
	pl.add(s, order, m.WeightsMiB, need, pl.p.in.Demand[m.Name].TokensPerSecond, reason)
	pl.holds[s][m.Name] = true
}

// refresh orders the adapters, versions and unloads of a server.
func (pl *placing) refresh(s *Server) {
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
				pl.add(s, backend.Order{Kind: backend.LoadAdapter, Model: m.Name, Adapter: a}, 0, needAdapter, demand, "the adapter is not loaded")
			}
		}
		if version != m.Version && s.Ordered[m.Name] != m.Version && pl.mayUpdate(s, m) {
			order := backend.Order{Kind: backend.LoadModel, Model: m.Name, Version: m.Version}
			pl.add(s, order, m.WeightsMiB, needVersion, demand, fmt.Sprintf("the server holds version %q", version))
		}
	}
	for name, version := range s.Models {
		if !configured[name] && pl.g.ChecksFencing {
			pl.add(s, backend.Order{Kind: backend.Unload, Model: name, Version: version}, 0, needUnload, 0, "the model is no longer configured")
		}
	}
}

// mayUpdate allows the new version on one server per failure domain at a time, as an update may pause the model.
func (pl *placing) mayUpdate(s *Server, m Model) bool {
	place := [2]string{m.Name, s.Domain}
	if pl.updating[place] {
		return false
	}
	pl.updating[place] = true
	return true
}

// finishOrders sorts the orders of all groups by need and keeps what fits into a step.
func (p *planner) finishOrders() {
	slices.SortStableFunc(p.ranked, func(a, b *ranked) int {
		return cmp.Or(cmp.Compare(a.need, b.need), cmp.Compare(b.demand, a.demand),
			cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, r := range p.ranked[:min(len(p.ranked), cmp.Or(p.in.MaxOrders, defaultMaxOrders))] {
		p.out.Orders = append(p.out.Orders, r.Order)
	}
}
