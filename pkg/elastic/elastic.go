// Package elastic plans how many servers of a service run in each failure domain, of two kinds: reclaimable servers,
// which the platform may take away, and on-demand ones, which it does not.
//
// Load pattern: reclaimable servers cost a fraction of the price of on-demand ones, but all in a failure domain are
// reclaimed at once with two or three seconds of notice, several domains follow each other, and for a while none are
// available anywhere. A fixed number is wrong on most days: with too few on-demand servers requests are lost during a
// reclaim, and too many cost as much as reclaimable ones save. The plan keeps more reclaimable servers than the load
// needs, spread so that enough remain after the loss of a domain, and orders on-demand ones for the shortfall as soon as
// a notice arrives.
//
// Plan is a pure function of its input; the duty holder calls it about once a second.
package elastic

import (
	"math"
	"sort"
	"time"
)

// Order requests a number of servers of one kind in a failure domain. The number is a total and not a difference, so a
// repeated or late order is harmless.
type Order struct {
	Service     string
	Domain      string
	Reclaimable bool
	Count       int
}

// Domain is the state of one failure domain.
type Domain struct {
	Name  string
	Price float64
	// Reclaimable and Lasting are the numbers of reclaimable and on-demand servers that serve and are not leaving.
	Reclaimable, Lasting int
	// Refused is set if reclaimable servers were recently refused here, Accepted if the last order of some was accepted.
	Refused, Accepted bool
}

// Input is the input of Plan for one service.
type Input struct {
	Service string
	// Load is the mean load of all nodes and Peak that of the busiest recent seconds, in fully used servers.
	Load, Peak float64
	// Known is false until the load has been observed for a while; Initial is the number of servers needed until then.
	Known   bool
	Initial int
	// Idle is set while a deployment that starts for the first time has had no load at all.
	Idle bool
	// Min and Max bound the number of servers of a domain, both kinds together.
	Min, Max int
	Domains  []Domain
}

const (
	// peakUtilization is the planned utilization of servers at the peak load. Above it, bursts of long prompts delay the
	// first events of all other requests. Reclaimable servers, at about a sixth of the price, follow the peak.
	peakUtilization = 0.6
	// meanUtilization is the planned utilization at the mean load, which the expensive on-demand servers follow.
	meanUtilization = 0.7
	// lossUtilization is the planned utilization right after the loss of a domain while reclaimable servers are refused.
	lossUtilization = 0.9
	// reclaimableFactor is the number of reclaimable servers that are kept for each one needed: having enough left after
	// the loss of two domains out of four costs less than ordering on-demand servers in their place.
	reclaimableFactor = 1.7
	// unknownLoadFactor is the planned peak as a multiple of Initial while the load is not known: callers arrive all at
	// once, and none of their prompts are cached.
	unknownLoadFactor = 1.2
	// minServers is the number of servers of a service that are needed whatever its load.
	minServers = 6
	// idleOnDemand is the number of on-demand servers of a domain that are kept for the first requests while reclaimable
	// ones boot there.
	idleOnDemand = 2
)

// Needed returns the number of needed servers for which a plan keeps the given number of reclaimable ones.
func Needed(reclaimable int) int {
	return int(math.Round(float64(reclaimable) / reclaimableFactor))
}

// Counts holds the planned numbers of reclaimable and on-demand (Lasting) servers of a domain.
type Counts struct {
	Reclaimable, Lasting int
}

// Plan returns the planned counts by domain.
func Plan(in Input) map[string]Counts {
	plan := make(map[string]Counts, len(in.Domains))
	if len(in.Domains) == 0 {
		return plan
	}
	needed, peak := max(in.Initial, minServers), max(int(math.Ceil(unknownLoadFactor*float64(in.Initial))), minServers)
	if in.Known {
		needed = max(int(math.Ceil(in.Load/meanUtilization)), minServers)
		peak = max(int(math.Ceil(in.Peak/peakUtilization)), needed)
	}
	planReclaimable(in, peak, plan)
	remaining, largest, scarce := 0, 0, false
	for _, d := range in.Domains {
		kept := min(d.Reclaimable, plan[d.Name].Reclaimable)
		remaining += kept
		largest = max(largest, kept)
		scarce = scarce || d.Refused
	}
	shortfall := needed - remaining
	if scarce && in.Known {
		// The next domain may be reclaimed before an on-demand server has booted, and its servers cannot be replaced.
		shortfall = max(shortfall, int(math.Ceil(in.Load/lossUtilization))-(remaining-largest))
	}
	if in.Idle && !in.Known && shortfall > 0 {
		planIdle(in, plan)
		return plan
	}
	planOnDemand(in, shortfall, plan)
	return plan
}

// planIdle gives up most on-demand servers of a deployment without load, in domains that accept orders of reclaimable
// ones, before these have booted: the maximum of a domain applies to both kinds together, so there would be no room to
// run both.
func planIdle(in Input, plan map[string]Counts) {
	for _, d := range in.Domains {
		c := plan[d.Name]
		c.Lasting = d.Lasting
		if d.Accepted && !d.Refused {
			c.Lasting = min(d.Lasting, max(idleOnDemand, in.Min-c.Reclaimable))
		}
		c.Reclaimable = min(c.Reclaimable, in.Max-c.Lasting)
		plan[d.Name] = c
	}
}

// planReclaimable spreads reclaimable servers evenly over the domains. A domain that refuses orders keeps its servers,
// and the others make up for the rest of its part.
func planReclaimable(in Input, needed int, plan map[string]Counts) {
	accepting, kept := 0, 0
	for _, d := range in.Domains {
		if d.Refused {
			kept += d.Reclaimable
		} else {
			accepting++
		}
	}
	total := int(math.Ceil(float64(needed) * reclaimableFactor))
	perDomain := 0
	if accepting > 0 {
		perDomain = max(0, (total-kept+accepting-1)/accepting)
	}
	for _, d := range in.Domains {
		count := min(perDomain, in.Max-1)
		if d.Refused {
			// The order stays open to be retried; Plan counts only the servers that exist.
			count = min(max(d.Reclaimable, min((total+len(in.Domains)-1)/len(in.Domains), in.Max-1)), in.Max)
		}
		plan[d.Name] = Counts{Reclaimable: count}
	}
}

// planOnDemand covers the shortfall of reclaimable servers. Running servers stay in their domain, since a replacement
// boots for seconds and starts with an empty cache; the cheapest domains keep and get servers first. On-demand servers
// are not reclaimed, so there is little to gain from spreading them.
func planOnDemand(in Input, shortfall int, plan map[string]Counts) {
	domains := append([]Domain(nil), in.Domains...)
	sort.Slice(domains, func(i, j int) bool {
		if domains[i].Price != domains[j].Price {
			return domains[i].Price < domains[j].Price
		}
		return domains[i].Name < domains[j].Name
	})
	for _, d := range domains {
		c := plan[d.Name]
		// The operator's minimum applies to both kinds together; planned reclaimable servers count towards it.
		if c.Reclaimable < in.Min {
			c.Lasting = in.Min - c.Reclaimable
			shortfall -= c.Lasting
			plan[d.Name] = c
		}
	}
	for _, existing := range []bool{true, false} {
		for _, d := range domains {
			c := plan[d.Name]
			room := in.Max - min(d.Reclaimable, c.Reclaimable) - c.Lasting
			if existing {
				room = min(room, d.Lasting-c.Lasting)
			}
			more := max(0, min(shortfall, room))
			c.Lasting += more
			shortfall -= more
			plan[d.Name] = c
		}
	}
	// The maximum applies to both kinds together.
	for _, d := range domains {
		c := plan[d.Name]
		c.Reclaimable = min(c.Reclaimable, in.Max-c.Lasting)
		plan[d.Name] = c
	}
}

// Smoother averages the load and tracks its decaying peak, so that a pause between two bursts of requests does not stop
// servers that take seconds to boot, and a single burst does not order expensive ones.
type Smoother struct {
	// RiseHalfLife and FallHalfLife are the times in which the mean covers half the distance to a higher and to a lower
	// load; PeakHalfLife is that in which the peak covers half the distance to a lower load.
	RiseHalfLife, FallHalfLife, PeakHalfLife time.Duration
	mean, peak                               float64
	at                                       time.Time
}

// Inherit initialises the peak for a fleet that an earlier planner has ordered: it is the load, in fully used servers,
// for which a fleet with the given number of needed servers is planned. Without it, a planner that starts while there is
// no traffic, as after the loss of all nodes, would give up servers whose load returns within seconds.
func (s *Smoother) Inherit(needed int) { s.peak = float64(needed) * peakUtilization }

// Observe adds a sample of the load at now and returns the mean and the peak.
func (s *Smoother) Observe(load float64, now time.Time) (mean, peak float64) {
	if s.at.IsZero() {
		s.mean = load
	} else {
		elapsed := float64(now.Sub(s.at))
		half := s.FallHalfLife
		if load > s.mean {
			half = s.RiseHalfLife
		}
		s.mean = load + (s.mean-load)*math.Exp2(-elapsed/float64(half))
		s.peak = load + (s.peak-load)*math.Exp2(-elapsed/float64(s.PeakHalfLife))
	}
	s.peak = max(s.peak, load)
	s.at = now
	return s.mean, s.peak
}
