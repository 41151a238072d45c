package gossip

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// Tick does what is due at now and returns the messages to send.
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
		// A node that has just started has far fewer items than peers.
		if c.store.len() < len(c.peers)/2 {
			c.hurry(now, bucketCount)
		}
		out = append(out, c.sendDigest(c.pick(nil))...)
	}
	if due(&c.nextBatch, now, batchPeriod) {
		out = append(out, c.pushBatch(now)...)
	}
	return out
}

// due reports whether the time has come and sets the next one.
func due(next *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

// Handle takes a message from a peer and returns the messages to send. Kinds of other packages and unknown kinds
// are ignored.
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
			return c.answerDigest(now, from, body.GossipDigest.Buckets)
		case len(body.GossipDigest.Listed) > 0:
			return c.answerList(now, from, body.GossipDigest)
		}
		return c.answerRecent(now, from, body.GossipDigest.Versions)
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
			c.passOnOnce(r)
		}
	}
	out := c.answerWant(now, from, push.Want)
	out = append(out, c.pushUrgent(now)...)
	watches := c.watches
	c.mu.Unlock()
	notify(watches, added)
	return out
}

// passOnOnce makes a rumor wait for one batch. An urgent item that anti-entropy brings is old: pushing it at once
// to several peers would spend the budget on duplicates.
func (c *Core) passOnOnce(r *rumor) {
	was := r.urgent
	r.urgent, r.left = false, 1
	if was {
		c.enqueue(r)
	}
}

// pushUrgent sends the urgent items that are due, grouped by peer. It takes no more items than the budget allows,
// so that the work during a storm is bounded by the budget as well.
func (c *Core) pushUrgent(now time.Time) []Message {
	if len(c.view) == 0 || len(c.urgent) == 0 || now.Before(c.nextUrgent) {
		return nil
	}
	if c.scarce(now) {
		out := c.pushOldest(now)
		c.finishUrgent(now)
		return out
	}
	groups := map[string][]*rumor{}
	var order []Peer
	for _, key := range c.urgent {
		r := c.rumors[key]
		if r == nil || !r.urgent || now.Before(r.due) {
			continue
		}
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
	c.finishUrgent(now)
	return out
}

// scarce reports whether the budget does not suffice for the urgent pushes that are due.
func (c *Core) scarce(now time.Time) bool {
	need := 0.0
	for _, key := range c.urgent {
		if r := c.rumors[key]; r != nil && r.urgent && !now.Before(r.due) {
			need += float64(r.left * (c.sizeOf(key) + MessageOverhead))
		}
		if need > c.tokens {
			return true
		}
	}
	return false
}

// pushOldest waits until the budget allows a full message and sends the oldest urgent items to one peer. While
// the budget is short, small messages to several peers would spend most of it on overhead.
func (c *Core) pushOldest(now time.Time) []Message {
	p := c.pick(nil)
	if p.Node == "" || c.tokens < maxMessage+MessageOverhead {
		return nil
	}
	var oldest []*rumor
	size := 0.0
	for _, key := range c.urgent {
		r := c.rumors[key]
		if r == nil || !r.urgent || now.Before(r.due) || slices.Contains(r.known, p.Node) {
			continue
		}
		oldest = append(oldest, r)
		if size += float64(c.sizeOf(key)); size > c.tokens {
			break
		}
	}
	return c.pushTo(now, p, oldest)
}

func (c *Core) sizeOf(key string) int {
	e, ok := c.store.entry(key)
	if !ok {
		return 0
	}
	return proto.Size(e.item)
}

// targets picks the peers for the pushes that are left. The first pushes of one item go to peers in random
// order; one of the view's peers in the other region counts like any other, which bounds cross-region pushes to
// their share of the view.
func (c *Core) targets(r *rumor) []Peer {
	var out []Peer
	for range r.left {
		p := c.pick(append(slices.Clone(r.known), nodesOf(out)...))
		if p.Node == "" {
			break
		}
		out = append(out, p)
	}
	return out
}

func nodesOf(peers []Peer) []string {
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = p.Node
	}
	return out
}

// pushTo sends items to one peer in messages of bounded size, as far as the budget goes.
func (c *Core) pushTo(now time.Time, p Peer, rumors []*rumor) []Message {
	reserve := batchReserve
	if len(rumors) > 0 && rumors[0].urgent {
		reserve = 0
	}
	var out []Message
	for len(rumors) > 0 {
		push := &pb.GossipPush{}
		size, taken := 0, 0
		for _, r := range rumors {
			item := c.itemOf(now, r)
			if item != nil && len(push.Items) > 0 && size+proto.Size(item) > maxMessage {
				break
			}
			taken++
			if item != nil {
				push.Items = append(push.Items, item)
				size += proto.Size(item)
			}
		}
		m := Message{p, &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}}}
		if len(push.Items) > 0 && !c.spend(m.Env, reserve) {
			return out
		}
		for _, r := range rumors[:taken] {
			r.left--
			r.known = append(r.known, p.Node)
		}
		if len(push.Items) > 0 {
			out = append(out, m)
		}
		rumors = rumors[taken:]
	}
	return out
}

func (c *Core) itemOf(now time.Time, r *rumor) *pb.GossipItem {
	e, ok := c.store.entry(r.key)
	if !ok {
		return nil
	}
	return e.toSend(now)
}

// finishUrgent schedules the extra push of items whose first pushes are done and drops finished items. An item
// for which the budget or the peers did not suffice is tried again.
func (c *Core) finishUrgent(now time.Time) {
	c.nextUrgent = now.Add(time.Hour)
	c.urgent = slices.DeleteFunc(c.urgent, func(key string) bool {
		r := c.rumors[key]
		if r == nil || !r.urgent {
			return true
		}
		if !now.Before(r.due) {
			if !c.advance(now, r) {
				delete(c.rumors, key)
				return true
			}
		}
		c.nextUrgent = minTime(c.nextUrgent, r.due)
		return false
	})
}

// advance prepares the next push of an urgent item that was due; it returns false when there is none.
func (c *Core) advance(now time.Time, r *rumor) bool {
	switch {
	case r.left > 0 && len(c.view) > 0 && !c.allKnown(r):
		return true
	case !r.extra && c.cfg.ExtraDelay > 0:
		r.extra, r.left, r.due = true, 1, now.Add(c.cfg.ExtraDelay)
		return true
	}
	return false
}

// allKnown reports whether every peer of the view has the item.
func (c *Core) allKnown(r *rumor) bool {
	return !slices.ContainsFunc(c.view, func(p Peer) bool { return !slices.Contains(r.known, p.Node) })
}

// pushBatch sends the waiting items that are not urgent to one peer.
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
			size += float64(c.sizeOf(key))
		}
	}
	out := c.pushTo(now, p, waiting)
	c.batch = slices.DeleteFunc(c.batch, func(key string) bool {
		r := c.rumors[key]
		if r == nil || r.urgent {
			return true
		}
		if r.left > 0 && !c.allKnown(r) {
			return false
		}
		delete(c.rumors, key)
		return true
	})
	return out
}

// recent returns the hashes of the urgent items of the last seconds.
func (c *Core) recent(now time.Time) map[uint32]entry {
	out := map[uint32]entry{}
	c.store.recent(now.Add(-recentAge), func(e entry) { out[uint32(e.hash)] = e })
	return out
}

// pullRecent names the recent urgent items to one peer, which answers with those missing here. With more than
// maxRecent there is a storm, and digests do the repair.
func (c *Core) pullRecent(now time.Time) []Message {
	have := c.recent(now)
	if len(have) > maxRecent {
		return nil
	}
	versions := slices.Sorted(maps.Keys(have))
	p, env := c.pick(nil), digestEnvelope(&pb.GossipDigest{Versions: versions})
	if p.Node == "" || !c.spend(env, 0) {
		return nil
	}
	return []Message{{p, env}}
}

func digestEnvelope(digest *pb.GossipDigest) *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_GossipDigest{GossipDigest: digest}}
}

// sendRepair sends one message within the budget for repair.
func (c *Core) sendRepair(p Peer, env *pb.Envelope) []Message {
	if p.Node == "" || !c.spendRepair(env) {
		return nil
	}
	return []Message{{p, env}}
}

// answerRecent sends the recent urgent items that the peer did not name.
func (c *Core) answerRecent(now time.Time, from string, versions []uint32) []Message {
	missing := c.recent(now)
	for _, version := range versions {
		delete(missing, version)
	}
	return c.sendEntries(now, from, slices.Collect(maps.Values(missing)), false)
}

// sendDigest sends the hashes of all buckets to a peer. It spends only from the part set aside for repair: when
// many nodes start together, frequent digests would otherwise keep the items themselves from being sent.
func (c *Core) sendDigest(p Peer) []Message {
	env := digestEnvelope(&pb.GossipDigest{Buckets: c.store.buckets()})
	if c.repairTokens < float64(cost(env)) {
		return nil
	}
	return c.sendRepair(p, env)
}

// answerDigest lists the versions in the buckets that differ, from a random bucket on, so that a node that has
// just started learns different parts from several peers.
func (c *Core) answerDigest(now time.Time, from string, theirs []uint64) []Message {
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
	c.hurry(now, differ)
	return c.sendRepair(c.byNode[from], digestEnvelope(digest))
}

// hurry brings the next digest forward while many buckets differ.
func (c *Core) hurry(now time.Time, differ int) {
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

// answerList sends the items that the peer lacks in the buckets listed and asks for those missing here.
func (c *Core) answerList(now time.Time, from string, digest *pb.GossipDigest) []Message {
	want := make(map[uint32]bool, len(digest.Versions))
	for _, version := range digest.Versions {
		want[version] = true
	}
	var lacking []entry
	for _, n := range digest.Listed[:min(len(digest.Listed), bucketCount)] {
		for _, e := range c.store.bucket(int(n % bucketCount)) {
			if !want[uint32(e.hash)] {
				lacking = append(lacking, e)
			}
			delete(want, uint32(e.hash))
		}
	}
	c.hurry(now, len(digest.Listed))
	var out []Message
	if len(want) > 0 {
		c.nextDigest = minTime(c.nextDigest, now.Add(catchUpPeriod))
		versions := slices.Sorted(maps.Keys(want))
		push := &pb.GossipPush{Want: versions[:min(len(versions), maxListed)]}
		out = c.sendRepair(c.byNode[from], &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}})
	}
	return append(out, c.sendEntries(now, from, lacking, true)...)
}

// answerWant sends the items that a peer asked for by version.
func (c *Core) answerWant(now time.Time, from string, versions []uint32) []Message {
	if len(versions) == 0 {
		return nil
	}
	wanted := make(map[uint32]bool, len(versions))
	for _, version := range versions[:min(len(versions), maxListed)] {
		wanted[version] = true
	}
	return c.sendEntries(now, from, c.store.withVersions(wanted), true)
}

// sendEntries sends items to one peer in a random order, as far as the budget goes: when it is short, several
// peers then bring different items.
func (c *Core) sendEntries(now time.Time, to string, entries []entry, repair bool) []Message {
	p, ok := c.byNode[to]
	if !ok || len(entries) == 0 {
		return nil
	}
	sortEntries(entries)
	c.cfg.Rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	var out []Message
	push := &pb.GossipPush{Repair: repair}
	size := 0
	flush := func() bool {
		sent := c.sendRepair(p, &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}})
		out = append(out, sent...)
		push, size = &pb.GossipPush{Repair: repair}, 0
		return len(sent) > 0
	}
	for _, e := range entries {
		item := e.toSend(now)
		if item == nil {
			continue
		}
		if len(push.Items) > 0 && size+proto.Size(item) > maxMessage && !flush() {
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
