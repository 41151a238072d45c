package loadview

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/membership"
)

// Tick runs the tasks that are due and returns the messages to send.
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

// Handle processes a message from a peer and returns the messages to send. Messages of other packages are ignored.
func (c *Core) Handle(now time.Time, from string, env *pb.Envelope) []gossip.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch body := env.Body.(type) {
	case *pb.Envelope_LoadDigest:
		c.refill(now)
		return c.reply(now, from, body.LoadDigest)
	case *pb.Envelope_LoadDelta:
		for _, d := range body.LoadDelta.Domains {
			c.apply(now, d)
		}
	}
	return nil
}

// report sends the changed loads of the workers that this node observes to their relays; every fullPeriod it sends all.
func (c *Core) report(now time.Time) []gossip.Message {
	full := due(&c.nextFull, now, fullPeriod)
	reports := map[uint32]*pb.DomainLoad{}
	for _, id := range slices.Sorted(maps.Keys(c.observations)) {
		o := c.observations[id]
		mustWait := now.Sub(o.sentAt) < changePeriod && !o.load.jumped(o.sent)
		if !full && (mustWait || !o.load.needsReport(o.running, o.sent)) {
			continue
		}
		if o.sentAt.IsZero() || o.load.needsReport(o.running, o.sent) {
			o.sent, o.sentAt = o.load, now
		}
		r := reports[o.domain]
		if r == nil {
			r = &pb.DomainLoad{Version: &pb.LoadVersion{Domain: o.domain}}
			reports[o.domain] = r
		}
		appendLoad(r, now, id, o.sent, o.observed)
	}
	var out []gossip.Message
	for _, id := range slices.Sorted(maps.Keys(reports)) {
		relay := c.relays[id]
		if relay == c.cfg.Node {
			c.sequenceReport(now, reports[id])
			continue
		}
		out = append(out, c.send(relay, &pb.LoadDelta{Domains: []*pb.DomainLoad{reports[id]}})...)
	}
	return out
}

// appendLoad appends the load of a worker to a message.
func appendLoad(d *pb.DomainLoad, now time.Time, id uint32, load quantized, observed time.Time) {
	d.Workers = append(d.Workers, id)
	d.Loads = append(d.Loads, load[:]...)
	d.Ages = append(d.Ages, byte(min(tenths(now.Sub(observed)), maxAgeTenths)))
}

func tenths(d time.Duration) uint32 {
	return uint32(max(d, 0) / (100 * time.Millisecond))
}

// send returns a message to a live node, or nothing when there is nothing to send or the budget is spent.
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

// domainState returns the state of a failure domain and creates it if needed. It returns nil for a new domain when
// maxDomains are stored.
func (c *Core) domainState(id uint32) *domain {
	d := c.domains[id]
	if d == nil && len(c.domains) < maxDomains {
		d = &domain{workers: map[uint32]*state{}}
		c.domains[id] = d
	}
	return d
}

// sequenceReport applies a report at the relay and gives its changes their sequence numbers. A new relay starts a term
// above any that it has seen, numbered by its clock.
func (c *Core) sequenceReport(now time.Time, report *pb.DomainLoad) {
	id := report.Version.Domain
	d := c.domainState(id)
	if d == nil || !wellFormed(report) {
		return
	}
	if !c.isRelay(id) {
		d.term, d.sequence = max(d.term+1, uint64(now.UnixMilli())), 0
		for _, worker := range slices.Sorted(maps.Keys(d.workers)) {
			d.sequence++
			d.workers[worker].sequence = d.sequence
		}
		for worker := range d.workers {
			c.lastReports[worker] = now
		}
		c.relayTerms[id] = d.term
	}
	for i, worker := range report.Workers {
		c.lastReports[worker] = now
		c.setLoad(now, d, worker, quantized(report.Loads[4*i:4*i+4]), now.Add(-ageOf(report.Ages[i])))
	}
}

// isRelay reports whether this node started the domain's current term.
func (c *Core) isRelay(id uint32) bool {
	d := c.domains[id]
	return d != nil && d.term > 0 && c.relayTerms[id] == d.term
}

func ageOf(tenths byte) time.Duration { return time.Duration(tenths) * 100 * time.Millisecond }

// setLoad stores the load of a worker, under the next sequence number if it changed. An unchanged load only becomes
// newer.
func (c *Core) setLoad(now time.Time, d *domain, worker uint32, load quantized, observed time.Time) {
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

// push confirms the versions of the domains that this node relays, and sends new changes to a few random peers.
func (c *Core) push(now time.Time) []gossip.Message {
	var out []gossip.Message
	for _, id := range slices.Sorted(maps.Keys(c.domains)) {
		if c.relays[id] != c.cfg.Node || !c.isRelay(id) {
			continue
		}
		d := c.domains[id]
		c.flagUnobservedWorkers(now, d)
		d.asOf = now
		after := c.pushedVersions[id]
		if after.term != d.term {
			after.sequence = 0
		}
		c.pushedVersions[id] = version{d.term, d.sequence}
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

// flagUnobservedWorkers flags workers that have had no report for unobservedAfter.
func (c *Core) flagUnobservedWorkers(now time.Time, d *domain) {
	for _, worker := range slices.Sorted(maps.Keys(d.workers)) {
		s := d.workers[worker]
		if now.Sub(c.lastReports[worker]) > unobservedAfter && s.load[2]&flagUnobserved == 0 {
			load := s.load
			load[2] |= flagUnobserved
			c.setLoad(now, d, worker, load, s.observed)
		}
	}
}

// pull queries one random peer of the gossip view for changes.
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

// reply sends the changes that the peer lacks, as far as they fit into one message.
func (c *Core) reply(now time.Time, from string, digest *pb.LoadDigest) []gossip.Message {
	return c.send(from, c.delta(now, digest.Versions, slices.Sorted(maps.Keys(c.domains))...))
}

// delta collects the workers of the domains that changed after the versions, oldest changes first, up to the size of a
// message. A truncated domain has the version of the last change in it. The first domain is random, so that none is
// always truncated.
func (c *Core) delta(now time.Time, have []*pb.LoadVersion, ids ...uint32) *pb.LoadDelta {
	out := &pb.LoadDelta{}
	remaining := maxMessage / workerBytes
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
		if d.term == 0 || after > d.sequence || remaining <= 0 {
			continue
		}
		// A reply without changes still confirms the age of the version.
		m := d.changesSince(now, id, after, remaining)
		remaining -= len(m.Workers) + 2
		out.Domains = append(out.Domains, m)
	}
	return out
}

// changesSince returns up to limit workers that changed after a sequence number, oldest changes first.
func (d *domain) changesSince(now time.Time, id uint32, after uint64, limit int) *pb.DomainLoad {
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
		appendLoad(m, now, worker, s.load, s.observed)
		m.Back = append(m.Back, uint32(last-s.sequence))
	}
	return m
}

// wellFormed reports whether the lists of a message have matching lengths.
func wellFormed(d *pb.DomainLoad) bool {
	return d != nil && d.Version != nil && len(d.Workers) <= maxWorkers && len(d.Loads) == 4*len(d.Workers) &&
		len(d.Ages) == len(d.Workers)
}

// apply processes a report of an observer, which has no term, or a delta of a peer.
func (c *Core) apply(now time.Time, m *pb.DomainLoad) {
	if !wellFormed(m) {
		return
	}
	if m.Version.Term == 0 {
		if c.relays[m.Version.Domain] == c.cfg.Node {
			c.sequenceReport(now, m)
		}
		return
	}
	d := c.domainState(m.Version.Domain)
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
		s.observed = now.Add(-ageOf(m.Ages[i]))
	}
	d.sequence = m.Version.Sequence
	d.asOf = laterTime(d.asOf, now.Add(-time.Duration(m.Age)*100*time.Millisecond))
}
