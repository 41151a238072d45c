package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
)

// probeDue sends the probes of this second.
func (c *Core) probeDue(now time.Time) []gossip.Message {
	var out []gossip.Message
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(probePeriod)
		target, alarmed := c.pickTarget(now, true)
		out = append(out, c.probe(now, target, probe{alarmed: alarmed})...)
	}
	if !now.Before(c.nextRegion) {
		c.nextRegion = now.Add(probePeriod)
		target, _ := c.pickTarget(now, false)
		out = append(out, c.probe(now, target, probe{})...)
	}
	return out
}

// pickTarget returns a node to probe in the own region or in another one, or an empty name, and whether it was
// picked because of a suspicion in its failure domain.
func (c *Core) pickTarget(now time.Time, ownRegion bool) (target string, alarmed bool) {
	if ownRegion && c.cfg.Rand.IntN(2) == 0 {
		if candidates := c.alarmed(now); len(candidates) > 0 {
			return candidates[c.cfg.Rand.IntN(len(candidates))], true
		}
	}
	var candidates []string
	if c.cfg.Rand.IntN(anyNodeEvery) > 0 && (ownRegion || !c.regionMissed) {
		for _, p := range c.g.View() {
			if c.wanted(c.records[p.Node], ownRegion) {
				candidates = append(candidates, p.Node)
			}
		}
	}
	if len(candidates) == 0 {
		for _, node := range slices.Sorted(maps.Keys(c.records)) {
			if c.wanted(c.records[node], ownRegion) {
				candidates = append(candidates, node)
			}
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[c.cfg.Rand.IntN(len(candidates))], false
}

// alarmed returns the nodes of the own region in failure domains with a recent suspicion.
func (c *Core) alarmed(now time.Time) []string {
	maps.DeleteFunc(c.alarms, func(_ string, at time.Time) bool { return now.Sub(at) > alarmTime })
	if len(c.alarms) == 0 {
		return nil
	}
	var out []string
	for _, node := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[node]
		if _, ok := c.alarms[r.FailureDomain]; ok && c.wanted(r, true) {
			out = append(out, node)
		}
	}
	return out
}

// wanted reports whether the node is worth a probe. A suspected node is decided already.
func (c *Core) wanted(r *record, ownRegion bool) bool {
	if r == nil || r.dead || r.NodeAddr == "" || r.Status == pb.MemberState_LEFT || !r.suspected.IsZero() {
		return false
	}
	return (r.Region == c.cfg.Region) == ownRegion
}

// probe sends one probe and keeps it until its answer or timeout.
func (c *Core) probe(now time.Time, target string, p probe) []gossip.Message {
	r := c.records[target]
	if r == nil || r.NodeAddr == "" {
		return nil
	}
	if r.Region != c.cfg.Region && c.regionSeen[r.Region].IsZero() {
		c.regionSeen[r.Region] = now
	}
	c.nextNumber++
	p.target, p.sent = target, now
	c.probes[c.nextNumber] = &p
	return []gossip.Message{{To: peerOf(r.Member),
		Env: &pb.Envelope{Body: &pb.Envelope_Probe{Probe: &pb.Probe{Number: c.nextNumber}}}}}
}

// answer sends a ProbeAck to a node.
func (c *Core) answer(to string, number uint64, reached bool) []gossip.Message {
	r := c.records[to]
	if r == nil || r.NodeAddr == "" {
		return nil
	}
	ack := &pb.ProbeAck{Number: number, Reached: reached}
	return []gossip.Message{{To: peerOf(r.Member), Env: &pb.Envelope{Body: &pb.Envelope_ProbeAck{ProbeAck: ack}}}}
}

// relay probes a node for another one.
func (c *Core) relay(now time.Time, from string, request *pb.ProbeRequest) []gossip.Message {
	if len(c.probes) >= maxRelays || request.Target == c.cfg.Node {
		return nil
	}
	return c.probe(now, request.Target, probe{origin: from, number: request.Number})
}

// acknowledged takes an answer from the target itself or from a peer that was asked to probe it.
func (c *Core) acknowledged(now time.Time, from string, ack *pb.ProbeAck) []gossip.Message {
	p := c.probes[ack.Number]
	if p == nil {
		return nil
	}
	switch {
	case from == p.target:
		delete(c.probes, ack.Number)
		c.heard(now, from)
		if p.origin != "" {
			return c.answer(p.origin, p.number, true)
		}
		if r := c.records[from]; p.indirect.IsZero() && !p.alarmed && r != nil && r.Region == c.cfg.Region {
			c.result(true)
		}
	case !slices.Contains(p.asked, from):
	case ack.Reached:
		delete(c.probes, ack.Number)
	default:
		delete(c.probes, ack.Number)
		c.suspect(now, p.target)
	}
	return nil
}

// heard records contact with the node's region.
func (c *Core) heard(now time.Time, node string) {
	if r := c.records[node]; r != nil && r.Region != c.cfg.Region {
		c.regionSeen[r.Region] = now
		c.regionMissed = false
	}
}

// timeouts handles the probes without an answer.
func (c *Core) timeouts(now time.Time) []gossip.Message {
	var out []gossip.Message
	for _, number := range slices.Sorted(maps.Keys(c.probes)) {
		p := c.probes[number]
		switch {
		case p.origin != "":
			if now.Sub(p.sent) >= relayTimeout {
				delete(c.probes, number)
				out = append(out, c.answer(p.origin, p.number, false)...)
			}
		case p.indirect.IsZero():
			if now.Sub(p.sent) >= probeTimeout {
				out = append(out, c.missed(now, number, p)...)
			}
		case now.Sub(p.indirect) >= indirectTimeout:
			// No second observer answered: the fault may be on this side, and nobody is suspected.
			delete(c.probes, number)
		}
	}
	return out
}

// missed asks peers in other failure domains to probe a node of the own region.
func (c *Core) missed(now time.Time, number uint64, p *probe) []gossip.Message {
	r := c.records[p.target]
	if r != nil && r.Region != c.cfg.Region {
		c.regionMissed = true
	} else if !p.alarmed {
		c.result(false)
	}
	if r == nil || r.Region != c.cfg.Region || c.selfSuspected() {
		delete(c.probes, number)
		return nil
	}
	p.indirect = now
	var out []gossip.Message
	for _, observer := range c.observers(p.target) {
		p.asked = append(p.asked, observer.Node)
		out = append(out, gossip.Message{To: peerOf(observer), Env: &pb.Envelope{Body: &pb.Envelope_ProbeRequest{
			ProbeRequest: &pb.ProbeRequest{Number: number, Target: p.target}}}})
	}
	return out
}

// observers picks peers in failure domains other than the own one, each in a different domain. Where the whole
// region is one failure domain, as on a developer's machine, peers of the own domain are asked.
func (c *Core) observers(target string) []Member {
	var others, same []Member
	for _, node := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[node]
		if node == target || !c.wanted(r, true) {
			continue
		}
		if r.FailureDomain == c.cfg.FailureDomain {
			same = append(same, r.Member)
			continue
		}
		others = append(others, r.Member)
	}
	if len(others) == 0 {
		others = same
	}
	c.cfg.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []Member
	for _, distinct := range []bool{true, false} {
		for _, m := range others {
			used := slices.ContainsFunc(out, func(o Member) bool {
				return o.Node == m.Node || distinct && o.FailureDomain == m.FailureDomain
			})
			if len(out) < indirectPeers && !used {
				out = append(out, m)
			}
		}
	}
	return out
}

// suspect tells all nodes that two observers cannot reach the node.
func (c *Core) suspect(now time.Time, node string) {
	r := c.records[node]
	if r == nil || r.dead || !r.suspected.IsZero() || c.selfSuspected() {
		return
	}
	r.suspected, c.dirty = now, true
	c.alarms[r.FailureDomain] = now
	c.put(now, node, r.Incarnation, r.sequence+1, &pb.MemberState{Status: pb.MemberState_SUSPECT,
		Reporter: c.cfg.Node, ReporterDomain: c.cfg.FailureDomain}, true)
}

// result records the outcome of an own direct probe.
func (c *Core) result(ok bool) {
	before := c.selfSuspected()
	c.results = append(c.results, ok)
	if len(c.results) > selfWindow {
		c.results = c.results[1:]
	}
	if before != c.selfSuspected() {
		c.dirty = true
	}
}

// selfSuspected reports whether most of the own probes failed.
func (c *Core) selfSuspected() bool {
	failed := 0
	for _, ok := range c.results {
		if !ok {
			failed++
		}
	}
	return failed >= selfProbes
}

// accuse reminds one node considered dead of the suspicion, so that it can refute when it is alive.
func (c *Core) accuse(now time.Time) []gossip.Message {
	if now.Before(c.nextAccuse) {
		return nil
	}
	c.nextAccuse = now.Add(accusePeriod)
	var dead []string
	for _, node := range slices.Sorted(maps.Keys(c.records)) {
		if r := c.records[node]; r.dead && r.NodeAddr != "" {
			dead = append(dead, node)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	r := c.records[dead[c.cfg.Rand.IntN(len(dead))]]
	item, ok := c.g.Get(keyPrefix + r.Node)
	if !ok {
		return nil
	}
	push := &pb.GossipPush{Items: []*pb.GossipItem{item}}
	return []gossip.Message{{To: peerOf(r.Member), Env: &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}}}}
}
