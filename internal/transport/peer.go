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
	// silenceBound is how long a connection may return nothing after a packet was sent on it. QUIC acknowledges
	// within 25 ms and repeats lost packets several times within this time.
	silenceBound = time.Second
	// maxConnectionAge makes long-lived connections repeat the handshake, so that a withdrawn authority takes
	// effect on them as well.
	maxConnectionAge = 10 * time.Minute
	// retireTime lets requests in progress finish on a connection that has been replaced.
	retireTime = 10 * time.Second
	// maxPending bounds the messages of Send that wait for a handshake, per peer.
	maxPending = 32
	// sendTimeout bounds how long Send may block in QUIC's send queue.
	sendTimeout = 20 * time.Millisecond
	// maxOutgoing bounds the peers with a connection or a dial in progress.
	maxOutgoing = 1024
)

// connection is one outgoing connection with its own socket.
type connection struct {
	quic   *quic.Conn
	socket *net.UDPConn
	trans  *quic.Transport
	opened time.Time

	mu sync.Mutex
	// received is the number of packets received when the oldest unanswered send began, at since.
	received uint64
	since    time.Time
}

// peer is the state of one address: at most one connection in use and one dial in progress.
type peer struct {
	addr    string
	conn    *connection
	dialing chan struct{} // closed when the dial in progress ends; nil without one
	dialErr error
	pending [][]byte // encoded messages of Send
	kinds   []string // kind of each pending message
}

// noteSend records a send and reports whether the connection has been silent for too long before it.
func (c *connection) noteSend(now time.Time) (silent bool) {
	n := c.quic.ConnectionStats().PacketsReceived
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() || n != c.received {
		c.received, c.since = n, now
		return false
	}
	return now.Sub(c.since) > silenceBound
}

func (c *connection) alive() bool { return c.quic.Context().Err() == nil }

func (c *connection) close(why quic.ApplicationErrorCode, text string) {
	_ = c.quic.CloseWithError(why, text)
}

// Request sends env to the node at addr and returns its answer. An Ack with a code is returned as *code.Error.
// A request that fails is not repeated, because it may have been handled.
func (t *Transport) Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	data, err := encode(t.stamp(env), t.opts.MaxMessage)
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
	return ackError(reply)
}

// ackError returns an Ack with a code as an error.
func ackError(env *pb.Envelope) (*pb.Envelope, error) {
	if ack := env.GetAck(); ack.GetCode() != 0 {
		return nil, &code.Error{Code: code.Code(ack.Code), Ran: code.RanUnknown, Message: ack.Message}
	}
	return env, nil
}

// exchange runs one request on a stream of its own.
func (t *Transport) exchange(ctx context.Context, c *connection, kind string, data []byte) (*pb.Envelope, error) {
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	// The context's end stops a blocked read or write.
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamFailed)
		stream.CancelWrite(streamFailed)
	})
	defer stop()
	if _, err := stream.Write(data); err != nil {
		return nil, causeOf(ctx, err)
	}
	t.counts.addSent(kind, len(data))
	if err := stream.Close(); err != nil {
		return nil, causeOf(ctx, err)
	}
	reply, n, err := decode(stream, t.opts.MaxMessage)
	if err == nil {
		err = checkName(c.quic.ConnectionState().TLS, reply.From)
	}
	if err != nil {
		stream.CancelRead(streamFailed)
		return nil, causeOf(ctx, err)
	}
	t.counts.addReceived(Kind(reply), n)
	return reply, nil
}

// causeOf prefers the context's error to the error of the stream that it cancelled.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Send sends env without an answer. It does not wait for a handshake: messages wait in a short queue while the
// connection is dialled and are dropped when the queue is full or the dial fails.
func (t *Transport) Send(addr string, env *pb.Envelope) {
	data, err := encode(t.stamp(env), maxOneWay)
	if err != nil {
		t.log.WithError(err).Error("message not sent")
		t.drop(1)
		return
	}
	kind := Kind(env)
	c := t.usable(addr)
	if c == nil {
		t.enqueue(addr, kind, data)
		return
	}
	t.write(c, kind, data)
}

func (t *Transport) drop(n int) {
	t.counts.update(func(s *Stats) { s.Dropped += uint64(n) })
}

// write sends one message on a unidirectional stream.
func (t *Transport) write(c *connection, kind string, data []byte) {
	stream, err := c.quic.OpenUniStream()
	if err != nil {
		t.drop(1)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(streamFailed)
		t.drop(1)
		return
	}
	_ = stream.Close()
	t.counts.addSent(kind, len(data))
}

// usable returns the connection to addr when it can take a message now.
func (t *Transport) usable(addr string) *connection {
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
		t.forget(addr, c)
		return nil
	case c.noteSend(now):
		t.replace(addr, c, true)
		return nil
	case now.Sub(c.opened) > maxConnectionAge:
		t.retire(addr, c)
		return nil
	}
	return c
}

// connect returns the connection to addr and dials it when there is none.
func (t *Transport) connect(ctx context.Context, addr string) (*connection, error) {
	if c := t.usable(addr); c != nil {
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
	done := p.dialing
	t.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.conn == nil {
		return nil, p.dialErr
	}
	return p.conn, nil
}

// enqueue keeps a message until the dial ends.
func (t *Transport) enqueue(addr, kind string, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, err := t.dialLocked(addr)
	if err != nil || len(p.pending) >= maxPending {
		t.drop(1)
		return
	}
	p.pending = append(p.pending, data)
	p.kinds = append(p.kinds, kind)
	if p.conn != nil {
		t.flushLocked(p)
	}
}

// dialLocked returns the peer and starts a dial when it has neither a connection nor a dial in progress.
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
		p.dialing = make(chan struct{})
		t.running.Add(1)
		go t.dial(p)
	}
	return p, nil
}

// dial opens a connection from a new source port and sends the messages that waited for it.
func (t *Transport) dial(p *peer) {
	defer t.running.Done()
	t.counts.update(func(s *Stats) { s.Dials++ })
	c, err := t.handshake(p.addr)
	t.mu.Lock()
	defer t.mu.Unlock()
	p.conn, p.dialErr = c, err
	close(p.dialing)
	p.dialing = nil
	if err == nil && t.closed {
		c.close(closeNormal, "node is closing")
		p.conn, p.dialErr = nil, ErrClosed
	}
	if p.conn == nil {
		t.drop(len(p.pending))
		delete(t.peers, p.addr)
		return
	}
	t.flushLocked(p)
}

// flushLocked sends the waiting messages on a goroutine, so that no lock is held across I/O.
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
			c.noteSend(time.Now())
			t.write(c, kinds[i], data)
		}
	}()
}

// handshake opens a connection on a socket of its own and releases the socket when the connection ends.
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
	trans := &quic.Transport{Conn: socket}
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	qc, err := trans.Dial(ctx, remote, t.opts.Credentials.tlsConfig(), quicConfig())
	if err != nil {
		_ = trans.Close()
		_ = socket.Close()
		return nil, err
	}
	c := &connection{quic: qc, socket: socket, trans: trans, opened: time.Now()}
	t.mu.Lock()
	t.open[c] = struct{}{}
	t.mu.Unlock()
	t.running.Add(1)
	go t.release(addr, c)
	return c, nil
}

// release frees what a connection holds once it has ended.
func (t *Transport) release(addr string, c *connection) {
	defer t.running.Done()
	<-c.quic.Context().Done()
	t.forget(addr, c)
	t.mu.Lock()
	delete(t.open, c)
	t.mu.Unlock()
	t.counts.addWire(c.quic.ConnectionStats())
	_ = c.trans.Close()
	_ = c.socket.Close()
}

// forget removes the connection so that the next message dials.
func (t *Transport) forget(addr string, c *connection) (was bool) {
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

// replace drops a connection after a timeout. A silent one is closed at once; one that still returns packets has
// a slow handler behind it, and requests in progress on it may finish.
func (t *Transport) replace(addr string, c *connection, silent bool) {
	if !t.retire(addr, c) {
		return
	}
	t.counts.update(func(s *Stats) { s.Replaced++ })
	if silent {
		c.close(closeSilent, "no answer")
	}
}

// retire takes a connection out of use and closes it after retireTime.
func (t *Transport) retire(addr string, c *connection) bool {
	if !t.forget(addr, c) {
		return false
	}
	time.AfterFunc(retireTime, func() { c.close(closeNormal, "replaced") })
	return true
}

// openConnections returns the outgoing connections, those that are being retired included.
func (t *Transport) openConnections() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*connection, 0, len(t.open))
	for c := range t.open {
		out = append(out, c)
	}
	return out
}
