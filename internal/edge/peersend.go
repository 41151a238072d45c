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
	// beatJitter is the divisor of the interval that gives its variation either way, so that nodes which start together do
	// not send together for good.
	beatJitter = 3
	// paceBytes are sent at once, then the node waits for pacePause, which is half of what the slowest links carry
	// (10 Mbit/s): a link that is full drops datagrams. Sent all at once, beats of 86 nodes were up to 6 s old.
	paceBytes = 6 << 10
	pacePause = 10 * time.Millisecond
	// quietProbe is how often a node is sent a beat that has not answered for a while.
	quietProbe = time.Second
	// forgetNode is how long a silent node is kept that has no row.
	forgetNode = 30 * time.Second
)

// run sends and receives beats until ctx ends.
func (p *peers) run(ctx context.Context) {
	go p.receive()
	go p.runNews(ctx)
	defer p.conn.Close()
	for {
		begin := time.Now()
		p.send(ctx)
		interval := p.beatInterval()
		next := interval - interval/beatJitter + rand.N(2*interval/beatJitter)
		if !clock.Sleep(ctx, next-time.Since(begin)) {
			return
		}
	}
}

// runNews tells what is new between two beats until ctx ends.
func (p *peers) runNews(ctx context.Context) {
	for {
		select {
		case <-p.news:
			p.sendNews(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// sendSoon tells what is new at once.
func (p *peers) sendSoon() {
	select {
	case p.news <- struct{}{}:
	default: // it is about to be told
	}
}

// send sends this node's beat to all others.
func (p *peers) send(ctx context.Context) {
	now := time.Now()
	beat := p.compose(now)
	plain, full := newPacedBeat(p, beat, now), newPacedBeat(p, proto.CloneOf(beat), now)
	full.beat.Usage = p.usage(now)
	reporters := p.reporters(now)
	p.pace(ctx, p.targets(now), func(addr string) []byte {
		for p.telling.Load() && clock.Sleep(ctx, pacePause) {
		}
		if reporters[addr] {
			return full.datagram(time.Now())
		}
		return plain.datagram(time.Now())
	})
}

// sendNews sends the part of the beat that decisions of others wait for.
func (p *peers) sendNews(ctx context.Context) {
	now := time.Now()
	news := newPacedBeat(p, p.composeNews(now), now)
	p.telling.Store(true)
	defer p.telling.Store(false)
	p.pace(ctx, p.targets(now), func(string) []byte { return news.datagram(time.Now()) })
}

// pacedBeat is a beat that is sent over some time. The ages in it grow meanwhile: nodes take the youngest age that they hear
// for that of their own view and pass it on, so that an age that is too low would go round, and nobody would read the
// store again.
type pacedBeat struct {
	p          *peers
	beat       *pb.PeerBeat
	composed   time.Time
	age        uint32 // of the view when the beat was composed, ms
	changesAge uint32
	encoded    time.Time
	data       []byte
}

func newPacedBeat(p *peers, beat *pb.PeerBeat, now time.Time) *pacedBeat {
	return &pacedBeat{p: p, beat: beat, composed: now, age: beat.GetServers().GetAgeMs(), changesAge: beat.GetChanges().GetAgeMs()}
}

// datagram returns the beat as it is to be sent now, or nil when it cannot be encoded.
func (b *pacedBeat) datagram(now time.Time) []byte {
	if b.data != nil && now.Sub(b.encoded) < pacePause/2 {
		return b.data
	}
	passed := uint32(now.Sub(b.composed).Milliseconds())
	if b.beat.Servers != nil {
		b.beat.Servers.AgeMs = b.age + passed
	}
	if b.beat.Changes != nil {
		b.beat.Changes.AgeMs = b.changesAge + passed
	}
	b.data, b.encoded = b.p.encode(b.beat), now
	return b.data
}

// encode returns the datagram of a beat, or nil when it cannot be sent.
func (p *peers) encode(beat *pb.PeerBeat) []byte {
	data, err := proto.Marshal(beat)
	if err != nil || len(data) > maxBeat {
		p.log.WithError(err).WithField("bytes", len(data)).Error("beat cannot be sent")
		return nil
	}
	return data
}

// pace sends datagrams no faster than the slowest links carry them.
func (p *peers) pace(ctx context.Context, addrs []string, datagram func(addr string) []byte) {
	sent := 0
	for _, addr := range addrs {
		data := datagram(addr)
		if sent > 0 && sent+len(data) > paceBytes {
			if !clock.Sleep(ctx, pacePause) {
				return
			}
			sent, data = 0, datagram(addr) // its ages have grown
		}
		if data == nil {
			continue // it has been logged
		}
		sent += len(data)
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			p.log.WithError(err).WithField("addr", addr).Debug("address of a node cannot be read")
			continue
		}
		p.write(data, to)
	}
}

// reporters returns the addresses of the nodes that report usage or may do so next.
func (p *peers) reporters(now time.Time) map[string]bool {
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
	within := p.aliveWithin()
	var out []string
	for name, n := range p.nodes {
		heard := n.heardAt
		if heard.IsZero() {
			heard = n.since
		}
		silent := now.Sub(heard)
		if silent > forgetNode && n.rowVersion == 0 {
			delete(p.nodes, name)
			continue
		}
		if (n.beat != nil && silent < within) || now.Sub(n.sentAt) > quietProbe {
			n.sentAt = now
			out = append(out, n.addr)
		}
	}
	return out
}
