package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
)

const (
	// silenceTimeout bounds how long a connection may receive no packet after a message was sent on it. QUIC
	// acknowledges within 25 ms and retransmits lost packets several times within this time.
	silenceTimeout = time.Second
	// maxConnectionAge forces a new handshake for long-lived connections, so that the removal of an authority also takes
	// effect on them.
	maxConnectionAge = 10 * time.Minute
	// retireDelay is how long requests in progress may continue on a connection that has been taken out of use.
	retireDelay = 10 * time.Second
	// maxPending bounds the messages of Send that wait for a handshake with one peer.
	maxPending = 32
	// sendTimeout bounds how long Send may block in QUIC's send queue.
	sendTimeout = 20 * time.Millisecond
	// maxOutgoing bounds the number of peers that have a connection or a dial in progress.
	maxOutgoing = 1024
)

// connection is one outgoing connection with its own socket.
type connection struct {
	quic      *quic.Conn
	socket    *net.UDPConn
	transport *quic.Transport
	openedAt  time.Time

	mu sync.Mutex
	// unansweredSince is the time of the oldest send after which no packet has been received, and receivedBefore the
	// number of packets that had been received by then.
	receivedBefore      uint64
	awaitingPacketSince time.Time
}

// peer is the state of one address: at most one connection in use and at most one dial in progress.
type peer struct {
	addr    string
	conn    *connection
	dialing *dial    // nil if no dial is in progress
	pending [][]byte // encoded messages of Send
	kinds   []string // kind of each pending message
}

// dial is an attempt to open a connection. Once done is closed, either conn or err is set.
type dial struct {
	done chan struct{}
	conn *connection // may have ended since
	err  error
}

// recordSend records a send and reports whether the connection is silent: no packet has been received for longer than
// silenceTimeout since an earlier send.
func (c *connection) recordSend(now time.Time) (silent bool) {
	n := c.quic.ConnectionStats().PacketsReceived
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingPacketSince.IsZero() || n != c.receivedBefore {
		c.receivedBefore, c.awaitingPacketSince = n, now
		return false
	}
	return now.Sub(c.awaitingPacketSince) > silenceTimeout
}

func (c *connection) alive() bool { return c.quic.Context().Err() == nil }

func (c *connection) close(why quic.ApplicationErrorCode, text string) {
	_ = c.quic.CloseWithError(why, text)
}

// Request sends env to the node at addr and returns its reply. An Ack with a code is returned as a *code.Error. Without
// a deadline in ctx, the request times out after DefaultTimeout. A request that fails is not retried, because the peer
// may have handled it.
func (t *Transport) Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	data, err := encode(t.withSender(env), t.opts.MaxMessage)
	if err != nil {
		return nil, err
	}
	c, err := t.connect(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("transport: connect to %s: %w", addr, err)
	}
	before := c.quic.ConnectionStats().PacketsReceived
	reply, err := t.exchange(ctx, c, Kind(env), data)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.replace(addr, c, c.quic.ConnectionStats().PacketsReceived == before)
		}
		return nil, fmt.Errorf("transport: request to %s: %w", addr, err)
	}
	return errorFromAck(reply)
}

// errorFromAck converts an Ack with a code to an error and returns any other envelope unchanged.
func errorFromAck(env *pb.Envelope) (*pb.Envelope, error) {
	if ack := env.GetAck(); ack.GetCode() != 0 {
		return nil, &code.Error{Code: code.Code(ack.Code), Ran: code.RanUnknown, Message: ack.Message}
	}
	return env, nil
}

// exchange sends one request on its own stream and reads the reply.
func (t *Transport) exchange(ctx context.Context, c *connection, kind string, data []byte) (*pb.Envelope, error) {
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	// Unblock a read or write when the context ends.
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamFailed)
		stream.CancelWrite(streamFailed)
	})
	defer stop()
	if _, err := stream.Write(data); err != nil {
		return nil, contextError(ctx, err)
	}
	t.counts.addSent(kind, len(data))
	if err := stream.Close(); err != nil {
		return nil, contextError(ctx, err)
	}
	reply, n, err := decode(stream, t.opts.MaxMessage)
	if err == nil {
		err = verifySender(c.quic.ConnectionState().TLS, reply.From)
	}
	if err != nil {
		stream.CancelRead(streamFailed)
		return nil, contextError(ctx, err)
	}
	t.counts.addReceived(Kind(reply), n)
	return reply, nil
}

// contextError returns the error of ctx if it has ended, and otherwise err: a stream that is cancelled because of its
// context returns an error that hides the reason.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Send sends env as a one-way message. It does not wait for a handshake: while the connection is dialled, messages are
// queued, and they are dropped if the queue is full or the dial fails.
func (t *Transport) Send(addr string, env *pb.Envelope) {
	data, err := encode(t.withSender(env), maxOneWayMessage)
	if err != nil {
		t.log.WithError(err).Error("encoding a message failed")
		t.countDropped(1)
		return
	}
	kind := Kind(env)
	c := t.usableConnection(addr)
	if c == nil {
		t.enqueue(addr, kind, data)
		return
	}
	t.write(c, kind, data)
}

func (t *Transport) countDropped(n int) {
	t.counts.update(func(s *Stats) { s.Dropped += uint64(n) })
}

// write sends one message on a unidirectional stream.
func (t *Transport) write(c *connection, kind string, data []byte) {
	stream, err := c.quic.OpenUniStream()
	if err != nil {
		t.countDropped(1)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(streamFailed)
		t.countDropped(1)
		return
	}
	_ = stream.Close()
	t.counts.addSent(kind, len(data))
}

// usableConnection returns the connection to addr, or nil if there is none that can be used now. It takes a connection
// out of use that has ended, has been silent for too long or is older than maxConnectionAge.
func (t *Transport) usableConnection(addr string) *connection {
	t.mu.Lock()
	p := t.peers[addr]
	var c *connection
	if p != nil {
		c = p.conn
	}
	t.mu.Unlock()
	if c == nil {
		return nil
	}
	now := time.Now()
	switch {
	case !c.alive():
		t.removeConnection(addr, c)
		return nil
	case c.recordSend(now):
		t.replace(addr, c, true)
		return nil
	case now.Sub(c.openedAt) > maxConnectionAge:
		t.retire(addr, c)
		return nil
	}
	return c
}

// connect returns the connection to addr. If there is none, it dials and waits for the result.
func (t *Transport) connect(ctx context.Context, addr string) (*connection, error) {
	if c := t.usableConnection(addr); c != nil {
		return c, nil
	}
	t.mu.Lock()
	p, err := t.dialLocked(addr)
	if err != nil {
		t.mu.Unlock()
		return nil, err
	}
	if p.conn != nil {
		defer t.mu.Unlock()
		return p.conn, nil
	}
	d := p.dialing
	t.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// enqueue queues a message until the dial ends.
func (t *Transport) enqueue(addr, kind string, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, err := t.dialLocked(addr)
	if err != nil || len(p.pending) >= maxPending {
		t.countDropped(1)
		return
	}
	p.pending = append(p.pending, data)
	p.kinds = append(p.kinds, kind)
	if p.conn != nil {
		t.flushLocked(p)
	}
}

// dialLocked returns the peer and starts a dial if it has neither a connection nor a dial in progress. The caller holds
// t.mu.
func (t *Transport) dialLocked(addr string) (*peer, error) {
	if t.closed {
		return nil, ErrClosed
	}
	p := t.peers[addr]
	if p == nil {
		if len(t.peers) >= maxOutgoing {
			return nil, errors.New("transport: too many outgoing connections")
		}
		p = &peer{addr: addr}
		t.peers[addr] = p
	}
	if p.conn == nil && p.dialing == nil {
		p.dialing = &dial{done: make(chan struct{})}
		t.running.Add(1)
		go t.dial(p)
	}
	return p, nil
}

// dial opens a connection from a new source port and sends the queued messages.
func (t *Transport) dial(p *peer) {
	defer t.running.Done()
	t.counts.update(func(s *Stats) { s.Dials++ })
	c, err := t.handshake(p.addr)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil && t.closed {
		c.close(closeNormal, "node is closing")
		c, err = nil, ErrClosed
	}
	d := p.dialing
	d.conn, d.err = c, err
	close(d.done)
	p.conn, p.dialing = c, nil
	if c == nil {
		t.countDropped(len(p.pending))
		delete(t.peers, p.addr)
		return
	}
	t.flushLocked(p)
}

// flushLocked sends the queued messages in a new goroutine, so that t.mu, which the caller holds, is not held during
// I/O.
func (t *Transport) flushLocked(p *peer) {
	c, pending, kinds := p.conn, p.pending, p.kinds
	p.pending, p.kinds = nil, nil
	if len(pending) == 0 {
		return
	}
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		for i, data := range pending {
			c.recordSend(time.Now())
			t.write(c, kinds[i], data)
		}
	}()
}

// handshake opens a connection on its own socket. The socket is closed when the connection ends.
func (t *Transport) handshake(addr string) (*connection, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	local := &net.UDPAddr{IP: t.socket.LocalAddr().(*net.UDPAddr).IP}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	qc, err := transport.Dial(ctx, remote, t.opts.Credentials.tlsConfig(), quicConfig())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, err
	}
	c := &connection{quic: qc, socket: socket, transport: transport, openedAt: time.Now()}
	t.mu.Lock()
	t.open[c] = struct{}{}
	t.mu.Unlock()
	t.running.Add(1)
	go t.release(addr, c)
	return c, nil
}

// release waits until a connection has ended and frees its resources.
func (t *Transport) release(addr string, c *connection) {
	defer t.running.Done()
	<-c.quic.Context().Done()
	t.removeConnection(addr, c)
	t.mu.Lock()
	delete(t.open, c)
	t.mu.Unlock()
	t.counts.addWire(c.quic.ConnectionStats())
	_ = c.transport.Close()
	_ = c.socket.Close()
}

// removeConnection takes a connection out of use, so that the next message dials. It reports whether the connection was
// in use.
func (t *Transport) removeConnection(addr string, c *connection) (removed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[addr]
	if p == nil || p.conn != c {
		return false
	}
	p.conn = nil
	if p.dialing == nil {
		delete(t.peers, addr)
	}
	return true
}

// replace takes a connection out of use after a timeout or a silence. A silent one is closed at once. One on which
// packets still arrive has a slow handler at the other end, and its requests in progress may finish.
func (t *Transport) replace(addr string, c *connection, silent bool) {
	if !t.retire(addr, c) {
		return
	}
	t.counts.update(func(s *Stats) { s.Replaced++ })
	if silent {
		c.close(closeSilent, "no answer")
	}
}

// retire takes a connection out of use and closes it after retireDelay. It reports whether the connection was in use.
func (t *Transport) retire(addr string, c *connection) bool {
	if !t.removeConnection(addr, c) {
		return false
	}
	time.AfterFunc(retireDelay, func() { c.close(closeNormal, "replaced") })
	return true
}

// openConnections returns the open outgoing connections, including those that have been retired.
func (t *Transport) openConnections() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*connection, 0, len(t.open))
	for c := range t.open {
		out = append(out, c)
	}
	return out
}
