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
	// linkDelay is the time of a message between nodes, linkJitter what is added at most. Distinct delays keep two
	// messages from arriving at the same instant, whose order would be left to the scheduler.
	linkDelay  = time.Millisecond
	linkJitter = 200 * time.Microsecond
	// lossDelay is how much later a lost message arrives: QUIC repeats it.
	lossDelay = 30 * time.Millisecond
)

var errNoAnswer = errors.New("test: no answer")

// mesh carries messages between nodes in memory. Loss and delay are hashes of the seed, the link and the number of the
// message on it, so that they do not depend on the scheduler.
type mesh struct {
	seed uint64

	mu    sync.Mutex
	ends  map[string]*endpoint // by address
	cut   map[string]bool      // node names whose messages neither leave nor arrive
	links map[string]uint64    // messages so far by link
	loss  uint64               // percent
}

func newMesh(seed uint64) *mesh {
	return &mesh{seed: seed, ends: map[string]*endpoint{}, cut: map[string]bool{}, links: map[string]uint64{}}
}

// setCut cuts a node off from all others or connects it again; its links to the platform and to servers stay.
func (m *mesh) setCut(name string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[name] = cut
}

func (m *mesh) setLoss(percent uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loss = percent
}

// carry calls deliver when a message arrives, or never when the link is cut.
func (m *mesh) carry(from, to string, deliver func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	link := from + ">" + to
	m.links[link]++
	draw := xxhash.Sum64String(fmt.Sprintf("%d/%s/%d", m.seed, link, m.links[link]))
	if m.cut[from] || m.cut[to] {
		return
	}
	delay := linkDelay + time.Duration(draw%uint64(linkJitter))
	if draw>>32%100 < m.loss {
		delay += lossDelay
	}
	time.AfterFunc(delay, deliver)
}

func (m *mesh) at(addr string) *endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends[addr]
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
	m.ends[s.NodeAddr] = e
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
	if e.mesh.ends[e.addr] == e {
		delete(e.mesh.ends, e.addr)
	}
	return nil
}

func (e *endpoint) stamp(env *pb.Envelope) *pb.Envelope {
	copied := proto.Clone(env).(*pb.Envelope)
	copied.Protocol, copied.From, copied.Region = transport.ProtocolVersion, e.name, e.region
	return copied
}

// Send implements node.Transport.
func (e *endpoint) Send(addr string, env *pb.Envelope) {
	target := e.mesh.at(addr)
	if target == nil || e.process.isDead() {
		return
	}
	message := e.stamp(env)
	e.mesh.carry(e.name, target.name, func() {
		if e.process.pass() == nil {
			_, _ = target.handle(message)
		}
	})
}

// Request implements node.Transport. Without an answer it waits for its deadline, as QUIC does for a silent peer.
func (e *endpoint) Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, transport.DefaultTimeout)
		defer cancel()
	}
	if err := e.process.pass(); err != nil {
		return nil, err
	}
	answer := make(chan *pb.Envelope, 1)
	if target := e.mesh.at(addr); target != nil {
		message := e.stamp(env)
		e.mesh.carry(e.name, target.name, func() {
			if reply, ok := target.handle(message); ok {
				e.mesh.carry(target.name, e.name, func() { answer <- reply })
			}
		})
	}
	select {
	case reply := <-answer:
		if err := e.process.pass(); err != nil {
			return nil, err
		}
		if ack := reply.GetAck(); ack.GetCode() != 0 {
			return nil, &code.Error{Code: code.Code(ack.Code), Ran: code.RanUnknown, Message: ack.Message}
		}
		return reply, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w from %s: %w", errNoAnswer, addr, ctx.Err())
	}
}

// handle calls the node's handler and turns its error into an Ack. It returns false when the process died meanwhile.
func (e *endpoint) handle(message *pb.Envelope) (*pb.Envelope, bool) {
	h := e.handler.Load()
	if h == nil || e.process.pass() != nil || e.ctx.Err() != nil {
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
	return e.stamp(reply), e.process.pass() == nil
}
