package fleetholder

import (
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/fleet"
)

// reclaimHalfLife is how fast old reclaims lose weight, so that a bad day does not decide for ever.
const reclaimHalfLife = 24 * time.Hour

// observer keeps the demand of the last minutes and the reclaims. They are lost with the process.
type observer struct {
	mu       sync.Mutex
	demand   fleet.History
	reclaims map[fleet.PlaceKey]fleet.ReclaimHistory
	// noticed has the instances whose reclaim was counted and that are still there.
	noticed map[string]bool
	last    time.Time
}

func newObserver() *observer {
	return &observer{reclaims: map[fleet.PlaceKey]fleet.ReclaimHistory{}, noticed: map[string]bool{}}
}

func (o *observer) note(now time.Time, demand map[string]fleet.Demand, servers []Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demand.Add(now, demand)
	passed := now.Sub(o.last)
	if o.last.IsZero() {
		passed = 0
	}
	o.last = now
	o.age(passed)
	there := make(map[string]bool, len(o.noticed))
	for _, s := range servers {
		if !s.Reclaimable {
			continue
		}
		place := fleet.PlaceKey{Class: s.InstanceClass, Domain: s.FailureDomain}
		h := o.reclaims[place]
		h.InstanceHours += passed.Hours()
		if s.Noticed {
			there[s.ID] = true
			if !o.noticed[s.ID] {
				h.Reclaims++
			}
		}
		o.reclaims[place] = h
	}
	o.noticed = there
}

// age lets the history lose weight.
func (o *observer) age(passed time.Duration) {
	keep := 1 - float64(passed)/float64(reclaimHalfLife)*0.693
	for place, h := range o.reclaims {
		o.reclaims[place] = fleet.ReclaimHistory{Reclaims: h.Reclaims * keep, InstanceHours: h.InstanceHours * keep}
	}
}

// input returns copies of what was observed.
func (o *observer) input() (map[string]fleet.Demand, map[fleet.PlaceKey]fleet.ReclaimHistory) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reclaims := make(map[fleet.PlaceKey]fleet.ReclaimHistory, len(o.reclaims))
	for place, h := range o.reclaims {
		reclaims[place] = h
	}
	return o.demand.Forecast(), reclaims
}
