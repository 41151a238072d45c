package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/elastic"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// orderServers orders what the plan asks for and was not ordered lately.
func (h *dutyHolder) orderServers(ctx context.Context, now time.Time) {
	c := h.n.config.Load()
	if c == nil || !h.n.servers.known.Load() {
		return
	}
	for _, service := range c.Services {
		if service.Scaling == nil {
			continue
		}
		in := h.planInput(service, now)
		plan := elastic.Plan(in)
		for _, d := range in.Domains {
			h.order(ctx, now, in, orderKey{service.Name, d.Name, true}, plan[d.Name].Reclaimable)
			if h.settled[service.Name] { // before, servers that run may not have registered yet
				h.order(ctx, now, in, orderKey{service.Name, d.Name, false}, plan[d.Name].Lasting)
			}
		}
	}
}

// planInput gathers the load and the servers of a service.
func (h *dutyHolder) planInput(service *serving.Service, now time.Time) elastic.Input {
	smoother, first := h.loads[service.Name], false
	if smoother == nil {
		first = true
		smoother = &elastic.Smoother{RiseHalfLife: loadRise, FallHalfLife: loadFall, PeakHalfLife: peakFall}
		h.loads[service.Name] = smoother
	}
	in := elastic.Input{Service: service.Name, Min: service.Scaling.Min, Max: service.Scaling.Max}
	index := map[string]int{}
	for domain, price := range service.Scaling.DomainPrices {
		index[domain] = len(in.Domains)
		placed := h.next[orderKey{service.Name, domain, true}]
		refused := now.Sub(h.refused[service.Name+"/"+domain]) < refusedMemory
		in.Domains = append(in.Domains, elastic.Domain{Name: domain, Price: price, Refused: refused,
			Accepted: placed != nil && placed.accepted})
	}
	for _, s := range h.n.board.Servers(service.Name) {
		i, ok := index[s.Domain]
		if !ok || s.State != serving.Ready {
			continue
		}
		if s.Reclaimable {
			in.Domains[i].Reclaimable++
		} else {
			in.Domains[i].Lasting++
		}
	}
	h.noteFleet(service.Name, in, smoother, first, now)
	in.Initial = h.initial[service.Name]
	// Slots that are taken count as work: short streams can fill all slots of engines that are otherwise idle.
	taken, _ := h.n.board.Utilization(service.Name, now)
	load := max(h.n.engineLoad(service.Name, now), taken*float64(len(h.n.board.Servers(service.Name))))
	if load > 0 && h.loadSince.IsZero() {
		h.loadSince = now
	}
	in.Idle = h.loadSince.IsZero() && h.n.settings.FirstStart
	in.Load, in.Peak = smoother.Observe(load, now)
	in.Known = !h.loadSince.IsZero() && (now.Sub(h.loadSince) > loadSettle || now.Sub(h.n.started) > fleetStart)
	return in
}

// noteFleet records the servers that are there at the begin of the term. When the whole deployment starts they are still
// registering; later the fleet is that of the holder before, who knew the load.
func (h *dutyHolder) noteFleet(service string, in elastic.Input, smoother *elastic.Smoother, first bool, now time.Time) {
	reclaimable, lasting := 0, 0
	for _, d := range in.Domains {
		reclaimable += d.Reclaimable
		lasting += d.Lasting
	}
	needed := lasting + elastic.Needed(reclaimable)
	inherited := !h.n.settings.FirstStart || now.Sub(h.n.started) > fleetStart
	if first && inherited {
		h.initial[service] = needed
		smoother.Inherit(needed)
	}
	if inherited || h.n.servers.quietFor(now) >= fleetSettle {
		h.settled[service] = true
	}
	if !h.settled[service] {
		h.initial[service] = needed
	}
}

// engineLoad returns the work of all nodes for a service in fully used engines.
func (n *Node) engineLoad(service string, now time.Time) float64 {
	demands := n.demand.export(now)
	for _, beat := range n.peers.alive(now) {
		demands = append(demands, beat.Demand...)
	}
	load := 0.0
	for _, d := range demands {
		if d.Service == service {
			load += float64(d.Prefill)/enginePrefill + float64(d.Output)/engineOutput
		}
	}
	return load
}

func (h *dutyHolder) order(ctx context.Context, now time.Time, in elastic.Input, key orderKey, count int) {
	placed := h.next[key]
	if placed != nil {
		age := now.Sub(placed.at)
		if age < orderMin || (placed.count == count && age < orderRepeat) {
			return
		}
	}
	fencing, ok := h.held.Check()
	if !ok {
		return
	}
	order := elastic.Order{Service: key.service, Domain: key.domain, Reclaimable: key.reclaimable, Count: count}
	err := h.n.duties.Order(ctx, fencing, order)
	fields := logrus.Fields{"service": key.service, "failure_domain": key.domain, "reclaimable": key.reclaimable, "count": count,
		"load": in.Load, "peak": in.Peak, "known": in.Known}
	switch {
	case errors.Is(err, platform.ErrStartRefused):
		h.refused[key.service+"/"+key.domain] = now
		h.n.metrics.Count("orders", "result", "refused", 1)
		h.n.log.WithFields(fields).Info(logline.OrderRefused)
	case err != nil:
		h.n.metrics.Count("orders", "result", "failed", 1)
		h.n.log.WithError(err).WithFields(fields).Warning("order failed")
	default:
		h.n.metrics.Count("orders", "result", "accepted", 1)
		if placed == nil || placed.count != count {
			h.n.log.WithFields(fields).Info(logline.ServersOrdered)
		}
	}
	h.next[key] = &placedOrder{count: count, at: now, accepted: err == nil && count > 0}
}
