package loadview

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/membership"
)

// Tick does what is due at now and returns the messages to send.
func (c *Core) Tick(now time.Time) []gossip.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	c.refill(now)
	var out []gossip.Message
	if due(&c.nextReport, now, reportPeriod) {
		out = append(out, c.report(now)...)
	}
	if due(&c.nextPush, now, pushPeriod) {
		out = append(out, c.push(now)...)
	}
	if due(&c.nextPull, now, pullPeriod) {
		out = append(out, c.pull()...)
	}
	return out
}

func due(next *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

// Handle takes a message from a peer and returns the messages to send. Other kinds are ignored.
func (c *Core) Handle(now time.Time, from string, env *pb.Envelope) []gossip.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch body := env.Body.(type) {
	case *pb.Envelope_LoadDigest:
		c.refill(now)
		return c.answer(now, from, body.LoadDigest)
	case *pb.Envelope_LoadDelta:
		for _, d := range body.LoadDelta.Domains {
			c.apply(now, d)
		}
	}
	return nil
}

// report sends the changed loads of this node's workers to their relays, or all of them every fullPeriod.
func (c *Core) report(now time.Time) []gossip.Message {
	full := due(&c.nextFull, now, fullPeriod)
	reports := map[uint32]*pb.DomainLoad{}
	for _, id := range slices.Sorted(maps.Keys(c.observed)) {
		o := c.observed[id]
		waits := now.Sub(o.sentAt) < changePeriod && !o.load.jumped(o.sent)
		if !full && (waits || !o.load.differs(o.running, o.sent)) {
			continue
		}
		if o.sentAt.IsZero() || o.load.differs(o.running, o.sent) {
			o.sent, o.sentAt = o.load, now
		}
		r := reports[o.domain]
		if r == nil {
			r = &pb.DomainLoad{Version: &pb.LoadVersion{Domain: o.domain}}
			reports[o.domain] = r
		}
		add(r, now, id, o.sent, o.observed)
	}
	var out []gossip.Message
	for _, id := range slices.Sorted(maps.Keys(reports)) {
		relay := c.relays[id]
		if relay == c.cfg.Node {
			c.number(now, reports[id])
			continue
		}
		out = append(out, c.send(relay, &pb.LoadDelta{Domains: []*pb.DomainLoad{reports[id]}})...)
	}
	return out
}

// add appends a worker to a message.
func add(d *pb.DomainLoad, now time.Time, id uint32, load quantized, observed time.Time) {
	d.Workers = append(d.Workers, id)
	d.Loads = append(d.Loads, load[:]...)
	d.Ages = append(d.Ages, byte(min(tenths(now.Sub(observed)), maxAge)))
}

func tenths(d time.Duration) uint32 {
	return uint32(max(d, 0) / (100 * time.Millisecond))
}

// send returns a message to a live node when the budget allows it.
func (c *Core) send(node string, delta *pb.LoadDelta) []gossip.Message {
	m, ok := c.byNode[node]
	env := &pb.Envelope{Body: &pb.Envelope_LoadDelta{LoadDelta: delta}}
	if !ok || len(delta.Domains) == 0 || !c.spend(env) {
		return nil
	}
	return []gossip.Message{{To: peerOf(m), Env: env}}
}

func peerOf(m membership.Member) gossip.Peer {
	return gossip.Peer{Node: m.Node, Region: m.Region, FailureDomain: m.FailureDomain, Addr: m.NodeAddr}
}

// domain returns the state of a failure domain.
func (c *Core) domain(id uint32) *domain {
	d := c.domains[id]
	if d == nil && len(c.domains) < maxDomains {
		d = &domain{workers: map[uint32]*state{}}
		c.domains[id] = d
	}
	return d
}

// number gives the changes of a report their sequences; only the relay does this. A new relay starts a term by its
// clock, above any term it has seen.
func (c *Core) number(now time.Time, report *pb.DomainLoad) {
	id := report.Version.Domain
	d := c.domain(id)
	if d == nil || !wellFormed(report) {
		return
	}
	if !c.relaying(id) {
		d.term, d.sequence = max(d.term+1, uint64(now.UnixMilli())), 0
		for _, worker := range slices.Sorted(maps.Keys(d.workers)) {
			d.sequence++
			d.workers[worker].sequence = d.sequence
		}
		for worker := range d.workers {
			c.reports[worker] = now
		}
		c.terms[id] = d.term
	}
	for i, worker := range report.Workers {
		c.reports[worker] = now
		c.change(now, d, worker, quantized(report.Loads[4*i:4*i+4]), now.Add(-age(report.Ages[i])))
	}
}

// relaying reports whether the term in force is one that this node started.
func (c *Core) relaying(id uint32) bool {
	d := c.domains[id]
	return d != nil && d.term > 0 && c.terms[id] == d.term
}

func age(tenths byte) time.Duration { return time.Duration(tenths) * 100 * time.Millisecond }

// change records a numbered change; an equal load only becomes fresher.
func (c *Core) change(now time.Time, d *domain, worker uint32, load quantized, observed time.Time) {
	s := d.workers[worker]
	if s == nil {
		if len(d.workers) >= maxWorkers {
			return
		}
		s = &state{}
		d.workers[worker] = s
	}
	if s.sequence == 0 || s.load != load {
		d.sequence++
		s.sequence, s.load = d.sequence, load
	}
	s.observed = observed
	d.asOf = now
}

// push renews the versions of the domains that this node relays and sends new changes to a few peers.
func (c *Core) push(now time.Time) []gossip.Message {
	var out []gossip.Message
	for _, id := range slices.Sorted(maps.Keys(c.domains)) {
		if c.relays[id] != c.cfg.Node || !c.relaying(id) {
			continue
		}
		d := c.domains[id]
		c.unobserved(now, d)
		d.asOf = now
		after := c.pushed[id]
		if after.term != d.term {
			after.sequence = 0
		}
		c.pushed[id] = version{d.term, d.sequence}
		if after.sequence == d.sequence {
			continue
		}
		peers := c.peers.View()
		c.cfg.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, p := range peers[:min(len(peers), pushPeers)] {
			out = append(out, c.send(p.Node, c.delta(now, []*pb.LoadVersion{{Domain: id, Term: d.term, Sequence: after.sequence}}, id))...)
		}
	}
	return out
}

// unobserved flags workers without a report.
func (c *Core) unobserved(now time.Time, d *domain) {
	for _, worker := range slices.Sorted(maps.Keys(d.workers)) {
		s := d.workers[worker]
		if now.Sub(c.reports[worker]) > unobservedAfter && s.load[2]&flagUnobserved == 0 {
			load := s.load
			load[2] |= flagUnobserved
			c.change(now, d, worker, load, s.observed)
		}
	}
}

// pull asks one peer for what changed.
func (c *Core) pull() []gossip.Message {
	peers := c.peers.View()
	if len(peers) == 0 {
		return nil
	}
	p := peers[c.cfg.Rand.IntN(len(peers))]
	digest := &pb.LoadDigest{}
	for _, id := range slices.Sorted(maps.Keys(c.domains)) {
		d := c.domains[id]
		digest.Versions = append(digest.Versions, &pb.LoadVersion{Domain: id, Term: d.term, Sequence: d.sequence})
	}
	env := &pb.Envelope{Body: &pb.Envelope_LoadDigest{LoadDigest: digest}}
	if !c.spend(env) {
		return nil
	}
	return []gossip.Message{{To: p, Env: env}}
}

// answer sends what the peer lacks.
func (c *Core) answer(now time.Time, from string, digest *pb.LoadDigest) []gossip.Message {
	return c.send(from, c.delta(now, digest.Versions, slices.Sorted(maps.Keys(c.domains))...))
}

// delta collects the workers of the domains that changed after the versions, oldest changes first, up to the size
// of a message. A domain that is cut short ends at the version of its last change.
func (c *Core) delta(now time.Time, have []*pb.LoadVersion, ids ...uint32) *pb.LoadDelta {
	out := &pb.LoadDelta{}
	room := maxMessage / workerBytes
	first := 0
	if len(ids) > 0 {
		first = c.cfg.Rand.IntN(len(ids))
	}
	for i := range ids {
		id := ids[(first+i)%len(ids)]
		d := c.domains[id]
		var after uint64
		for _, v := range have {
			if v.Domain == id && v.Term > d.term {
				after = d.sequence
			}
			if v.Domain == id && v.Term == d.term {
				after = v.Sequence
			}
		}
		if d.term == 0 || after > d.sequence || room <= 0 {
			continue
		}
		// Without changes, the answer still tells how fresh the version is.
		m := d.since(now, id, after, room)
		room -= len(m.Workers) + 2
		out.Domains = append(out.Domains, m)
	}
	return out
}

// since returns up to limit workers that changed after a sequence.
func (d *domain) since(now time.Time, id uint32, after uint64, limit int) *pb.DomainLoad {
	var changed []uint32
	for worker, s := range d.workers {
		if s.sequence > after {
			changed = append(changed, worker)
		}
	}
	slices.SortFunc(changed, func(a, b uint32) int { return int(int64(d.workers[a].sequence) - int64(d.workers[b].sequence)) })
	last := d.sequence
	if len(changed) > limit {
		changed = changed[:limit]
		last = d.workers[changed[limit-1]].sequence
	}
	m := &pb.DomainLoad{Version: &pb.LoadVersion{Domain: id, Term: d.term, Sequence: last}, After: after, Age: tenths(now.Sub(d.asOf))}
	for _, worker := range changed {
		s := d.workers[worker]
		add(m, now, worker, s.load, s.observed)
		m.Back = append(m.Back, uint32(last-s.sequence))
	}
	return m
}

// wellFormed reports whether the lists of a message fit together.
func wellFormed(d *pb.DomainLoad) bool {
	return d != nil && d.Version != nil && len(d.Workers) <= maxWorkers && len(d.Loads) == 4*len(d.Workers) &&
		len(d.Ages) == len(d.Workers)
}

// apply takes a report of an observer or a delta of a peer.
func (c *Core) apply(now time.Time, m *pb.DomainLoad) {
	if !wellFormed(m) {
		return
	}
	if m.Version.Term == 0 {
		if c.relays[m.Version.Domain] == c.cfg.Node {
			c.number(now, m)
		}
		return
	}
	d := c.domain(m.Version.Domain)
	if d == nil || len(m.Back) != len(m.Workers) || m.Version.Term < d.term {
		return
	}
	if m.Version.Term > d.term {
		if m.After != 0 {
			return
		}
		d.term, d.sequence = m.Version.Term, 0
		for _, s := range d.workers {
			s.sequence = 0
		}
	}
	if m.After > d.sequence || m.Version.Sequence < d.sequence {
		return
	}
	for i, worker := range m.Workers {
		back := uint64(m.Back[i])
		s := d.workers[worker]
		if back >= m.Version.Sequence || s == nil && len(d.workers) >= maxWorkers {
			continue
		}
		if s == nil {
			s = &state{}
			d.workers[worker] = s
		}
		s.load = quantized(m.Loads[4*i : 4*i+4])
		s.sequence = m.Version.Sequence - back
		s.observed = now.Add(-age(m.Ages[i]))
	}
	d.sequence = m.Version.Sequence
	d.asOf = later(d.asOf, now.Add(-time.Duration(m.Age)*100*time.Millisecond))
}
