// Package membership maintains each node's view of the live entry nodes, with a failure detector in the manner of
// SWIM.
//
// Each node probes one peer of its region per second: mostly one of the gossip view, whose connections are open, and
// sometimes any node, so that every node is probed whatever the views are. When a probe times out, the prober sends two
// peers in other failure domains a request to probe the target (indirect probes). Only when one of them replies that it
// cannot reach the target either is the target suspected, so that a fault of the prober's own links or failure domain
// does not cause false suspicions. The suspicion is an urgent gossip item under the member's own key, with a version just
// above the known one. A live node refutes it with a higher incarnation. Without a refutation every node considers it
// dead after deadAfter on its own clock, which takes no further message, even when a whole failure domain is lost.
//
// Nodes are suspected only by nodes of their own region. One more probe per second goes to another region; when all
// probes of a region fail for regionTimeout, its members count as suspected on this node (they get no new work) and
// never as dead, because they could not refute. Gossip keeps them as peers, so that contact is restored after a
// network partition.
//
// A node whose own probes mostly fail suspects itself and no other node.
//
// The platform's instance list is used to find the first peers, and nodes that lost contact with all others. It may
// be unavailable for hours: it is not needed to keep the view current.
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
	// KeyPrefix precedes the node's name in the key of its item.
	KeyPrefix = "member/"
	// probePeriod is the time between two probes in the local region, and between two in other regions.
	probePeriod = time.Second
	// probeTimeout is long enough for a handshake and a probe between regions.
	probeTimeout = 500 * time.Millisecond
	// requestedProbeTimeout is the timeout of an indirect probe at the peer that sends it; indirectTimeout is the time
	// that the requester waits for the peer's result.
	requestedProbeTimeout = 400 * time.Millisecond
	indirectTimeout       = 800 * time.Millisecond
	// indirectProbers is the number of peers that get an indirect probe request after a probe timed out.
	indirectProbers = 2
	// anyNodeEvery sets the share of probes that go to any node instead of one of the gossip view: on average one in
	// anyNodeEvery. Such a probe costs a handshake.
	anyNodeEvery = 20
	// domainSuspicionTime is the time after a suspicion during which half of the probes go to nodes of the same failure
	// domain, so that the loss of a domain is detected before each of its nodes happens to be in some node's view.
	domainSuspicionTime = 10 * time.Second
	// deadAfter is the time that a suspected node has to refute the suspicion.
	deadAfter = 3 * time.Second
	// regionTimeout is the time for which all probes of a region must fail until the region counts as unreachable.
	regionTimeout = 5 * time.Second
	// selfSuspicionWindow and selfSuspicionFailures define self-suspicion: of the node's last selfSuspicionWindow
	// direct probes, at least selfSuspicionFailures failed. The loss of a failure domain fails only a quarter to a
	// third of them.
	selfSuspicionWindow   = 8
	selfSuspicionFailures = 6
	// itemTTL is the time after which a member without a new item is removed; refreshPeriod is the longest time
	// between two renewals of a node's own item, of which three may get lost. Each node waits for half of it plus a
	// random part of the other half, so that nodes started together do not renew together.
	// Probes detect dead nodes, so renewals may be rare: with 75 to 150 s between them, each of 200 nodes sent 1.9 KB/s
	// instead of 1.2 KB/s (TestMeasureSlopes).
	itemTTL       = 30 * time.Minute
	refreshPeriod = 9 * time.Minute
	// loadPeriod is the least time between two items that only report load, because the items of up to 400 nodes
	// share the gossip budget.
	loadPeriod = 10 * time.Second
	// deadNoticePeriod is the time between two messages that tell a node considered dead of the suspicion, so that it
	// can refute when it is alive, as after a network partition.
	deadNoticePeriod = 5 * time.Second
	// listAbsenceTimeout is the time for which a suspected node must be missing from the instance list to be considered
	// dead.
	listAbsenceTimeout = time.Minute
	// maxProbesInProgress is the number of probes in progress from which on requests for indirect probes are ignored.
	maxProbesInProgress = 256
)

// Member describes one node of the view.
type Member struct {
	Node, Region, FailureDomain string
	NodeAddr, CallerAddr        string
	Status                      pb.MemberState_Status
	// Load is the node's number of open requests, rounded up to a power of two.
	Load uint32
	// Incarnation increases when the node restarts or refutes a suspicion.
	Incarnation uint64
}

// Config describes the local node.
type Config struct {
	Node, Region, FailureDomain, NodeAddr, CallerAddr string
	// Incarnation is the start time in milliseconds, so that it increases with each restart.
	Incarnation uint64
	Rand        *rand.Rand
}

// record holds the state of one remote node.
type record struct {
	Member
	sequence uint64
	// suspectedAt is the time at which the suspicion arrived, or zero.
	suspectedAt time.Time
	dead        bool
	// listedAt is the time at which the node was last in the instance list; listedLeaving is set when it was listed as
	// leaving.
	listedAt      time.Time
	listedLeaving bool
	// expires is the time at which the node is removed unless a newer item arrives.
	expires time.Time
}

// probe is a probe in progress.
type probe struct {
	target       string
	sent         time.Time
	indirectSent time.Time // when the indirect probes were requested; zero before
	// domainSuspected marks a probe sent because of a suspicion in the target's failure domain. It does not count for
	// self-suspicion, because many such probes fail when a domain is lost.
	domainSuspected bool
	// probers lists the peers to which an indirect probe request was sent.
	probers []string
	// requester and requestNumber identify the request of another node for which this indirect probe is sent.
	requester     string
	requestNumber uint64
}

// Core is the deterministic part of membership. Its methods may be called from several goroutines.
type Core struct {
	cfg Config
	g   *gossip.Core

	inboxMu sync.Mutex
	inbox   []*pb.GossipItem

	mu            sync.Mutex
	records       map[string]*record
	incarnation   uint64
	status        pb.MemberState_Status
	load          uint32
	lastPublished time.Time // when the local node's item was last written
	// refreshAfter is the time from lastPublished to the next renewal.
	refreshAfter time.Duration
	publishDue   bool
	urgent       bool
	probes       map[uint64]*probe
	nextNumber   uint64
	nextProbe, nextRegion,
	nextDeadNotice time.Time
	probeResults      []bool // of this node's direct probes in its region, newest last
	regionContact     map[string]time.Time
	regionUnreachable map[string]bool
	// domainSuspicions has the time of the last suspicion in each failure domain.
	domainSuspicions map[string]time.Time
	// regionProbeFailed is set after a failed probe of another region. The next one then goes to any node, because the
	// few nodes of the gossip view may all be gone.
	regionProbeFailed bool
	lastListRead      time.Time
	lastListAttempt   time.Time
	changed           bool // the snapshots are out of date
	hadPeers          bool
	watches           []func([]Member)

	snapshot atomic.Pointer[[]Member]
	live     atomic.Pointer[[]Member]
}

// NewCore returns a Core whose local node is alive. The first Tick announces the node, but not urgently: hundreds of
// nodes may start together, and announcements of leaving nodes must not queue behind them. g is the local node's
// gossip core; it gets its peers from this Core.
func NewCore(cfg Config, g *gossip.Core) *Core {
	c := &Core{cfg: cfg, g: g, records: map[string]*record{}, incarnation: cfg.Incarnation, status: pb.MemberState_ALIVE,
		publishDue: true, probes: map[uint64]*probe{}, regionContact: map[string]time.Time{},
		regionUnreachable: map[string]bool{}, domainSuspicions: map[string]time.Time{}, changed: true}
	g.Watch(KeyPrefix, c.enqueueItem)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rebuildSnapshots()
	return c
}

// enqueueItem queues a newer item for readInbox. It takes no other lock, because gossip may call it while this core
// writes an item.
func (c *Core) enqueueItem(item *pb.GossipItem) {
	c.inboxMu.Lock()
	defer c.inboxMu.Unlock()
	c.inbox = append(c.inbox, item)
}

// Members returns all known nodes, sorted by name, the local one and dead ones included. The slice is shared and must
// not be changed.
func (c *Core) Members() []Member { return *c.snapshot.Load() }

// Live returns the nodes that may get new work: alive, not suspected and not leaving. The slice is shared and
// must not be changed.
func (c *Core) Live() []Member { return *c.live.Load() }

// Self returns the local node.
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

// Watch registers fn to be called with the new view after changes; fn must not block.
func (c *Core) Watch(fn func(members []Member)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watches = append(slices.Clone(c.watches), fn)
}

// Leave announces that the node takes no new work. The next Tick sends the announcement.
func (c *Core) Leave() { c.setStatus(pb.MemberState_LEAVING) }

// AnnounceLeft announces that the process ends. The next Tick sends the announcement.
func (c *Core) AnnounceLeft() { c.setStatus(pb.MemberState_LEFT) }

func (c *Core) setStatus(status pb.MemberState_Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == status {
		return
	}
	c.status, c.publishDue, c.urgent, c.changed = status, true, true, true
}

// SetLoad sets the number of open requests of the local node. It is rounded up to a power of two, and changes are sent
// at most every loadPeriod.
func (c *Core) SetLoad(open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quantized := uint32(0)
	for open > int(quantized) {
		quantized = max(1, quantized*2)
	}
	if quantized != c.load {
		c.load, c.publishDue, c.changed = quantized, true, true
	}
}

// Tick runs the tasks that are due and returns the messages to send, those of gossip included.
func (c *Core) Tick(now time.Time) []gossip.Message {
	c.mu.Lock()
	c.readInbox(now)
	c.updateLiveness(now)
	c.publish(now)
	out := c.sendDueProbes(now)
	out = append(out, c.handleTimeouts(now)...)
	out = append(out, c.notifyDeadNode(now)...)
	c.unlockAndNotify()
	out = append(out, c.g.Tick(now)...)
	return out
}

// Handle processes a message from a peer and returns the messages to send, those of gossip included. Unknown kinds are
// ignored.
func (c *Core) Handle(now time.Time, from string, env *pb.Envelope) []gossip.Message {
	out := c.g.Handle(now, from, env)
	c.mu.Lock()
	c.readInbox(now)
	switch body := env.Body.(type) {
	case *pb.Envelope_Probe:
		out = append(out, c.sendAck(from, body.Probe.GetNumber(), true)...)
	case *pb.Envelope_ProbeAck:
		out = append(out, c.handleAck(now, from, body.ProbeAck)...)
	case *pb.Envelope_ProbeRequest:
		out = append(out, c.probeOnRequest(now, from, body.ProbeRequest)...)
	}
	wasUrgent := c.urgent
	c.publish(now)
	c.mu.Unlock()
	if wasUrgent {
		out = append(out, c.g.Tick(now)...)
	}
	return out
}

// unlockAndNotify rebuilds the snapshots after changes, unlocks c.mu and calls the watches. It runs once per tick, not
// per message, because a snapshot takes as long as dozens of messages, and many arrive together when a failure domain
// is lost.
func (c *Core) unlockAndNotify() {
	changed := c.changed
	if changed {
		c.rebuildSnapshots()
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

// rebuildSnapshots builds the snapshots and sets the peers of gossip.
func (c *Core) rebuildSnapshots() {
	c.changed = false
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
		// An item published before there were peers has reached no other node.
		c.publishDue, c.lastPublished = true, time.Time{}
	}
	c.hadPeers = len(peers) > 0
	c.snapshot.Store(&all)
	c.live.Store(&live)
	c.g.SetPeers(peers)
}

func peerOf(m Member) gossip.Peer {
	return gossip.Peer{Node: m.Node, Region: m.Region, FailureDomain: m.FailureDomain, Addr: m.NodeAddr}
}

// statusOf returns a node's status: the one that the node announced itself, unless it is dead, suspected, in an
// unreachable region or listed as leaving.
func (c *Core) statusOf(r *record) pb.MemberState_Status {
	switch {
	case r.dead:
		return pb.MemberState_DEAD
	case r.Status == pb.MemberState_LEFT:
		return r.Status
	case !r.suspectedAt.IsZero(), c.regionUnreachable[r.Region]:
		return pb.MemberState_SUSPECT
	case r.listedLeaving:
		return pb.MemberState_LEAVING
	}
	return r.Status
}

// readInbox applies the queued gossip items.
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
		node := strings.TrimPrefix(item.Key, KeyPrefix)
		if node == c.cfg.Node {
			c.handleOwnItem(item, state)
			continue
		}
		c.applyItem(now, node, item, state)
	}
}

// handleOwnItem handles an item about the local node. An item that this process did not write is a suspicion or comes
// from an earlier process with the same name, and is refuted with a higher incarnation.
func (c *Core) handleOwnItem(item *pb.GossipItem, state *pb.MemberState) {
	if item.Incarnation < c.incarnation {
		return
	}
	writtenHere := state.Reporter == "" && item.Incarnation == c.incarnation && state.NodeAddr == c.cfg.NodeAddr
	if writtenHere && state.Status != pb.MemberState_SUSPECT {
		return
	}
	c.incarnation = item.Incarnation + 1
	c.publishDue, c.urgent, c.changed = true, true, true
}

// applyItem applies an item about another node.
func (c *Core) applyItem(now time.Time, node string, item *pb.GossipItem, state *pb.MemberState) {
	r := c.records[node]
	if r == nil {
		r = &record{Member: Member{Node: node}}
		c.records[node] = r
	}
	if r.Incarnation > item.Incarnation || r.Incarnation == item.Incarnation && r.sequence > item.Sequence {
		return
	}
	if item.Incarnation > r.Incarnation {
		r.listedLeaving = false
	}
	r.Incarnation, r.sequence = item.Incarnation, item.Sequence
	r.expires = now.Add(itemTTL)
	c.changed = true
	if state.Status == pb.MemberState_SUSPECT {
		if r.suspectedAt.IsZero() {
			r.suspectedAt = now
			c.domainSuspicions[r.FailureDomain] = now
		}
		return
	}
	r.Region, r.FailureDomain = state.Region, state.FailureDomain
	r.NodeAddr, r.CallerAddr = state.NodeAddr, state.CallerAddr
	r.Status, r.Load = state.Status, state.Load
	if !r.suspectedAt.IsZero() || r.dead {
		// The return of a node must not wait for batches. The node itself could not mark its item urgent, because it
		// does not know that others consider it dead.
		c.g.MarkUrgent(now, KeyPrefix+node)
	}
	r.suspectedAt, r.dead = time.Time{}, false
}

// updateLiveness marks suspected nodes dead after deadAfter, removes expired ones and updates which regions are
// unreachable.
func (c *Core) updateLiveness(now time.Time) {
	for node, r := range c.records {
		if !r.dead && !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) >= deadAfter {
			r.dead, c.changed = true, true
		}
		if now.After(r.expires) {
			delete(c.records, node)
			c.changed = true
		}
	}
	for region, lastContact := range c.regionContact {
		unreachable := now.Sub(lastContact) > regionTimeout
		if unreachable != c.regionUnreachable[region] {
			c.regionUnreachable[region], c.changed = unreachable, true
		}
	}
}

// publish writes the local node's item when it changed or is due for renewal.
func (c *Core) publish(now time.Time) {
	age := now.Sub(c.lastPublished)
	if !(c.urgent || c.publishDue && age >= loadPeriod || age >= c.refreshAfter) {
		return
	}
	state := &pb.MemberState{Status: c.status, Region: c.cfg.Region, FailureDomain: c.cfg.FailureDomain,
		NodeAddr: c.cfg.NodeAddr, CallerAddr: c.cfg.CallerAddr, Load: c.load}
	sequence := uint64(1)
	if old, ok := c.g.Get(KeyPrefix + c.cfg.Node); ok && old.Incarnation == c.incarnation {
		sequence = old.Sequence + 1
	}
	c.put(now, c.cfg.Node, c.incarnation, sequence, state, c.urgent)
	c.lastPublished, c.publishDue, c.urgent = now, false, false
	c.refreshAfter = refreshPeriod/2 + time.Duration(c.cfg.Rand.Int64N(int64(refreshPeriod/2)))
}

// put writes the item of a member.
func (c *Core) put(now time.Time, node string, incarnation, sequence uint64, state *pb.MemberState, urgent bool) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return
	}
	c.g.Put(now, &pb.GossipItem{Key: KeyPrefix + node, Incarnation: incarnation, Sequence: sequence, Value: value,
		TtlMs: uint32(itemTTL.Milliseconds()), Urgent: urgent})
}
