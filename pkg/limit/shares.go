package limit

import (
	"hash/fnv"
	"math"
	"sync"
	"time"
)

// Demand is what one workspace asked of one node in the last second, refused requests included. Its fields are those
// of the gossip item "demand/NODE".
type Demand struct {
	Workspace                    string
	Requests, Tokens, Concurrent uint32
}

// smoothed is an exported figure. It moves only when the mean of the last seconds has left a band around it: random
// differences between seconds would otherwise cost a part of the limit, since a node's own demand counts by its lowest
// value and that of others by their highest.
type smoothed struct{ mean, exported float64 }

const (
	smoothKeep = 0.5
	smoothBand = 0.2
	smoothLow  = 0.5 // below this, the demand counts as none
)

func (s *smoothed) next(seen float64) uint32 {
	s.mean = smoothKeep*s.mean + (1-smoothKeep)*seen
	if s.mean < smoothLow {
		s.mean, s.exported = 0, 0
	}
	if math.Abs(s.mean-s.exported) > smoothBand*s.exported {
		s.exported = s.mean
	}
	return uint32(min(s.exported+0.5, math.MaxUint32))
}

// Share is this node's part of a workspace's limits; infinite where there is no limit.
type Share struct {
	Requests, Tokens float64 // per second
	Concurrent       float64
}

// Timing of shares. A demand this node exported counts for its own share after ownWindow, when it counts on all nodes
// in touch: they have heard it, gossipDelay after the export at most, have held it back for staleAfter and have computed
// their shares again, which happens each second. ownWindow is the sum.
const (
	staleAfter  = 3 * time.Second
	gossipDelay = 2 * time.Second
	ownWindow   = staleAfter + gossipDelay + time.Second
	// lapseAfter is how long the share of a node that left stays reserved: its last requests may still arrive.
	lapseAfter = 5 * time.Second
	// joinShare is the part of its share that a node uses in its first ownWindow, while others may not know it yet.
	joinShare = 0.25
)

// Shares divides limits between nodes by demand, without a store call.
//
// With L the limit and N the number of nodes, a node's share is its demand plus an Nth of what all demands leave of
// L; if they exceed L, it is L divided in proportion. The sum stays below L although nodes hear of demands at
// different times, since a node counts its own demand by the lowest value of ownWindow and that of others by the lowest
// value of the shorter staleAfter: what a node counts for another is never less than what that one counts for itself.
//
// A node that is not heard of for staleAfter gets an Nth of L reserved, and at first its last share if that is more,
// until it must have noticed as well. A node that lost touch with all others thus has an Nth itself. The same holds on
// both sides of a partition.
//
// Not bounded this way: concurrency after a shift of demand, until the requests that run already have ended; and a
// link that loses the gossip of one direction only, for longer than staleAfter and over all paths.
type Shares struct {
	self  string
	began time.Time

	mu      sync.Mutex
	limits  map[string]Workspace
	nodes   map[string]*nodeDemand
	history []record // own exports, oldest first
}

type record struct {
	at      time.Time
	demands map[string]Demand
}

type nodeDemand struct {
	recent []record
	heard  time.Time
	leftAt time.Time // zero while the node is in the set
}

// NewShares returns the shares of a node that starts now and knows no other node.
func NewShares(self string, now time.Time) *Shares {
	return &Shares{self: self, began: now, limits: make(map[string]Workspace), nodes: make(map[string]*nodeDemand)}
}

// SetLimits takes the limits of a new configuration.
func (s *Shares) SetLimits(workspaces []Workspace) {
	limits := make(map[string]Workspace, len(workspaces))
	for _, w := range workspaces {
		limits[w.Name] = w
	}
	s.mu.Lock()
	s.limits = limits
	s.mu.Unlock()
}

// SetNodes tells which nodes may admit requests: live, suspected and unreachable ones. A node may be left out only
// when it has left or its instance is known to be gone; its share is then reserved for lapseAfter.
func (s *Shares) SetNodes(names []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		if name == s.self {
			continue
		}
		listed[name] = true
		n := s.nodes[name]
		if n == nil {
			n = &nodeDemand{heard: now}
			s.nodes[name] = n
		}
		n.leftAt = time.Time{}
	}
	for name, n := range s.nodes {
		if listed[name] {
			continue
		}
		if n.leftAt.IsZero() {
			n.leftAt = now
		}
		if now.Sub(n.leftAt) >= lapseAfter {
			delete(s.nodes, name)
		}
	}
}

// SetDemand takes the gossiped demand of another node, which may be one that SetNodes has not named yet.
func (s *Shares) SetDemand(node string, demands []Demand, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	if node == s.self {
		return
	}
	if n == nil {
		n = &nodeDemand{}
		s.nodes[node] = n
	}
	n.heard = now
	n.recent = appendRecord(n.recent, demands, now, staleAfter)
}

// Record takes this node's own demand at the moment it is exported.
func (s *Shares) Record(demands []Demand, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = appendRecord(s.history, demands, now, ownWindow)
	for name, n := range s.nodes {
		if !n.leftAt.IsZero() && now.Sub(n.leftAt) >= lapseAfter {
			delete(s.nodes, name)
		}
	}
}

// appendRecord adds a record and drops those that are older than the window, except for the newest of them.
func appendRecord(records []record, demands []Demand, now time.Time, window time.Duration) []record {
	byName := make(map[string]Demand, len(demands))
	for _, d := range demands {
		byName[d.Workspace] = d
	}
	records = append(records, record{at: now, demands: byName})
	first := 0
	for first+1 < len(records) && now.Sub(records[first+1].at) >= window {
		first++
	}
	return append(records[:0], records[first:]...)
}

// Share returns this node's part of the limits of a workspace.
func (s *Shares) Share(workspace string, now time.Time) Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.limits[workspace]
	share := Share{Requests: math.Inf(1), Tokens: math.Inf(1), Concurrent: math.Inf(1)}
	if w.RequestsPerSecond > 0 {
		limit := s.withoutBursts(float64(w.RequestsPerSecond))
		share.Requests = s.divide(workspace, limit, now, func(d Demand) uint32 { return d.Requests })
	}
	if w.TokensPerSecond > 0 {
		share.Tokens = s.divide(workspace, float64(w.TokensPerSecond), now, func(d Demand) uint32 { return d.Tokens })
	}
	if w.Concurrent > 0 {
		share.Concurrent = s.concurrent(workspace, w.Concurrent, now)
	}
	return share
}

// withoutBursts lowers a small limit by what the nodes' buckets, which hold at least one request each, could add to it
// in 10 s beyond the 4% that buckets of normal size may add.
func (s *Shares) withoutBursts(limit float64) float64 {
	const window = 10.0
	excess := float64(len(s.nodes)+1) - burstSeconds*limit
	return max(limit/4, limit-max(0, excess)/window)
}

// concurrent divides whole slots. When there are fewer slots than nodes, demand is ignored and the first nodes by hash
// have one each.
func (s *Shares) concurrent(workspace string, limit uint32, now time.Time) float64 {
	if int(limit) > len(s.nodes) {
		return math.Floor(s.divide(workspace, float64(limit), now, func(d Demand) uint32 { return d.Concurrent }))
	}
	rank, own := uint32(0), rankOf(workspace, s.self)
	for name := range s.nodes {
		if rankOf(workspace, name) < own {
			rank++
		}
	}
	if rank < limit {
		return 1
	}
	return 0
}

func rankOf(workspace, node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace + "\x00" + node))
	return h.Sum64()
}

func (s *Shares) divide(workspace string, limit float64, now time.Time, field func(Demand) uint32) float64 {
	count := float64(len(s.nodes) + 1)
	own := s.ownDemand(workspace, now, field)
	total := own
	for _, n := range s.nodes {
		total += n.demand(workspace, now, field)
	}
	var lost, reserved float64
	inTouch := 1.0
	for _, n := range s.nodes {
		if n.inTouch(now) {
			inTouch++
			continue
		}
		demand := n.demand(workspace, now, field)
		lost += demand
		reserve := limit / count
		if now.Sub(n.heard) < staleAfter+ownWindow {
			reserve = max(reserve, part(limit, demand, total, count))
		}
		reserved += reserve
	}
	share := part(max(0, limit-reserved), own, total-lost, inTouch)
	if now.Sub(s.began) < ownWindow && len(s.nodes) > 0 {
		share *= joinShare
	}
	return share
}

// part returns what a demand gets of a limit: itself and an equal part of the rest, or in proportion when all demands
// together exceed the limit.
func part(limit, demand, total, nodes float64) float64 {
	if total > limit {
		return limit * demand / total
	}
	return demand + (limit-total)/nodes
}

// ownDemand is the lowest demand this node has exported within ownWindow; none before it has exported that long.
func (s *Shares) ownDemand(workspace string, now time.Time, field func(Demand) uint32) float64 {
	if len(s.history) == 0 || now.Sub(s.history[0].at) < ownWindow-time.Second {
		return 0
	}
	lowest := uint32(math.MaxUint32)
	for _, r := range s.history {
		lowest = min(lowest, field(r.demands[workspace]))
	}
	return float64(lowest)
}

func (n *nodeDemand) inTouch(now time.Time) bool {
	return n.leftAt.IsZero() && now.Sub(n.heard) < staleAfter
}

// demand is the lowest demand heard within staleAfter, or the highest one kept of a node that is out of touch.
func (n *nodeDemand) demand(workspace string, now time.Time, field func(Demand) uint32) float64 {
	if len(n.recent) == 0 {
		return 0
	}
	last := field(n.recent[len(n.recent)-1].demands[workspace])
	lowest, highest := last, last
	for _, r := range n.recent {
		v := field(r.demands[workspace])
		highest = max(highest, v)
		if now.Sub(r.at) < staleAfter {
			lowest = min(lowest, v)
		}
	}
	if n.inTouch(now) {
		return float64(lowest)
	}
	return float64(highest)
}
