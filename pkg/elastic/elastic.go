// Package elastic plans how many servers of a service run in each failure domain, of those that may be reclaimed and of
// others.
//
// Load pattern: reclaimable servers cost a small part of the others' price, but all of a failure domain go at once with
// two or three seconds of notice, several domains follow each other, and for a while none are to be had anywhere. A
// fixed number is wrong on most days: too few others lose requests during a reclaim, too many cost as much as what they
// save. The plan keeps more reclaimable servers than the load needs, spread so that the loss of a domain leaves enough,
// and orders others for what is missing from the first second of a notice on.
//
// Plan is a pure function of counts; the holder of the duty calls it about once a second.
package elastic

import (
	"math"
	"sort"
	"time"
)

// Order asks for a number of servers of one kind in a failure domain. It is absolute, so that a repeated or late one is
// harmless.
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
	// Reclaimable and Lasting are the servers of each kind that serve and are not leaving.
	Reclaimable, Lasting int
	// Refused is set while reclaimable servers were refused here lately, Accepted when the last order of some was taken.
	Refused, Accepted bool
}

// Input is what a plan depends on.
type Input struct {
	Service string
	// Load is the mean work of all nodes and Peak that of the busiest seconds lately, in fully used servers.
	Load, Peak float64
	// Known is false until the load has been seen for a while; Initial is the number of servers needed until then.
	Known   bool
	Initial int
	// Idle is set while a deployment that starts for the first time has seen no work at all.
	Idle bool
	// Min and Max bound the servers of a domain.
	Min, Max int
	Domains  []Domain
}

const (
	// peakUse is the part of a server that is planned to be used at a peak. Above it clumps of long prompts delay the
	// first events of all others. Reclaimable servers, at about a sixth of the price, follow the peak.
	peakUse = 0.6
	// meanUse is the same for the mean load, which the expensive servers follow.
	meanUse = 0.7
	// lossUse is the part that may be used right after the loss of a domain while reclaimable servers are refused.
	lossUse = 0.9
	// reclaimableSurplus is how many reclaimable servers are kept for each one needed: what is left after the loss of two
	// domains of four costs less than lasting servers ordered in their place.
	reclaimableSurplus = 1.7
	// unknownSurplus is how many reclaimable servers are kept for each server present while the load is not known: callers
	// come all at once, and their prompts are cached nowhere.
	unknownSurplus = 1.2
	// minServers is kept for a service whatever its load.
	minServers = 6
	// idleLasting is how many lasting servers of a domain wait for the first work while reclaimable ones boot there.
	idleLasting = 2
)

// Needed returns how many servers a plan needed that keeps a number of reclaimable ones.
func Needed(reclaimable int) int {
	return int(math.Round(float64(reclaimable) / reclaimableSurplus))
}

// Counts is the planned number of servers of a domain.
type Counts struct {
	Reclaimable, Lasting int
}

// Plan returns the counts of each domain.
func Plan(in Input) map[string]Counts {
	plan := make(map[string]Counts, len(in.Domains))
	if len(in.Domains) == 0 {
		return plan
	}
	need, peak := max(in.Initial, minServers), max(int(math.Ceil(unknownSurplus*float64(in.Initial))), minServers)
	if in.Known {
		need = max(int(math.Ceil(in.Load/meanUse)), minServers)
		peak = max(int(math.Ceil(in.Peak/peakUse)), need)
	}
	planReclaimable(in, peak, plan)
	alive, largest, scarce := 0, 0, false
	for _, d := range in.Domains {
		kept := min(d.Reclaimable, plan[d.Name].Reclaimable)
		alive += kept
		largest = max(largest, kept)
		scarce = scarce || d.Refused
	}
	missing := need - alive
	if scarce && in.Known {
		// The next domain may be reclaimed before a lasting server has booted, and nothing replaces it.
		missing = max(missing, int(math.Ceil(in.Load/lossUse))-(alive-largest))
	}
	if in.Idle && !in.Known && missing > 0 {
		planIdle(in, plan)
		return plan
	}
	planLasting(in, missing, plan)
	return plan
}

// planIdle replaces most lasting servers of a deployment that has no work yet, before their cheap successors have booted:
// the maximum of a domain holds for both kinds, so that they could not be ordered beside each other.
func planIdle(in Input, plan map[string]Counts) {
	for _, d := range in.Domains {
		c := plan[d.Name]
		c.Lasting = d.Lasting
		if d.Accepted && !d.Refused {
			c.Lasting = min(d.Lasting, max(idleLasting, in.Min-c.Reclaimable))
		}
		c.Reclaimable = min(c.Reclaimable, in.Max-c.Lasting)
		plan[d.Name] = c
	}
}

// planReclaimable spreads reclaimable servers evenly over the domains. A domain that refuses keeps what it has, and
// the others take its part.
func planReclaimable(in Input, need int, plan map[string]Counts) {
	open, kept := 0, 0
	for _, d := range in.Domains {
		if d.Refused {
			kept += d.Reclaimable
		} else {
			open++
		}
	}
	total := int(math.Ceil(float64(need) * reclaimableSurplus))
	each := 0
	if open > 0 {
		each = max(0, (total-kept+open-1)/open)
	}
	for _, d := range in.Domains {
		count := min(each, in.Max-1)
		if d.Refused {
			// One more than there is asks again without a plan that counts on it.
			count = min(max(d.Reclaimable, min((total+len(in.Domains)-1)/len(in.Domains), in.Max-1)), in.Max)
		}
		plan[d.Name] = Counts{Reclaimable: count}
	}
}

// planLasting covers what reclaimable servers do not. Servers that run already are kept where they are, since a server
// that is moved boots for seconds and has lost its cache; the cheapest domains keep and get theirs first. Lasting servers
// are not reclaimed, so that spreading them buys little.
func planLasting(in Input, missing int, plan map[string]Counts) {
	domains := append([]Domain(nil), in.Domains...)
	sort.Slice(domains, func(i, j int) bool {
		if domains[i].Price != domains[j].Price {
			return domains[i].Price < domains[j].Price
		}
		return domains[i].Name < domains[j].Name
	})
	for _, d := range domains {
		c := plan[d.Name]
		// The operator's minimum holds for both kinds together; a server that may be reclaimed does not secure it.
		if c.Reclaimable < in.Min {
			c.Lasting = in.Min - c.Reclaimable
			missing -= c.Lasting
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
			more := max(0, min(missing, room))
			c.Lasting += more
			missing -= more
			plan[d.Name] = c
		}
	}
	// Both kinds together keep to the maximum.
	for _, d := range domains {
		c := plan[d.Name]
		c.Reclaimable = min(c.Reclaimable, in.Max-c.Lasting)
		plan[d.Name] = c
	}
}

// Smoother averages the load and remembers its peaks, so that a pause between two clumps of requests does not send
// servers away that take seconds to boot, and a single clump does not order expensive ones.
type Smoother struct {
	// RiseHalfLife and FallHalfLife are the times in which the mean takes over half of a higher and of a lower load;
	// PeakHalfLife is that in which a peak is half forgotten.
	RiseHalfLife, FallHalfLife, PeakHalfLife time.Duration
	mean, peak                               float64
	at                                       time.Time
}

// Inherit takes over a fleet that an earlier planner has ordered: its peak is the load for which such a fleet is planned,
// in fully used servers. Without it a planner that starts while callers are away, as after the loss of all nodes, would
// give up servers whose load returns within seconds.
func (s *Smoother) Inherit(needed int) { s.peak = float64(needed) * peakUse }

// Observe takes the load now and returns its mean and peak.
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
