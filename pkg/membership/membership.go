// Package membership keeps the view of the live entry nodes.
//
// Each node probes one peer of its region per second, mostly from the view of gossip, whose connections are open,
// and sometimes any node, so that each is probed whatever the views are. After a miss it asks two peers in other
// failure domains to probe. Only when one of them answers that it cannot reach the node either is the node
// suspected: a fault of the prober's own links or domain harms nobody else. The suspicion is an urgent gossip item
// under the member's own key, with a version just above the one known. A live node refutes it with a higher
// incarnation; without refutation every node considers it dead deadAfter later on its own clock, which needs no
// further message, even when a whole failure domain is lost.
//
// Nodes are suspected by their own region only. One more probe per second goes to another region; when all of
// them fail for regionTimeout, its members count as suspected here (no new work is sent there) and never as dead,
// because the other region cannot refute. Gossip keeps them as peers, so that contact is found again.
//
// A node whose own probes mostly fail suspects itself and nobody else.
//
// The instance list of the platform is used to find the first peers and nodes that lost contact with all others.
// It may be unavailable for hours: it is never needed to keep the view current.
//
// Core is deterministic like gossip.Core; Runner connects it to clock, transport and instance list.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
)

const (
	// keyPrefix precedes the node's name in the key of its item.
	keyPrefix = "member/"
	// probePeriod is the time between two probes of the own region, and between two of other regions.
	probePeriod = time.Second
	// probeTimeout covers a handshake and a probe between regions.
	probeTimeout = 500 * time.Millisecond
	// relayTimeout is how long a peer waits for the node that it probes for another; indirectTimeout is how long
	// that other waits for the peer.
	relayTimeout    = 400 * time.Millisecond
	indirectTimeout = 800 * time.Millisecond
	// indirectPeers is the number of peers asked after a miss.
	indirectPeers = 2
	// anyNodeEvery makes one of so many probes go to any node instead of one of the view; each costs a handshake.
	anyNodeEvery = 20
	// alarmTime is how long after a suspicion half of the probes go to other nodes of the same failure domain, so
	// that the loss of a domain is found without waiting for each node to be in someone's view.
	alarmTime = 10 * time.Second
	// deadAfter is how long a suspected node has to refute.
	deadAfter = 3 * time.Second
	// regionTimeout is how long all probes of a region must fail until it counts as out of touch.
	regionTimeout = 5 * time.Second
	// selfWindow and selfProbes define self-suspicion: of the last selfWindow own probes, at least selfProbes
	// failed, without the help of others. A lost failure domain fails a quarter to a third of them.
	selfWindow = 8
	selfProbes = 6
	// itemTTL is how long a member is known without a sign of life; refreshPeriod is the most time between two
	// renewals of the own item, of which three may get lost. Each node picks a random part of its second half, so
	// that nodes started together do not renew together.
	// Probes find dead nodes, so renewals may be rare: with 75 to 150 s between them, a node of 200 sent 1.9 KB/s
	// instead of 1.2 (TestMeasureSlopes).
	itemTTL       = 30 * time.Minute
	refreshPeriod = 9 * time.Minute
	// loadPeriod is the least time between two items that only report load: 400 nodes share the gossip budget.
	loadPeriod = 10 * time.Second
	// accusePeriod is the time between two reminders to a node considered dead, which lets it refute when it is
	// alive, as after a partition.
	accusePeriod = 5 * time.Second
	// listGone is how long a node must be missing from the instance list before a suspected one counts as dead.
	listGone = time.Minute
	// maxRelays bounds the probes in progress for others.
	maxRelays = 256
)

// Member is one node of the view.
type Member struct {
	Node, Region, FailureDomain string
	NodeAddr, CallerAddr        string
	Status                      pb.MemberState_Status
	// Load is the node's quantized number of open requests.
	Load uint32
	// Incarnation rises when the node restarts or refutes a suspicion.
	Incarnation uint64
}

// Config describes the own node.
type Config struct {
	Node, Region, FailureDomain, NodeAddr, CallerAddr string
	// Incarnation is the start time in milliseconds, so that it rises with each restart.
	Incarnation uint64
	Rand        *rand.Rand
}

// record is what is known of one node.
type record struct {
	Member
	sequence uint64
	// suspected is when the suspicion arrived; zero without one.
	suspected time.Time
	dead      bool
	// listed is when the instance list showed the node last, listLeaving whether as leaving.
	listed      time.Time
	listLeaving bool
	// expires is when a node without a sign of life is forgotten.
	expires time.Time
}

// probe is a probe in progress.
type probe struct {
	target   string
	sent     time.Time
	indirect time.Time // when the indirect probes were sent; zero before
	// alarmed marks a probe of a failure domain with a suspicion. It does not count for self-suspicion, because
	// many of them fail when a domain is lost.
	alarmed bool
	// asked are the peers of the indirect probes.
	asked []string
	// origin and number identify the request of another node that this probe serves.
	origin string
	number uint64
}

// Core is the deterministic part of membership. Its methods may be called from several goroutines.
type Core struct {
	cfg Config
	g   *gossip.Core

	inboxMu sync.Mutex
	inbox   []*pb.GossipItem

	mu          sync.Mutex
	records     map[string]*record
	incarnation uint64
	status      pb.MemberState_Status
	load        uint32
	published   time.Time
	// refreshAfter is the time from published to the next renewal.
	refreshAfter time.Duration
	publishDue   bool
	urgent       bool
	probes       map[uint64]*probe
	nextNumber   uint64
	nextProbe, nextRegion,
	nextAccuse time.Time
	results    []bool // of own probes, newest last
	regionSeen map[string]time.Time
	regionLost map[string]bool
	// alarms has the time of the last suspicion in each failure domain.
	alarms map[string]time.Time
	// regionMissed is set after a failed probe of another region; the next one goes to any node, because the few
	// of the view may all be gone.
	regionMissed bool
	listRead     time.Time
	listTried    time.Time
	dirty        bool
	hadPeers     bool
	watches      []func([]Member)

	snapshot atomic.Pointer[[]Member]
	live     atomic.Pointer[[]Member]
}

// NewCore returns a core whose own node is alive; the first Tick announces it, not urgently: hundreds of nodes may
// start together, and leaves must not wait behind them. The gossip core must be the own
// node's and receives its peers from this core.
func NewCore(cfg Config, g *gossip.Core) *Core {
	c := &Core{cfg: cfg, g: g, records: map[string]*record{}, incarnation: cfg.Incarnation, status: pb.MemberState_ALIVE,
		publishDue: true, probes: map[uint64]*probe{}, regionSeen: map[string]time.Time{},
		regionLost: map[string]bool{}, alarms: map[string]time.Time{}, dirty: true}
	g.Watch(keyPrefix, c.note)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rebuild()
	return c
}

// note keeps a newer item for the next pass. It takes no other lock, because gossip may call it while this core
// writes an item.
func (c *Core) note(item *pb.GossipItem) {
	c.inboxMu.Lock()
	defer c.inboxMu.Unlock()
	c.inbox = append(c.inbox, item)
}

// Members returns all known nodes in the order of their names, the own one and dead ones included. The slice is
// shared and must not be changed.
func (c *Core) Members() []Member { return *c.snapshot.Load() }

// Live returns the nodes that may get new work: alive, not suspected and not leaving. The slice is shared and
// must not be changed.
func (c *Core) Live() []Member { return *c.live.Load() }

// Self returns the own node.
func (c *Core) Self() Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self()
}

func (c *Core) self() Member {
	m := Member{Node: c.cfg.Node, Region: c.cfg.Region, FailureDomain: c.cfg.FailureDomain, NodeAddr: c.cfg.NodeAddr,
		CallerAddr: c.cfg.CallerAddr, Status: c.status, Load: c.load, Incarnation: c.incarnation}
	if m.Status == pb.MemberState_ALIVE && c.selfSuspected() {
		m.Status = pb.MemberState_SUSPECT
	}
	return m
}

// Watch calls fn with the new view after each change; it must not block.
func (c *Core) Watch(fn func(members []Member)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watches = append(slices.Clone(c.watches), fn)
}

// Leave announces that the node takes no new work. The next Tick sends it.
func (c *Core) Leave() { c.setStatus(pb.MemberState_LEAVING) }

// Left announces that the process ends.
func (c *Core) Left() { c.setStatus(pb.MemberState_LEFT) }

func (c *Core) setStatus(status pb.MemberState_Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == status {
		return
	}
	c.status, c.publishDue, c.urgent, c.dirty = status, true, true, true
}

// SetLoad reports the number of open requests of the own node. It is quantized to powers of two, and changes are
// sent at most every loadPeriod.
func (c *Core) SetLoad(open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quantized := uint32(0)
	for open > int(quantized) {
		quantized = max(1, quantized*2)
	}
	if quantized != c.load {
		c.load, c.publishDue, c.dirty = quantized, true, true
	}
}

// Tick does what is due at now and returns the messages to send, those of gossip included.
func (c *Core) Tick(now time.Time) []gossip.Message {
	c.mu.Lock()
	c.readInbox(now)
	c.age(now)
	c.publish(now)
	out := c.probeDue(now)
	out = append(out, c.timeouts(now)...)
	out = append(out, c.accuse(now)...)
	c.finish()
	out = append(out, c.g.Tick(now)...)
	return out
}

// Handle takes a message from a peer and returns the messages to send. Unknown kinds are ignored.
func (c *Core) Handle(now time.Time, from string, env *pb.Envelope) []gossip.Message {
	out := c.g.Handle(now, from, env)
	c.mu.Lock()
	c.readInbox(now)
	switch body := env.Body.(type) {
	case *pb.Envelope_Probe:
		out = append(out, c.answer(from, body.Probe.GetNumber(), true)...)
	case *pb.Envelope_ProbeAck:
		out = append(out, c.acknowledged(now, from, body.ProbeAck)...)
	case *pb.Envelope_ProbeRequest:
		out = append(out, c.relay(now, from, body.ProbeRequest)...)
	}
	wasDue := c.urgent
	c.publish(now)
	c.mu.Unlock()
	if wasDue {
		out = append(out, c.g.Tick(now)...)
	}
	return out
}

// finish updates the snapshot, releases c.mu and calls the watches. Ticks do this, and not each message, because
// a new snapshot takes as long as dozens of messages and many arrive together when a failure domain is lost.
func (c *Core) finish() {
	changed := c.dirty
	if changed {
		c.rebuild()
	}
	watches := c.watches
	c.mu.Unlock()
	if !changed {
		return
	}
	for _, fn := range watches {
		fn(c.Members())
	}
}

// rebuild publishes the snapshots and gives gossip its peers.
func (c *Core) rebuild() {
	c.dirty = false
	all := []Member{c.self()}
	var peers []gossip.Peer
	for _, r := range c.records {
		m := r.Member
		m.Status = c.statusOf(r)
		all = append(all, m)
		if m.Status != pb.MemberState_DEAD && m.Status != pb.MemberState_LEFT {
			peers = append(peers, peerOf(m))
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	slices.SortFunc(peers, func(a, b gossip.Peer) int { return strings.Compare(a.Node, b.Node) })
	live := make([]Member, 0, len(all))
	for _, m := range all {
		if m.Status == pb.MemberState_ALIVE {
			live = append(live, m)
		}
	}
	if len(peers) > 0 && !c.hadPeers {
		// What was published before there were peers has reached nobody.
		c.publishDue, c.published = true, time.Time{}
	}
	c.hadPeers = len(peers) > 0
	c.snapshot.Store(&all)
	c.live.Store(&live)
	c.g.SetPeers(peers)
}

func peerOf(m Member) gossip.Peer {
	return gossip.Peer{Node: m.Node, Region: m.Region, FailureDomain: m.FailureDomain, Addr: m.NodeAddr}
}

// statusOf combines what the node says of itself with the suspicions of others.
func (c *Core) statusOf(r *record) pb.MemberState_Status {
	switch {
	case r.dead:
		return pb.MemberState_DEAD
	case r.Status == pb.MemberState_LEFT:
		return r.Status
	case !r.suspected.IsZero(), c.regionLost[r.Region]:
		return pb.MemberState_SUSPECT
	case r.listLeaving:
		return pb.MemberState_LEAVING
	}
	return r.Status
}

// readInbox applies the items that gossip has accepted.
func (c *Core) readInbox(now time.Time) {
	c.inboxMu.Lock()
	items := c.inbox
	c.inbox = nil
	c.inboxMu.Unlock()
	for _, item := range items {
		state := &pb.MemberState{}
		if proto.Unmarshal(item.Value, state) != nil {
			continue
		}
		node := strings.TrimPrefix(item.Key, keyPrefix)
		if node == c.cfg.Node {
			c.aboutSelf(item, state)
			continue
		}
		c.apply(now, node, item, state)
	}
}

// aboutSelf refutes what others say of the own node: a suspicion, or an item of an earlier process of the same
// name.
func (c *Core) aboutSelf(item *pb.GossipItem, state *pb.MemberState) {
	if item.Incarnation < c.incarnation {
		return
	}
	own := state.Reporter == "" && item.Incarnation == c.incarnation && state.NodeAddr == c.cfg.NodeAddr
	if own && state.Status != pb.MemberState_SUSPECT {
		return
	}
	c.incarnation = item.Incarnation + 1
	c.publishDue, c.urgent, c.dirty = true, true, true
}

// apply records an item of another node.
func (c *Core) apply(now time.Time, node string, item *pb.GossipItem, state *pb.MemberState) {
	r := c.records[node]
	if r == nil {
		r = &record{Member: Member{Node: node}}
		c.records[node] = r
	}
	if r.Incarnation > item.Incarnation || r.Incarnation == item.Incarnation && r.sequence > item.Sequence {
		return
	}
	if item.Incarnation > r.Incarnation {
		r.listLeaving = false
	}
	r.Incarnation, r.sequence = item.Incarnation, item.Sequence
	r.expires = now.Add(itemTTL)
	c.dirty = true
	if state.Status == pb.MemberState_SUSPECT {
		if r.suspected.IsZero() {
			r.suspected = now
			c.alarms[r.FailureDomain] = now
		}
		return
	}
	r.Region, r.FailureDomain = state.Region, state.FailureDomain
	r.NodeAddr, r.CallerAddr = state.NodeAddr, state.CallerAddr
	r.Status, r.Load = state.Status, state.Load
	if !r.suspected.IsZero() || r.dead {
		// A node that is back must not wait for batches; it cannot know that others consider it dead.
		c.g.MarkUrgent(now, keyPrefix+node)
	}
	r.suspected, r.dead = time.Time{}, false
}

// age declares suspected nodes dead, forgets old ones and checks the contact with other regions.
func (c *Core) age(now time.Time) {
	for node, r := range c.records {
		if !r.dead && !r.suspected.IsZero() && now.Sub(r.suspected) >= deadAfter {
			r.dead, c.dirty = true, true
		}
		if now.After(r.expires) {
			delete(c.records, node)
			c.dirty = true
		}
	}
	for region, seen := range c.regionSeen {
		lost := now.Sub(seen) > regionTimeout
		if lost != c.regionLost[region] {
			c.regionLost[region], c.dirty = lost, true
		}
	}
}

// publish writes the own item when something changed or it needs renewal.
func (c *Core) publish(now time.Time) {
	age := now.Sub(c.published)
	if !(c.urgent || c.publishDue && age >= loadPeriod || age >= c.refreshAfter) {
		return
	}
	state := &pb.MemberState{Status: c.status, Region: c.cfg.Region, FailureDomain: c.cfg.FailureDomain,
		NodeAddr: c.cfg.NodeAddr, CallerAddr: c.cfg.CallerAddr, Load: c.load}
	sequence := uint64(1)
	if old, ok := c.g.Get(keyPrefix + c.cfg.Node); ok && old.Incarnation == c.incarnation {
		sequence = old.Sequence + 1
	}
	c.put(now, c.cfg.Node, c.incarnation, sequence, state, c.urgent)
	c.published, c.publishDue, c.urgent = now, false, false
	c.refreshAfter = refreshPeriod/2 + time.Duration(c.cfg.Rand.Int64N(int64(refreshPeriod/2)))
}

// put writes a member item.
func (c *Core) put(now time.Time, node string, incarnation, sequence uint64, state *pb.MemberState, urgent bool) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return
	}
	c.g.Put(now, &pb.GossipItem{Key: keyPrefix + node, Incarnation: incarnation, Sequence: sequence, Value: value,
		TtlMs: uint32(itemTTL.Milliseconds()), Urgent: urgent})
}
