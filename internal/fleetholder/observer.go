package fleetholder

import (
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/fleet"
)

// reclaimHalfLife is the half-life of the reclaim history, so that one day with many reclaims loses influence over time.
const reclaimHalfLife = 24 * time.Hour

// observer keeps the recent demand and the reclaim history in memory; a restart loses them.
type observer struct {
	mu       sync.Mutex
	demand   fleet.History
	reclaims map[fleet.PlaceKey]fleet.ReclaimHistory
	// noticed holds the listed instances whose reclaim has been counted.
	noticed map[string]bool
	last    time.Time
}

func newObserver() *observer {
	return &observer{reclaims: map[fleet.PlaceKey]fleet.ReclaimHistory{}, noticed: map[string]bool{}}
}

func (o *observer) record(now time.Time, demand map[string]fleet.Demand, servers []Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demand.Add(now, demand)
	elapsed := now.Sub(o.last)
	if o.last.IsZero() {
		elapsed = 0
	}
	o.last = now
	o.decay(elapsed)
	present := make(map[string]bool, len(o.noticed))
	for _, s := range servers {
		if !s.Reclaimable {
			continue
		}
		place := fleet.PlaceKey{Class: s.InstanceClass, Domain: s.FailureDomain}
		h := o.reclaims[place]
		h.InstanceHours += elapsed.Hours()
		if s.Noticed {
			present[s.ID] = true
			if !o.noticed[s.ID] {
				h.Reclaims++
			}
		}
		o.reclaims[place] = h
	}
	o.noticed = present
}

// decay reduces the weight of the reclaim history by the elapsed time.
func (o *observer) decay(elapsed time.Duration) {
	factor := 1 - float64(elapsed)/float64(reclaimHalfLife)*0.693
	for place, h := range o.reclaims {
		o.reclaims[place] = fleet.ReclaimHistory{Reclaims: h.Reclaims * factor, InstanceHours: h.InstanceHours * factor}
	}
}

// input returns the demand forecast and a copy of the reclaim history.
func (o *observer) input() (map[string]fleet.Demand, map[fleet.PlaceKey]fleet.ReclaimHistory) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reclaims := make(map[fleet.PlaceKey]fleet.ReclaimHistory, len(o.reclaims))
	for place, h := range o.reclaims {
		reclaims[place] = h
	}
	return o.demand.Forecast(), reclaims
}
