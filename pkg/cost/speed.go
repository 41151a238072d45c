package cost

import (
	"math"
	"time"
)

// speedMemories are the time constants of which the best is learned: how long a report of a server's speed holds.
var speedMemories = [...]time.Duration{70 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}

// initialSpeedMemory is the index of the time constant before any measurement: speeds change many times a second.
const initialSpeedMemory = 2

// speedErrors holds the mean errors of the estimates with each time constant.
type speedErrors [len(speedMemories)]average

// ObserveSpeed records that a server whose work time was before, with a mean of usual, has another one some time later.
func (m *Model) ObserveSpeed(name string, before, usual, now float64, age time.Duration) {
	s := entry(m.services, name, newService)
	for i, memory := range speedMemories {
		estimate := usual + (before-usual)*math.Exp(-float64(age)/float64(memory))
		err := math.Log(max(estimate, 0.01) / max(now, 0.01))
		s.speed[i].add(err * err)
	}
}

// SpeedMemory returns the time constant with which reports of the speed of a service's servers lose their weight.
func (m *Model) SpeedMemory(name string) time.Duration {
	s := m.services[name]
	if s == nil || s.speed[0].samples < priorSamples {
		return speedMemories[initialSpeedMemory]
	}
	best := initialSpeedMemory
	for i := range s.speed {
		if s.speed[i].mean < s.speed[best].mean {
			best = i
		}
	}
	return speedMemories[best]
}
