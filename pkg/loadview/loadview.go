// Package loadview keeps the load of all backend servers ("workers") on every entry node.
//
// A few observers per failure domain, chosen by rendezvous hashing, poll the workers of their domain. They send
// changes of the quantized load to the domain's relay, which numbers them. Every node asks one peer of gossip's
// view every pullPeriod for what changed since the versions that it has, and the relay pushes to a few peers so
// that a change starts from several nodes. A peer answers with the state of the workers that changed, not with a
// log: a worker that changed twice is sent once, so a short budget makes loads older but never builds a queue.
//
// With one version per failure domain a request takes about 200 bytes. One version per observer (hundreds) would
// not fit into the budget, and pushing every change through gossip sends it to each node about three times;
// docs/measurements-gossip.md compares the three ways.
//
// Loads are quantized in steps of half an octave. A change of the running requests is sent when the number is a
// tenth outside of the step sent last, and at most every changePeriod per worker, unless the worker begins to leave,
// cannot be reached or jumps by several steps.
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
	// DefaultBytesPerSecond is the part of a node's control budget of 6 KB/s that is for load.
	DefaultBytesPerSecond = 2800
	// ObserversPerDomain bounds the observers of a failure domain. With fewer, an observer polls too many
	// workers; with more, the reports to the relay are small messages that are mostly overhead.
	ObserversPerDomain = 8
	// pullPeriod is the time between two requests of a node, pushPeriod between two pushes of a relay and
	// reportPeriod between two reports of an observer.
	pullPeriod   = 500 * time.Millisecond
	pushPeriod   = 500 * time.Millisecond
	reportPeriod = 500 * time.Millisecond
	// pushPeers is the number of peers a relay pushes to.
	pushPeers = 2
	// changePeriod is the least time between two changes of one worker, jumpLevels the number of steps that does
	// not wait for it.
	changePeriod = 2 * time.Second
	jumpLevels   = 3
	// fullPeriod is the time between two complete reports of an observer; unobservedAfter is when a relay gives a
	// worker without reports up as unobserved.
	fullPeriod      = 5 * time.Second
	unobservedAfter = 12 * time.Second
	// maxMessage bounds the workers of one message, in bytes: two packets.
	maxMessage = 2300
	// workerBytes estimates one worker in a message.
	workerBytes = 11
	// budgetBurst is how many seconds of budget may be spent at once.
	budgetBurst = 2
	// maxDomains and maxWorkers bound what a node keeps.
	maxDomains = 64
	maxWorkers = 10000
	maxAge     = 255
)

// Worker is a backend server in the instance list.
type Worker struct {
	Name, FailureDomain string
}

// Members is the part of membership.Core that load views use.
type Members interface {
	Live() []membership.Member
}

// Peers is the part of gossip.Core that load views use.
type Peers interface {
	View() []gossip.Peer
	Borrow(now time.Time, bytes int) bool
}

// Config configures a Core.
type Config struct {
	Node, FailureDomain string
	Rand                *rand.Rand
	// BytesPerSecond bounds what the core sends, with gossip.MessageOverhead; 0 means the default.
	BytesPerSecond int
}

// state is the load of one worker.
type state struct {
	load     quantized
	observed time.Time
	// sequence is the domain's sequence of the last change.
	sequence uint64
}

// domain is what a node knows of the workers of a failure domain.
type domain struct {
	term, sequence uint64
	// asOf is when the relay confirmed this version.
	asOf    time.Time
	workers map[uint32]*state
}

// version is a term with a sequence.
type version struct{ term, sequence uint64 }

// own is a worker that this node observes.
type own struct {
	load, sent quantized
	running    uint32 // before quantization
	observed   time.Time
	sentAt     time.Time
	domain     uint32
}

// Core keeps the load of all workers. Its methods may be called from several goroutines.
type Core struct {
	cfg     Config
	peers   Peers
	members Members

	mu       sync.Mutex
	list     []Worker
	domains  map[uint32]*domain
	names    map[string]uint32
	observed map[uint32]*own
	byNode   map[string]membership.Member
	live     []membership.Member // the view that byNode and duties were made from
	duties   []string
	relays   map[uint32]string // relay of each failure domain, by hash
	stale    bool              // the list of workers has changed
	// reports has the time of the last report of each worker whose domain this node relays.
	reports map[uint32]time.Time
	// terms has the term that this node numbers as relay, pushed the version up to which it has pushed, by domain.
	terms    map[uint32]uint64
	pushed   map[uint32]version
	tokens   float64
	refilled time.Time
	nextPull, nextPush, nextReport,
	nextFull time.Time
	sentMessages, sentBytes uint64
}

// NewCore returns a core without workers.
func NewCore(cfg Config, peers Peers, members Members) *Core {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	return &Core{cfg: cfg, peers: peers, members: members, domains: map[uint32]*domain{}, names: map[string]uint32{},
		observed: map[uint32]*own{}, byNode: map[string]membership.Member{}, relays: map[uint32]string{},
		reports: map[uint32]time.Time{}, terms: map[uint32]uint64{}, pushed: map[uint32]version{},
		tokens: float64(budgetBurst * cfg.BytesPerSecond)}
}

// hashOf identifies a worker or failure domain in messages.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetWorkers replaces the list of workers, as read from the instance list. Loads of other workers are dropped.
func (c *Core) SetWorkers(workers []Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = slices.Clone(workers)
	c.names = make(map[string]uint32, len(workers))
	known := make(map[uint32]bool, len(workers))
	for _, w := range workers {
		c.names[w.Name] = hashOf(w.Name)
		known[hashOf(w.Name)] = true
	}
	for _, d := range c.domains {
		for id := range d.workers {
			if !known[id] {
				delete(d.workers, id)
			}
		}
	}
	c.stale = true
}

// Duties returns the workers that this node observes, which the caller polls. The slice is shared and must not be
// changed.
func (c *Core) Duties() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.duties
}

// refresh follows changes of the members and of the list of workers.
func (c *Core) refresh() {
	live := c.members.Live()
	same := len(live) == len(c.live) && (len(live) == 0 || &live[0] == &c.live[0])
	if same && !c.stale {
		return
	}
	c.live, c.stale = live, false
	c.byNode = make(map[string]membership.Member, len(live))
	for _, m := range live {
		c.byNode[m.Node] = m
	}
	c.duties = nil
	c.relays = map[uint32]string{}
	observers := map[string][]membership.Member{}
	for _, w := range c.list {
		if _, ok := observers[w.FailureDomain]; !ok {
			observers[w.FailureDomain] = Observers(w.FailureDomain, live)
			c.relays[hashOf(w.FailureDomain)] = relayOf(w.FailureDomain, observers[w.FailureDomain])
		}
		chosen := membership.Rendezvous(w.Name, observers[w.FailureDomain], 1)
		if len(chosen) > 0 && chosen[0].Node == c.cfg.Node {
			c.duties = append(c.duties, w.Name)
		}
	}
	mine := map[uint32]bool{}
	for _, name := range c.duties {
		mine[c.names[name]] = true
	}
	for id := range c.observed {
		if !mine[id] {
			delete(c.observed, id)
		}
	}
	c.nextFull = time.Time{}
}

// Observers returns the nodes that share the workers of a failure domain. A domain without live entry nodes is
// observed from others.
func Observers(failureDomain string, live []membership.Member) []membership.Member {
	inside := membership.RendezvousInside("observers/"+failureDomain, live, ObserversPerDomain, failureDomain)
	if len(inside) > 0 {
		return inside
	}
	return membership.Rendezvous("observers/"+failureDomain, live, ObserversPerDomain)
}

// relayOf returns the relay, which is one of the observers so that its own observations need no message.
func relayOf(failureDomain string, observers []membership.Member) string {
	chosen := membership.Rendezvous("relay/"+failureDomain, observers, 1)
	if len(chosen) == 0 {
		return ""
	}
	return chosen[0].Node
}

// Observe takes the result of a poll of a worker.
func (c *Core) Observe(now time.Time, load *pb.WorkerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	id, ok := c.names[load.Server]
	if !ok || !slices.Contains(c.duties, load.Server) {
		return
	}
	o := c.observed[id]
	if o == nil {
		o = &own{}
		c.observed[id] = o
		i := slices.IndexFunc(c.list, func(w Worker) bool { return w.Name == load.Server })
		o.domain = hashOf(c.list[i].FailureDomain)
	}
	o.load, o.running, o.observed = quantize(load), load.Running, now
}

// Load is the known load of a worker.
type Load struct {
	Running, Waiting uint32
	CachePercent     uint32
	StepMicros       uint32
	Leaving          bool
	Unreachable      bool
	// Unobserved means that no observer has reported the worker for a while.
	Unobserved bool
	// Age is the time since this load was known to be current.
	Age time.Duration
}

// Get returns the load of a worker.
func (c *Core) Get(now time.Time, worker string) (Load, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.names[worker]
	if !ok {
		return Load{}, false
	}
	if o := c.observed[id]; o != nil {
		return o.load.expand(now.Sub(o.observed)), true
	}
	for _, d := range c.domains {
		if s := d.workers[id]; s != nil {
			return s.load.expand(now.Sub(later(s.observed, d.asOf))), true
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
		id := c.names[w.Name]
		if o := c.observed[id]; o != nil {
			out[w.Name] = o.load.expand(now.Sub(o.observed))
			continue
		}
		d := c.domains[hashOf(w.FailureDomain)]
		if d == nil || d.workers[id] == nil {
			continue
		}
		s := d.workers[id]
		out[w.Name] = s.load.expand(now.Sub(later(s.observed, d.asOf)))
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Sent returns the messages and bytes sent so far.
func (c *Core) Sent() (messages, bytes uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentMessages, c.sentBytes
}

// spend takes a message from the budget, or from what gossip does not need of its own.
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
