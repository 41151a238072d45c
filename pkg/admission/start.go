package admission

import "time"

const (
	// slowStartTime is how long after its start, or after servers have returned, a node admits at the rate of its part of
	// the servers. Other nodes have reported what they admit by then.
	slowStartTime = 3 * time.Second
	// startFactor is the admitted work as a multiple of what the servers can do by the predicted costs, which may be too
	// high by half.
	startFactor = 1.5
	// startBurst is the time for which this rate is admitted at once.
	startBurst = 250 * time.Millisecond
	// returnedFactor is the growth of the number of servers that counts as their return.
	returnedFactor = 1.5
)

// slowStart limits what a node admits while it does not know what the others admit: after its start, after the servers
// have returned, and while fewer than half of the other nodes report.
//
// Load pattern: after the loss of all nodes or servers, all clients return at once. Each node sees idle servers, and
// together they would fill the servers' queues beyond the time limits of the requests. Each of N nodes admits at most the
// Nth part of the work that the servers can do.
type slowStart struct {
	until  time.Time
	size   Size
	tokens float64 // server-seconds
	at     time.Time
}

// Size is the size of a service as a node knows it.
type Size struct {
	// Servers is the number of ready servers.
	Servers int
	// Nodes is the number of nodes of the deployment, Alive that of those heard of recently, both with this one.
	Nodes, Alive int
	// Part is the part of all requests that this node is expected to get.
	Part float64
}

func (s *slowStart) begin(now time.Time) { s.until = now.Add(slowStartTime) }

// rate returns the part of this node in the servers, in server-seconds per second; 0 while it is not known.
func (s *slowStart) rate() float64 { return float64(s.size.Servers) * s.size.Part }

// take takes the cost of a request.
func (s *slowStart) take(cost float64, now time.Time) bool {
	if s.size.Nodes <= 1 || now.After(s.until) && 2*s.size.Alive >= s.size.Nodes {
		return true
	}
	rate := startFactor * s.rate()
	if rate == 0 {
		return true
	}
	if s.at.IsZero() {
		s.tokens = rate * startBurst.Seconds()
	} else if elapsed := now.Sub(s.at); elapsed > 0 {
		s.tokens = min(s.tokens+rate*elapsed.Seconds(), rate*startBurst.Seconds())
	}
	s.at = now
	if s.tokens <= 0 {
		return false
	}
	s.tokens -= cost // a request larger than the burst passes and is paid for afterwards
	return true
}

// SetSize sets the size of the service.
func (g *Gate) SetSize(size Size, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	size.Servers, size.Part = max(size.Servers, 0), min(max(size.Part, 0), 1)
	before := g.start.size
	if before.Nodes > 0 && float64(size.Servers) > returnedFactor*float64(before.Servers) {
		g.start.begin(now)
	}
	g.start.size = size
}

// Restart starts slowly again, for example after the process was paused and its views are old.
func (g *Gate) Restart(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.start.begin(now)
}
