package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// jitterDivisor determines the jitter of the heartbeat interval, ±1/jitterDivisor, so that nodes started together
	// do not keep sending at the same time.
	jitterDivisor = 3
	// After sending paceBytes a node waits for pacePause. That is half the bandwidth of the slowest links (10 Mbit/s),
	// because a saturated link drops datagrams: when 86 nodes sent their heartbeats in one burst, the latest ones
	// received were up to 6 s old.
	paceBytes = 6 << 10
	pacePause = 10 * time.Millisecond
	// unresponsiveProbeInterval is how often a heartbeat is sent to an unresponsive node.
	unresponsiveProbeInterval = time.Second
	// peerRetention is how long an unresponsive node without a row in the store is kept.
	peerRetention = 30 * time.Second
)

// run sends and receives heartbeats until ctx ends.
func (p *peers) run(ctx context.Context) {
	go p.receiveLoop()
	go p.runUrgent(ctx)
	defer p.conn.Close()
	for {
		start := time.Now()
		p.send(ctx)
		interval := p.heartbeatInterval()
		next := interval - interval/jitterDivisor + rand.N(2*interval/jitterDivisor)
		if !clock.Sleep(ctx, next-time.Since(start)) {
			return
		}
	}
}

// runUrgent sends urgent heartbeats on request until ctx ends.
func (p *peers) runUrgent(ctx context.Context) {
	for {
		select {
		case <-p.urgent:
			p.sendUrgent(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// requestUrgent requests an urgent heartbeat without blocking.
func (p *peers) requestUrgent() {
	select {
	case p.urgent <- struct{}{}:
	default: // one is already requested
	}
}

// send sends this node's heartbeat to all others.
func (p *peers) send(ctx context.Context) {
	now := time.Now()
	heartbeat := p.compose(now)
	regular, withUsage := newPacedHeartbeat(p, heartbeat, now), newPacedHeartbeat(p, proto.CloneOf(heartbeat), now)
	withUsage.heartbeat.Usage = p.usageWindows(now)
	receivers := p.usageReceivers(now)
	p.pace(ctx, p.targets(now), func(addr string) []byte {
		for p.sendingUrgent.Load() && clock.Sleep(ctx, pacePause) {
		}
		if receivers[addr] {
			return withUsage.datagram(time.Now())
		}
		return regular.datagram(time.Now())
	})
}

// sendUrgent sends the urgent part of the heartbeat to all others.
func (p *peers) sendUrgent(ctx context.Context) {
	now := time.Now()
	urgent := newPacedHeartbeat(p, p.composeUrgent(now), now)
	p.sendingUrgent.Store(true)
	defer p.sendingUrgent.Store(false)
	p.pace(ctx, p.targets(now), func(string) []byte { return urgent.datagram(time.Now()) })
}

// pacedHeartbeat is a heartbeat whose sending takes some time. The ages in it increase meanwhile: nodes adopt the
// lowest age that they receive for their own view and report it in turn, so an age that is too low would circulate and
// no node would read the store again.
type pacedHeartbeat struct {
	p          *peers
	heartbeat  *pb.PeerBeat
	composed   time.Time
	serversAge uint32 // of the view of servers when the heartbeat was composed, in ms
	changesAge uint32
	// reports are those of servers, reportAges their ages when the heartbeat was composed.
	reports    []*pb.ServerReport
	reportAges []uint32
	encoded    time.Time
	data       []byte
}

func newPacedHeartbeat(p *peers, heartbeat *pb.PeerBeat, now time.Time) *pacedHeartbeat {
	b := &pacedHeartbeat{p: p, heartbeat: heartbeat, composed: now,
		serversAge: heartbeat.GetServers().GetAgeMs(), changesAge: heartbeat.GetChanges().GetAgeMs()}
	for _, l := range heartbeat.Loads {
		if l.Report != nil {
			b.reports, b.reportAges = append(b.reports, l.Report), append(b.reportAges, l.Report.AgeMs)
		}
	}
	return b
}

// datagram returns the heartbeat encoded with the ages as of now, or nil if it cannot be encoded.
func (b *pacedHeartbeat) datagram(now time.Time) []byte {
	if b.data != nil && now.Sub(b.encoded) < pacePause/2 {
		return b.data
	}
	elapsed := uint32(now.Sub(b.composed).Milliseconds())
	if b.heartbeat.Servers != nil {
		b.heartbeat.Servers.AgeMs = b.serversAge + elapsed
	}
	if b.heartbeat.Changes != nil {
		b.heartbeat.Changes.AgeMs = b.changesAge + elapsed
	}
	for i, r := range b.reports {
		r.AgeMs = b.reportAges[i] + elapsed
	}
	b.data, b.encoded = b.p.encode(b.heartbeat), now
	return b.data
}

// encode returns the datagram of a heartbeat, or nil if it cannot be sent.
func (p *peers) encode(heartbeat *pb.PeerBeat) []byte {
	data, err := proto.Marshal(heartbeat)
	if err != nil || len(data) > maxDatagram {
		p.log.WithError(err).WithField("bytes", len(data)).Error("heartbeat cannot be sent")
		return nil
	}
	return data
}

// pace sends datagrams at a rate that the slowest links can carry.
func (p *peers) pace(ctx context.Context, addrs []string, datagram func(addr string) []byte) {
	sent := 0
	for _, addr := range addrs {
		data := datagram(addr)
		if sent > 0 && sent+len(data) > paceBytes {
			if !clock.Sleep(ctx, pacePause) {
				return
			}
			sent, data = 0, datagram(addr) // its ages have increased
		}
		if data == nil {
			continue // encode has logged the error
		}
		sent += len(data)
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			p.log.WithError(err).WithField("addr", addr).Debug("invalid node address")
			continue
		}
		p.write(data, to)
	}
}

// usageReceivers returns the addresses of the duty holder and the candidates for the next one, which need the usage
// counts.
func (p *peers) usageReceivers(now time.Time) map[string]bool {
	out := map[string]bool{}
	rank := 0
	for _, b := range p.alive(now) {
		if b.HoldsDuties || (rank < dutyCandidates && !b.StoreLost) {
			out[b.PeerAddr] = true
		}
		if !b.Leaving && !b.StoreLost {
			rank++
		}
	}
	return out
}

func (p *peers) targets(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := p.aliveTimeout()
	var out []string
	for name, n := range p.nodes {
		lastReceived := n.receivedAt
		if lastReceived.IsZero() {
			lastReceived = n.addedAt
		}
		elapsed := now.Sub(lastReceived)
		if elapsed > peerRetention && n.rowVersion == 0 {
			delete(p.nodes, name)
			continue
		}
		if (n.lastHeartbeat != nil && elapsed < timeout) || now.Sub(n.sentAt) > unresponsiveProbeInterval {
			n.sentAt = now
			out = append(out, n.addr)
		}
	}
	return out
}
