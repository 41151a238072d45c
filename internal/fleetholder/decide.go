package fleetholder

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/fleet"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// startTimeout is how long a started instance may be missing from the instance list before it is replaced.
	startTimeout = 10 * time.Minute
	// rowRetention is how long the starts of listed instances and the drains stay in the row at least. It exceeds the time
	// for which the instance lists of two nodes can differ.
	rowRetention = 2 * time.Minute
	// expectedStartTime is the instance start time assumed in the cost of a reclaim.
	expectedStartTime = 3 * time.Minute
	// refusalRetention is how long a refusal stays in the row after its backoff has ended.
	refusalRetention = time.Hour
)

// pruneRow removes finished entries from the row: starts whose instance is listed, has disappeared or is overdue,
// drains of servers that are gone, and expired refusals.
func (t *term) pruneRow(servers []Server) {
	now := time.Now()
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.ID] = true
	}
	t.row.Starts = slices.DeleteFunc(t.row.Starts, func(s *pb.FleetStart) bool {
		age := now.Sub(time.UnixMilli(int64(s.DecidedUnixMs)))
		_, seen := t.seen[s.Instance]
		switch {
		case s.Instance != "" && present[s.Instance]:
			t.seen[s.Instance] = now
			return age > rowRetention
		case seen && now.Sub(t.seen[s.Instance]) > rowRetention/4:
			return true // the instance was listed and has disappeared
		}
		if age > startTimeout {
			t.f.Metrics.Add("fleet_starts_abandoned", 1)
			return true
		}
		return false
	})
	t.row.Drains = slices.DeleteFunc(t.row.Drains, func(d *pb.FleetDrain) bool {
		return !present[d.Instance] && now.Sub(time.UnixMilli(int64(d.BegunUnixMs))) > rowRetention
	})
	t.row.Refusals = slices.DeleteFunc(t.row.Refusals, func(r *pb.FleetRefusal) bool {
		return now.Sub(refusalFromRow(r).RetryAt()) > refusalRetention
	})
}

func refusalFromRow(r *pb.FleetRefusal) fleet.Refusal {
	return fleet.Refusal{Count: int(r.Count), Last: time.UnixMilli(int64(r.LastUnixMs))}
}

// input assembles the input of the planner.
func (t *term) input(index *config.Index, servers []Server) fleet.Input {
	policy := index.Policy()
	demand, reclaims := t.f.observer.input()
	in := fleet.Input{
		Now: time.Now(),
		Policy: fleet.Policy{
			SpareFailureDomains:   int(policy.SpareFailureDomains),
			MaxReclaimablePercent: int(policy.MaxReclaimablePercent),
			RecomputeWeight:       int(policy.RecomputeWeight),
			BetweenTokens:         policy.BetweenTokens,
		},
		Groups:    planGroups(index),
		Domains:   t.f.Domains(),
		Demand:    demand,
		Reclaims:  reclaims,
		Refusals:  map[fleet.Cell]fleet.Refusal{},
		Prices:    t.prices,
		StartTime: expectedStartTime,
		Memory:    t.memory,
	}
	for _, r := range t.row.Refusals {
		in.Refusals[fleet.Cell{Class: r.InstanceClass, Domain: r.FailureDomain, Reclaimable: r.Reclaimable}] = refusalFromRow(r)
	}
	t.trackVersions(in.Groups, servers)
	t.pruneOrders(servers)
	in.Servers = t.planServers(servers)
	return in
}

// planGroups converts the configured backend groups with their instance classes and models.
func planGroups(index *config.Index) []fleet.Group {
	folder := index.Folder()
	var out []fleet.Group
	for _, g := range folder.BackendGroups {
		group := fleet.Group{
			Name:          g.Name,
			Kind:          platform.PlainService,
			ChecksFencing: g.ChecksFencing,
			Concurrency:   g.Concurrency,
			MinServers:    int(g.MinServers),
			MaxServers:    int(g.MaxServers),
		}
		if g.Kind == pb.BackendGroup_MODEL_ENGINE {
			group.Kind = platform.ModelEngine
		}
		for _, name := range g.InstanceClasses {
			if c, ok := index.Class(name); ok {
				group.Classes = append(group.Classes, fleet.Class{
					Name:              name,
					TokensPerSecond:   float64(c.TokensPerSecond),
					ReclaimableMicros: c.ReclaimablePriceMicros,
					OnDemandMicros:    c.OnDemandPriceMicros,
				})
			}
		}
		for _, m := range folder.Models {
			if m.BackendGroup == g.Name {
				group.Models = append(group.Models, fleet.Model{
					Name:         m.Name,
					Version:      m.Version,
					Adapters:     m.Adapters,
					WeightsMiB:   m.WeightsMib,
					MinPerDomain: int(m.MinServersPerDomain),
				})
			}
		}
		out = append(out, group)
	}
	return out
}

// planServers converts the listed servers and adds the started ones that are not listed yet.
func (t *term) planServers(servers []Server) []fleet.Server {
	draining := map[string]bool{}
	for _, d := range t.row.Drains {
		draining[d.Instance] = true
	}
	present := map[string]bool{}
	out := make([]fleet.Server, 0, len(servers)+len(t.row.Starts))
	for _, s := range servers {
		present[s.ID] = true
		server := fleet.Server{
			ID:          s.ID,
			Group:       s.BackendGroup,
			Class:       s.InstanceClass,
			Domain:      s.FailureDomain,
			Reclaimable: s.Reclaimable,
			State:       s.State,
			PriceMicros: s.PricePerHourMicros,
			Running:     s.Load.Running + s.Load.Waiting,
			Known:       s.Known,
			Models:      t.versionsOn(s),
			Adapters:    s.Load.Adapters,
			Ordered:     t.ordersOn(s.ID),
			Draining:    draining[s.ID],
		}
		if s.Noticed || draining[s.ID] {
			server.State = platform.Leaving
		}
		out = append(out, server)
	}
	for _, s := range t.row.Starts {
		_, seen := t.seen[s.Instance]
		if (s.Instance == "" || !present[s.Instance]) && !seen {
			out = append(out, fleet.Server{
				ID:          startToken(s),
				Group:       s.BackendGroup,
				Class:       s.InstanceClass,
				Domain:      s.FailureDomain,
				Reclaimable: s.Reclaimable,
				State:       platform.Starting,
			})
		}
	}
	return out
}

// decide adds the decisions of the plan to the row.
func (t *term) decide() {
	now := uint64(time.Now().UnixMilli())
	for _, s := range t.plan.Starts {
		t.row.Decisions++
		t.row.Starts = append(t.row.Starts, &pb.FleetStart{
			Number:        t.row.Decisions,
			BackendGroup:  s.Group,
			Kind:          string(s.Kind),
			InstanceClass: s.Class,
			Region:        s.Region,
			FailureDomain: s.Domain,
			Reclaimable:   s.Reclaimable,
			DecidedUnixMs: now,
		})
		fields := logrus.Fields{"backend_group": s.Group, "instance_class": s.Class, "failure_domain": s.Domain, "reclaimable": s.Reclaimable}
		t.recordDecision(fields, "start instance", s.Reason)
	}
	for _, d := range t.plan.Drains {
		t.row.Drains = append(t.row.Drains, &pb.FleetDrain{
			Instance:       d.Server,
			BegunUnixMs:    now,
			DeadlineUnixMs: now + uint64(t.f.DrainTime.Milliseconds()),
		})
		t.f.Metrics.Add("fleet_drains", 1)
		t.recordDecision(logrus.Fields{"instance": d.Server}, "drain server", d.Reason)
	}
}

// recordRefusal adds a refused start to the row. Refusals within stepInterval count once.
func (t *term) recordRefusal(s *pb.FleetStart) {
	now := time.Now()
	t.f.Metrics.Count("fleet_start_refusals", "place", s.InstanceClass+"/"+s.FailureDomain, 1)
	t.log.WithFields(logrus.Fields{"instance_class": s.InstanceClass, "failure_domain": s.FailureDomain,
		"reclaimable": s.Reclaimable}).Warn("instance start refused; retried after a backoff")
	for _, r := range t.row.Refusals {
		if r.InstanceClass != s.InstanceClass || r.FailureDomain != s.FailureDomain || r.Reclaimable != s.Reclaimable {
			continue
		}
		if now.Sub(refusalFromRow(r).Last) > stepInterval {
			r.Count, r.LastUnixMs = r.Count+1, uint64(now.UnixMilli())
		}
		return
	}
	t.row.Refusals = append(t.row.Refusals, &pb.FleetRefusal{InstanceClass: s.InstanceClass, FailureDomain: s.FailureDomain,
		Reclaimable: s.Reclaimable, Count: 1, LastUnixMs: uint64(now.UnixMilli())})
}

// clearRefusals removes the refusals for an instance class and failure domain that accepts starts again.
func (t *term) clearRefusals(s *pb.FleetStart) {
	t.row.Refusals = slices.DeleteFunc(t.row.Refusals, func(r *pb.FleetRefusal) bool {
		return r.InstanceClass == s.InstanceClass && r.FailureDomain == s.FailureDomain && r.Reclaimable == s.Reclaimable
	})
}
