package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
)

// sendDueProbes sends the probes that are due: one in the local region and one in another per probePeriod.
func (c *Core) sendDueProbes(now time.Time) []gossip.Message {
	var out []gossip.Message
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(probePeriod)
		target, domainSuspected := c.pickTarget(now, true)
		out = append(out, c.probe(now, target, probe{domainSuspected: domainSuspected})...)
	}
	if !now.Before(c.nextRegion) {
		c.nextRegion = now.Add(probePeriod)
		target, _ := c.pickTarget(now, false)
		out = append(out, c.probe(now, target, probe{})...)
	}
	return out
}

// pickTarget returns a node to probe in the local region or in another one, or an empty name, and whether it was picked
// because of a suspicion in its failure domain.
func (c *Core) pickTarget(now time.Time, localRegion bool) (target string, domainSuspected bool) {
	if localRegion && c.cfg.Rand.IntN(2) == 0 {
		if candidates := c.nodesInSuspectedDomains(now); len(candidates) > 0 {
			return candidates[c.cfg.Rand.IntN(len(candidates))], true
		}
	}
	var candidates []string
	if c.cfg.Rand.IntN(anyNodeEvery) > 0 && (localRegion || !c.regionProbeFailed) {
		for _, p := range c.g.View() {
			if c.probeable(c.records[p.Node], localRegion) {
				candidates = append(candidates, p.Node)
			}
		}
	}
	if len(candidates) == 0 {
		for _, node := range slices.Sorted(maps.Keys(c.records)) {
			if c.probeable(c.records[node], localRegion) {
				candidates = append(candidates, node)
			}
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[c.cfg.Rand.IntN(len(candidates))], false
}

// nodesInSuspectedDomains returns the nodes of the local region that are in failure domains with a recent suspicion.
func (c *Core) nodesInSuspectedDomains(now time.Time) []string {
	maps.DeleteFunc(c.domainSuspicions, func(_ string, at time.Time) bool { return now.Sub(at) > domainSuspicionTime })
	if len(c.domainSuspicions) == 0 {
		return nil
	}
	var out []string
	for _, node := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[node]
		if _, ok := c.domainSuspicions[r.FailureDomain]; ok && c.probeable(r, true) {
			out = append(out, node)
		}
	}
	return out
}

// probeable reports whether a node may be probed. Suspected nodes are not: only a refutation can clear them.
func (c *Core) probeable(r *record, localRegion bool) bool {
	if r == nil || r.dead || r.NodeAddr == "" || r.Status == pb.MemberState_LEFT || !r.suspectedAt.IsZero() {
		return false
	}
	return (r.Region == c.cfg.Region) == localRegion
}

// probe sends one probe and tracks it until its reply or timeout.
func (c *Core) probe(now time.Time, target string, p probe) []gossip.Message {
	r := c.records[target]
	if r == nil || r.NodeAddr == "" {
		return nil
	}
	if r.Region != c.cfg.Region && c.regionContact[r.Region].IsZero() {
		c.regionContact[r.Region] = now
	}
	c.nextNumber++
	p.target, p.sent = target, now
	c.probes[c.nextNumber] = &p
	return []gossip.Message{{To: peerOf(r.Member),
		Env: &pb.Envelope{Body: &pb.Envelope_Probe{Probe: &pb.Probe{Number: c.nextNumber}}}}}
}

// sendAck sends a ProbeAck to a node; reached reports whether the probed node replied.
func (c *Core) sendAck(to string, number uint64, reached bool) []gossip.Message {
	r := c.records[to]
	if r == nil || r.NodeAddr == "" {
		return nil
	}
	ack := &pb.ProbeAck{Number: number, Reached: reached}
	return []gossip.Message{{To: peerOf(r.Member), Env: &pb.Envelope{Body: &pb.Envelope_ProbeAck{ProbeAck: ack}}}}
}

// probeOnRequest sends an indirect probe on request of another node.
func (c *Core) probeOnRequest(now time.Time, from string, request *pb.ProbeRequest) []gossip.Message {
	if len(c.probes) >= maxProbesInProgress || request.Target == c.cfg.Node {
		return nil
	}
	return c.probe(now, request.Target, probe{requester: from, requestNumber: request.Number})
}

// handleAck handles a reply of the target itself or of an indirect prober.
func (c *Core) handleAck(now time.Time, from string, ack *pb.ProbeAck) []gossip.Message {
	p := c.probes[ack.Number]
	if p == nil {
		return nil
	}
	switch {
	case from == p.target:
		delete(c.probes, ack.Number)
		c.recordContact(now, from)
		if p.requester != "" {
			return c.sendAck(p.requester, p.requestNumber, true)
		}
		if r := c.records[from]; p.indirectSent.IsZero() && !p.domainSuspected && r != nil && r.Region == c.cfg.Region {
			c.recordResult(true)
		}
	case !slices.Contains(p.probers, from):
	case ack.Reached:
		delete(c.probes, ack.Number)
	default:
		delete(c.probes, ack.Number)
		c.suspect(now, p.target)
	}
	return nil
}

// recordContact records contact with the region of a node.
func (c *Core) recordContact(now time.Time, node string) {
	if r := c.records[node]; r != nil && r.Region != c.cfg.Region {
		c.regionContact[r.Region] = now
		c.regionProbeFailed = false
	}
}

// handleTimeouts handles the probes that have had no reply in time.
func (c *Core) handleTimeouts(now time.Time) []gossip.Message {
	var out []gossip.Message
	for _, number := range slices.Sorted(maps.Keys(c.probes)) {
		p := c.probes[number]
		switch {
		case p.requester != "":
			if now.Sub(p.sent) >= requestedProbeTimeout {
				delete(c.probes, number)
				out = append(out, c.sendAck(p.requester, p.requestNumber, false)...)
			}
		case p.indirectSent.IsZero():
			if now.Sub(p.sent) >= probeTimeout {
				out = append(out, c.handleProbeTimeout(now, number, p)...)
			}
		case now.Sub(p.indirectSent) >= indirectTimeout:
			// No peer replied to a request for an indirect probe. The fault may be on this side, so the target is not
			// suspected.
			delete(c.probes, number)
		}
	}
	return out
}

// handleProbeTimeout handles a direct probe that timed out. For a target in the local region it requests indirect
// probes, unless this node suspects itself.
func (c *Core) handleProbeTimeout(now time.Time, number uint64, p *probe) []gossip.Message {
	r := c.records[p.target]
	if r != nil && r.Region != c.cfg.Region {
		c.regionProbeFailed = true
	} else if !p.domainSuspected {
		c.recordResult(false)
	}
	if r == nil || r.Region != c.cfg.Region || c.selfSuspected() {
		delete(c.probes, number)
		return nil
	}
	p.indirectSent = now
	var out []gossip.Message
	for _, prober := range c.pickIndirectProbers(p.target) {
		p.probers = append(p.probers, prober.Node)
		out = append(out, gossip.Message{To: peerOf(prober), Env: &pb.Envelope{Body: &pb.Envelope_ProbeRequest{
			ProbeRequest: &pb.ProbeRequest{Number: number, Target: p.target}}}})
	}
	return out
}

// pickIndirectProbers picks up to indirectProbers peers of the local region, in failure domains other than this node's
// and if possible different from each other. Where the whole region is one failure domain, as on a developer's machine,
// it picks peers of this node's domain.
func (c *Core) pickIndirectProbers(target string) []Member {
	var candidates, localDomain []Member
	for _, node := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[node]
		if node == target || !c.probeable(r, true) {
			continue
		}
		if r.FailureDomain == c.cfg.FailureDomain {
			localDomain = append(localDomain, r.Member)
			continue
		}
		candidates = append(candidates, r.Member)
	}
	if len(candidates) == 0 {
		candidates = localDomain
	}
	c.cfg.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var out []Member
	for _, distinct := range []bool{true, false} {
		for _, m := range candidates {
			used := slices.ContainsFunc(out, func(o Member) bool {
				return o.Node == m.Node || distinct && o.FailureDomain == m.FailureDomain
			})
			if len(out) < indirectProbers && !used {
				out = append(out, m)
			}
		}
	}
	return out
}

// suspect announces to all nodes that two nodes, this one and an indirect prober, cannot reach a node.
func (c *Core) suspect(now time.Time, node string) {
	r := c.records[node]
	if r == nil || r.dead || !r.suspectedAt.IsZero() || c.selfSuspected() {
		return
	}
	r.suspectedAt, c.changed = now, true
	c.domainSuspicions[r.FailureDomain] = now
	c.put(now, node, r.Incarnation, r.sequence+1, &pb.MemberState{Status: pb.MemberState_SUSPECT,
		Reporter: c.cfg.Node, ReporterDomain: c.cfg.FailureDomain}, true)
}

// recordResult records the outcome of a direct probe of this node.
func (c *Core) recordResult(ok bool) {
	before := c.selfSuspected()
	c.probeResults = append(c.probeResults, ok)
	if len(c.probeResults) > selfSuspicionWindow {
		c.probeResults = c.probeResults[1:]
	}
	if before != c.selfSuspected() {
		c.changed = true
	}
}

// selfSuspected reports whether at least selfSuspicionFailures of this node's recent direct probes failed.
func (c *Core) selfSuspected() bool {
	failed := 0
	for _, ok := range c.probeResults {
		if !ok {
			failed++
		}
	}
	return failed >= selfSuspicionFailures
}

// notifyDeadNode sends the suspicion to one node considered dead, so that it can refute when it is alive.
func (c *Core) notifyDeadNode(now time.Time) []gossip.Message {
	if now.Before(c.nextDeadNotice) {
		return nil
	}
	c.nextDeadNotice = now.Add(deadNoticePeriod)
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
	item, ok := c.g.Get(KeyPrefix + r.Node)
	if !ok {
		return nil
	}
	push := &pb.GossipPush{Items: []*pb.GossipItem{item}}
	return []gossip.Message{{To: peerOf(r.Member), Env: &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: push}}}}
}
