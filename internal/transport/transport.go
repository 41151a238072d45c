// Package transport carries messages between nodes over QUIC with mutual TLS.
//
// A request uses one bidirectional stream, a message without an answer one unidirectional stream; both carry one
// length-prefixed envelope per direction. Streams are used for both because QUIC repeats lost packets, which
// datagrams would not.
//
// There is one outgoing connection per peer, dialled on demand and used in one direction. It has no keep-alive
// and ends after idleTimeout without traffic: with 400 nodes a keep-alive would grow into a full mesh, and
// whoever needs to know that a peer lives sends probes anyway. Gossip and membership use a small view of peers
// that changes slowly, so that their connections stay open between messages; a handshake with two certificates
// costs as much as dozens of messages.
//
// Each outgoing connection has its own UDP socket. A path can go silent for one pair of ports while others
// work, so a connection on which a request times out, or from which nothing arrives for silenceBound after
// something was sent, is dropped and the next message dials from a new source port. A failed request is never
// sent again by this package.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
)

const (
	// DefaultTimeout bounds a request whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxMessage bounds a request or an answer, in bytes. The largest are configuration snapshots and
	// the requests of long prompts.
	DefaultMaxMessage = 8 << 20
	// maxOneWay bounds a message of Send, in bytes; gossip stays far below it.
	maxOneWay = 64 << 10

	// idleTimeout closes unused connections. It is longer than the time a peer stays in the view of gossip, so
	// that only peers that left the view are disconnected.
	idleTimeout = 30 * time.Second
	// handshakeTimeout is short because regions are at most some hundred milliseconds apart.
	handshakeTimeout = 2 * time.Second
	// receiveTimeout bounds how long a peer may take to send one message.
	receiveTimeout = 10 * time.Second

	// maxIncoming bounds the connections from peers; the target size has 400 nodes.
	maxIncoming = 1024
	// maxStreams bounds the open streams per connection and direction.
	maxStreams = 256
	// maxHandlers bounds the messages in progress over all connections; more wait in QUIC's flow control.
	maxHandlers = 1024

	// Flow control windows in bytes. Small first windows bound what many idle connections can hold.
	streamWindow, maxStreamWindow = 64 << 10, 1 << 20
	connWindow, maxConnWindow     = 128 << 10, 4 << 20
)

// Application error codes of closed connections and streams.
const (
	closeNormal  quic.ApplicationErrorCode = 0
	closeSilent  quic.ApplicationErrorCode = 1
	closeRefused quic.ApplicationErrorCode = 2
	streamFailed quic.StreamErrorCode      = 1
)

// ErrClosed is returned by a transport after Close.
var ErrClosed = errors.New("transport: closed")

// Handler handles a message from a peer whose certificate bears the name from. The answer is ignored for
// messages of Send. An error becomes an Ack with the error's result code.
type Handler func(ctx context.Context, from string, env *pb.Envelope) (*pb.Envelope, error)

// Options configure a transport.
type Options struct {
	Node   string
	Region string
	// Addr is the UDP address to listen on, as IP:port; port 0 picks a free one.
	Addr        string
	Credentials *Credentials
	Log         *logrus.Entry
	// MaxMessage bounds requests and answers in bytes; 0 means DefaultMaxMessage.
	MaxMessage int
}

// Transport sends and receives messages of one node. All methods may be called from several goroutines.
type Transport struct {
	opts     Options
	log      *logrus.Entry
	handler  atomic.Pointer[Handler]
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	counts   *counters
	slots    chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	incoming atomic.Int64

	mu     sync.Mutex
	peers  map[string]*peer
	open   map[*connection]struct{} // every outgoing connection that has not ended
	closed bool
}

// New listens on opts.Addr. Messages are refused until SetHandler is called.
func New(opts Options) (*Transport, error) {
	if opts.Node == "" || opts.Credentials == nil {
		return nil, errors.New("transport: node name and credentials are required")
	}
	if opts.MaxMessage == 0 {
		opts.MaxMessage = DefaultMaxMessage
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	addr, err := net.ResolveUDPAddr("udp", opts.Addr)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	t := &Transport{opts: opts, log: opts.Log, socket: socket, quic: &quic.Transport{Conn: socket},
		counts: newCounters(), slots: make(chan struct{}, maxHandlers), peers: map[string]*peer{},
		open: map[*connection]struct{}{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listener, err = t.quic.Listen(opts.Credentials.tlsConfig(), quicConfig())
	if err != nil {
		t.cancel()
		_ = socket.Close()
		return nil, fmt.Errorf("transport: %w", err)
	}
	t.running.Add(1)
	go t.accept()
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          maxStreams,
		// Messages are small; probes for a larger packet size would cost more than they save.
		DisablePathMTUDiscovery: true,
	}
}

// SetHandler sets the function that handles messages from peers.
func (t *Transport) SetHandler(h func(ctx context.Context, from string, env *pb.Envelope) (*pb.Envelope, error)) {
	handler := Handler(h)
	t.handler.Store(&handler)
}

// Addr returns the address the transport listens on, as IP:port.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

// Stats returns the totals since the start.
func (t *Transport) Stats() Stats {
	out := t.counts.snapshot()
	out.Incoming = int(t.incoming.Load())
	for _, c := range t.openConnections() {
		s := c.quic.ConnectionStats()
		out.WireSent += s.BytesSent
		out.WireReceived += s.BytesReceived
		out.Outgoing++
	}
	return out
}

// Close ends all connections and waits for the handlers in progress.
func (t *Transport) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	for _, c := range t.openConnections() {
		c.close(closeNormal, "node is closing")
	}
	err := t.listener.Close()
	if closeErr := t.quic.Close(); err == nil {
		err = closeErr
	}
	_ = t.socket.Close()
	t.running.Wait()
	return err
}

// accept takes connections from peers.
func (t *Transport) accept() {
	defer t.running.Done()
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		if t.incoming.Load() >= maxIncoming {
			_ = conn.CloseWithError(closeRefused, "too many connections")
			continue
		}
		t.incoming.Add(1)
		t.running.Add(1)
		go t.serve(conn)
	}
}

// serve takes the streams of one connection until it ends.
func (t *Transport) serve(conn *quic.Conn) {
	defer t.running.Done()
	defer t.incoming.Add(-1)
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		for {
			stream, err := conn.AcceptUniStream(t.ctx)
			if err != nil {
				return
			}
			t.start(func() { t.receive(conn, stream) })
		}
	}()
	for {
		stream, err := conn.AcceptStream(t.ctx)
		if err != nil {
			break
		}
		t.start(func() { t.answer(conn, stream) })
	}
	if t.ctx.Err() != nil {
		_ = conn.CloseWithError(closeNormal, "node is closing")
	}
}

// start runs f on a goroutine once a handler slot is free.
func (t *Transport) start(f func()) {
	select {
	case t.slots <- struct{}{}:
	case <-t.ctx.Done():
		return
	}
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		defer func() { <-t.slots }()
		f()
	}()
}

// receive handles one message of Send.
func (t *Transport) receive(conn *quic.Conn, stream *quic.ReceiveStream) {
	_ = stream.SetReadDeadline(time.Now().Add(receiveTimeout))
	env, n, err := decode(stream, maxOneWay)
	if err == nil {
		err = checkName(conn.ConnectionState().TLS, env.From)
	}
	if err != nil {
		stream.CancelRead(streamFailed)
		t.refuse(conn, err)
		return
	}
	t.counts.addReceived(Kind(env), n)
	if h := t.handler.Load(); h != nil && env.Body != nil {
		_, _ = (*h)(t.ctx, env.From, env)
	}
}

// answer handles one request.
func (t *Transport) answer(conn *quic.Conn, stream *quic.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(receiveTimeout))
	env, n, err := decode(stream, t.opts.MaxMessage)
	if err == nil {
		err = checkName(conn.ConnectionState().TLS, env.From)
	}
	if err != nil {
		stream.CancelRead(streamFailed)
		stream.CancelWrite(streamFailed)
		t.refuse(conn, err)
		return
	}
	t.counts.addReceived(Kind(env), n)
	reply := t.handle(stream.Context(), env)
	data, err := encode(t.stamp(reply), t.opts.MaxMessage)
	if err != nil {
		reply = ackOf(err)
		data, _ = encode(t.stamp(reply), t.opts.MaxMessage)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(receiveTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(streamFailed)
		return
	}
	_ = stream.Close()
	t.counts.addSent(Kind(reply), len(data))
}

// handle calls the handler and turns its error into an Ack. A kind that this release does not know is answered
// with not_found, so that a newer peer learns that it is not supported here.
func (t *Transport) handle(ctx context.Context, env *pb.Envelope) *pb.Envelope {
	h := t.handler.Load()
	if h == nil || env.Body == nil {
		return ackOf(code.New(code.NotFound, "message kind is not supported"))
	}
	reply, err := (*h)(ctx, env.From, env)
	if err != nil {
		return ackOf(err)
	}
	if reply == nil || reply.Body == nil {
		return &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{}}}
	}
	return reply
}

// ackOf returns the answer for an error; details of causes stay on this node.
func ackOf(err error) *pb.Envelope {
	e := code.From(err)
	return &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{Code: uint32(e.Code), Message: e.Message}}}
}

// stamp returns an envelope with the same body and the sender's fields filled in. The argument is not changed,
// because one message may be sent to several peers at the same time.
func (t *Transport) stamp(env *pb.Envelope) *pb.Envelope {
	return &pb.Envelope{Protocol: ProtocolVersion, From: t.opts.Node, Region: t.opts.Region, Body: env.GetBody()}
}

// refuse closes a connection whose peer breaks the protocol or uses another node's name.
func (t *Transport) refuse(conn *quic.Conn, err error) {
	if !errors.Is(err, ErrPeerRefused) && !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrTooLarge) {
		return
	}
	t.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Warn("message from peer refused")
	_ = conn.CloseWithError(closeRefused, "message refused")
}
