// Package gossip spreads versioned soft state between nodes.
//
// An item has a key whose prefix names its kind ("member/", "load/", "strike/", "demand/", "config"). Of two
// versions the higher (incarnation, sequence) wins, everywhere and in any order of arrival. Items expire after
// their TTL, counted from the write: a forwarded item carries the remaining time.
//
// Three mechanisms spread items, and all of them spend from one budget of bytes:
//   - Urgent items are pushed at once to originFanout peers by their writer, and to DefaultFanout peers by every
//     other node that learns of them. The figures below were measured with DefaultFanout for the writer as well.
//   - Other items wait for the next batch, which goes to one peer; each node passes each item on a few times.
//   - Pull repairs what push leaves out. Every recentPeriod a node names the urgent items of the last seconds
//     to one peer, which sends the missing ones; every digestPeriod it sends hashes of all buckets of keys.
//
// An extra push after 300 ms to a peer not known to have the item (the idea is from Handley and Greenhalgh, "The
// Case for Pushing DNS") was measured and is off. At 400 nodes, over 40 items each, fan-out 2 with the extra push
// and fan-out 3 without it cost the same. Without the pull (2.82 pushes per node and item) they reach 94.00% and
// 93.91% of the nodes within 2 s; with the pull (3.15 pushes) both reach all, after 630 ms and 560 ms in the median
// and 1.13 s and 0.99 s at most. Config.ExtraDelay turns it on for such measurements (TestMeasureFanout).
//
// Peers are taken from a view: a small random subset of the nodes, most of them in the own region, of which one
// is replaced every viewPeriod. A connection's handshake costs as much as dozens of messages, so choosing among
// all nodes for each message would spend the budget on handshakes.
//
// Core is deterministic: it has no goroutines and does no I/O, and takes time, random source and messages as
// arguments, so that hundreds of nodes run in one process in virtual time. Runner connects a core to a clock
// and a transport.
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
	// DefaultBytesPerSecond is the part of a node's control budget of 6 KB/s that is for gossip; load reports have
	// 2,800 bytes/s and probes take 650.
	DefaultBytesPerSecond = 2500
	// MessageOverhead is what a message costs beside its body, in bytes: 36 of QUIC and 35 of the peer's
	// acknowledgement (TestMeasureWire of internal/transport), 56 of IP and UDP for both, and about 23 of the length
	// and the envelope's fields.
	MessageOverhead = 150
	// budgetBurst is how many seconds of budget may be spent at once.
	budgetBurst = 2
	// batchReserve is the part of the burst, in bytes, that only urgent items may use.
	batchReserve = 2000
	// lendAbove is the part of the burst above which load reports may use the budget.
	lendAbove = 0.6
	// repairShare is the part of the budget, as a divisor, that only digests and their answers may use, so that
	// a storm of urgent items cannot keep a node out of date.
	repairShare = 4

	// DefaultFanout is the number of peers an urgent item is pushed to at once.
	DefaultFanout = 3
	// originFanout is the number of peers to which the writer of an urgent item pushes it: nobody else knows it yet, so
	// no push is wasted, and in a small deployment every node hears of it at once.
	originFanout = ownRegionView
	// batchCopies is how often a node passes on an item that is not urgent.
	batchCopies = 3
	// batchPeriod is the time between two batches.
	batchPeriod = 500 * time.Millisecond
	// recentPeriod is the time between two pulls of recent urgent items.
	recentPeriod = 500 * time.Millisecond
	// recentAge is how long an urgent item is named in such pulls.
	recentAge = 5 * time.Second
	// maxRecent bounds the items named in one pull.
	maxRecent = 128
	// maxListed bounds the versions listed or asked for in one message, apart from the last bucket.
	maxListed = 200
	// digestPeriod is the time between two digests of all items, catchUpPeriod the time while most buckets differ.
	digestPeriod  = 5 * time.Second
	catchUpPeriod = 500 * time.Millisecond
	// viewPeriod is the time between two changes of the view.
	viewPeriod = 20 * time.Second
	// ownRegionView and otherRegionView are the sizes of the two parts of the view.
	ownRegionView   = 8
	otherRegionView = 2

	// maxMessage bounds the items of one message in bytes, so that it fits into one packet with few items left out.
	maxMessage = 1100
	// maxValue bounds one value in bytes; maxItems bounds the items a node keeps.
	maxValue = 4096
	maxItems = 20000
	maxKey   = 200
	// maxRumors bounds the items that wait to be passed on; anti-entropy brings the others.
	maxRumors = 4096
)

// Peer is a node that messages can be sent to.
type Peer struct {
	Node, Region, FailureDomain, Addr string
}

// Message is one message to send.
type Message struct {
	To  Peer
	Env *pb.Envelope
}

// Config configures a Core. Zero values mean the defaults above.
type Config struct {
	Node, Region string
	// Incarnation is higher than that of an earlier process of the same name, such as the start time.
	Incarnation uint64
	Rand        *rand.Rand
	// BytesPerSecond bounds what the core sends, with MessageOverhead.
	BytesPerSecond int
	Fanout         int
	// ExtraDelay is the time until an extra push of urgent items to a peer not known to have them; 0 means none.
	ExtraDelay time.Duration
	// NoPull turns off the pull of recent urgent items and digests; measurements use it to see push alone.
	NoPull bool
}

// Stats are totals since the start.
type Stats struct {
	Messages, Bytes uint64
	// Duplicates counts received items that were known already.
	Received, Duplicates uint64
	// Deferred counts pushes that waited because the budget was spent.
	Deferred uint64
}

// rumor is an item that this node still passes on.
type rumor struct {
	key    string
	urgent bool
	// left counts the pushes to come; extra is set once the pushes at once are done.
	left  int
	extra bool
	// due is when the next push of an urgent item is sent.
	due time.Time
	// known lists peers that have the item.
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
	// urgent and batch have the keys of the rumors of either sort, oldest first.
	urgent, batch []string
	// nextUrgent is not after the first due time of an urgent rumor.
	nextUrgent time.Time
	// tokens are the bytes that may be sent now, repairTokens those set aside for digests and their answers.
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

// NewCore returns a core without items and peers.
func NewCore(cfg Config) *Core {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	c := &Core{cfg: cfg, store: newStore(), rumors: map[string]*rumor{}, byNode: map[string]Peer{}}
	c.tokens, c.repairTokens = c.bursts()
	return c
}

// SetPeers replaces the nodes that messages may be sent to; the own node is left out. The order must not depend
// on chance when runs are to be repeated.
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

// View returns the peers that this node has connections to at present. Membership probes them and load views
// are exchanged with them, so that all share connections.
func (c *Core) View() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.view)
}

// Set writes an item of this node with a version above every one seen so far. A ttl of 0 means that it does not
// expire. The item is sent by the next Tick.
func (c *Core) Set(now time.Time, key string, value []byte, ttl time.Duration, urgent bool) {
	item := &pb.GossipItem{Key: key, Incarnation: c.cfg.Incarnation, Sequence: 1, Value: value,
		TtlMs: uint32(ttl.Milliseconds()), Urgent: urgent}
	if old, ok := c.Get(key); ok && old.Incarnation >= item.Incarnation {
		item.Incarnation, item.Sequence = old.Incarnation, old.Sequence+1
	}
	c.Put(now, item)
}

// Put adds an item with a version chosen by the caller and reports whether it is newer than the one known.
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

// Hasten pushes a known item at once, here and on every node that learns of it from now on.
func (c *Core) Hasten(now time.Time, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.store.entry(key)
	if !ok || e.item.Urgent {
		return
	}
	item := e.toSend(now)
	if item == nil {
		return
	}
	item.Urgent = true
	c.store.remove(key)
	c.accept(now, item, "")
}

// Get returns the item with the key. The item must not be changed.
func (c *Core) Get(key string) (*pb.GossipItem, bool) { return c.store.get(key) }

// Range calls fn for each item whose key has the prefix until fn returns false, in no particular order. It holds
// the lock of one shard at a time; fn must not write items.
func (c *Core) Range(prefix string, fn func(item *pb.GossipItem) bool) { c.store.each(prefix, fn) }

// Watch calls fn for each newer item whose key has the prefix, after the item is visible to Get.
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

// Len returns the number of items.
func (c *Core) Len() int { return c.store.len() }

// notify calls the watches; no lock is held.
func notify(watches []watch, items []*pb.GossipItem) {
	for _, item := range items {
		for _, w := range watches {
			if strings.HasPrefix(item.Key, w.prefix) {
				w.fn(item)
			}
		}
	}
}

// Newer reports whether a replaces b. Equal versions with different values happen when two nodes write the same
// key; the larger value wins so that all nodes agree.
func Newer(a, b *pb.GossipItem) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return string(a.Value) > string(b.Value)
}

// accept stores an item when it is newer and schedules its pushes. The caller holds c.mu.
func (c *Core) accept(now time.Time, item *pb.GossipItem, from string) bool {
	if item.Key == "" || len(item.Key) > maxKey || len(item.Value) > maxValue {
		return false
	}
	if !c.store.put(now, item) {
		c.stats.Duplicates++
		c.noteKnown(item.Key, from)
		return false
	}
	old := c.rumors[item.Key]
	if old == nil && len(c.rumors) >= maxRumors {
		return true
	}
	r := &rumor{key: item.Key, urgent: item.Urgent, left: batchCopies, due: now}
	if item.Urgent {
		r.left = c.cfg.Fanout
		if from == "" {
			r.left = max(r.left, originFanout)
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

// enqueue adds a rumor to the list of its sort; an entry in the other list is dropped by the next pass over it.
func (c *Core) enqueue(r *rumor) {
	if r.urgent {
		c.urgent = append(c.urgent, r.key)
		return
	}
	c.batch = append(c.batch, r.key)
}

// noteKnown records that a peer has the item already.
func (c *Core) noteKnown(key, node string) {
	if r := c.rumors[key]; r != nil && node != "" && !slices.Contains(r.known, node) {
		r.known = append(r.known, node)
	}
}

// cost returns what a message takes from the budget.
func cost(env *pb.Envelope) int { return proto.Size(env) + MessageOverhead }

// bursts returns the most bytes that the two parts of the budget may hold.
func (c *Core) bursts() (pushes, repair float64) {
	all := float64(budgetBurst * c.cfg.BytesPerSecond)
	return all - all/repairShare, all / repairShare
}

// refill adds the budget for the time since the last call.
func (c *Core) refill(now time.Time) {
	if !c.refilled.IsZero() {
		added := now.Sub(c.refilled).Seconds() * float64(c.cfg.BytesPerSecond)
		c.tokens += added - added/repairShare
		c.repairTokens += added / repairShare
	}
	pushes, repair := c.bursts()
	c.tokens = min(c.tokens, pushes)
	c.repairTokens = min(c.repairTokens, repair)
	c.refilled = now
}

// spend takes a message from the budget, unless that would leave less than reserve.
func (c *Core) spend(env *pb.Envelope, reserve int) bool {
	n := cost(env)
	if c.tokens-float64(n) < float64(reserve) {
		c.stats.Deferred++
		return false
	}
	c.tokens -= float64(n)
	c.count(n)
	return true
}

// Borrow takes bytes that gossip does not need at present from its budget and reports whether that was possible.
// Most of the burst stays for urgent items.
func (c *Core) Borrow(now time.Time, bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refill(now)
	pushes, _ := c.bursts()
	if c.tokens-float64(bytes) < lendAbove*pushes {
		return false
	}
	c.tokens -= float64(bytes)
	return true
}

// spendRepair takes a message from the part set aside for repair, or else from what is left for batches.
func (c *Core) spendRepair(env *pb.Envelope) bool {
	n := cost(env)
	if c.repairTokens < float64(n) {
		return c.spend(env, batchReserve)
	}
	c.repairTokens -= float64(n)
	c.count(n)
	return true
}

func (c *Core) count(bytes int) {
	c.stats.Messages++
	c.stats.Bytes += uint64(bytes)
}
