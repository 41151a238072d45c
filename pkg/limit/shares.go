package limit

import (
	"hash/fnv"
	"math"
	"sync"
	"time"
)

// Demand is the demand of one workspace on one node in the last second, refused requests included. Its fields are those
// of the gossip item "demand/NODE".
type Demand struct {
	Workspace                    string
	Requests, Tokens, Concurrent uint32
}

// smoothedDemand is an exported demand with hysteresis: it changes only when the moving average has left a band around
// it. Random differences between seconds would otherwise cost a part of the limit, since a node counts its own demand by
// its lowest value over a longer time than it does that of others.
type smoothedDemand struct{ mean, exported float64 }

const (
	smoothDecay = 0.5
	smoothBand  = 0.2
	smoothMin   = 0.5 // an average below this counts as no demand
)

func (s *smoothedDemand) next(sample float64) uint32 {
	s.mean = smoothDecay*s.mean + (1-smoothDecay)*sample
	if s.mean < smoothMin {
		s.mean, s.exported = 0, 0
	}
	if math.Abs(s.mean-s.exported) > smoothBand*s.exported {
		s.exported = s.mean
	}
	return uint32(min(s.exported+0.5, math.MaxUint32))
}

// Share is this node's part of a workspace's limits. A value is infinite where there is no limit.
type Share struct {
	Requests, Tokens float64 // per second
	Concurrent       float64
}

// Timing of shares. A node counts an increase of its own demand only after ownWindow, when all reachable nodes count it:
// they have received it, at most gossipDelay after the export, have delayed it for staleAfter and have recomputed their
// shares, which happens each second. ownWindow is the sum of the three.
const (
	staleAfter  = 3 * time.Second
	gossipDelay = 2 * time.Second
	ownWindow   = staleAfter + gossipDelay + time.Second
	// leftReserveTime is how long the share of a node that left stays reserved: its last requests may still arrive.
	leftReserveTime = 5 * time.Second
	// joinFraction is the fraction of its share that a node uses during its first ownWindow, while other nodes may not
	// know of it yet.
	joinFraction = 0.25
)

// Shares divides limits between nodes by demand, without a call to the store.
//
// With L the limit and N the number of nodes, a node's share is its demand plus 1/N of the part of L that is left by all
// demands; if the demands exceed L, L is divided in proportion to them. The sum stays below L although nodes receive
// demands at different times, since a node counts its own demand by its lowest value within ownWindow and that of others
// by the lowest value within the shorter staleAfter: what a node counts for another is never less than what the other
// counts for itself.
//
// For a node without gossip for staleAfter, 1/N of L is reserved; at first its last share if that is more, until it must
// have noticed the loss of contact itself. A node that has lost contact with all others thus has 1/N. The same holds on
// both sides of a partition.
//
// Two cases are not bounded: concurrency after a shift of demand, until the requests that already run have ended; and a
// link that loses gossip in one direction only, for longer than staleAfter and over all paths.
type Shares struct {
	self      string
	startedAt time.Time

	mu      sync.Mutex
	limits  map[string]Workspace
	nodes   map[string]*nodeDemand
	history []demandRecord // demands exported by this node, oldest first
}

type demandRecord struct {
	at      time.Time
	demands map[string]Demand
}

type nodeDemand struct {
	recent     []demandRecord
	receivedAt time.Time
	leftAt     time.Time // zero while the node is listed
}

// NewShares returns the shares of a node that starts at now and knows no other nodes.
func NewShares(self string, now time.Time) *Shares {
	return &Shares{self: self, startedAt: now, limits: make(map[string]Workspace), nodes: make(map[string]*nodeDemand)}
}

// SetLimits applies the limits of a new configuration.
func (s *Shares) SetLimits(workspaces []Workspace) {
	limits := make(map[string]Workspace, len(workspaces))
	for _, w := range workspaces {
		limits[w.Name] = w
	}
	s.mu.Lock()
	s.limits = limits
	s.mu.Unlock()
}

// SetNodes sets the nodes that may admit requests: live, suspect and unreachable ones. A node may be left out only when
// it has left or its instance is known to be gone; its share is then reserved for leftReserveTime.
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
			n = &nodeDemand{receivedAt: now}
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
		if now.Sub(n.leftAt) >= leftReserveTime {
			delete(s.nodes, name)
		}
	}
}

// SetDemand stores the gossiped demand of another node, which need not be listed by SetNodes yet.
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
	n.receivedAt = now
	n.recent = appendRecord(n.recent, demands, now, staleAfter)
}

// Record stores this node's own demand. It must be called when the demand is exported.
func (s *Shares) Record(demands []Demand, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = appendRecord(s.history, demands, now, ownWindow)
	for name, n := range s.nodes {
		if !n.leftAt.IsZero() && now.Sub(n.leftAt) >= leftReserveTime {
			delete(s.nodes, name)
		}
	}
}

// appendRecord appends a demand and drops those older than the window, except for the newest of them.
func appendRecord(records []demandRecord, demands []Demand, now time.Time, window time.Duration) []demandRecord {
	byName := make(map[string]Demand, len(demands))
	for _, d := range demands {
		byName[d.Workspace] = d
	}
	records = append(records, demandRecord{at: now, demands: byName})
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
		limit := s.deductBursts(float64(w.RequestsPerSecond))
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

// deductBursts lowers a small limit by what the nodes' buckets, which hold at least one request each, could add to it
// within 10 s beyond the 4% that buckets of normal capacity may add. It keeps at least a quarter of the limit.
func (s *Shares) deductBursts(limit float64) float64 {
	const window = 10.0
	excess := float64(len(s.nodes)+1) - burstSeconds*limit
	return max(limit/4, limit-max(0, excess)/window)
}

// concurrent divides a concurrency limit into whole slots. When there are fewer slots than nodes, demand is ignored and
// the first nodes in rendezvous order have one slot each.
func (s *Shares) concurrent(workspace string, limit uint32, now time.Time) float64 {
	if int(limit) > len(s.nodes) {
		return math.Floor(s.divide(workspace, float64(limit), now, func(d Demand) uint32 { return d.Concurrent }))
	}
	rank, own := uint32(0), rendezvousHash(workspace, s.self)
	for name := range s.nodes {
		if rendezvousHash(workspace, name) < own {
			rank++
		}
	}
	if rank < limit {
		return 1
	}
	return 0
}

func rendezvousHash(workspace, node string) uint64 {
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
	var unreachableDemand, reserved float64
	reachable := 1.0
	for _, n := range s.nodes {
		if n.reachable(now) {
			reachable++
			continue
		}
		demand := n.demand(workspace, now, field)
		unreachableDemand += demand
		reserve := limit / count
		if now.Sub(n.receivedAt) < staleAfter+ownWindow {
			reserve = max(reserve, allocate(limit, demand, total, count))
		}
		reserved += reserve
	}
	share := allocate(max(0, limit-reserved), own, total-unreachableDemand, reachable)
	if now.Sub(s.startedAt) < ownWindow && len(s.nodes) > 0 {
		share *= joinFraction
	}
	return share
}

// allocate returns the part of a limit for one demand: the demand plus an equal part of the rest, or a proportional part
// when the total of all demands exceeds the limit.
func allocate(limit, demand, total, nodes float64) float64 {
	if total > limit {
		return limit * demand / total
	}
	return demand + (limit-total)/nodes
}

// ownDemand returns the lowest demand this node has exported within ownWindow, or 0 if it has not exported for that long.
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

func (n *nodeDemand) reachable(now time.Time) bool {
	return n.leftAt.IsZero() && now.Sub(n.receivedAt) < staleAfter
}

// demand returns the lowest demand received within staleAfter, or the highest one on record if the node is unreachable.
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
	if n.reachable(now) {
		return float64(lowest)
	}
	return float64(highest)
}
