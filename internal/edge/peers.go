package edge

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// beatInterval is how often a node of a small deployment tells the others its state.
	beatInterval = 150 * time.Millisecond
	// beatPerNode lengthens the interval with the number of nodes, so that a node's datagrams a second stay bounded.
	beatPerNode = 8 * time.Millisecond
	// beatJitter is the part of the interval by which it varies either way. Nodes that start together would otherwise send
	// together for good, and a node's receive buffer holds fewer datagrams than a large deployment sends at once.
	beatJitter = 3
	// aliveBeats is how many intervals a node may be silent until it counts as gone, at least aliveMin.
	aliveBeats = 5
	aliveMin   = time.Second
	// quietProbe is how often a node is sent a beat that has not answered for a while.
	quietProbe = time.Second
	// forgetNode is how long a silent node is kept that has no row.
	forgetNode = 30 * time.Second
	// maxBeat bounds a datagram, below the usual limit of a path.
	maxBeat = 60 << 10
	// nodeTable is the table by which nodes find each other.
	nodeTable = "nodes"
	// staleRow is how long a node must be silent before the holder of the duties removes its row.
	staleRow = 20 * time.Second
	// paceBytes are sent at once, then the node waits for pacePause: a link that is full drops datagrams, and the slowest
	// links carry 10 Mbit/s. A node of a large deployment would otherwise lose half of what it sends under load.
	paceBytes = 6 << 10
	pacePause = 10 * time.Millisecond
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
	data := p.encode(beat)
	beat.Usage = p.usage(now)
	full := p.encode(beat)
	reporters := p.reporters(now)
	p.pace(ctx, p.targets(now), func(addr string) []byte {
		if reporters[addr] && full != nil {
			return full
		}
		return data
	})
}

// sendNews sends the part of the beat that decisions of others wait for.
func (p *peers) sendNews(ctx context.Context) {
	now := time.Now()
	beat := p.compose(now)
	beat.NewsOnly = true
	beat.Loads, beat.Uses, beat.Crashes, beat.Demand = nil, nil, nil, nil
	data := p.encode(beat)
	p.pace(ctx, p.targets(now), func(string) []byte { return data })
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
		if sent += len(data); sent > paceBytes {
			sent = len(data)
			if !clock.Sleep(ctx, pacePause) {
				return
			}
		}
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
		p.log.WithFields(logrus.Fields{"peer": beat.Node, "started": beat.Started}).Info(logline.NodeHeard)
	}
	p.heard(beat, now)
}

// register writes this node's row and reads those of the others; while it is this node's turn, it waits for changes.
// Nodes that are not told of a new one by the store hear of it, because it reads their rows.
func (p *peers) register(ctx context.Context) {
	link := dependency{log: p.log, name: "store nodes", lost: p.turn.lost}
	p.turn.follow(ctx, &link, p.followRows)
}

func (p *peers) followRows(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	if since == 0 {
		if err := p.writeRow(ctx); err != nil {
			return 0, err
		}
		rows, version, err := p.store.Snapshot(ctx, nodeTable)
		if err != nil {
			return 0, err
		}
		for _, row := range rows {
			p.takeRow(row)
		}
		return version, nil
	}
	changes, version, err := p.store.Changes(ctx, nodeTable, since, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		return 0, nil
	}
	if err != nil {
		return since, err
	}
	for _, c := range changes {
		if !c.Deleted {
			p.takeRow(c.Row)
			continue
		}
		if c.Key == p.self {
			// Another node took this one for gone.
			if err := p.writeRow(ctx); err != nil {
				return since, err
			}
			continue
		}
		p.dropRow(c.Key)
	}
	return max(version, since), nil
}

func (p *peers) writeRow(ctx context.Context) error {
	value, err := proto.Marshal(&pb.NodeRow{Node: p.self, PeerAddr: p.addr, Started: p.started})
	if err != nil {
		return err
	}
	versions, err := p.store.Commit(ctx, []platform.Mutation{{Table: nodeTable, Key: p.self, Value: value}})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.ownRow = versions[0]
	p.mu.Unlock()
	return nil
}

func (p *peers) takeRow(row platform.Row) {
	if row.Key == p.self {
		return
	}
	node := &pb.NodeRow{}
	if err := proto.Unmarshal(row.Value, node); err != nil || node.Node != row.Key {
		p.log.WithError(err).WithField("key", row.Key).Warning("row of a node cannot be read")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[row.Key]
	if n == nil {
		n = &peerNode{since: time.Now()}
		p.nodes[row.Key] = n
	}
	if n.beat == nil || node.Started > n.beat.Started {
		n.addr = node.PeerAddr
	}
	n.rowVersion = row.Version
}

func (p *peers) dropRow(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[key]; n != nil {
		n.rowVersion = 0
	}
}

// staleRows returns the rows of nodes that have been silent for long, for the holder of the duties.
func (p *peers) staleRows(now time.Time) []platform.Mutation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []platform.Mutation
	for name, n := range p.nodes {
		heard := n.heardAt
		if heard.IsZero() {
			heard = n.since
		}
		if n.rowVersion != 0 && now.Sub(heard) > staleRow {
			out = append(out, platform.Mutation{Table: nodeTable, Key: name, Delete: true,
				If: platform.Condition{Kind: platform.VersionIs, Version: n.rowVersion}})
		}
	}
	return out
}

// unregister removes this node's row.
func (p *peers) unregister(ctx context.Context) {
	p.mu.Lock()
	version := p.ownRow
	p.mu.Unlock()
	if version == 0 {
		return
	}
	condition := platform.Condition{Kind: platform.VersionIs, Version: version}
	if _, err := p.store.Commit(ctx, []platform.Mutation{{Table: nodeTable, Key: p.self, Delete: true, If: condition}}); err != nil {
		p.log.WithError(err).Warning("own row not removed; the holder of the duties removes it later")
	}
}

// life names one life of a node, so that totals of an earlier one are not mixed with those of the next.
func life(node string, started int64) string { return node + "@" + strconv.FormatInt(started, 10) }

// nameHash names a server or a workspace in beats.
func nameHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}
