package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// planner holds the state that all groups of one plan share.
type planner struct {
	in          *Input
	domains     []Domain // sorted by name
	domainIndex map[string]int
	prices      map[Cell]uint64
	// requested holds the cells with a start in this step.
	requested map[Cell]bool
	ranked    []*rankedOrder
	out       Result
}

// Plan returns the starts, drains and orders of one step.
func Plan(in Input) Result {
	p := &planner{in: &in, domainIndex: map[string]int{}, prices: map[Cell]uint64{}, requested: map[Cell]bool{}}
	p.out.Memory = in.Memory.clone()
	p.out.Short = map[string]string{}
	p.domains = slices.SortedFunc(slices.Values(in.Domains), func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	for i, d := range p.domains {
		p.domainIndex[d.Name] = i
	}
	for _, price := range in.Prices {
		p.prices[Cell{price.InstanceClass, price.FailureDomain, price.Reclaimable}] = price.PricePerHourMicros
	}
	byGroup := map[string][]*Server{}
	for i := range in.Servers {
		byGroup[in.Servers[i].Group] = append(byGroup[in.Servers[i].Group], &in.Servers[i])
	}
	for i := range in.Groups {
		servers := byGroup[in.Groups[i].Name]
		slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
		p.planSize(&in.Groups[i], servers)
		p.planOrders(&in.Groups[i], servers)
	}
	p.finishOrders()
	return p.out
}

// price returns the price per hour of a cell, in millionths of the currency unit, or false when the cell is not offered.
func (p *planner) price(class Class, cell Cell) (uint64, bool) {
	if len(p.prices) > 0 {
		micros, ok := p.prices[cell]
		return micros, ok
	}
	micros := class.OnDemandMicros
	if cell.Reclaimable {
		micros = class.ReclaimableMicros
	}
	return micros, micros > 0
}

// effectivePrice returns the price of an instance, including the expected cost of reclaims if it is reclaimable: each
// reclaim costs the time to start a replacement, to load its models and to recompute the requests in progress.
func (p *planner) effectivePrice(g *Group, class string, domain string, micros uint64, reclaimable bool) float64 {
	if !reclaimable {
		return float64(micros)
	}
	h := p.in.Reclaims[PlaceKey{class, domain}]
	perHour := (h.Reclaims + priorReclaims) / (h.InstanceHours + priorHours)
	return float64(micros) * (1 + perHour*p.reclaimLossHours(g))
}

// recomputeHoursPerReclaim is the instance time that a reclaim costs in recomputed tokens at a RecomputeWeight of 50:
// two minutes to recompute the cache of a full server.
const recomputeHoursPerReclaim = 2.0 / 60

func (p *planner) reclaimLossHours(g *Group) float64 {
	lost := p.in.StartTime.Hours()
	if p.in.LoadRate > 0 {
		for _, m := range g.Models {
			lost += float64(m.WeightsMiB) / p.in.LoadRate / 3600
		}
	}
	return lost + recomputeHoursPerReclaim*float64(p.in.Policy.RecomputeWeight)/50
}

// candidate is a cell in which a server can be started.
type candidate struct {
	Cell
	capacity float64
	price    float64 // see effectivePrice
	// probe means that starts in the cell were refused before. One start per step tests whether they are accepted again.
	probe bool
}

// unitPrice returns the price per unit of capacity, or the price itself if the capacity is unknown.
func (c candidate) unitPrice() float64 {
	if c.capacity == 0 {
		return c.price
	}
	return c.price / c.capacity
}

// groupPlan is the plan of one group. The slices candidates, capacities and counts are indexed by domain.
type groupPlan struct {
	p               *planner
	g               *Group
	candidates      [][]candidate
	running         []*Server // live, not leaving
	capacities      []float64
	counts          []int
	total           int
	reclaimable     int
	starting        int
	leaving         int
	starts          int // of this step
	drains          int
	capacityUnknown bool // for at least one class
	cells           map[Cell]int
}

// planSize plans the starts and drains of a group.
func (p *planner) planSize(g *Group, servers []*Server) {
	s := p.newGroupPlan(g, servers)
	need := s.need(servers)
	peak, known := p.out.Memory.observe(p.in.Now, g.Name, need)
	s.startMinimums()
	if !s.capacityUnknown && s.surviving(p.in.Policy.SpareFailureDomains) < need/startUtilization {
		s.grow(need / targetUtilization)
	}
	if s.starts == 0 && s.starting == 0 {
		s.shrink(peak, known)
		s.replaceOne(peak)
	}
	for _, cell := range slices.SortedFunc(maps.Keys(s.cells), compareCells) {
		if n := s.cells[cell]; n > 0 {
			p.out.Target = append(p.out.Target, Count{g.Name, cell, n})
		}
	}
}

func compareCells(a, b Cell) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Class, b.Class), compareBool(b.Reclaimable, a.Reclaimable))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (p *planner) newGroupPlan(g *Group, servers []*Server) *groupPlan {
	s := &groupPlan{p: p, g: g, cells: map[Cell]int{}}
	s.capacities = make([]float64, len(p.domains))
	s.counts = make([]int, len(p.domains))
	s.findCandidates()
	for _, server := range servers {
		switch server.State {
		case platform.Leaving:
			s.leaving++
			continue
		case platform.Starting:
			s.starting++
		default:
			s.running = append(s.running, server)
		}
		s.addServers(Cell{server.Class, server.Domain, server.Reclaimable}, 1)
	}
	return s
}

// findCandidates lists, by domain, the cells that are offered and not in the backoff after a refusal, in order of
// preference.
func (s *groupPlan) findCandidates() {
	p := s.p
	s.candidates = make([][]candidate, len(p.domains))
	for i, d := range p.domains {
		for _, class := range s.g.Classes {
			capacity := s.capacity(class.Name)
			for _, reclaimable := range []bool{true, false} {
				cell := Cell{class.Name, d.Name, reclaimable}
				micros, offered := p.price(class, cell)
				refusal, refused := p.in.Refusals[cell]
				if !offered || refused && p.in.Now.Before(refusal.RetryAt()) {
					continue
				}
				price := p.effectivePrice(s.g, class.Name, d.Name, micros, reclaimable)
				s.candidates[i] = append(s.candidates[i], candidate{cell, capacity, price, refused})
			}
		}
	}
	for _, class := range s.g.Classes {
		s.capacityUnknown = s.capacityUnknown || s.capacity(class.Name) == 0
	}
}

// capacity returns the capacity of one server within the latency target: tokens per second for an engine, concurrent
// requests for a service; 0 if unknown.
func (s *groupPlan) capacity(class string) float64 {
	if s.g.Kind != platform.ModelEngine {
		return float64(s.g.Concurrency)
	}
	for _, c := range s.g.Classes {
		if c.Name == class && c.TokensPerSecond > 0 {
			return c.TokensPerSecond
		}
	}
	if s.p.in.Policy.BetweenTokens <= 0 {
		return 0
	}
	return float64(s.g.Concurrency) / s.p.in.Policy.BetweenTokens.Seconds()
}

// need returns the current demand in units of capacity.
func (s *groupPlan) need(servers []*Server) float64 {
	sum := 0.0
	if s.g.Kind == platform.ModelEngine {
		for _, m := range s.g.Models {
			sum += s.p.in.Demand[m.Name].TokensPerSecond
		}
		return sum
	}
	for _, server := range servers {
		sum += float64(server.Running)
	}
	return sum
}

// addServers adds n servers of a cell to the totals of the group; a negative n removes them.
func (s *groupPlan) addServers(cell Cell, n int) {
	s.total += n
	if cell.Reclaimable {
		s.reclaimable += n
	}
	s.cells[cell] += n
	if i, ok := s.p.domainIndex[cell.Domain]; ok {
		s.capacities[i] += float64(n) * s.capacity(cell.Class)
		s.counts[i] += n
	}
}

// surviving returns the capacity that is left after the loss of the k failure domains with the most capacity.
func (s *groupPlan) surviving(k int) float64 { return surviving(s.capacities, k) }

func surviving(capacities []float64, k int) float64 {
	k = min(max(k, 0), max(0, len(capacities)-1))
	sum := 0.0
	for _, c := range capacities {
		sum += c
	}
	switch k {
	case 0:
		return sum
	case 1:
		return sum - slices.Max(capacities)
	}
	sorted := slices.Sorted(slices.Values(capacities))
	for _, c := range sorted[len(sorted)-k:] {
		sum -= c
	}
	return sum
}

// allowedCandidates returns the candidates of a domain within the limit of reclaimable servers, except for probes that
// were already made in this step.
func (s *groupPlan) allowedCandidates(domain int) []candidate {
	allowed := s.reclaimable+1 <= s.maxReclaimable(s.total+1)
	out := make([]candidate, 0, len(s.candidates[domain]))
	for _, c := range s.candidates[domain] {
		if (allowed || !c.Reclaimable) && !(c.probe && s.p.requested[c.Cell]) {
			out = append(out, c)
		}
	}
	return out
}

func (s *groupPlan) maxReclaimable(total int) int {
	return total * s.p.in.Policy.MaxReclaimablePercent / 100
}

// cheapest returns the candidate of a domain with the lowest price per unit of the deficit that it covers.
func (s *groupPlan) cheapest(domain int, deficit float64) (candidate, bool) {
	usable := s.allowedCandidates(domain)
	if len(usable) == 0 {
		return candidate{}, false
	}
	cost := func(c candidate) float64 {
		if covered := min(c.capacity, deficit); covered > 0 {
			return c.price / covered
		}
		return c.price
	}
	return slices.MinFunc(usable, func(a, b candidate) int { return cmp.Compare(cost(a), cost(b)) }), true
}

// canStart reports whether another start is within the limits of the group and of the step.
func (s *groupPlan) canStart() bool {
	if s.g.MaxServers > 0 && s.total >= s.g.MaxServers {
		s.p.out.Short[s.g.Name] = fmt.Sprintf("max_servers %d is reached", s.g.MaxServers)
		return false
	}
	return len(s.p.out.Starts) < cmp.Or(s.p.in.MaxStarts, defaultMaxStarts)
}

func (s *groupPlan) start(c candidate, reason string) {
	s.starts++
	s.p.requested[c.Cell] = true
	s.addServers(c.Cell, 1)
	region := s.p.domains[s.p.domainIndex[c.Domain]].Region
	s.p.out.Starts = append(s.p.out.Starts, Start{s.g.Name, s.g.Kind, region, c.Cell, reason})
}

// startMinimums starts the servers that min_servers and min_servers_per_domain require.
func (s *groupPlan) startMinimums() {
	perDomain := s.minPerDomain()
	for i := range s.counts {
		for s.counts[i] > 0 && s.counts[i] < perDomain && s.canStart() {
			c, ok := s.cheapest(i, 0)
			if !ok {
				s.p.out.Short[s.g.Name] = "no instance can be started in " + s.p.domains[i].Name
				break
			}
			s.start(c, fmt.Sprintf("min_servers_per_domain is %d", perDomain))
		}
	}
	for s.total < s.g.MinServers && s.canStart() {
		c, ok := s.candidateInSmallestDomain()
		if !ok {
			s.p.out.Short[s.g.Name] = "no instance can be started in any failure domain"
			return
		}
		s.start(c, fmt.Sprintf("min_servers is %d", s.g.MinServers))
	}
}

func (s *groupPlan) minPerDomain() int {
	out := 0
	for _, m := range s.g.Models {
		out = max(out, m.MinPerDomain)
	}
	return out
}

// candidateInSmallestDomain returns the cheapest candidate among the domains with the fewest servers.
func (s *groupPlan) candidateInSmallestDomain() (candidate, bool) {
	var best candidate
	fewest := -1
	for i, n := range s.counts {
		c, ok := s.cheapest(i, 0)
		if ok && (fewest < 0 || n < fewest || n == fewest && c.unitPrice() < best.unitPrice()) {
			best, fewest = c, n
		}
	}
	return best, fewest >= 0
}
