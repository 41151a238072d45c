package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// planner holds what all groups of one plan share.
type planner struct {
	in       *Input
	domains  []Domain // in the order of their names
	position map[string]int
	prices   map[Cell]uint64
	// asked has the cells with a start in this step.
	asked  map[Cell]bool
	ranked []*ranked
	out    Result
}

// Plan decides on one step.
func Plan(in Input) Result {
	p := &planner{in: &in, position: map[string]int{}, prices: map[Cell]uint64{}, asked: map[Cell]bool{}}
	p.out.Memory = in.Memory.clone()
	p.out.Short = map[string]string{}
	p.domains = slices.SortedFunc(slices.Values(in.Domains), func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	for i, d := range p.domains {
		p.position[d.Name] = i
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
		p.size(&in.Groups[i], servers)
		p.place(&in.Groups[i], servers)
	}
	p.finishOrders()
	return p.out
}

// price returns the price of a cell; false means that it is not offered.
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

// effective raises the price of a reclaimable instance by its expected loss: each reclaim costs the start and the load
// of a replacement and the time to recompute what was in progress.
func (p *planner) effective(g *Group, class string, domain string, micros uint64, reclaimable bool) float64 {
	if !reclaimable {
		return float64(micros)
	}
	h := p.in.Reclaims[PlaceKey{class, domain}]
	perHour := (h.Reclaims + priorReclaims) / (h.InstanceHours + priorHours)
	return float64(micros) * (1 + perHour*p.lostHours(g))
}

// recomputeHours is the instance time that a reclaim costs in recomputed tokens at weight 50: the cache of a full
// server, computed again in two minutes.
const recomputeHours = 2.0 / 60

func (p *planner) lostHours(g *Group) float64 {
	lost := p.in.StartTime.Hours()
	if p.in.LoadRate > 0 {
		for _, m := range g.Models {
			lost += float64(m.WeightsMiB) / p.in.LoadRate / 3600
		}
	}
	return lost + recomputeHours*float64(p.in.Policy.RecomputeWeight)/50
}

// candidate is a cell in which a server can be started.
type candidate struct {
	Cell
	capacity float64
	price    float64 // with the expected loss
	// probe means that the cell was refused before: one start in a step finds out whether it is accepted again.
	probe bool
}

// unit is the price per unit of capacity.
func (c candidate) unit() float64 {
	if c.capacity == 0 {
		return c.price
	}
	return c.price / c.capacity
}

// sizing is the plan of one group. Slices are indexed by domain.
type sizing struct {
	p          *planner
	g          *Group
	candidates [][]candidate
	running    []*Server // live, not leaving
	caps       []float64
	counts     []int
	total      int
	reclaim    int
	starting   int
	leaving    int
	starts     int // of this step
	drains     int
	unknown    bool // the capacity of a class is unknown
	cells      map[Cell]int
}

// size plans the starts and drains of a group.
func (p *planner) size(g *Group, servers []*Server) {
	s := p.newSizing(g, servers)
	need := s.need(servers)
	peak, known := p.out.Memory.observe(p.in.Now, g.Name, need)
	s.minimums()
	if !s.unknown && s.surviving(p.in.Policy.SpareFailureDomains) < need/startUtilization {
		s.raise(need / targetUtilization)
	}
	if s.starts == 0 && s.starting == 0 {
		s.shrink(peak, known)
		s.swap(peak)
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

func (p *planner) newSizing(g *Group, servers []*Server) *sizing {
	s := &sizing{p: p, g: g, cells: map[Cell]int{}}
	s.caps = make([]float64, len(p.domains))
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
		s.count(Cell{server.Class, server.Domain, server.Reclaimable}, 1)
	}
	return s
}

// findCandidates lists the cells that are offered and were not refused lately, in the order of preference.
func (s *sizing) findCandidates() {
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
				price := p.effective(s.g, class.Name, d.Name, micros, reclaimable)
				s.candidates[i] = append(s.candidates[i], candidate{cell, capacity, price, refused})
			}
		}
	}
	for _, class := range s.g.Classes {
		s.unknown = s.unknown || s.capacity(class.Name) == 0
	}
}

// capacity returns what one server can do within the latency target: tokens per second of an engine, requests at a
// time of a service; 0 when it is unknown.
func (s *sizing) capacity(class string) float64 {
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

// need is the present demand in units of capacity.
func (s *sizing) need(servers []*Server) float64 {
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

// count adds n servers of a cell.
func (s *sizing) count(cell Cell, n int) {
	s.total += n
	if cell.Reclaimable {
		s.reclaim += n
	}
	s.cells[cell] += n
	if i, ok := s.p.position[cell.Domain]; ok {
		s.caps[i] += float64(n) * s.capacity(cell.Class)
		s.counts[i] += n
	}
}

// surviving is the capacity left after the loss of the k failure domains with the most.
func (s *sizing) surviving(k int) float64 { return surviving(s.caps, k) }

func surviving(caps []float64, k int) float64 {
	k = min(max(k, 0), max(0, len(caps)-1))
	sum := 0.0
	for _, c := range caps {
		sum += c
	}
	switch k {
	case 0:
		return sum
	case 1:
		return sum - slices.Max(caps)
	}
	sorted := slices.Sorted(slices.Values(caps))
	for _, c := range sorted[len(sorted)-k:] {
		sum -= c
	}
	return sum
}

// usable returns the candidates of a domain that the share of reclaimable servers allows.
func (s *sizing) usable(domain int) []candidate {
	allowed := s.reclaim+1 <= s.mostReclaimable(s.total+1)
	out := make([]candidate, 0, len(s.candidates[domain]))
	for _, c := range s.candidates[domain] {
		if (allowed || !c.Reclaimable) && !(c.probe && s.p.asked[c.Cell]) {
			out = append(out, c)
		}
	}
	return out
}

func (s *sizing) mostReclaimable(total int) int {
	return total * s.p.in.Policy.MaxReclaimablePercent / 100
}

// cheapest returns the candidate of a domain that covers a deficit at the lowest price.
func (s *sizing) cheapest(domain int, deficit float64) (candidate, bool) {
	usable := s.usable(domain)
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

// room reports whether another start fits into the group and the step.
func (s *sizing) room() bool {
	if s.g.MaxServers > 0 && s.total >= s.g.MaxServers {
		s.p.out.Short[s.g.Name] = fmt.Sprintf("max_servers %d is reached", s.g.MaxServers)
		return false
	}
	return len(s.p.out.Starts) < cmp.Or(s.p.in.MaxStarts, defaultMaxStarts)
}

func (s *sizing) start(c candidate, reason string) {
	s.starts++
	s.p.asked[c.Cell] = true
	s.count(c.Cell, 1)
	region := s.p.domains[s.p.position[c.Domain]].Region
	s.p.out.Starts = append(s.p.out.Starts, Start{s.g.Name, s.g.Kind, region, c.Cell, reason})
}

// minimums starts what min_servers and min_servers_per_domain require.
func (s *sizing) minimums() {
	perDomain := s.minPerDomain()
	for i := range s.counts {
		for s.counts[i] > 0 && s.counts[i] < perDomain && s.room() {
			c, ok := s.cheapest(i, 0)
			if !ok {
				s.p.out.Short[s.g.Name] = "no instance can be started in " + s.p.domains[i].Name
				break
			}
			s.start(c, fmt.Sprintf("min_servers_per_domain is %d", perDomain))
		}
	}
	for s.total < s.g.MinServers && s.room() {
		c, ok := s.emptiest()
		if !ok {
			s.p.out.Short[s.g.Name] = "no instance can be started in any failure domain"
			return
		}
		s.start(c, fmt.Sprintf("min_servers is %d", s.g.MinServers))
	}
}

func (s *sizing) minPerDomain() int {
	out := 0
	for _, m := range s.g.Models {
		out = max(out, m.MinPerDomain)
	}
	return out
}

// emptiest returns the cheapest candidate of the domains with the fewest servers.
func (s *sizing) emptiest() (candidate, bool) {
	var best candidate
	fewest := -1
	for i, n := range s.counts {
		c, ok := s.cheapest(i, 0)
		if ok && (fewest < 0 || n < fewest || n == fewest && c.unit() < best.unit()) {
			best, fewest = c, n
		}
	}
	return best, fewest >= 0
}
