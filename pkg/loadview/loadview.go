// Package loadview replicates the load of all backend servers ("workers") to every entry node.
//
// A few observers per failure domain, chosen by rendezvous hashing, poll the workers of their domain. They send
// changes of the quantized load to the domain's relay, which gives them sequence numbers. Every pullPeriod each node
// queries one peer of the gossip view for the changes since the versions that it has. The relay also pushes changes to
// a few peers, so that each change starts from several nodes. A peer replies with the state of the changed workers, not
// with a log: a worker that changed twice is sent once, so a short budget makes loads older but never builds a queue.
//
// With one version per failure domain a pull request takes about 200 bytes. One version per observer (hundreds) would
// not fit into the budget, and pushing every change through gossip sends it to each node about three times;
// docs/measurements-gossip.md compares the three protocols.
//
// Loads are quantized to levels of half an octave. A change in the number of running requests is sent when the number
// is outside the level sent last by more than a tenth, and at most every changePeriod per worker, unless the worker
// starts to leave, becomes unreachable or changes by jumpLevels or more.
//
// Core is deterministic, like gossip.Core.
package loadview

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/membership"
)

const (
	// DefaultBytesPerSecond is the share of load reports in a node's budget of 6 KB/s for control traffic.
	DefaultBytesPerSecond = 2800
	// ObserversPerDomain bounds the number of observers of a failure domain. With fewer, each would poll too many
	// workers; with more, the reports to the relay would be small messages that are mostly overhead.
	ObserversPerDomain = 8
	// pullPeriod is the time between two pull requests of a node, pushPeriod that between two pushes of a relay, and
	// reportPeriod that between two reports of an observer.
	pullPeriod   = 500 * time.Millisecond
	pushPeriod   = 500 * time.Millisecond
	reportPeriod = 500 * time.Millisecond
	// pushPeers is the number of peers a relay pushes to.
	pushPeers = 2
	// changePeriod is the least time between two reported changes of one worker; a change by jumpLevels or more levels
	// is reported without waiting.
	changePeriod = 2 * time.Second
	jumpLevels   = 3
	// fullPeriod is the time between two complete reports of an observer; unobservedAfter is the time without a report
	// after which the relay flags a worker as unobserved.
	fullPeriod      = 5 * time.Second
	unobservedAfter = 12 * time.Second
	// maxMessage bounds the workers of one message, in bytes, to what fits into two packets.
	maxMessage = 2300
	// workerBytes is the estimated size of one worker in a message, in bytes.
	workerBytes = 11
	// budgetBurst is the number of seconds of budget that may be spent at once.
	budgetBurst = 2
	// maxDomains and maxWorkers bound the failure domains that a node stores and the workers of each.
	maxDomains   = 64
	maxWorkers   = 10000
	maxAgeTenths = 255 // greatest age of a load in a message, in tenths of a second
)

// Worker is a backend server in the instance list.
type Worker struct {
	Name, FailureDomain string
}

// Members is the part of membership.Core that Core uses.
type Members interface {
	Live() []membership.Member
}

// Peers is the part of gossip.Core that Core uses.
type Peers interface {
	View() []gossip.Peer
	Borrow(now time.Time, bytes int) bool
}

// Config configures a Core.
type Config struct {
	Node, FailureDomain string
	Rand                *rand.Rand
	// BytesPerSecond bounds the traffic that the core sends, gossip.MessageOverhead included; 0 means the default.
	BytesPerSecond int
}

// state is the replicated load of one worker.
type state struct {
	load     quantized
	observed time.Time
	// sequence is the sequence number, within the domain, of the last change.
	sequence uint64
}

// domain is the replicated state of the workers of a failure domain.
type domain struct {
	term, sequence uint64
	// asOf is the time at which the relay confirmed this version.
	asOf    time.Time
	workers map[uint32]*state
}

// version is a sequence number within the term of a relay.
type version struct{ term, sequence uint64 }

// observation is the state of a worker that this node observes.
type observation struct {
	load, sent quantized
	running    uint32 // running requests before quantization
	observed   time.Time
	sentAt     time.Time
	domain     uint32
}

// Core holds the load of all workers. Its methods may be called from several goroutines.
type Core struct {
	cfg     Config
	peers   Peers
	members Members

	mu             sync.Mutex
	list           []Worker
	domains        map[uint32]*domain
	ids            map[string]uint32
	observations   map[uint32]*observation
	byNode         map[string]membership.Member
	live           []membership.Member // the view that byNode, assigned and relays were computed from
	assigned       []string
	relays         map[uint32]string // relay of each failure domain, by the domain's hash
	workersChanged bool              // the list of workers has changed
	// lastReports has the time of the last report of each worker whose domain this node relays.
	lastReports map[uint32]time.Time
	// relayTerms has the terms that this node started as relay, and pushedVersions the versions up to which it has
	// pushed, both by domain.
	relayTerms     map[uint32]uint64
	pushedVersions map[uint32]version
	tokens         float64
	refilled       time.Time
	nextPull, nextPush, nextReport,
	nextFull time.Time
	sentMessages, sentBytes uint64
}

// NewCore returns a Core without workers.
func NewCore(cfg Config, peers Peers, members Members) *Core {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	return &Core{cfg: cfg, peers: peers, members: members, domains: map[uint32]*domain{}, ids: map[string]uint32{},
		observations: map[uint32]*observation{}, byNode: map[string]membership.Member{}, relays: map[uint32]string{},
		lastReports: map[uint32]time.Time{}, relayTerms: map[uint32]uint64{}, pushedVersions: map[uint32]version{},
		tokens: float64(budgetBurst * cfg.BytesPerSecond)}
}

// hashOf returns the ID of a worker or failure domain in messages.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetWorkers replaces the list of workers, as read from the instance list. Loads of workers not in it are dropped.
func (c *Core) SetWorkers(workers []Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = slices.Clone(workers)
	c.ids = make(map[string]uint32, len(workers))
	known := make(map[uint32]bool, len(workers))
	for _, w := range workers {
		c.ids[w.Name] = hashOf(w.Name)
		known[hashOf(w.Name)] = true
	}
	for _, d := range c.domains {
		for id := range d.workers {
			if !known[id] {
				delete(d.workers, id)
			}
		}
	}
	c.workersChanged = true
}

// AssignedWorkers returns the workers that this node observes; the caller polls them. The slice is shared and must not
// be changed.
func (c *Core) AssignedWorkers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.assigned
}

// refresh recomputes relays and observed workers after changes of the live members or of the list of workers.
func (c *Core) refresh() {
	live := c.members.Live()
	same := len(live) == len(c.live) && (len(live) == 0 || &live[0] == &c.live[0])
	if same && !c.workersChanged {
		return
	}
	c.live, c.workersChanged = live, false
	c.byNode = make(map[string]membership.Member, len(live))
	for _, m := range live {
		c.byNode[m.Node] = m
	}
	c.assigned = nil
	c.relays = map[uint32]string{}
	observers := map[string][]membership.Member{}
	for _, w := range c.list {
		if _, ok := observers[w.FailureDomain]; !ok {
			observers[w.FailureDomain] = Observers(w.FailureDomain, live)
			c.relays[hashOf(w.FailureDomain)] = relayOf(w.FailureDomain, observers[w.FailureDomain])
		}
		chosen := membership.Rendezvous(w.Name, observers[w.FailureDomain], 1)
		if len(chosen) > 0 && chosen[0].Node == c.cfg.Node {
			c.assigned = append(c.assigned, w.Name)
		}
	}
	isAssigned := map[uint32]bool{}
	for _, name := range c.assigned {
		isAssigned[c.ids[name]] = true
	}
	for id := range c.observations {
		if !isAssigned[id] {
			delete(c.observations, id)
		}
	}
	c.nextFull = time.Time{}
}

// Observers returns the nodes that share the polling of the workers of a failure domain. A domain without live entry
// nodes is observed from other domains.
func Observers(failureDomain string, live []membership.Member) []membership.Member {
	inside := membership.RendezvousInside("observers/"+failureDomain, live, ObserversPerDomain, failureDomain)
	if len(inside) > 0 {
		return inside
	}
	return membership.Rendezvous("observers/"+failureDomain, live, ObserversPerDomain)
}

// relayOf returns the relay of a failure domain, or an empty name without observers. It is one of the observers, so
// that its own observations need no message.
func relayOf(failureDomain string, observers []membership.Member) string {
	chosen := membership.Rendezvous("relay/"+failureDomain, observers, 1)
	if len(chosen) == 0 {
		return ""
	}
	return chosen[0].Node
}

// Observe records the result of a poll. Results of workers that this node does not observe are dropped.
func (c *Core) Observe(now time.Time, load *pb.WorkerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	id, ok := c.ids[load.Server]
	if !ok || !slices.Contains(c.assigned, load.Server) {
		return
	}
	o := c.observations[id]
	if o == nil {
		o = &observation{}
		c.observations[id] = o
		i := slices.IndexFunc(c.list, func(w Worker) bool { return w.Name == load.Server })
		o.domain = hashOf(c.list[i].FailureDomain)
	}
	o.load, o.running, o.observed = quantize(load), load.Running, now
}

// Load is the last known load of a worker. Its numbers are quantized.
type Load struct {
	Running, Waiting uint32
	CachePercent     uint32
	StepMicros       uint32
	Leaving          bool
	Unreachable      bool
	// Unobserved means that no observer has reported the worker for a while.
	Unobserved bool
	// Age is the time since the load was last known to be current.
	Age time.Duration
}

// Get returns the load of a worker, or false when none is known.
func (c *Core) Get(now time.Time, worker string) (Load, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.ids[worker]
	if !ok {
		return Load{}, false
	}
	if o := c.observations[id]; o != nil {
		return o.load.dequantize(now.Sub(o.observed)), true
	}
	for _, d := range c.domains {
		if s := d.workers[id]; s != nil {
			return s.load.dequantize(now.Sub(laterTime(s.observed, d.asOf))), true
		}
	}
	return Load{}, false
}

// View returns the load of all known workers by name.
func (c *Core) View(now time.Time) map[string]Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Load, len(c.list))
	for _, w := range c.list {
		id := c.ids[w.Name]
		if o := c.observations[id]; o != nil {
			out[w.Name] = o.load.dequantize(now.Sub(o.observed))
			continue
		}
		d := c.domains[hashOf(w.FailureDomain)]
		if d == nil || d.workers[id] == nil {
			continue
		}
		s := d.workers[id]
		out[w.Name] = s.load.dequantize(now.Sub(laterTime(s.observed, d.asOf)))
	}
	return out
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Sent returns the numbers of messages and bytes sent so far, gossip.MessageOverhead included.
func (c *Core) Sent() (messages, bytes uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentMessages, c.sentBytes
}

// spend takes the cost of a message from the budget, or from the unused budget of gossip, and reports whether it could.
func (c *Core) spend(env *pb.Envelope) bool {
	n := float64(proto.Size(env) + gossip.MessageOverhead)
	switch {
	case c.tokens >= n:
		c.tokens -= n
	case !c.peers.Borrow(c.refilled, int(n)):
		return false
	}
	c.sentMessages++
	c.sentBytes += uint64(n)
	return true
}

func (c *Core) refill(now time.Time) {
	if !c.refilled.IsZero() {
		c.tokens += now.Sub(c.refilled).Seconds() * float64(c.cfg.BytesPerSecond)
	}
	c.tokens = min(c.tokens, float64(budgetBurst*c.cfg.BytesPerSecond))
	c.refilled = now
}
