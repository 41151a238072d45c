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
	// minHeartbeatInterval is the heartbeat interval of a node in a small deployment.
	minHeartbeatInterval = 150 * time.Millisecond
	// heartbeatIntervalPerNode makes the interval proportional to the number of nodes in a large deployment, which
	// limits the datagrams that a node sends per second.
	heartbeatIntervalPerNode = 8 * time.Millisecond
	// aliveIntervals is how many heartbeat intervals a node may be unresponsive before it is considered dead;
	// minAliveTimeout is the minimum time.
	aliveIntervals  = 5
	minAliveTimeout = time.Second
	// maxDatagram is the maximum size of a heartbeat datagram, below the 64 KiB limit of UDP.
	maxDatagram = 60 << 10
	// receiveBufferSize is the receive buffer size of the UDP socket.
	receiveBufferSize = 256 << 10
)

// peerNode is what this node knows of another node.
type peerNode struct {
	addr          string // for datagrams
	lastHeartbeat *pb.PeerBeat
	receivedAt    time.Time
	sentAt        time.Time
	// rowVersion is the version of its row in the store; 0 without a row.
	rowVersion uint64
	addedAt    time.Time
}

// peers tracks the other nodes and exchanges heartbeats with them.
type peers struct {
	self  string
	addr  string
	store Store
	log   *logrus.Entry
	conn  *net.UDPConn
	// write sends one datagram.
	write func(data []byte, to netip.AddrPort)
	// compose builds this node's heartbeat. received is called with each heartbeat of another node, discovered when a node
	// has appeared, returned or restarted, restarted when a node is found to have restarted, with the start time of its
	// previous incarnation.
	compose func(now time.Time) *pb.PeerBeat
	// composeUrgent builds the part of the heartbeat that cannot wait for the next regular one.
	composeUrgent func(now time.Time) *pb.PeerBeat
	// usageWindows builds the part that is sent to usage receivers only.
	usageWindows func(now time.Time) []*pb.UsageWindow
	received     func(heartbeat *pb.PeerBeat, now time.Time)
	discovered   func(now time.Time)
	restarted    func(node string, started int64)
	started      int64

	mu            sync.Mutex
	nodes         map[string]*peerNode // by name; seeds by address until their name is known
	ownRowVersion uint64
	// urgent requests an urgent heartbeat before the interval ends.
	urgent chan struct{}
	// sendingUrgent is set while an urgent heartbeat is sent. Regular ones wait, so that both together stay within the
	// bandwidth of the link.
	sendingUrgent atomic.Bool
	// readers selects the nodes that read the store.
	readers      *readerSelection
	maxNodesSeen int // maximum number of nodes seen alive at the same time, including this one
}

// listen opens the UDP socket.
func (p *peers) listen() error {
	addr, err := netip.ParseAddrPort(p.addr)
	if err != nil {
		return err
	}
	if p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err != nil {
		return err
	}
	p.write = func(data []byte, to netip.AddrPort) {
		// A failed send is treated like a lost datagram: the next heartbeat replaces it.
		_, _ = p.conn.WriteToUDPAddrPort(data, to)
	}
	// The default buffer size remains if the system refuses a larger one.
	if err := p.conn.SetReadBuffer(receiveBufferSize); err != nil {
		p.log.WithError(err).Debug("enlarging receive buffer failed")
	}
	return nil
}

// addSeeds adds addresses of nodes whose names are not known yet.
func (p *peers) addSeeds(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{p.addr: true}
	for _, n := range p.nodes {
		known[n.addr] = true
	}
	for _, addr := range addrs {
		if !known[addr] {
			p.nodes[addr] = &peerNode{addr: addr, addedAt: time.Now()}
			p.log.WithField("addr", addr).Info("seed node added from settings")
		}
	}
}

// aliveTimeout is how long a node may be unresponsive before it is considered dead. The caller holds mu.
func (p *peers) aliveTimeout() time.Duration {
	return max(minAliveTimeout, aliveIntervals*p.heartbeatIntervalLocked())
}

// heartbeatInterval is the mean time between two heartbeats.
func (p *peers) heartbeatInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heartbeatIntervalLocked()
}

// deploymentSize returns the maximum number of nodes seen alive at the same time, including this one.
func (p *peers) deploymentSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxNodesSeen
}

// knownNodes returns the number of nodes that have a row in the store or have sent a heartbeat lately, including this one.
func (p *peers) knownNodes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.nodes) + 1
}

// heartbeatIntervalLocked is heartbeatInterval for callers that hold mu.
func (p *peers) heartbeatIntervalLocked() time.Duration {
	return max(minHeartbeatInterval, time.Duration(p.maxNodesSeen)*heartbeatIntervalPerNode)
}

// alive returns the last heartbeats of the other nodes that are alive, sorted by node name.
func (p *peers) alive(now time.Time) []*pb.PeerBeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := p.aliveTimeout()
	var out []*pb.PeerBeat
	for _, n := range p.nodes {
		if n.lastHeartbeat != nil && now.Sub(n.receivedAt) < timeout {
			out = append(out, n.lastHeartbeat)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	p.maxNodesSeen = max(p.maxNodesSeen, len(out)+1)
	return out
}

// dutyHolderAlive reports whether a heartbeat of the duty holder has arrived recently.
func (p *peers) dutyHolderAlive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := max(dutyHolderTimeout, 3*p.heartbeatIntervalLocked())
	for _, n := range p.nodes {
		if n.lastHeartbeat != nil && n.lastHeartbeat.HoldsDuties && !n.lastHeartbeat.Leaving && now.Sub(n.receivedAt) < timeout {
			return true
		}
	}
	return false
}

// nodeRank is this node's rank by name among the live nodes that are not leaving.
func (p *peers) nodeRank() int {
	return p.countAlive(func(b *pb.PeerBeat) bool { return b.Node < p.self })
}

// readerRank is this node's rank as a store reader: nodes that can reach the store come first, in the order of their
// names.
func (p *peers) readerRank() int {
	lost := p.readers.lost.Load() > 0
	return p.countAlive(func(b *pb.PeerBeat) bool { return !b.StoreLost && (lost || b.Node < p.self) })
}

func (p *peers) countAlive(matches func(*pb.PeerBeat) bool) int {
	count := 0
	for _, b := range p.alive(time.Now()) {
		if !b.Leaving && matches(b) {
			count++
		}
	}
	return count
}

func (p *peers) receiveLoop() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				p.log.WithError(err).Error("receiving datagrams failed")
			}
			return
		}
		heartbeat := &pb.PeerBeat{}
		if err := proto.Unmarshal(buffer[:n], heartbeat); err != nil || heartbeat.Node == "" {
			p.log.WithError(err).WithField("from", from).Warning("decoding datagram failed")
			continue
		}
		p.handleHeartbeat(heartbeat, time.Now())
	}
}

// handleHeartbeat records a heartbeat and calls received with it, unless it is from an earlier incarnation of its node
// or is an urgent one that arrives before the first full one of its incarnation.
func (p *peers) handleHeartbeat(heartbeat *pb.PeerBeat, now time.Time) {
	if heartbeat.Node == p.self {
		return
	}
	p.mu.Lock()
	n := p.nodes[heartbeat.Node]
	if n == nil {
		n = &peerNode{addedAt: now}
		p.nodes[heartbeat.Node] = n
	}
	previous := n.lastHeartbeat
	if heartbeat.NewsOnly && (previous == nil || previous.Started != heartbeat.Started) {
		p.mu.Unlock()
		return // the full heartbeat follows soon
	}
	// Heartbeats of the previous incarnation may still arrive for a short time. After that, an earlier start time means
	// that the node's clock was set back.
	if previous != nil && heartbeat.Started < previous.Started && now.Sub(n.receivedAt) < p.aliveTimeout() {
		p.mu.Unlock()
		return
	}
	appeared := previous == nil || now.Sub(n.receivedAt) > p.aliveTimeout() || previous.Started != heartbeat.Started
	n.receivedAt, n.addr = now, heartbeat.PeerAddr
	if !heartbeat.NewsOnly {
		n.lastHeartbeat = heartbeat
	}
	for name, seed := range p.nodes {
		if seed.lastHeartbeat == nil && seed.addr == heartbeat.PeerAddr && name != heartbeat.Node {
			n.rowVersion = max(n.rowVersion, seed.rowVersion)
			delete(p.nodes, name)
		}
	}
	p.mu.Unlock()
	if previous != nil && previous.Started != heartbeat.Started {
		p.restarted(heartbeat.Node, previous.Started)
	}
	if appeared {
		p.log.WithFields(logrus.Fields{"peer": heartbeat.Node, "started": heartbeat.Started}).Info(logline.NodeDiscovered)
		p.discovered(now)
	}
	p.received(heartbeat, now)
}

// incarnation identifies one incarnation of a node, that is one run of its process, so that counters of a restarted
// node are not mixed with the earlier ones.
func incarnation(id string, start int64) string { return id + "@" + strconv.FormatInt(start, 10) }

// nameHash is the hash that identifies a server or workspace in heartbeats.
func nameHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}
