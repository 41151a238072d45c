package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// shrink drains what the peak of the hold time does not need, the most expensive first.
func (s *sizing) shrink(peak float64, known bool) {
	if s.g.MaxServers > 0 && s.total > s.g.MaxServers {
		s.drainFirst(fmt.Sprintf("max_servers is %d", s.g.MaxServers), func(v *Server) bool { return true })
		return
	}
	if !known || s.unknown && peak > 0 {
		return
	}
	reason := fmt.Sprintf("the peak of the last %v is %.0f, there is %.0f", holdTime, peak, s.surviving(s.p.in.Policy.SpareFailureDomains))
	s.drainFirst(reason, func(v *Server) bool { return s.spares(v, peak/drainUtilization) && s.keepsShare(v) })
}

// drainFirst drains the most expensive servers that may go, within the bound of the step.
func (s *sizing) drainFirst(reason string, may func(*Server) bool) {
	victims := slices.Clone(s.running)
	slices.SortStableFunc(victims, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(s.unitOf(b), s.unitOf(a)), cmp.Compare(a.Running, b.Running))
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

// mayDrain bounds the servers that drain at a time.
func (s *sizing) mayDrain() bool {
	return s.leaving+s.drains < max(1, s.total/drainShare)
}

func (s *sizing) drain(v *Server, reason string) {
	s.drains++
	s.count(Cell{v.Class, v.Domain, v.Reclaimable}, -1)
	s.running = slices.DeleteFunc(s.running, func(r *Server) bool { return r == v })
	s.p.out.Drains = append(s.p.out.Drains, Drain{v.ID, reason})
}

// unitOf is the price per unit of capacity of a running server.
func (s *sizing) unitOf(v *Server) float64 {
	price := s.p.effective(s.g, v.Class, v.Domain, v.PriceMicros, v.Reclaimable)
	return candidate{capacity: s.capacity(v.Class), price: price}.unit()
}

// spares reports whether enough remains without the server: capacity after the loss of the spare domains, min_servers
// and min_servers_per_domain.
func (s *sizing) spares(v *Server, need float64) bool {
	cell := Cell{v.Class, v.Domain, v.Reclaimable}
	s.count(cell, -1)
	defer s.count(cell, 1)
	if i, ok := s.p.position[v.Domain]; ok && s.counts[i] < s.minPerDomain() {
		return false
	}
	return s.total >= s.g.MinServers && s.surviving(s.p.in.Policy.SpareFailureDomains) >= need
}

// keepsShare reports whether the share of reclaimable servers stays within its limit without the server.
func (s *sizing) keepsShare(v *Server) bool {
	return v.Reclaimable || s.reclaim <= s.mostReclaimable(s.total-1)
}

// swap replaces one server that is of the wrong kind: a reclaimable one when their share is over its limit, or one on
// demand when a reclaimable one is clearly cheaper again. The replacement starts first; the server drains when it is
// live.
func (s *sizing) swap(peak float64) {
	if s.drains > 0 || !s.mayDrain() {
		return
	}
	for _, v := range s.running {
		c, reason := s.replacement(v)
		if reason == "" {
			continue
		}
		if s.spares(v, peak/swapUtilization) {
			s.drain(v, reason)
			return
		}
		cell := c.Cell
		s.count(cell, 1)
		works := s.spares(v, peak/swapUtilization)
		s.count(cell, -1)
		if works && s.room() {
			s.start(c, reason)
			return
		}
	}
}

// replacement returns what should run in place of a server, and why; no reason means that the server stays.
func (s *sizing) replacement(v *Server) (candidate, string) {
	i, ok := s.p.position[v.Domain]
	if !ok {
		return candidate{}, ""
	}
	over := s.reclaim > s.mostReclaimable(s.total)
	mayReclaim := s.reclaim+1 <= s.mostReclaimable(s.total)
	for _, c := range s.candidates[i] {
		switch {
		case v.Reclaimable && over && !c.Reclaimable:
			return c, fmt.Sprintf("max_reclaimable_percent is %d", s.p.in.Policy.MaxReclaimablePercent)
		case !v.Reclaimable && mayReclaim && c.Reclaimable && c.unit()*swapGain < s.unitOf(v):
			return c, "reclaimable instances are accepted and cheaper than on demand"
		}
	}
	return candidate{}, ""
}
