package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// shrink drains servers above max_servers, or else those that the peak of holdTime does not need.
func (s *groupPlan) shrink(peak float64, known bool) {
	if s.g.MaxServers > 0 && s.total > s.g.MaxServers {
		s.drainMostExpensive(fmt.Sprintf("max_servers is %d", s.g.MaxServers), func(v *Server) bool { return true })
		return
	}
	if !known || s.capacityUnknown && peak > 0 {
		return
	}
	reason := fmt.Sprintf("the peak of the last %v is %.0f, there is %.0f", holdTime, peak, s.surviving(s.p.in.Policy.SpareFailureDomains))
	s.drainMostExpensive(reason, func(v *Server) bool { return s.canSpare(v, peak/drainUtilization) && s.keepsReclaimableLimit(v) })
}

// drainMostExpensive drains the servers for which may returns true, the most expensive first, within the limit of
// mayDrain.
func (s *groupPlan) drainMostExpensive(reason string, may func(*Server) bool) {
	victims := slices.Clone(s.running)
	slices.SortStableFunc(victims, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(s.unitPriceOf(b), s.unitPriceOf(a)), cmp.Compare(a.Running, b.Running))
	})
	for _, v := range victims {
		if !s.mayDrain() {
			return
		}
		if may(v) {
			s.drain(v, reason)
		}
	}
}

// mayDrain reports whether another server may drain; see drainShare.
func (s *groupPlan) mayDrain() bool {
	return s.leaving+s.drains < max(1, s.total/drainShare)
}

func (s *groupPlan) drain(v *Server, reason string) {
	s.drains++
	s.addServers(Cell{v.Class, v.Domain, v.Reclaimable}, -1)
	s.running = slices.DeleteFunc(s.running, func(r *Server) bool { return r == v })
	s.p.out.Drains = append(s.p.out.Drains, Drain{v.ID, reason})
}

// unitPriceOf returns the price per unit of capacity of a running server.
func (s *groupPlan) unitPriceOf(v *Server) float64 {
	price := s.p.effectivePrice(s.g, v.Class, v.Domain, v.PriceMicros, v.Reclaimable)
	return candidate{capacity: s.capacity(v.Class), price: price}.unitPrice()
}

// canSpare reports whether the group meets its requirements without the server: the needed capacity after the loss of
// the spare domains, min_servers and min_servers_per_domain.
func (s *groupPlan) canSpare(v *Server, need float64) bool {
	cell := Cell{v.Class, v.Domain, v.Reclaimable}
	s.addServers(cell, -1)
	defer s.addServers(cell, 1)
	if i, ok := s.p.domainIndex[v.Domain]; ok && s.counts[i] < s.minPerDomain() {
		return false
	}
	return s.total >= s.g.MinServers && s.surviving(s.p.in.Policy.SpareFailureDomains) >= need
}

// keepsReclaimableLimit reports whether reclaimable servers stay within max_reclaimable_percent without the server.
func (s *groupPlan) keepsReclaimableLimit(v *Server) bool {
	return v.Reclaimable || s.reclaimable <= s.maxReclaimable(s.total-1)
}

// replaceOne replaces one server of the wrong kind: a reclaimable one when there are more of them than the limit
// allows, or one on demand when a reclaimable one is cheaper by replaceGain. If the other servers suffice, the
// server is drained at once; otherwise a replacement is started first and the server is drained when the replacement is
// live.
func (s *groupPlan) replaceOne(peak float64) {
	if s.drains > 0 || !s.mayDrain() {
		return
	}
	for _, v := range s.running {
		c, reason := s.replacement(v)
		if reason == "" {
			continue
		}
		if s.canSpare(v, peak/replaceUtilization) {
			s.drain(v, reason)
			return
		}
		cell := c.Cell
		s.addServers(cell, 1)
		works := s.canSpare(v, peak/replaceUtilization)
		s.addServers(cell, -1)
		if works && s.canStart() {
			s.start(c, reason)
			return
		}
	}
}

// replacement returns the candidate that should replace a server and the reason. An empty reason means that the server
// is not replaced.
func (s *groupPlan) replacement(v *Server) (candidate, string) {
	i, ok := s.p.domainIndex[v.Domain]
	if !ok {
		return candidate{}, ""
	}
	over := s.reclaimable > s.maxReclaimable(s.total)
	reclaimableAllowed := s.reclaimable+1 <= s.maxReclaimable(s.total)
	for _, c := range s.candidates[i] {
		switch {
		case v.Reclaimable && over && !c.Reclaimable:
			return c, fmt.Sprintf("max_reclaimable_percent is %d", s.p.in.Policy.MaxReclaimablePercent)
		case !v.Reclaimable && reclaimableAllowed && c.Reclaimable && c.unitPrice()*replaceGain < s.unitPriceOf(v):
			return c, "reclaimable instances are accepted and cheaper than on demand"
		}
	}
	return candidate{}, ""
}
