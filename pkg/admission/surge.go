package admission

import (
	"math"
	"time"
)

const (
	// surgeTime is the time constant over which arrivals are compared with those of usualTime before.
	surgeTime = 500 * time.Millisecond
	usualTime = 6 * time.Second
	// surgeDeviations is by how many standard deviations the arrivals have to exceed the usual ones: a node of a large
	// deployment receives a few requests per second.
	surgeDeviations = 2.5
	// surgeDemand is the demand, as a multiple of the capacity known so far, from which a surge counts as overload;
	// surgeMargin is what the servers are assumed to do beyond that capacity, which may never have been used up.
	surgeDemand = 1.3
	surgeMargin = 1.3
	// maxSurge limits the estimated growth.
	maxSurge = 8.0
)

// surge estimates by how much the arrivals on all nodes have grown since the other nodes reported, from the arrivals on
// this node.
//
// Load pattern: clients send several times the capacity from one moment to the next. Until reports and waits of more than
// a second ago show it, nodes would admit all of it, and the servers' queues would delay the most urgent requests for
// seconds.
type surge struct {
	recent, usual decayed
	seenAt        time.Time
	factor        float64
	// reported is a moving average of the demand that the reports show.
	reported   float64
	reportedAt time.Time
}

// decayed is a number of events that decays with a time constant.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(v float64, constant time.Duration, now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		if d.sum != 0 {
			d.sum *= math.Exp(-float64(elapsed) / float64(constant))
		}
		d.at = now
	}
	d.sum += v
}

// arrival counts a request.
func (s *surge) arrival(now time.Time) {
	if s.seenAt.IsZero() {
		s.seenAt = now
	}
	s.recent.add(1, surgeTime, now)
	s.usual.add(1, usualTime, now)
	s.factor = 1
	if now.Sub(s.seenAt) < 2*usualTime {
		return
	}
	// The usual arrivals are those before the recent ones.
	span := usualTime - surgeTime
	expected := max(s.usual.sum-s.recent.sum, 0) * float64(surgeTime) / float64(span)
	// The variance of an exponentially decaying sum of independent arrivals is half its mean.
	excess := s.recent.sum - expected - surgeDeviations*math.Sqrt(expected/2+0.5)
	if excess > 0 {
		s.factor = min(1+excess/max(expected, 1), maxSurge)
	}
}

// growth returns by how much the demand exceeds the reported one.
func (s *surge) growth(reported float64, now time.Time) float64 {
	elapsed := min(now.Sub(s.reportedAt).Seconds()/usualTime.Seconds(), 1)
	s.reportedAt = now
	s.reported += (reported - s.reported) * elapsed
	if s.factor <= 1 || reported <= 0 {
		return 1
	}
	return max(s.reported*s.factor/reported, 1)
}
