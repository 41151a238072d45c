package elastic

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func fourDomains(reclaimable, onDemand int) []Domain {
	var out []Domain
	for i, name := range []string{"a", "b", "c", "d"} {
		out = append(out, Domain{Name: name, Price: []float64{1, 0.8, 1.25, 0.9}[i], Reclaimable: reclaimable, Lasting: onDemand})
	}
	return out
}

func totals(plan map[string]Counts) (reclaimable, onDemand int) {
	for _, c := range plan {
		reclaimable += c.Reclaimable
		onDemand += c.Lasting
	}
	return reclaimable, onDemand
}

// Guards against paying for on-demand servers while reclaimable ones carry the load.
func TestReclaimableServersCarryTheLoadWhenAvailable(t *testing.T) {
	in := Input{Load: 6, Peak: 7, Known: true, Min: 1, Max: 10, Domains: fourDomains(6, 4)}
	reclaimable, onDemand := totals(Plan(in))
	assert.Equal(t, onDemand, 0)
	assert.Assert(t, float64(reclaimable) >= in.Peak/peakUtilization)
}

// Simulates the reclaim of one domain after the other while no reclaimable servers are available. Guards against a plan
// that counts on ordered reclaimable ones: at each step the running servers and the on-demand ones ordered carry the
// mean load.
func TestReclaimOfSeveralDomainsIsCovered(t *testing.T) {
	in := Input{Load: 8, Peak: 9, Known: true, Min: 1, Max: 10, Domains: fourDomains(8, 0)}
	for i := range 3 {
		in.Domains[i].Reclaimable = 0
		for j := range in.Domains {
			in.Domains[j].Refused = true
		}
		plan := Plan(in)
		running := 0
		for _, d := range in.Domains {
			c := plan[d.Name]
			running += min(d.Reclaimable, c.Reclaimable) + c.Lasting
			assert.Assert(t, c.Reclaimable+c.Lasting <= in.Max, "%s: %+v", d.Name, c)
		}
		assert.Assert(t, float64(running) >= in.Load/meanUtilization, "after %d domains: %d", i+1, running)
	}
	// The on-demand servers are ordered in the cheapest domains.
	assert.Assert(t, Plan(in)["b"].Lasting > Plan(in)["c"].Lasting)
}

// Guards against plans that shrink the fleet step by step before the first requests arrive.
func TestUnknownLoadKeepsTheFleet(t *testing.T) {
	in := Input{Initial: 18, Min: 1, Max: 10, Domains: fourDomains(0, 4)}
	for range 5 {
		plan := Plan(in)
		for i, d := range in.Domains {
			in.Domains[i].Reclaimable, in.Domains[i].Lasting = plan[d.Name].Reclaimable, plan[d.Name].Lasting
		}
	}
	reclaimable, onDemand := totals(Plan(in))
	assert.Assert(t, reclaimable+onDemand >= in.Initial)
}

// Guards against orders that follow every burst of requests up and down.
func TestSmootherRisesFasterThanItFalls(t *testing.T) {
	s := Smoother{RiseHalfLife: time.Second, FallHalfLife: 4 * time.Second, PeakHalfLife: 4 * time.Second}
	now := time.Unix(1000, 0)
	observe := func(load float64) (mean, peak float64) {
		now = now.Add(time.Second)
		return s.Observe(load, now)
	}
	observe(4)
	mean, peak := observe(12)
	assert.Assert(t, mean > 7 && mean < 9 && peak == 12)
	mean, peak = observe(4)
	assert.Assert(t, mean > 6.5 && peak > 10)
	for range 30 {
		mean, peak = observe(4)
	}
	assert.Assert(t, mean < 4.2 && peak < 4.2)
}

// Guards against stopping servers in one domain and starting them in a cheaper one while all of them are needed.
func TestRunningServersAreNotMoved(t *testing.T) {
	in := Input{Initial: 16, Min: 1, Max: 10, Domains: fourDomains(0, 4)}
	for _, d := range in.Domains {
		assert.Equal(t, Plan(in)[d.Name].Lasting, 4, d.Name)
	}
	// Servers that are no longer needed are given up in the most expensive domains.
	in.Known, in.Load, in.Peak = true, 8*meanUtilization, 8*meanUtilization
	assert.Equal(t, Plan(in)["b"].Lasting, 4)
	assert.Equal(t, Plan(in)["c"].Lasting, 0)
}

// Guards against missing capacity for the boot time of an on-demand server, when the last domain with reclaimable ones is
// reclaimed while none are available: the remaining servers must carry the load.
func TestLossOfTheNextDomainIsCoveredWhileServersAreScarce(t *testing.T) {
	in := Input{Load: 7, Peak: 8, Known: true, Min: 1, Max: 10, Domains: fourDomains(0, 0)}
	in.Domains[0].Reclaimable, in.Domains[3].Reclaimable = 7, 7
	for i := range in.Domains {
		in.Domains[i].Refused = true
	}
	_, onDemand := totals(Plan(in))
	assert.Assert(t, float64(onDemand+7) >= in.Load)
	in.Domains[3].Reclaimable = 0
	_, onDemand = totals(Plan(in))
	assert.Assert(t, float64(onDemand) >= in.Load)
}

// Guards against a new planner that gives up the existing fleet because it starts during a pause in traffic or after the
// loss of all nodes.
func TestTakeoverKeepsTheFleet(t *testing.T) {
	s := Smoother{RiseHalfLife: time.Second, FallHalfLife: 4 * time.Second, PeakHalfLife: 12 * time.Second}
	in := Input{Known: true, Min: 1, Max: 60, Domains: fourDomains(30, 0)}
	s.Inherit(Needed(120))
	now := time.Unix(1000, 0)
	in.Load, in.Peak = s.Observe(2, now)
	reclaimable, _ := totals(Plan(in))
	assert.Assert(t, reclaimable >= 118, "%d", reclaimable)
	in.Load, in.Peak = s.Observe(2, now.Add(time.Minute))
	reclaimable, _ = totals(Plan(in))
	assert.Assert(t, reclaimable < 40, "%d are kept although the peak has decayed", reclaimable)
}

// Guards against keeping expensive servers without load because the maximum of a domain leaves no room for reclaimable
// ones, and against giving them up where no reclaimable ones are available.
func TestIdleDeploymentMovesToReclaimableServers(t *testing.T) {
	in := Input{Initial: 22, Idle: true, Min: 1, Max: 10, Domains: fourDomains(0, 6)}
	reclaimable, onDemand := totals(Plan(in))
	assert.Equal(t, onDemand, 24, "no order is accepted yet")
	assert.Equal(t, reclaimable, 16)
	for i := range in.Domains[:3] {
		in.Domains[i].Accepted = true
	}
	in.Domains[3].Refused = true
	plan := Plan(in)
	for _, d := range in.Domains[:3] {
		assert.Equal(t, plan[d.Name], Counts{Reclaimable: 8, Lasting: idleOnDemand}, d.Name)
	}
	assert.Equal(t, plan["d"].Lasting, 6)
	for i := range in.Domains {
		in.Domains[i].Reclaimable = 8
	}
	_, onDemand = totals(Plan(in))
	assert.Equal(t, onDemand, 0, "the reclaimable servers serve")
	in.Idle = false
	for i := range in.Domains {
		in.Domains[i].Reclaimable = 0
	}
	_, onDemand = totals(Plan(in))
	assert.Assert(t, onDemand >= 22, "the load arrives before the reclaimable servers serve")
}
