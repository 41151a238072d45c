// Package gossip disseminates versioned soft state between nodes.
//
// An item has a key whose prefix names its kind ("member/", "load/", "strike/", "demand/", "config"). Of two
// versions the higher (incarnation, sequence) wins on every node, in any order of arrival. Items expire after
// their TTL, counted from the write: a forwarded item carries the remaining time.
//
// Three mechanisms disseminate items, within one budget of bytes:
//   - Urgent items are pushed at once: by their writer to originFanout peers, and by every other node that learns
//     of them to DefaultFanout peers. The figures below are for DefaultFanout at the writer as well.
//   - Other items wait for the next batch, which goes to one peer; each node forwards each item a few times.
//   - Anti-entropy (pull) repairs what push misses. Every recentPeriod a node lists the urgent items of the last
//     seconds to one peer, which sends the missing ones; every digestPeriod it sends hashes of all buckets of keys.
//
// An extra push after 300 ms to a peer not known to have the item (the idea is from Handley and Greenhalgh, "The
// Case for Pushing DNS") is supported but off, because it brings no gain. At 400 nodes, over 40 items each, fan-out 2
// with the extra push and fan-out 3 without it cost the same. Without the pull (2.82 pushes per node and item) they
// reach 94.00% and 93.91% of the nodes within 2 s; with the pull (3.15 pushes) both reach all, after 630 ms and 560 ms
// in the median and 1.13 s and 0.99 s at most. Config.ExtraDelay turns it on for measurements (TestMeasureFanout).
//
// Peers are taken from a partial view: a small random subset of the nodes, most of them in the local region, of which
// one is replaced every viewPeriod. A connection's handshake costs as much as dozens of messages, so choosing among
// all nodes for each message would spend the budget on handshakes.
//
// Core is deterministic: it has no goroutines, does no I/O, and takes time, random source and messages as arguments,
// so that tests can run hundreds of nodes in one process in virtual time. Runner connects a core to a clock and a
// transport.
package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// DefaultBytesPerSecond is the gossip share of a node's budget of 6 KB/s for control traffic; load reports have
	// 2,800 bytes/s, and probes take 650 bytes/s.
	DefaultBytesPerSecond = 2500
	// MessageOverhead is the cost of a message in bytes on top of its body: 36 of QUIC and 35 of the peer's
	// acknowledgement (TestMeasureWire of internal/transport), 56 of IP and UDP headers for both, and about 23 of the
	// length and the envelope's fields.
	MessageOverhead = 150
	// budgetBurst is the number of seconds of budget that may be spent at once.
	budgetBurst = 2
	// urgentReserve is the part of the burst, in bytes, that only urgent items and the requests of pulls for them may
	// use, and preferredReserve the part that only preferred ones may use.
	urgentReserve    = 2000
	preferredReserve = 1200
	// borrowFloor is the fill level, as a part of the burst, down to which load reports may use the budget.
	borrowFloor = 0.6
	// repairShare divides the budget: 1/repairShare of it is reserved for digests and their replies, so that a burst
	// of urgent items cannot keep a node from catching up.
	repairShare = 4

	// DefaultFanout is the number of peers an urgent item is pushed to at once.
	DefaultFanout = 3
	// originFanout is the number of peers to which the writer of an urgent item pushes it. No other node has the item
	// yet, so no push is a duplicate, and in a small deployment every node gets it directly.
	originFanout = localRegionView
	// batchForwards is the number of times that a node forwards an item that is not urgent.
	batchForwards = 3
	// batchPeriod is the time between two batches.
	batchPeriod = 500 * time.Millisecond
	// recentPeriod is the time between two pulls of recent urgent items.
	recentPeriod = 500 * time.Millisecond
	// recentAge is the time for which an urgent item is listed in such pulls.
	recentAge = 5 * time.Second
	// maxRecent bounds the items listed in one pull.
	maxRecent = 128
	// maxListed bounds the versions listed or requested in one message; the last listed bucket may exceed it.
	maxListed = 200
	// digestPeriod is the time between two digests of all items, catchUpPeriod the time while most buckets differ.
	digestPeriod  = 5 * time.Second
	catchUpPeriod = 500 * time.Millisecond
	// viewPeriod is the time between two changes of the view.
	viewPeriod = 20 * time.Second
	// localRegionView and otherRegionView are the numbers of peers in the view from the local region and from others.
	localRegionView = 8
	otherRegionView = 2

	// maxMessage bounds the items of one message in bytes, so that the message fits into one packet. A larger item
	// is sent alone.
	maxMessage = 1100
	// maxValue and maxKey bound one value and one key in bytes; maxItems bounds the items that a node keeps.
	maxValue = 4096
	maxItems = 20000
	maxKey   = 200
	// maxRumors bounds the items that wait to be forwarded; anti-entropy delivers the others.
	maxRumors = 4096
)

// Peer is a remote node.
type Peer struct {
	Node, Region, FailureDomain, Addr string
}

// Message is an outgoing message.
type Message struct {
	To  Peer
	Env *pb.Envelope
}

// Config configures a Core. Zero values mean the defaults above.
type Config struct {
	Node, Region string
	// Incarnation must be higher than that of every earlier process with the same node name; the start time will do.
	Incarnation uint64
	Rand        *rand.Rand
	// BytesPerSecond bounds the traffic that the core sends, MessageOverhead included.
	BytesPerSecond int
	Fanout         int
	// ExtraDelay is the delay of an extra push of urgent items to a peer not known to have them; 0 means none.
	ExtraDelay time.Duration
	// Preferred lists prefixes of the keys of urgent items that are pushed before the other ones while the budget is short.
	// Such items must be few and small, because a part of the budget is kept free for them.
	Preferred []string
	// NoPull turns off the pull of recent urgent items and the digests, so that push can be measured alone.
	NoPull bool
}

// Stats holds totals since the start.
type Stats struct {
	// Messages and Bytes count what was sent, MessageOverhead included.
	Messages, Bytes uint64
	// Received counts received items. Duplicates counts received or written items that were not stored because they
	// were not newer than the known ones, or because the node keeps too many items already.
	Received, Duplicates uint64
	// Deferred counts messages that were held back because the budget was spent.
	Deferred uint64
}

// rumor is an item that this node still forwards.
type rumor struct {
	key    string
	urgent bool
	// remaining is the number of pushes to come; extraScheduled is set when the extra push is scheduled.
	remaining      int
	extraScheduled bool
	// due is the time of the next push of an urgent item.
	due time.Time
	// known lists the peers that have the item.
	known []string
}

// Core is the deterministic part of gossip. Its methods may be called from several goroutines.
type Core struct {
	cfg   Config
	store *store

	mu     sync.Mutex
	peers  []Peer
	byNode map[string]Peer
	view   []Peer
	rumors map[string]*rumor
	// urgent and batch hold the keys of the urgent and of the other rumors, oldest first.
	urgent, batch []string
	// nextUrgent is a lower bound of the due times of the urgent rumors.
	nextUrgent time.Time
	// tokens is the number of bytes that may be sent now, repairTokens those reserved for digests and their replies.
	tokens, repairTokens float64
	refilled             time.Time
	nextView, nextBatch, nextRecent,
	nextDigest time.Time
	stats   Stats
	watches []watch
}

type watch struct {
	prefix string
	fn     func(*pb.GossipItem)
}

// NewCore returns a Core without items and peers.
func NewCore(cfg Config) *Core {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	c := &Core{cfg: cfg, store: newStore(), rumors: map[string]*rumor{}, byNode: map[string]Peer{}}
	c.tokens, c.repairTokens = c.burstLimits()
	return c
}

// SetPeers replaces the nodes that messages may be sent to; the local node and nodes without an address are left out.
// Random choices depend on the order of the peers, so reproducible runs need a fixed order.
func (c *Core) SetPeers(peers []Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Node == c.cfg.Node || p.Addr == "" })
	c.byNode = make(map[string]Peer, len(c.peers))
	for _, p := range c.peers {
		c.byNode[p.Node] = p
	}
	kept := c.view[:0]
	for _, p := range c.view {
		if now, ok := c.byNode[p.Node]; ok {
			kept = append(kept, now)
		}
	}
	c.view = kept
	c.fillView()
}

// View returns the peers that this node is connected to at present. Membership probes them and load views are
// exchanged with them, so that all three share the connections.
func (c *Core) View() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.view)
}

// Set writes an item with a version above every one seen so far. A ttl of 0 means that it does not expire. The next
// Tick starts to send it.
func (c *Core) Set(now time.Time, key string, value []byte, ttl time.Duration, urgent bool) {
	item := &pb.GossipItem{Key: key, Incarnation: c.cfg.Incarnation, Sequence: 1, Value: value,
		TtlMs: uint32(ttl.Milliseconds()), Urgent: urgent}
	if old, ok := c.Get(key); ok && old.Incarnation >= item.Incarnation {
		item.Incarnation, item.Sequence = old.Incarnation, old.Sequence+1
	}
	c.Put(now, item)
}

// Put adds an item with a version chosen by the caller and reports whether it was stored: it must be newer than the
// known one, and within the limits on the size and the number of items.
func (c *Core) Put(now time.Time, item *pb.GossipItem) bool {
	c.mu.Lock()
	added := c.accept(now, item, "")
	watches := c.watches
	c.mu.Unlock()
	if added {
		notify(watches, []*pb.GossipItem{item})
	}
	return added
}

// MarkUrgent makes a known item urgent: this node, and every node that learns of it from now on, pushes it at once.
func (c *Core) MarkUrgent(now time.Time, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.store.entry(key)
	if !ok || e.item.Urgent {
		return
	}
	item := e.withRemainingTTL(now)
	if item == nil {
		return
	}
	item.Urgent = true
	c.store.remove(key)
	c.accept(now, item, "")
}

// Get returns the item with the key. The item must not be changed.
func (c *Core) Get(key string) (*pb.GossipItem, bool) { return c.store.get(key) }

// Range calls fn for each item whose key has the prefix, in no particular order, until fn returns false. It calls fn
// with the lock of one shard held; fn must not write items.
func (c *Core) Range(prefix string, fn func(item *pb.GossipItem) bool) { c.store.each(prefix, fn) }

// Watch registers fn to be called for each newer item whose key has the prefix, after the item is visible to Get.
func (c *Core) Watch(prefix string, fn func(item *pb.GossipItem)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watches = append(slices.Clone(c.watches), watch{prefix, fn})
}

// Stats returns the totals.
func (c *Core) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Len returns the number of items, expired ones that are not removed yet included.
func (c *Core) Len() int { return c.store.len() }

// notify calls the matching watches. The caller must not hold a lock.
func notify(watches []watch, items []*pb.GossipItem) {
	for _, item := range items {
		for _, w := range watches {
			if strings.HasPrefix(item.Key, w.prefix) {
				w.fn(item)
			}
		}
	}
}

// Newer reports whether a replaces b. Two nodes that write the same key may produce equal versions with different
// values; the larger value wins, so that all nodes agree.
func Newer(a, b *pb.GossipItem) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return string(a.Value) > string(b.Value)
}

// accept stores an item if it is newer than the known one, and schedules its pushes. The sender from is empty for an
// item that this node wrote or marked urgent. The caller holds c.mu.
func (c *Core) accept(now time.Time, item *pb.GossipItem, from string) bool {
	if item.Key == "" || len(item.Key) > maxKey || len(item.Value) > maxValue {
		return false
	}
	if !c.store.put(now, item) {
		c.stats.Duplicates++
		c.markKnown(item.Key, from)
		return false
	}
	old := c.rumors[item.Key]
	if old == nil && len(c.rumors) >= maxRumors {
		return true
	}
	r := &rumor{key: item.Key, urgent: item.Urgent, remaining: batchForwards, due: now}
	if item.Urgent {
		r.remaining = c.cfg.Fanout
		if from == "" {
			r.remaining = max(r.remaining, originFanout)
		}
	}
	if from != "" {
		r.known = append(r.known, from)
	}
	c.rumors[item.Key] = r
	if old == nil || old.urgent != r.urgent {
		c.enqueue(r)
	}
	if r.urgent {
		c.nextUrgent = minTime(c.nextUrgent, now)
	}
	return true
}

// enqueue adds a rumor to the urgent or the batch list. The next pass over the other list drops its entry there.
func (c *Core) enqueue(r *rumor) {
	if r.urgent {
		c.urgent = append(c.urgent, r.key)
		return
	}
	c.batch = append(c.batch, r.key)
}

// markKnown records that a peer has the item.
func (c *Core) markKnown(key, node string) {
	if r := c.rumors[key]; r != nil && node != "" && !slices.Contains(r.known, node) {
		r.known = append(r.known, node)
	}
}

// cost returns the number of bytes that a message takes from the budget.
func cost(env *pb.Envelope) int { return proto.Size(env) + MessageOverhead }

// burstLimits returns the capacities of the two parts of the budget, in bytes.
func (c *Core) burstLimits() (pushes, repair float64) {
	all := float64(budgetBurst * c.cfg.BytesPerSecond)
	return all - all/repairShare, all / repairShare
}

// refill adds the budget for the time since the last call, up to the capacities.
func (c *Core) refill(now time.Time) {
	if !c.refilled.IsZero() {
		added := now.Sub(c.refilled).Seconds() * float64(c.cfg.BytesPerSecond)
		c.tokens += added - added/repairShare
		c.repairTokens += added / repairShare
	}
	pushes, repair := c.burstLimits()
	c.tokens = min(c.tokens, pushes)
	c.repairTokens = min(c.repairTokens, repair)
	c.refilled = now
}

// spend takes the cost of a message from the budget and returns true, unless that would leave less than reserve bytes.
func (c *Core) spend(env *pb.Envelope, reserve int) bool {
	n := cost(env)
	if c.tokens-float64(n) < float64(reserve) {
		c.stats.Deferred++
		return false
	}
	c.tokens -= float64(n)
	c.countSent(n)
	return true
}

// Borrow takes bytes from the budget for the messages of another package and reports whether it could. At least
// borrowFloor of the burst stays for urgent items.
func (c *Core) Borrow(now time.Time, bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refill(now)
	pushes, _ := c.burstLimits()
	if c.tokens-float64(bytes) < borrowFloor*pushes {
		return false
	}
	c.tokens -= float64(bytes)
	return true
}

// spendRepair takes the cost of a message from the budget reserved for repair, or else from that for batches.
func (c *Core) spendRepair(env *pb.Envelope) bool {
	n := cost(env)
	if c.repairTokens < float64(n) {
		return c.spend(env, urgentReserve)
	}
	c.repairTokens -= float64(n)
	c.countSent(n)
	return true
}

func (c *Core) countSent(bytes int) {
	c.stats.Messages++
	c.stats.Bytes += uint64(bytes)
}
