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

// orderServers orders the number of servers that the plan calls for, unless the same order was sent recently.
func (h *dutyHolder) orderServers(ctx context.Context, now time.Time) {
	c := h.n.config.Load()
	if c == nil || !h.n.servers.loaded.Load() {
		return
	}
	for _, service := range c.Services {
		if service.Scaling == nil {
			continue
		}
		in := h.planInput(service, now)
		if h.n.rollouts.holdsFleet(service.Name, now) {
			continue
		}
		plan := elastic.Plan(in)
		for _, d := range in.Domains {
			reclaimable := func() {
				h.order(ctx, now, in, orderKey{service.Name, d.Name, true}, plan[d.Name].Reclaimable)
			}
			if !h.fleetSettled[service.Name] { // running servers may not have registered yet
				reclaimable()
				continue
			}
			// After a completed rollout the domain may be full of on-demand servers: reclaimable ones can start only once
			// those that the plan does not need are given up.
			onDemandFirst := h.n.rollouts.completed(service.Name) && plan[d.Name].Lasting < d.Lasting
			if !onDemandFirst {
				reclaimable()
			}
			h.order(ctx, now, in, orderKey{service.Name, d.Name, false}, plan[d.Name].Lasting)
			if onDemandFirst {
				reclaimable()
			}
		}
	}
}

// planInput collects the load and the servers of a service.
func (h *dutyHolder) planInput(service *serving.Service, now time.Time) elastic.Input {
	smoother, firstCall := h.smoothers[service.Name], false
	if smoother == nil {
		firstCall = true
		smoother = &elastic.Smoother{RiseHalfLife: loadRiseHalfLife, FallHalfLife: loadFallHalfLife,
			PeakHalfLife: peakFallHalfLife}
		h.smoothers[service.Name] = smoother
	}
	in := elastic.Input{Service: service.Name, Min: service.Scaling.Min, Max: service.Scaling.Max}
	index := map[string]int{}
	for domain, price := range service.Scaling.DomainPrices {
		index[domain] = len(in.Domains)
		last := h.lastOrders[orderKey{service.Name, domain, true}]
		refused := now.Sub(h.refusedAt[service.Name+"/"+domain]) < refusalTTL
		in.Domains = append(in.Domains, elastic.Domain{Name: domain, Price: price, Refused: refused,
			Accepted: last != nil && last.accepted})
	}
	for _, s := range h.n.board.Servers(service.Name) {
		i, ok := index[s.Domain]
		if !ok || s.State != serving.Ready || !h.n.rollouts.carriesLoad(&s) {
			continue
		}
		if s.Reclaimable {
			in.Domains[i].Reclaimable++
		} else {
			in.Domains[i].Lasting++
		}
	}
	h.trackFleet(service.Name, in, smoother, firstCall, now)
	in.Initial = h.initialServers[service.Name]
	// Occupied slots count as load: short streams can fill all slots of engines that are otherwise idle.
	slotsUsed, _ := h.n.board.Utilization(service.Name, now)
	load := max(h.n.engineLoad(service.Name, now), slotsUsed*float64(len(h.n.board.Servers(service.Name))))
	if load > 0 && h.loadSince.IsZero() {
		h.loadSince = now
	}
	in.Idle = h.loadSince.IsZero() && h.n.settings.FirstStart
	in.Load, in.Peak = smoother.Observe(load, now)
	in.Known = !h.loadSince.IsZero() && h.n.demand.observedFor(now) > loadSettleTime
	return in
}

// trackFleet records the servers that exist at the start of the term. While the whole deployment starts they are still
// registering. Later the fleet is that of the previous holder, who knew the load.
func (h *dutyHolder) trackFleet(service string, in elastic.Input, smoother *elastic.Smoother, firstCall bool, now time.Time) {
	reclaimable, onDemand := 0, 0
	for _, d := range in.Domains {
		reclaimable += d.Reclaimable
		onDemand += d.Lasting
	}
	needed := onDemand + elastic.Needed(reclaimable)
	inherited := !h.n.settings.FirstStart || now.Sub(h.n.started) > startupPeriod
	if firstCall && inherited {
		h.initialServers[service] = needed
		smoother.Inherit(needed)
	}
	if inherited || h.n.servers.unchangedFor(now) >= fleetSettleTime {
		h.fleetSettled[service] = true
	}
	if !h.fleetSettled[service] {
		h.initialServers[service] = needed
	}
}

// engineLoad returns the work of all nodes for a service, in fully used engines.
func (n *Node) engineLoad(service string, now time.Time) float64 {
	demands := n.demand.export(now)
	for _, heartbeat := range n.peers.alive(now) {
		demands = append(demands, heartbeat.Demand...)
	}
	load := 0.0
	for _, d := range demands {
		if d.Service == service {
			load += float64(d.Prefill)/enginePrefillRate + float64(d.Output)/engineOutputRate
		}
	}
	return load
}

func (h *dutyHolder) order(ctx context.Context, now time.Time, in elastic.Input, key orderKey, count int) {
	last := h.lastOrders[key]
	if last != nil {
		age := now.Sub(last.at)
		if age < minOrderInterval || (last.count == count && age < orderRepeatInterval) {
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
		h.refusedAt[key.service+"/"+key.domain] = now
		h.n.metrics.Count("orders", "result", "refused", 1)
		h.n.log.WithFields(fields).Info(logline.OrderRefused)
	case err != nil:
		h.n.metrics.Count("orders", "result", "failed", 1)
		h.n.log.WithError(err).WithFields(fields).Warning("order failed")
	default:
		h.n.metrics.Count("orders", "result", "accepted", 1)
		if last == nil || last.count != count {
			h.n.log.WithFields(fields).Info(logline.ServersOrdered)
		}
	}
	h.lastOrders[key] = &placedOrder{count: count, at: now, accepted: err == nil && count > 0}
}
