package gossip

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// Tick runs the tasks that are due and returns the messages to send.
func (c *Core) Tick(now time.Time) []Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refill(now)
	out := c.pushUrgent(now)
	if len(c.peers) == 0 {
		return out
	}
	if due(&c.nextView, now, viewPeriod) {
		c.rotateView()
		c.store.expire(now)
	}
	if !c.cfg.NoPull && due(&c.nextRecent, now, recentPeriod) {
		out = append(out, c.pullRecent(now)...)
	}
	if !c.cfg.NoPull && due(&c.nextDigest, now, digestPeriod) {
		// A node with far fewer items than peers has just started.
		if c.store.len() < len(c.peers)/2 {
			c.advanceDigest(now, bucketCount)
		}
		out = append(out, c.sendDigest(c.pick(nil))...)
	}
	if due(&c.nextBatch, now, batchPeriod) {
		out = append(out, c.pushBatch(now)...)
	}
	return out
}

// due reports whether now is not before next, and if so schedules the next time one period later.
func due(next *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

// Handle processes a message from a peer and returns the messages to send. Messages of other packages and of unknown
// kinds are ignored.
func (c *Core) Handle(now time.Time, from string, env *pb.Envelope) []Message {
	switch body := env.Body.(type) {
	case *pb.Envelope_GossipPush:
		return c.handlePush(now, from, body.GossipPush)
	case *pb.Envelope_GossipDigest:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refill(now)
		switch {
		case len(body.GossipDigest.Buckets) > 0:
			return c.replyToDigest(now, from, body.GossipDigest.Buckets)
		case len(body.GossipDigest.Listed) > 0:
			return c.replyToList(now, from, body.GossipDigest)
		}
		return c.replyToRecent(now, from, body.GossipDigest)
	}
	return nil
}

func (c *Core) handlePush(now time.Time, from string, push *pb.GossipPush) []Message {
	var added []*pb.GossipItem
	c.mu.Lock()
	c.refill(now)
	for _, item := range push.Items {
		c.stats.Received++
		if item == nil || !c.accept(now, item, from) {
			continue
		}
		added = append(added, item)
		if r := c.rumors[item.Key]; push.Repair && r != nil {
			c.demoteToBatch(r)
		}
	}
	out := c.replyToWant(now, from, push.Want)
	out = append(out, c.pushUrgent(now)...)
	watches := c.watches
	c.mu.Unlock()
	notify(watches, added)
	return out
}

// demoteToBatch makes a rumor wait for one batch. An urgent item delivered by anti-entropy is old: pushing it at once
// to several peers would spend the budget on duplicates.
func (c *Core) demoteToBatch(r *rumor) {
	wasUrgent := r.urgent
	r.urgent, r.remaining = false, 1
	if wasUrgent {
		c.enqueue(r)
	}
}

// pushUrgent sends the urgent items that are due, grouped by peer. It takes no more items than the budget allows, so
// that the budget also bounds the processing time during a burst; preferred items come first then.
func (c *Core) pushUrgent(now time.Time) []Message {
	if len(c.view) == 0 || len(c.urgent) == 0 || now.Before(c.nextUrgent) {
		return nil
	}
	preferred, others := c.dueUrgent(now)
	var out []Message
	if c.budgetShort(append(slices.Clone(preferred), others...)) {
		out = append(c.pushToTargets(now, preferred), c.pushOldest(now, others)...)
	} else {
		out = c.pushToTargets(now, append(preferred, others...))
	}
	c.rescheduleUrgent(now)
	return out
}

// dueUrgent returns the urgent items whose next push is due, oldest first.
func (c *Core) dueUrgent(now time.Time) (preferred, others []*rumor) {
	for _, key := range c.urgent {
		r := c.rumors[key]
		switch {
		case r == nil || !r.urgent || now.Before(r.due):
		case c.isPreferred(key, r.urgent):
			preferred = append(preferred, r)
		default:
			others = append(others, r)
		}
	}
	return preferred, others
}

// rank orders preferred items before others.
func (c *Core) rank(item *pb.GossipItem) int {
	if c.isPreferred(item.Key, item.Urgent) {
		return 0
	}
	return 1
}

func (c *Core) isPreferred(key string, urgent bool) bool {
	return urgent && slices.ContainsFunc(c.cfg.Preferred, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// pushToTargets sends items to the peers that targets picks for each.
func (c *Core) pushToTargets(now time.Time, rumors []*rumor) []Message {
	groups := map[string][]*rumor{}
	var order []Peer
	for _, r := range rumors {
		for _, p := range c.targets(r) {
			if groups[p.Node] == nil {
				order = append(order, p)
			}
			groups[p.Node] = append(groups[p.Node], r)
		}
	}
	var out []Message
	for _, p := range order {
		out = append(out, c.pushTo(now, p, groups[p.Node])...)
	}
	return out
}

// budgetShort reports whether the remaining pushes of items cost more than the budget holds.
func (c *Core) budgetShort(rumors []*rumor) bool {
	needed := float64(c.reserveForPreferred())
	for _, r := range rumors {
		needed += float64(r.remaining * (c.itemSize(r.key) + MessageOverhead))
		if needed > c.tokens {
			return true
		}
	}
	return false
}

// reserveForPreferred is the part of the budget, in bytes, that is kept free for preferred items.
func (c *Core) reserveForPreferred() int {
	if len(c.cfg.Preferred) == 0 {
		return 0
	}
	return preferredReserve
}

// pushOldest sends the oldest of the items to one peer, once the budget allows a full message. While the budget is
// short, small messages to several peers would spend most of it on overhead.
func (c *Core) pushOldest(now time.Time, rumors []*rumor) []Message {
	p := c.pick(nil)
	if p.Node == "" || c.tokens < float64(c.reserveForPreferred()+maxMessage+MessageOverhead) {
		return nil
	}
	var oldest []*rumor
	size := 0.0
	for _, r := range rumors {
		if slices.Contains(r.known, p.Node) {
			continue
		}
		oldest = append(oldest, r)
		if size += float64(c.itemSize(r.key)); size > c.tokens {
			break
		}
	}
	return c.pushTo(now, p, oldest)
}

func (c *Core) itemSize(key string) int {
	e, ok := c.store.entry(key)
	if !ok {
		return 0
	}
	return proto.Size(e.item)
}

// targets picks random peers of the view for the remaining pushes of a rumor. Peers in other regions are chosen like
// any other, so cross-region pushes are bounded by their share of the view.
func (c *Core) targets(r *rumor) []Peer {
	var out []Peer
	for range r.remaining {
		p := c.pick(append(slices.Clone(r.known), nodeNames(out)...))
		if p.Node == "" {
			break
		}
		out = append(out, p)
	}
	return out
}

func nodeNames(peers []Peer) []string {
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = p.Node
	}
	return out
}

// pushTo sends items to one peer, in messages of bounded size, until the budget is spent.
func (c *Core) pushTo(now time.Time, p Peer, rumors []*rumor) []Message {
	reserve := urgentReserve
	switch {
	case len(rumors) > 0 && c.isPreferred(rumors[0].key, rumors[0].urgent):
		reserve = 0
	case len(rumors) > 0 && rumors[0].urgent:
		reserve = c.reserveForPreferred()
	}
	var out []Message
	for len(rumors) > 0 {
		push := &pb.GossipPush{}
		size, count := 0, 0
		for _, r := range rumors {
			item := c.itemToSend(now, r)
			if item != nil && len(push.Items) > 0 && size+proto.Size(item) > maxMessage {
				break
			}
			count++
			if item != nil {
				push.Items = append(push.Items, item)
				size += proto.Size(item)
			}
		}
		m := Message{p, &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}}}
		if len(push.Items) > 0 && !c.spend(m.Env, reserve) {
			return out
		}
		for _, r := range rumors[:count] {
			r.remaining--
			r.known = append(r.known, p.Node)
		}
		if len(push.Items) > 0 {
			out = append(out, m)
		}
		rumors = rumors[count:]
	}
	return out
}

func (c *Core) itemToSend(now time.Time, r *rumor) *pb.GossipItem {
	e, ok := c.store.entry(r.key)
	if !ok {
		return nil
	}
	return e.withRemainingTTL(now)
}

// rescheduleUrgent schedules the extra push of items whose first pushes are done, and drops finished items. An item
// that has pushes left, for lack of budget or peers, is tried again.
func (c *Core) rescheduleUrgent(now time.Time) {
	c.nextUrgent = now.Add(time.Hour)
	c.urgent = slices.DeleteFunc(c.urgent, func(key string) bool {
		r := c.rumors[key]
		if r == nil || !r.urgent {
			return true
		}
		if !now.Before(r.due) {
			if !c.scheduleNextPush(now, r) {
				delete(c.rumors, key)
				return true
			}
		}
		c.nextUrgent = minTime(c.nextUrgent, r.due)
		return false
	})
}

// scheduleNextPush schedules the next push of an urgent item that was due; it returns false when there is none.
func (c *Core) scheduleNextPush(now time.Time, r *rumor) bool {
	switch {
	case r.remaining > 0 && len(c.view) > 0 && !c.knownByView(r):
		return true
	case !r.extraScheduled && c.cfg.ExtraDelay > 0:
		r.extraScheduled, r.remaining, r.due = true, 1, now.Add(c.cfg.ExtraDelay)
		return true
	}
	return false
}

// knownByView reports whether every peer of the view is known to have the item.
func (c *Core) knownByView(r *rumor) bool {
	return !slices.ContainsFunc(c.view, func(p Peer) bool { return !slices.Contains(r.known, p.Node) })
}

// pushBatch sends the waiting items that are not urgent to one random peer.
func (c *Core) pushBatch(now time.Time) []Message {
	p := c.pick(nil)
	if p.Node == "" || len(c.batch) == 0 {
		return nil
	}
	var waiting []*rumor
	size := 0.0
	for _, key := range c.batch {
		if size > c.tokens {
			break
		}
		if r := c.rumors[key]; r != nil && !r.urgent && !slices.Contains(r.known, p.Node) {
			waiting = append(waiting, r)
			size += float64(c.itemSize(key))
		}
	}
	out := c.pushTo(now, p, waiting)
	c.batch = slices.DeleteFunc(c.batch, func(key string) bool {
		r := c.rumors[key]
		if r == nil || r.urgent {
			return true
		}
		if r.remaining > 0 && !c.knownByView(r) {
			return false
		}
		delete(c.rumors, key)
		return true
	})
	return out
}

// recentUrgent returns the urgent items stored within recentAge, by the low 32 bits of their version hash.
func (c *Core) recentUrgent(now time.Time) map[uint32]entry {
	out := map[uint32]entry{}
	c.store.eachRecentUrgent(now.Add(-recentAge), func(e entry) { out[uint32(e.hash)] = e })
	return out
}

// pullRecent lists the recent urgent items to one peer, which sends those missing here. When there are more than
// maxRecent, only the preferred ones are listed, and repair of the others is left to the digests.
func (c *Core) pullRecent(now time.Time) []Message {
	recent := c.recentUrgent(now)
	digest := &pb.GossipDigest{PreferredOnly: len(recent) > maxRecent}
	if digest.PreferredOnly {
		c.keepPreferred(recent)
	}
	digest.Versions = slices.Sorted(maps.Keys(recent))
	p, env, reserve := c.pick(nil), digestEnvelope(digest), c.reserveForPreferred()
	if digest.PreferredOnly {
		reserve = 0
	}
	if p.Node == "" || digest.PreferredOnly && len(c.cfg.Preferred) == 0 || !c.spend(env, reserve) {
		return nil
	}
	return []Message{{p, env}}
}

func (c *Core) keepPreferred(entries map[uint32]entry) {
	maps.DeleteFunc(entries, func(_ uint32, e entry) bool { return !c.isPreferred(e.item.Key, e.item.Urgent) })
}

func digestEnvelope(digest *pb.GossipDigest) *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_GossipDigest{GossipDigest: digest}}
}

// sendItems sends items that a peer lacks, either preferred ones or others. Preferred ones may use all of the budget.
func (c *Core) sendItems(p Peer, push *pb.GossipPush) []Message {
	env := &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}}
	if c.rank(push.Items[0]) == 0 && c.spend(env, 0) {
		return []Message{{p, env}}
	}
	return c.sendRepair(p, env)
}

// sendRepair sends one message to a peer if the budget for repair allows it.
func (c *Core) sendRepair(p Peer, env *pb.Envelope) []Message {
	if p.Node == "" || !c.spendRepair(env) {
		return nil
	}
	return []Message{{p, env}}
}

// replyToRecent sends the recent urgent items that the peer did not list.
func (c *Core) replyToRecent(now time.Time, from string, digest *pb.GossipDigest) []Message {
	missing := c.recentUrgent(now)
	if digest.PreferredOnly {
		c.keepPreferred(missing)
	}
	for _, version := range digest.Versions {
		delete(missing, version)
	}
	return c.sendEntries(now, from, slices.Collect(maps.Values(missing)), false)
}

// sendDigest sends the hashes of all buckets to a peer. It spends only the budget reserved for repair: when many nodes
// start together, frequent digests would otherwise use up the budget for the items themselves.
func (c *Core) sendDigest(p Peer) []Message {
	env := digestEnvelope(&pb.GossipDigest{Buckets: c.store.buckets()})
	if c.repairTokens < float64(cost(env)) {
		return nil
	}
	return c.sendRepair(p, env)
}

// replyToDigest lists the versions in the buckets that differ, up to maxListed. It starts from a random bucket, so that
// a node that has just started gets different parts from several peers.
func (c *Core) replyToDigest(now time.Time, from string, theirs []uint64) []Message {
	if len(theirs) != bucketCount {
		return nil
	}
	own := c.store.buckets()
	digest := &pb.GossipDigest{}
	first := c.cfg.Rand.IntN(bucketCount)
	differ := 0
	for i := range bucketCount {
		n := (first + i) % bucketCount
		if own[n] == theirs[n] {
			continue
		}
		differ++
		if len(digest.Versions) < maxListed {
			digest.Listed = append(digest.Listed, uint32(n))
			digest.Versions = append(digest.Versions, c.store.versions(n)...)
		}
	}
	if differ == 0 {
		return nil
	}
	c.advanceDigest(now, differ)
	return c.sendRepair(c.byNode[from], digestEnvelope(digest))
}

// advanceDigest brings the next digest forward when more than a quarter of the buckets differ.
func (c *Core) advanceDigest(now time.Time, differ int) {
	if differ > bucketCount/4 {
		c.nextDigest = minTime(c.nextDigest, now.Add(catchUpPeriod))
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// replyToList sends the items of the listed buckets that the peer lacks, and requests those missing here.
func (c *Core) replyToList(now time.Time, from string, digest *pb.GossipDigest) []Message {
	peerHas := make(map[uint32]bool, len(digest.Versions))
	for _, version := range digest.Versions {
		peerHas[version] = true
	}
	var peerLacks []entry
	for _, n := range digest.Listed[:min(len(digest.Listed), bucketCount)] {
		for _, e := range c.store.bucket(int(n % bucketCount)) {
			if !peerHas[uint32(e.hash)] {
				peerLacks = append(peerLacks, e)
			}
			delete(peerHas, uint32(e.hash))
		}
	}
	c.advanceDigest(now, len(digest.Listed))
	var out []Message
	if len(peerHas) > 0 {
		c.nextDigest = minTime(c.nextDigest, now.Add(catchUpPeriod))
		versions := slices.Sorted(maps.Keys(peerHas))
		push := &pb.GossipPush{Want: versions[:min(len(versions), maxListed)]}
		out = c.sendRepair(c.byNode[from], &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}})
	}
	return append(out, c.sendEntries(now, from, peerLacks, true)...)
}

// replyToWant sends the items that a peer requested by version.
func (c *Core) replyToWant(now time.Time, from string, versions []uint32) []Message {
	if len(versions) == 0 {
		return nil
	}
	wanted := make(map[uint32]bool, len(versions))
	for _, version := range versions[:min(len(versions), maxListed)] {
		wanted[version] = true
	}
	return c.sendEntries(now, from, c.store.withVersions(wanted), true)
}

// sendEntries sends items to one peer, preferred ones first and otherwise in random order, until the budget is spent.
// With random order, several peers that are short of budget send different items.
func (c *Core) sendEntries(now time.Time, to string, entries []entry, repair bool) []Message {
	p, ok := c.byNode[to]
	if !ok || len(entries) == 0 {
		return nil
	}
	sortEntries(entries)
	c.cfg.Rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	slices.SortStableFunc(entries, func(a, b entry) int { return c.rank(a.item) - c.rank(b.item) })
	var out []Message
	push := &pb.GossipPush{Repair: repair}
	size := 0
	flush := func() bool {
		sent := c.sendItems(p, push)
		out = append(out, sent...)
		push, size = &pb.GossipPush{Repair: repair}, 0
		return len(sent) > 0
	}
	for _, e := range entries {
		item := e.withRemainingTTL(now)
		if item == nil {
			continue
		}
		full := size+proto.Size(item) > maxMessage
		if len(push.Items) > 0 && (full || c.rank(item) != c.rank(push.Items[0])) && !flush() {
			return out
		}
		push.Items = append(push.Items, item)
		size += proto.Size(item)
	}
	if len(push.Items) > 0 {
		flush()
	}
	return out
}
