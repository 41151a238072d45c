package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	step       = 2 * time.Second
	startDelay = time.Minute
)

// simulation applies plans to a simulated fleet.
type simulation struct {
	t         testing.TB
	in        Input
	history   History
	demand    func(now time.Time) float64 // of model "m"
	refuse    map[Cell]bool
	live      map[string]time.Time // when a starting server becomes live
	number    int
	starts    []Start
	drains    []Drain
	requested map[Cell][]time.Time
}

func newSimulation(t testing.TB, domains int, tokens float64) *simulation {
	s := &simulation{
		t:         t,
		refuse:    map[Cell]bool{},
		live:      map[string]time.Time{},
		requested: map[Cell][]time.Time{},
		demand:    func(time.Time) float64 { return tokens },
	}
	class := Class{Name: "gpu", TokensPerSecond: 1000, ReclaimableMicros: 10, OnDemandMicros: 27}
	model := Model{Name: "m", Version: "1", WeightsMiB: 100, MinPerDomain: 1}
	s.in = Input{
		Now:      time.Unix(1_000_000, 0),
		Policy:   Policy{SpareFailureDomains: 1, MaxReclaimablePercent: 100},
		Groups:   []Group{{Name: "g", Kind: platform.ModelEngine, Classes: []Class{class}, Models: []Model{model}}},
		Refusals: map[Cell]Refusal{},
	}
	for i := range domains {
		s.in.Domains = append(s.in.Domains, Domain{Name: fmt.Sprintf("d%d", i), Region: "r"})
	}
	return s
}

// run advances the simulation by d, with one plan per step.
func (s *simulation) run(d time.Duration) {
	for end := s.in.Now.Add(d); s.in.Now.Before(end); s.in.Now = s.in.Now.Add(step) {
		for i := range s.in.Servers {
			server := &s.in.Servers[i]
			if server.State == platform.Starting && !s.in.Now.Before(s.live[server.ID]) {
				server.State = platform.Live
			}
		}
		s.history.Add(s.in.Now, map[string]Demand{"m": {TokensPerSecond: s.demand(s.in.Now)}})
		s.in.Demand = s.history.Forecast()
		if len(s.history.samples) > 0 {
			s.apply(Plan(s.in))
		}
	}
}

func (s *simulation) apply(r Result) {
	s.in.Memory = r.Memory
	for _, start := range r.Starts {
		s.starts = append(s.starts, start)
		if s.refuse[start.Cell] {
			old := s.in.Refusals[start.Cell]
			if old.Last.Equal(s.in.Now) {
				continue
			}
			s.requested[start.Cell] = append(s.requested[start.Cell], s.in.Now)
			s.in.Refusals[start.Cell] = Refusal{Count: old.Count + 1, Last: s.in.Now}
			continue
		}
		delete(s.in.Refusals, start.Cell)
		s.add(start.Cell, platform.Starting)
	}
	for _, drain := range r.Drains {
		s.drains = append(s.drains, drain)
		s.in.Servers = slices.DeleteFunc(s.in.Servers, func(v Server) bool { return v.ID == drain.Server })
	}
}

func (s *simulation) add(cell Cell, state platform.InstanceState) {
	s.number++
	price := uint64(27)
	if cell.Reclaimable {
		price = 10
	}
	id := fmt.Sprintf("s%04d", s.number)
	s.live[id] = s.in.Now.Add(startDelay)
	s.in.Servers = append(s.in.Servers, Server{ID: id, Group: "g", Class: cell.Class, Domain: cell.Domain, PriceMicros: price,
		Reclaimable: cell.Reclaimable, State: state, Known: true, Models: map[string]string{"m": "1"}})
}

func (s *simulation) loseDomain(domain string) {
	s.in.Servers = slices.DeleteFunc(s.in.Servers, func(v Server) bool { return v.Domain == domain })
}

func (s *simulation) capacity(without string) (tokens float64, onDemand int) {
	for _, v := range s.in.Servers {
		if v.Domain != without && v.State == platform.Live {
			tokens += 1000
			if !v.Reclaimable {
				onDemand++
			}
		}
	}
	return tokens, onDemand
}

// assertSurvivesDomainLoss checks that the capacity meets need after the loss of any one failure domain.
func (s *simulation) assertSurvivesDomainLoss(need float64) {
	s.t.Helper()
	for _, d := range s.in.Domains {
		left, _ := s.capacity(d.Name)
		assert.Assert(s.t, left >= need, "without %s there is %.0f, demand is %.0f", d.Name, left, need)
	}
}

func (s *simulation) refuseStarts(refuse bool, kinds []bool, domains ...string) {
	for _, d := range domains {
		for _, kind := range kinds {
			s.refuse[Cell{"gpu", d, kind}] = refuse
		}
	}
}

// Guards against a fleet whose remaining capacity is too small after the loss of a failure domain, also for repeated
// losses, and against drains that remove the spare capacity.
func TestLossOfDomainIsCovered(t *testing.T) {
	for _, domains := range []int{2, 3, 4, 6} {
		s := newSimulation(t, domains, 20_000)
		s.run(10 * time.Minute)
		s.assertSurvivesDomainLoss(20_000)
		for _, d := range s.in.Domains {
			s.loseDomain(d.Name)
			left, _ := s.capacity("")
			assert.Assert(t, left >= 20_000, "after the loss of %s there is %.0f", d.Name, left)
			s.run(10 * time.Minute)
			s.assertSurvivesDomainLoss(20_000)
		}
		s.demand = func(time.Time) float64 { return 5000 }
		before, _ := s.capacity("")
		for range 60 {
			s.run(time.Minute)
			s.assertSurvivesDomainLoss(5000)
		}
		after, _ := s.capacity("")
		assert.Assert(t, after < before/2, "%.0f of %.0f remains", after, before)
	}
}

// Guards against a plan that needs more instances than an even spread over the failure domains.
func TestSpreadIsCheap(t *testing.T) {
	s := newSimulation(t, 4, 30_000)
	s.run(10 * time.Minute)
	// 40,000 at the target utilization in three of four domains is 14 servers in each.
	assert.Assert(t, len(s.in.Servers) <= 56, "%d servers", len(s.in.Servers))
}

// Guards against a group that lacks capacity because one failure domain refuses starts, against on-demand instances
// while reclaimable ones are available, and against on-demand instances that are never replaced.
func TestRefusedStarts(t *testing.T) {
	s := newSimulation(t, 4, 20_000)
	s.refuseStarts(true, []bool{true}, "d0")
	s.run(10 * time.Minute)
	s.assertSurvivesDomainLoss(20_000)
	_, onDemand := s.capacity("")
	assert.Equal(t, onDemand, 0)

	s.demand = func(time.Time) float64 { return 40_000 }
	s.refuseStarts(true, []bool{true}, "d0", "d1", "d2", "d3")
	s.run(10 * time.Minute)
	s.assertSurvivesDomainLoss(40_000)
	_, onDemand = s.capacity("")
	assert.Assert(t, onDemand > 0)
	assert.Equal(t, len(s.requested), 4)
	for cell, times := range s.requested {
		for i := 1; i < len(times); i++ {
			assert.Assert(t, times[i].Sub(times[i-1]) >= refusalBackoff, "%v requested at %v", cell, times)
		}
	}
	s.refuseStarts(false, []bool{true}, "d0", "d1", "d2", "d3")
	for range 6 * 60 {
		s.run(time.Minute)
		s.assertSurvivesDomainLoss(40_000)
	}
	_, onDemand = s.capacity("")
	assert.Equal(t, onDemand, 0)
}

// Guards against a fleet that reacts to noise in the demand, and against one that falls behind a steady rise.
func TestNoiseAndRise(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(t, 4, 0)
		random := rand.New(rand.NewPCG(seed, 1))
		s.demand = func(time.Time) float64 { return 20_000 * (1 + 0.25*random.NormFloat64()) }
		s.run(30 * time.Minute)
		starts, drains := len(s.starts), len(s.drains)
		s.run(time.Hour)
		assert.Equal(t, len(s.starts), starts, "seed %d: %v", seed, s.starts[starts:])
		assert.Equal(t, len(s.drains), drains, "seed %d: %v", seed, s.drains[drains:])

		begin := s.in.Now
		rising := func(now time.Time) float64 { return 20_000 * (1 + 0.03*now.Sub(begin).Minutes()) }
		s.demand = func(now time.Time) float64 { return rising(now) * (1 + 0.1*random.NormFloat64()) }
		for range 30 {
			s.run(time.Minute)
			s.assertSurvivesDomainLoss(rising(s.in.Now))
		}
	}
}

// Guards against a group that violates min_servers, max_servers or the limit of reclaimable instances, also after
// operators change them.
func TestLimits(t *testing.T) {
	s := newSimulation(t, 4, 0)
	s.in.Groups[0].MinServers = 10
	s.in.Policy.MaxReclaimablePercent = 60
	s.run(5 * time.Minute)
	assert.Equal(t, len(s.in.Servers), 10)
	_, onDemand := s.capacity("")
	assert.Equal(t, onDemand, 4)
	s.in.Policy.MaxReclaimablePercent = 30
	s.run(30 * time.Minute)
	_, onDemand = s.capacity("")
	assert.Equal(t, onDemand, 7)
	s.in.Groups[0].MinServers, s.in.Groups[0].MaxServers = 0, 6
	s.demand = func(time.Time) float64 { return 50_000 }
	s.run(30 * time.Minute)
	assert.Equal(t, len(s.in.Servers), 6)
	assert.Assert(t, strings.Contains(Plan(s.in).Short["g"], "max_servers"))
}

// Guards against starting cheap instances that are reclaimed so often that they cost more than others.
func TestReclaimRateRaisesPrice(t *testing.T) {
	s := newSimulation(t, 4, 8000)
	s.in.StartTime = 5 * time.Minute
	s.in.Reclaims = map[PlaceKey]ReclaimHistory{{"gpu", "d0"}: {Reclaims: 2000, InstanceHours: 10}}
	s.run(10 * time.Minute)
	for _, v := range s.in.Servers {
		assert.Assert(t, v.Domain != "d0" || !v.Reclaimable)
	}
	s.assertSurvivesDomainLoss(8000)
}

// Guards against models that are loaded in the wrong order, ordered again while an order is pending, or updated on all
// servers at once, and against a draining server that takes requests.
func TestOrders(t *testing.T) {
	s := newSimulation(t, 2, 0)
	s.in.Groups[0].ChecksFencing = true
	s.in.Groups[0].Models = []Model{
		{Name: "big", Version: "2", Adapters: []string{"a"}, WeightsMiB: 900, MinPerDomain: 1},
		{Name: "small", Version: "1", WeightsMiB: 10, MinPerDomain: 1},
	}
	for i := range 8 {
		s.add(Cell{"gpu", fmt.Sprintf("d%d", i%2), true}, platform.Live)
		s.in.Servers[i].Models = map[string]string{}
	}
	s.in.Servers[0].Models["small"] = "1"
	s.in.Servers[2].Models["big"] = "1"
	s.in.Servers[4].Models["old"] = "7"
	s.in.Servers[6].State, s.in.Servers[6].Draining = platform.Leaving, true
	s.in.Demand = map[string]Demand{"small": {TokensPerSecond: 900}, "big": {TokensPerSecond: 100}}
	orders := Plan(s.in).Orders
	var text []string
	for _, o := range orders {
		text = append(text, strings.TrimSpace(fmt.Sprintf("%s %s %s%s%s %s", o.Server, o.Kind, o.Model, o.Adapter, o.Role, o.Version)))
	}
	assert.DeepEqual(t, text, []string{
		"s0007 set_role standby",
		"s0002 load_model small 1",
		"s0002 load_model big 2",
		"s0003 load_adapter biga",
		"s0003 load_model small 1",
		"s0004 load_model small 1",
		"s0005 load_model small 1",
		"s0006 load_model small 1",
		"s0008 load_model small 1",
		"s0003 load_model big 2",
		"s0005 unload old 7",
	})
	for _, o := range orders {
		for i := range s.in.Servers {
			if server := &s.in.Servers[i]; server.ID == o.Server {
				server.recordOrder(o.Order)
			}
		}
	}
	for _, o := range Plan(s.in).Orders {
		assert.Equal(t, o.Kind, backend.Unload, "%v", o)
	}
}

// recordOrder adds an order to the pending orders of the server.
func (s *Server) recordOrder(o backend.Order) {
	if s.Ordered == nil {
		s.Ordered = map[string]string{}
	}
	switch o.Kind {
	case backend.LoadModel:
		s.Ordered[o.Model] = o.Version
	case backend.LoadAdapter:
		s.Ordered[o.Model+":"+o.Adapter] = "yes"
	case backend.SetRole:
		s.Ordered["role"] = o.Role
	}
}

// BenchmarkPlan measures a plan at the target size, 640 servers, after the loss of one of six failure domains.
func BenchmarkPlan(b *testing.B) {
	s := newSimulation(b, 6, 0)
	for i := range s.in.Domains {
		s.in.Domains[i].Region = fmt.Sprint("region", i%2)
	}
	g := &s.in.Groups[0]
	g.Classes = append(g.Classes, Class{Name: "half", TokensPerSecond: 480, ReclaimableMicros: 6, OnDemandMicros: 14})
	g.Models = nil
	s.in.Demand = map[string]Demand{}
	for i := range 20 {
		name := fmt.Sprint("m", i)
		g.Models = append(g.Models, Model{Name: name, Version: "2", Adapters: []string{"x", "y"}, WeightsMiB: 1000, MinPerDomain: 2})
		s.in.Demand[name] = Demand{TokensPerSecond: 20_000}
	}
	for i := range 640 {
		s.add(Cell{"gpu", fmt.Sprint("d", i%6), i%3 > 0}, platform.Live)
		s.in.Servers[i].Models = map[string]string{"m0": "1", fmt.Sprint("m", i%20): "1"}
	}
	s.loseDomain("d3")
	for b.Loop() {
		if r := Plan(s.in); len(r.Starts) == 0 || len(r.Orders) == 0 {
			b.Fatal("nothing planned")
		}
	}
}
