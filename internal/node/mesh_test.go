package node_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/node"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/transport"
	"github.com/pollenlug/pollenlug/pkg/code"
)

const (
	// linkDelay is the minimum delay of a message between nodes, linkJitter the maximum added to it. Distinct delays
	// keep two messages from arriving at the same instant, where the scheduler would determine their order.
	linkDelay  = time.Millisecond
	linkJitter = 200 * time.Microsecond
	// retransmitDelay is the extra delay of a lost message, which QUIC sends again.
	retransmitDelay = 30 * time.Millisecond
)

var errNoReply = errors.New("test: no reply")

// mesh is an in-memory network between nodes. Loss and delay are derived from a hash of the seed, the link and the
// message's number on the link, so that they do not depend on the scheduler.
type mesh struct {
	seed uint64

	mu           sync.Mutex
	endpoints    map[string]*endpoint // by address
	partitioned  map[string]bool      // node names whose messages neither leave nor arrive
	messageCount map[string]uint64    // by link
	lossPercent  uint64
}

func newMesh(seed uint64) *mesh {
	return &mesh{seed: seed, endpoints: map[string]*endpoint{}, partitioned: map[string]bool{}, messageCount: map[string]uint64{}}
}

// setPartitioned cuts a node off from all other nodes or reconnects it. Its links to the platform and to servers
// remain.
func (m *mesh) setPartitioned(name string, partitioned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitioned[name] = partitioned
}

func (m *mesh) setLoss(percent uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lossPercent = percent
}

// transmit calls deliver when a message arrives, which is never if either end is cut off.
func (m *mesh) transmit(from, to string, deliver func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	link := from + ">" + to
	m.messageCount[link]++
	hash := xxhash.Sum64String(fmt.Sprintf("%d/%s/%d", m.seed, link, m.messageCount[link]))
	if m.partitioned[from] || m.partitioned[to] {
		return
	}
	delay := linkDelay + time.Duration(hash%uint64(linkJitter))
	if hash>>32%100 < m.lossPercent {
		delay += retransmitDelay
	}
	time.AfterFunc(delay, deliver)
}

func (m *mesh) endpointAt(addr string) *endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoints[addr]
}

// endpoint is the transport of one node; it implements node.Transport.
type endpoint struct {
	mesh    *mesh
	name    string
	region  string
	addr    string
	process *process
	handler atomic.Pointer[transport.Handler]
	ctx     context.Context
	cancel  context.CancelFunc
}

var _ node.Transport = (*endpoint)(nil)

func (m *mesh) listen(s *pb.NodeSettings, p *process) *endpoint {
	e := &endpoint{mesh: m, name: s.Node, region: s.Region, addr: s.NodeAddr, process: p}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endpoints[s.NodeAddr] = e
	return e
}

// SetHandler implements node.Transport.
func (e *endpoint) SetHandler(h func(ctx context.Context, from string, env *pb.Envelope) (*pb.Envelope, error)) {
	handler := transport.Handler(h)
	e.handler.Store(&handler)
}

// Close implements node.Transport.
func (e *endpoint) Close() error {
	e.cancel()
	e.mesh.mu.Lock()
	defer e.mesh.mu.Unlock()
	if e.mesh.endpoints[e.addr] == e {
		delete(e.mesh.endpoints, e.addr)
	}
	return nil
}

func (e *endpoint) withSender(env *pb.Envelope) *pb.Envelope {
	copied := proto.Clone(env).(*pb.Envelope)
	copied.Protocol, copied.From, copied.Region = transport.ProtocolVersion, e.name, e.region
	return copied
}

// Send implements node.Transport.
func (e *endpoint) Send(addr string, env *pb.Envelope) {
	target := e.mesh.endpointAt(addr)
	if target == nil || e.process.isDead() {
		return
	}
	message := e.withSender(env)
	e.mesh.transmit(e.name, target.name, func() {
		if e.process.awaitRunning() == nil {
			_, _ = target.handle(message)
		}
	})
}

// Request implements node.Transport. If there is no reply, it waits until its deadline, as QUIC does for a silent peer.
func (e *endpoint) Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, transport.DefaultTimeout)
		defer cancel()
	}
	if err := e.process.awaitRunning(); err != nil {
		return nil, err
	}
	replies := make(chan *pb.Envelope, 1)
	if target := e.mesh.endpointAt(addr); target != nil {
		message := e.withSender(env)
		e.mesh.transmit(e.name, target.name, func() {
			if reply, ok := target.handle(message); ok {
				e.mesh.transmit(target.name, e.name, func() { replies <- reply })
			}
		})
	}
	select {
	case reply := <-replies:
		if err := e.process.awaitRunning(); err != nil {
			return nil, err
		}
		if ack := reply.GetAck(); ack.GetCode() != 0 {
			return nil, &code.Error{Code: code.Code(ack.Code), Ran: code.RanUnknown, Message: ack.Message}
		}
		return reply, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w from %s: %w", errNoReply, addr, ctx.Err())
	}
}

// handle calls the node's handler and turns its error into an Ack. It returns false if there is no handler, the
// endpoint is closed or the process is dead.
func (e *endpoint) handle(message *pb.Envelope) (*pb.Envelope, bool) {
	h := e.handler.Load()
	if h == nil || e.process.awaitRunning() != nil || e.ctx.Err() != nil {
		return nil, false
	}
	reply, err := (*h)(e.ctx, message.From, message)
	if err != nil {
		refusal := code.From(err)
		reply = &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{Code: uint32(refusal.Code), Message: refusal.Message}}}
	}
	if reply == nil || reply.Body == nil {
		reply = &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{}}}
	}
	return e.withSender(reply), e.process.awaitRunning() == nil
}
