// Package placement selects the backend server for a request and decides whether to send the request at all.
//
// A Board tracks, for each server, the requests that this node has in flight and the loads that the other nodes last
// reported. The decisions are pure functions of these loads (see engine.go and plain.go), so tests can replay load
// patterns without any server.
//
// Load reports of the servers themselves are some hundred milliseconds old and identical for all nodes: nodes that
// followed them would all send to the same server until the next report. The Board therefore counts requests that
// nodes have sent and not finished, which the nodes exchange several times a second.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/cost"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// peerExpiry is how long a load reported by another node is counted. The node's streams last for seconds, but a node
	// that has not reported for this long is probably faulty.
	peerExpiry = 2 * time.Second
	// failureHalfLife is the half-life of a server's failure count.
	failureHalfLife = 1500 * time.Millisecond
	// latencySampleWeight is the weight of a new sample in the moving average of a server's latency.
	latencySampleWeight = 0.1
)

// Load is the load that one node puts on a server.
type Load struct {
	// Running is the number of requests in flight.
	Running float64
	// Prefill is the number of uncached prompt tokens of the requests that have had no event yet.
	Prefill float64
	// Failures is the number of failures, decayed by failureHalfLife.
	Failures float64
	// Events is the number of output events that the requests are still expected to produce, Memory the tokens that they
	// are expected to take of the KV cache at their end. Only services on shared machines use them.
	Events, Memory float64
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Prefill += o.Prefill
	l.Failures += o.Failures
	l.Events += o.Events
	l.Memory += o.Memory
}

// Board is one node's view of all servers and their loads. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	domain  string
	servers map[string]*server
	groups  map[string][]*server
	peers   map[string]*peerLoads
	// unreported is the number of unreported requests per server beyond unreportedTolerance, by service; see SetUnreported.
	unreported map[string]float64
	withheld   map[string]withheld // by server id
	// sharedMachines holds the services whose servers report the work time of their machines.
	sharedMachines map[string]bool
	// random breaks ties and spreads the choices of different nodes; guarded by mu.
	random *rand.Rand
	// costs is what was learned of the costs of requests, arrivals the rate of requests that the other nodes send to a
	// service. Both serve services on shared machines only; guarded by mu.
	costs    *cost.Model
	arrivals map[string]arrivals
	// oldestPeer is the time of the oldest counted report of another node.
	oldestPeer time.Time
	options    [maxOptions]option
}

type server struct {
	serving.Server
	own               Load
	failuresDecayedAt time.Time // when own.Failures was last decayed
	// latency is the moving average of the duration of a plain request; 0 until the first result.
	latency time.Duration
	// slowness is the ratio of an engine's actual to its estimated time to first event; 0 until the first result.
	slowness float64
	cached   promptCache
	// sentAt is when this node last sent a request here.
	sentAt time.Time
	// fullAt is when the server last refused a request as full.
	fullAt time.Time
	// report is the load that the server last reported in a response, received at reportedAt.
	report     serving.Reply
	reportedAt time.Time
	shared     sharedState
}

type peerLoads struct {
	reportedAt time.Time
	loads      map[string]Load
	// counted is set while loads are part of the sums in sharedState.
	counted bool
}

// NewBoard returns a Board for a node in the given failure domain.
func NewBoard(domain string) *Board {
	return &Board{domain: domain, servers: map[string]*server{}, groups: map[string][]*server{}, peers: map[string]*peerLoads{},
		unreported: map[string]float64{}, withheld: map[string]withheld{}, sharedMachines: map[string]bool{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		costs:  cost.NewModel(), arrivals: map[string]arrivals{}}
}

// SetServers replaces the set of servers. The state of a server that was restarted or has moved to another address is
// discarded.
func (b *Board) SetServers(servers []serving.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*server, len(servers))
	groups := make(map[string][]*server)
	for _, s := range servers {
		state := b.servers[s.ID]
		if state == nil || state.Born != s.Born || state.Address != s.Address {
			state = &server{cached: newPromptCache()}
		}
		state.Server = s
		state.shared.hash = hashText(s.ID)
		next[s.ID] = state
		groups[s.Service] = append(groups[s.Service], state)
	}
	b.servers, b.groups = next, groups
	b.sumPeers()
}

// Servers returns the servers of a service.
func (b *Board) Servers(service string) []serving.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]serving.Server, 0, len(b.groups[service]))
	for _, s := range b.groups[service] {
		out = append(out, s.Server)
	}
	return out
}

// SetPeer stores the loads that another node has reported, by server id.
func (b *Board) SetPeer(node string, loads map[string]Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replacePeer(node, &peerLoads{reportedAt: now, loads: loads}, now)
}

// RemovePeer removes the loads of a node that has left.
func (b *Board) RemovePeer(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replacePeer(node, nil, time.Time{})
}

// OwnLoads returns this node's loads by server id, to be reported to its peers. Servers without requests in flight or
// recent failures are left out.
func (b *Board) OwnLoads(now time.Time) map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, s := range b.servers {
		s.decay(now)
		if s.own.Running > 0 || s.own.Failures > 0.1 {
			out[id] = s.own
		}
	}
	return out
}

func (s *server) decay(now time.Time) {
	if elapsed := now.Sub(s.failuresDecayedAt); elapsed > 0 && s.own.Failures > 0 {
		s.own.Failures *= math.Exp2(-float64(elapsed) / float64(failureHalfLife))
	}
	s.failuresDecayedAt = now
}

// total returns the load of a server summed over all nodes.
func (b *Board) total(s *server, now time.Time) Load {
	s.decay(now)
	sum := s.own
	for _, p := range b.peers {
		if now.Sub(p.reportedAt) < peerExpiry {
			sum.add(p.loads[s.ID])
		}
	}
	return sum
}

// Ticket is one request in flight on a server. Its methods may be called from several goroutines.
type Ticket struct {
	Server serving.Server
	// Expected is the estimated time to the first event of an engine or to the response of a plain server.
	Expected time.Duration

	board         *Board
	server        *server
	prefill       float64
	prompt        []serving.PromptPart
	startedAt     time.Time
	hadFirstEvent bool
	ended         bool
	byCost        *costTicket // nil unless the service is on shared machines
}

func (b *Board) begin(s *server, now time.Time, prefill float64, expected time.Duration, prompt []serving.PromptPart) *Ticket {
	s.own.Running++
	s.own.Prefill += prefill
	s.sentAt = now
	return &Ticket{Server: s.Server, Expected: expected, board: b, server: s, prefill: prefill, prompt: prompt, startedAt: now}
}

// FirstEvent records that the server has sent its first event and has thus processed the prompt.
func (t *Ticket) FirstEvent(now time.Time) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.hadFirstEvent || t.ended {
		return
	}
	t.hadFirstEvent = true
	t.server.observeFirstEvent(now.Sub(t.startedAt), t.Expected)
	t.server.own.Prefill = max(0, t.server.own.Prefill-t.prefill)
	t.server.cached.add(t.prompt, now)
	t.firstEventByCost(now)
}

// Outcome is how a request ended on a server.
type Outcome uint8

const (
	// Served means that the server returned a complete response.
	Served Outcome = iota
	// Refused means that the server was at capacity.
	Refused
	// Failed means that the server or the connection failed.
	Failed
	// Abandoned means that the request ended for a reason unrelated to the server.
	Abandoned
)

// End records the end of the request. Further calls do nothing.
func (t *Ticket) End(outcome Outcome, now time.Time) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	s := t.server
	s.own.Running = max(0, s.own.Running-1)
	if !t.hadFirstEvent {
		s.own.Prefill = max(0, s.own.Prefill-t.prefill)
	}
	s.decay(now)
	t.endByCost(outcome, now)
	switch outcome {
	case Served:
		s.own.Failures *= 0.5
		elapsed := now.Sub(t.startedAt)
		if s.latency == 0 {
			s.latency = elapsed
		} else {
			s.latency += time.Duration(latencySampleWeight * float64(elapsed-s.latency))
		}
	case Refused:
		s.fullAt = now
	case Failed:
		s.own.Failures++
	case Abandoned:
	}
}

// Choice restricts the servers that may be selected.
type Choice struct {
	Service string
	// Route is the route of the request; the work of plain requests is predicted by it.
	Route string
	// Repeatable is set if the request may run again: it may try a server that was slow.
	Repeatable bool
	// Exclude lists the ids of servers that were already tried.
	Exclude []string
	// Eligible excludes servers that must not get the request, for example because of their version; nil allows all.
	Eligible func(*serving.Server) bool
	// Allowed filters servers, for example to skip those ejected as outliers; nil allows all. Servers that are not
	// allowed are used only when no other is left.
	Allowed func(id string) bool
}

// candidates returns the allowed ready servers of a service without the excluded ones, or, when none of them is
// allowed, all ready servers that are not excluded. Servers that want no requests are never candidates.
func (b *Board) candidates(c Choice, now time.Time) []*server {
	var allowed, others []*server
	for _, s := range b.groups[c.Service] {
		if s.State != serving.Ready || contains(c.Exclude, s.ID) {
			continue
		}
		if c.Eligible != nil && !c.Eligible(&s.Server) {
			continue
		}
		if withheld, _ := b.isWithheld(&s.Server, now); withheld {
			continue
		}
		if c.Allowed == nil || c.Allowed(s.ID) {
			allowed = append(allowed, s)
		} else {
			others = append(others, s)
		}
	}
	if len(allowed) > 0 {
		return allowed
	}
	return others
}

// HasCandidate reports whether some server can be selected.
func (b *Board) HasCandidate(c Choice, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.candidates(c, now)) > 0
}

func contains(list []string, id string) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}

// IDsByHash returns the ids of all servers by their hash, for messages that refer to servers by a short hash.
func (b *Board) IDsByHash(hash func(id string) uint32) map[uint32]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[uint32]string, len(b.servers))
	for id := range b.servers {
		out[hash(id)] = id
	}
	return out
}

// Prefill returns the estimated number of uncached prompt tokens that the server processes for the request.
func (t *Ticket) Prefill() float64 { return t.prefill }
