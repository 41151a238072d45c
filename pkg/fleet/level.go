package fleet

import (
	"fmt"
	"math"
)

const (
	// maxSetDomains bounds the search over sets of domains; with more, only the sets of the cheapest are tried.
	maxSetDomains = 8
	// levelSteps halve the interval of a level to less than a millionth.
	levelSteps = 24
)

// raise starts servers until the capacity after the loss of the spare domains reaches the need. When that is out of
// reach because too few domains accept starts, it provides for the loss of fewer.
func (s *sizing) raise(need float64) {
	for spare := min(s.p.in.Policy.SpareFailureDomains, max(0, len(s.caps)-1)); spare >= 0; spare-- {
		done := false
		for {
			if s.surviving(spare) >= need {
				done = true
				break
			}
			if !s.room() {
				return
			}
			c, ok := s.next(need, spare)
			if !ok {
				break
			}
			s.start(c, fmt.Sprintf("demand needs %.0f after the loss of %d failure domains, there is %.0f", need, spare, s.surviving(spare)))
		}
		if done {
			return
		}
		s.p.out.Short[s.g.Name] = fmt.Sprintf("starts are refused; cannot cover the loss of %d failure domains", spare)
	}
}

// next returns the candidate that is started first on the cheapest way to the need.
func (s *sizing) next(need float64, spare int) (candidate, bool) {
	units := make([]float64, len(s.caps))
	for i := range units {
		units[i] = math.Inf(1)
		for _, c := range s.usable(i) {
			units[i] = min(units[i], c.unit())
		}
	}
	bestCost, bestLevel, bestSet := math.Inf(1), 0.0, uint(0)
	for _, set := range sets(units) {
		level, ok := level(s.caps, set, need, spare)
		if !ok {
			continue
		}
		cost := 0.0
		for i, c := range s.caps {
			if set&(1<<i) != 0 {
				cost += max(0, level-c) * units[i]
			}
		}
		if cost < bestCost {
			bestCost, bestLevel, bestSet = cost, level, set
		}
	}
	return s.lowest(bestSet, bestLevel, units)
}

// lowest returns the candidate for the domain of the set that is furthest below the level.
func (s *sizing) lowest(set uint, level float64, units []float64) (candidate, bool) {
	best := -1
	for i, c := range s.caps {
		if set&(1<<i) == 0 || c >= level {
			continue
		}
		if best < 0 || c < s.caps[best] || c == s.caps[best] && units[i] < units[best] {
			best = i
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return s.cheapest(best, level-s.caps[best])
}

// sets returns the sets of domains to try, as bits: all sets of the domains that accept starts.
func sets(units []float64) []uint {
	var open []int
	for i, unit := range units {
		if !math.IsInf(unit, 1) {
			open = append(open, i)
		}
	}
	var out []uint
	if len(open) > maxSetDomains {
		return cheapestSets(open, units)
	}
	for choice := 1; choice < 1<<len(open); choice++ {
		set := uint(0)
		for bit, i := range open {
			if choice&(1<<bit) != 0 {
				set |= 1 << i
			}
		}
		out = append(out, set)
	}
	return out
}

// cheapestSets returns the sets of the n cheapest domains for each n.
func cheapestSets(open []int, units []float64) []uint {
	var out []uint
	set := uint(0)
	for range open {
		best := -1
		for _, i := range open {
			if set&(1<<i) == 0 && (best < 0 || units[i] < units[best]) {
				best = i
			}
		}
		set |= 1 << best
		out = append(out, set)
	}
	return out
}

// level returns the lowest capacity to which the domains of the set must rise so that enough survives.
func level(caps []float64, set uint, need float64, spare int) (float64, bool) {
	raised := make([]float64, len(caps))
	at := func(level float64) float64 {
		for i, c := range caps {
			raised[i] = c
			if set&(1<<i) != 0 {
				raised[i] = max(c, level)
			}
		}
		return surviving(raised, spare)
	}
	if at(need) < need {
		return 0, false
	}
	low, high := 0.0, need
	for range levelSteps {
		if middle := (low + high) / 2; at(middle) < need {
			low = middle
		} else {
			high = middle
		}
	}
	return high, true
}
