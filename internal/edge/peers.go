package edge

import (
	"errors"
	"hash/fnv"
	"net"
	"net/netip"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// beatInterval is how often a node of a small deployment tells the others its state.
	beatInterval = 150 * time.Millisecond
	// beatPerNode lengthens the interval with the number of nodes, so that a node's datagrams a second stay bounded.
	beatPerNode = 8 * time.Millisecond
	// aliveBeats is how many intervals a node may be silent until it counts as gone, at least aliveMin.
	aliveBeats = 5
	aliveMin   = time.Second
	// maxBeat bounds a datagram, below the usual limit of a path.
	maxBeat = 60 << 10
	// beatBuffer is the receive buffer of the datagram socket.
	beatBuffer = 256 << 10
)

// peerNode is another node as this one knows it.
type peerNode struct {
	addr    string // of its datagrams
	beat    *pb.PeerBeat
	heardAt time.Time
	sentAt  time.Time
	// rowVersion is the version of its row in the store; 0 without one.
	rowVersion uint64
	since      time.Time
}

// peers keeps the other nodes and exchanges beats with them.
type peers struct {
	self  string
	addr  string
	store Store
	log   *logrus.Entry
	conn  *net.UDPConn
	// write sends one datagram.
	write func(data []byte, to netip.AddrPort)
	// compose builds this node's beat; heard is called with each beat of another node; left when a node has told that
	// it stops or has started anew.
	compose func(now time.Time) *pb.PeerBeat
	// composeNews builds the part of it that cannot wait for the next beat.
	composeNews func(now time.Time) *pb.PeerBeat
	// usage is what only the nodes are told that may report usage.
	usage   func(now time.Time) []*pb.UsageWindow
	heard   func(beat *pb.PeerBeat, now time.Time)
	left    func(node string, started int64)
	started int64

	mu     sync.Mutex
	nodes  map[string]*peerNode // by name; seeds by address until their name is known
	ownRow uint64
	// news asks for a beat before the interval ends.
	news chan struct{}
	// telling is set while news are sent; beats wait, so that both together keep to the speed of the link.
	telling atomic.Bool
	// turn decides when this node reads the nodes' rows.
	turn    *storeTurn
	largest int // most nodes seen alive together, this one included
}

// listen opens the datagram socket.
func (p *peers) listen() error {
	addr, err := netip.ParseAddrPort(p.addr)
	if err != nil {
		return err
	}
	if p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err != nil {
		return err
	}
	p.write = func(data []byte, to netip.AddrPort) {
		// A datagram that is lost is followed by the next one; a send that fails is no different.
		_, _ = p.conn.WriteToUDPAddrPort(data, to)
	}
	// The default buffer is kept when the system refuses a larger one.
	if err := p.conn.SetReadBuffer(beatBuffer); err != nil {
		p.log.WithError(err).Debug("receive buffer not enlarged")
	}
	return nil
}

// seed adds addresses of nodes whose names are not known.
func (p *peers) seed(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{p.addr: true}
	for _, n := range p.nodes {
		known[n.addr] = true
	}
	for _, addr := range addrs {
		if !known[addr] {
			p.nodes[addr] = &peerNode{addr: addr, since: time.Now()}
			p.log.WithField("addr", addr).Info("node named by the settings")
		}
	}
}

// aliveWithin is how long a node may be silent until it counts as gone. The lock is held.
func (p *peers) aliveWithin() time.Duration {
	return max(aliveMin, aliveBeats*p.interval())
}

// beatInterval is the time between two beats.
func (p *peers) beatInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interval()
}

// size is the most nodes seen alive together, this one included.
func (p *peers) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.largest
}

// interval is beatInterval with the lock held.
func (p *peers) interval() time.Duration {
	return max(beatInterval, time.Duration(p.largest)*beatPerNode)
}

// alive returns the beats of the nodes heard of lately, in the order of their names, this node left out.
func (p *peers) alive(now time.Time) []*pb.PeerBeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	within := p.aliveWithin()
	var out []*pb.PeerBeat
	for _, n := range p.nodes {
		if n.beat != nil && now.Sub(n.heardAt) < within {
			out = append(out, n.beat)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	p.largest = max(p.largest, len(out)+1)
	return out
}

// holderHeard reports whether the holder of the duties was heard of lately.
func (p *peers) holderHeard(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	within := max(dutySilence, 3*p.interval())
	for _, n := range p.nodes {
		if n.beat != nil && n.beat.HoldsDuties && !n.beat.Leaving && now.Sub(n.heardAt) < within {
			return true
		}
	}
	return false
}

// place is this node's position in the order of names among the nodes alive that are not leaving.
func (p *peers) place() int {
	return p.before(func(b *pb.PeerBeat) bool { return b.Node < p.self })
}

// position is this node's place among those that have the store. A node that has lost it comes after them.
func (p *peers) position() int {
	lost := p.turn.lost.Load() > 0
	return p.before(func(b *pb.PeerBeat) bool { return !b.StoreLost && (lost || b.Node < p.self) })
}

func (p *peers) before(earlier func(*pb.PeerBeat) bool) int {
	count := 0
	for _, b := range p.alive(time.Now()) {
		if !b.Leaving && earlier(b) {
			count++
		}
	}
	return count
}

func (p *peers) receive() {
	buffer := make([]byte, maxBeat)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				p.log.WithError(err).Error("datagrams cannot be received")
			}
			return
		}
		beat := &pb.PeerBeat{}
		if err := proto.Unmarshal(buffer[:n], beat); err != nil || beat.Node == "" {
			p.log.WithError(err).WithField("from", from).Warning("datagram cannot be read")
			continue
		}
		p.take(beat, time.Now())
	}
}

// take records a beat and passes it on, unless it is of an earlier life of its node.
func (p *peers) take(beat *pb.PeerBeat, now time.Time) {
	if beat.Node == p.self {
		return
	}
	p.mu.Lock()
	n := p.nodes[beat.Node]
	if n == nil {
		n = &peerNode{since: now}
		p.nodes[beat.Node] = n
	}
	before := n.beat
	if beat.NewsOnly && (before == nil || before.Started != beat.Started) {
		p.mu.Unlock()
		return // the whole beat comes soon
	}
	// An older life may still be in flight for a moment; later a lower start means that the node's clock was set back.
	if before != nil && beat.Started < before.Started && now.Sub(n.heardAt) < p.aliveWithin() {
		p.mu.Unlock()
		return
	}
	returned := before == nil || now.Sub(n.heardAt) > p.aliveWithin() || before.Started != beat.Started
	n.heardAt, n.addr = now, beat.PeerAddr
	if !beat.NewsOnly {
		n.beat = beat
	}
	for name, seed := range p.nodes {
		if seed.beat == nil && seed.addr == beat.PeerAddr && name != beat.Node {
			n.rowVersion = max(n.rowVersion, seed.rowVersion)
			delete(p.nodes, name)
		}
	}
	p.mu.Unlock()
	if before != nil && before.Started != beat.Started {
		p.left(beat.Node, before.Started)
	}
	if returned {
		p.log.WithFields(logrus.Fields{"peer": beat.Node, "started": beat.Started}).Info(logline.NodeDiscovered)
	}
	p.heard(beat, now)
}

// life names one life of a node, so that totals of an earlier one are not mixed with those of the next.
func life(node string, started int64) string { return node + "@" + strconv.FormatInt(started, 10) }

// nameHash names a server or a workspace in beats.
func nameHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}
