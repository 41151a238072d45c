package fleet

import (
	"fmt"
	"math"
)

const (
	// maxSetDomains bounds the exhaustive search over sets of domains. With more domains, only the sets of the n cheapest
	// domains are tried, for each n.
	maxSetDomains = 8
	// levelSteps is the number of bisection steps, which narrow the interval of a level to less than a millionth.
	levelSteps = 24
)

// grow starts servers until the capacity after the loss of the spare domains reaches need. When too few domains accept
// starts for that, it provides for the loss of fewer domains.
func (s *groupPlan) grow(need float64) {
	for spare := min(s.p.in.Policy.SpareFailureDomains, max(0, len(s.capacities)-1)); spare >= 0; spare-- {
		done := false
		for {
			if s.surviving(spare) >= need {
				done = true
				break
			}
			if !s.canStart() {
				return
			}
			c, ok := s.nextStart(need, spare)
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

// nextStart returns the candidate to start first in the cheapest plan that reaches need.
func (s *groupPlan) nextStart(need float64, spare int) (candidate, bool) {
	unitPrices := make([]float64, len(s.capacities))
	for i := range unitPrices {
		unitPrices[i] = math.Inf(1)
		for _, c := range s.allowedCandidates(i) {
			unitPrices[i] = min(unitPrices[i], c.unitPrice())
		}
	}
	bestCost, bestLevel, bestSet := math.Inf(1), 0.0, uint(0)
	for _, set := range domainSets(unitPrices) {
		level, ok := requiredLevel(s.capacities, set, need, spare)
		if !ok {
			continue
		}
		cost := 0.0
		for i, c := range s.capacities {
			if set&(1<<i) != 0 {
				cost += max(0, level-c) * unitPrices[i]
			}
		}
		if cost < bestCost {
			bestCost, bestLevel, bestSet = cost, level, set
		}
	}
	return s.candidateInLowestDomain(bestSet, bestLevel, unitPrices)
}

// candidateInLowestDomain returns the candidate to start in the domain of the set with the least capacity below level.
func (s *groupPlan) candidateInLowestDomain(set uint, level float64, unitPrices []float64) (candidate, bool) {
	best := -1
	for i, c := range s.capacities {
		if set&(1<<i) == 0 || c >= level {
			continue
		}
		if best < 0 || c < s.capacities[best] || c == s.capacities[best] && unitPrices[i] < unitPrices[best] {
			best = i
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return s.cheapest(best, level-s.capacities[best])
}

// domainSets returns the sets of domains to try, as bit sets: all non-empty sets of the domains that accept starts, or
// those of cheapestSets when there are more than maxSetDomains.
func domainSets(unitPrices []float64) []uint {
	var open []int
	for i, price := range unitPrices {
		if !math.IsInf(price, 1) {
			open = append(open, i)
		}
	}
	var out []uint
	if len(open) > maxSetDomains {
		return cheapestSets(open, unitPrices)
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

// cheapestSets returns, for each n, the set of the n cheapest domains.
func cheapestSets(open []int, unitPrices []float64) []uint {
	var out []uint
	set := uint(0)
	for range open {
		best := -1
		for _, i := range open {
			if set&(1<<i) == 0 && (best < 0 || unitPrices[i] < unitPrices[best]) {
				best = i
			}
		}
		set |= 1 << best
		out = append(out, set)
	}
	return out
}

// requiredLevel returns the lowest capacity to which the domains of the set must be raised so that at least need
// survives the loss of the spare domains. It returns false when that is impossible.
func requiredLevel(capacities []float64, set uint, need float64, spare int) (float64, bool) {
	raised := make([]float64, len(capacities))
	at := func(level float64) float64 {
		for i, c := range capacities {
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
