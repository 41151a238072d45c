package gossip

import (
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
	if !c.cfg.NoRecentPull && due(&c.nextRecent, now, recentPeriod) {
		out = append(out, c.pullRecent(now)...)
	}
	if due(&c.nextDigest, now, digestPeriod) {
		out = append(out, c.sendDigest(c.pick(nil), false)...)
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
		if len(body.GossipDigest.Buckets) == 0 {
			return c.answerRecent(now, from, body.GossipDigest.Recent)
		}
		return c.answerDigest(now, from, body.GossipDigest)
	}
	return nil
}

func (c *Core) handlePush(now time.Time, from string, push *pb.GossipPush) []Message {
	var added []*pb.GossipItem
	c.mu.Lock()
	c.refill(now)
	for _, item := range push.Items {
		c.stats.Received++
		if item != nil && c.accept(now, item, from) {
			added = append(added, item)
		}
	}
	out := c.answerWant(now, from, push.Want)
	out = append(out, c.pushUrgent(now)...)
	watches := c.watches
	c.mu.Unlock()
	notify(watches, added)
	return out
}

// pushUrgent sends the urgent items that are due, grouped by peer.
func (c *Core) pushUrgent(now time.Time) []Message {
	groups := map[string][]*rumor{}
	var order []Peer
	for _, key := range c.order {
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
	c.order = slices.DeleteFunc(c.order, func(key string) bool {
		r := c.rumors[key]
		if r == nil {
			return true
		}
		if !r.urgent || now.Before(r.due) {
			return false
		}
		switch {
		case r.left > 0 && len(c.view) > 0 && !c.allKnown(r):
			return false
		case !r.extra && c.cfg.ExtraDelay > 0:
			r.extra, r.left, r.due = true, 1, now.Add(c.cfg.ExtraDelay)
			return false
		}
		delete(c.rumors, key)
		return true
	})
}

// allKnown reports whether every peer of the view has the item.
func (c *Core) allKnown(r *rumor) bool {
	return !slices.ContainsFunc(c.view, func(p Peer) bool { return !slices.Contains(r.known, p.Node) })
}

// pushBatch sends the waiting items that are not urgent to one peer.
func (c *Core) pushBatch(now time.Time) []Message {
	p := c.pick(nil)
	var waiting []*rumor
	for _, key := range c.order {
		if r := c.rumors[key]; r != nil && !r.urgent && !slices.Contains(r.known, p.Node) {
			waiting = append(waiting, r)
		}
	}
	out := c.pushTo(now, p, waiting)
	c.order = slices.DeleteFunc(c.order, func(key string) bool {
		r := c.rumors[key]
		if r != nil && (r.urgent || r.left > 0 && !c.allKnown(r)) {
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

// pullRecent names the recent urgent items to one peer, which answers with those missing here.
func (c *Core) pullRecent(now time.Time) []Message {
	have := c.recent(now)
	hashes := make([]uint32, 0, len(have))
	for hash := range have {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	hashes = hashes[:min(len(hashes), maxRecent)]
	digest := &pb.GossipDigest{Recent: hashes}
	m := Message{c.pick(nil), &pb.Envelope{Body: &pb.Envelope_GossipDigest{GossipDigest: digest}}}
	if m.To.Node == "" || !c.spend(m.Env, 0) {
		return nil
	}
	return []Message{m}
}

// answerRecent sends the recent urgent items that the peer did not name.
func (c *Core) answerRecent(now time.Time, from string, hashes []uint32) []Message {
	missing := c.recent(now)
	for _, hash := range hashes {
		delete(missing, hash)
	}
	entries := make([]entry, 0, len(missing))
	for _, e := range missing {
		entries = append(entries, e)
	}
	sortEntries(entries)
	return c.sendEntries(now, from, entries, 0)
}

// sendDigest sends the hashes of all buckets to a peer.
func (c *Core) sendDigest(p Peer, answer bool) []Message {
	digest := &pb.GossipDigest{Buckets: c.store.buckets(), Answer: answer}
	m := Message{p, &pb.Envelope{Body: &pb.Envelope_GossipDigest{GossipDigest: digest}}}
	if p.Node == "" || !c.spend(m.Env, batchReserve) {
		return nil
	}
	return []Message{m}
}

// answerDigest sends the items of buckets that differ, from a random bucket on, so that several peers bring
// different parts to a node that has just started.
func (c *Core) answerDigest(now time.Time, from string, digest *pb.GossipDigest) []Message {
	if len(digest.Buckets) != bucketCount {
		return nil
	}
	own := c.store.buckets()
	var entries []entry
	differ := 0
	first := c.cfg.Rand.IntN(bucketCount)
	for i := range bucketCount {
		n := (first + i) % bucketCount
		if own[n] != digest.Buckets[n] {
			differ++
			entries = append(entries, c.store.bucket(n)...)
		}
	}
	if differ > bucketCount/2 {
		c.nextDigest = minTime(c.nextDigest, now.Add(catchUpPeriod))
	}
	out := c.sendEntries(now, from, entries, batchReserve)
	if differ > 0 && !digest.Answer {
		out = append(out, c.sendDigest(c.byNode[from], true)...)
	}
	return out
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// sendEntries sends items to one peer, as far as the budget goes.
func (c *Core) sendEntries(now time.Time, to string, entries []entry, reserve int) []Message {
	p, ok := c.byNode[to]
	if !ok || len(entries) == 0 {
		return nil
	}
	var out []Message
	for len(entries) > 0 {
		push := &pb.GossipPush{}
		size, taken := 0, 0
		for _, e := range entries {
			item := e.toSend(now)
			if item != nil && len(push.Items) > 0 && size+proto.Size(item) > maxMessage {
				break
			}
			taken++
			if item != nil {
				push.Items = append(push.Items, item)
				size += proto.Size(item)
			}
		}
		entries = entries[taken:]
		if len(push.Items) == 0 {
			continue
		}
		m := Message{p, &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}}}
		if !c.spend(m.Env, reserve) {
			return out
		}
		out = append(out, m)
	}
	return out
}

// answerWant sends the items that a peer asked for by key.
func (c *Core) answerWant(now time.Time, from string, keys []string) []Message {
	var entries []entry
	for _, key := range keys[:min(len(keys), maxRecent)] {
		if e, ok := c.store.entry(key); ok {
			entries = append(entries, e)
		}
	}
	return c.sendEntries(now, from, entries, batchReserve)
}
