// Package transport carries messages between nodes over QUIC with mutual TLS.
//
// A request uses one bidirectional stream and a one-way message one unidirectional stream; both carry one
// length-prefixed envelope per direction. One-way messages use streams rather than datagrams because QUIC retransmits
// the lost data of streams only.
//
// There is one outgoing connection per peer, which is dialled on demand and carries only the requests and one-way
// messages of this node and the replies to them. It has no keep-alive and ends after idleTimeout without traffic: with
// 400 nodes, keep-alives would maintain a full mesh, and failure detection sends its own probes. Gossip and membership
// use a small, slowly changing view of peers, so that their connections stay open between messages; a handshake with
// two certificates costs as much as dozens of messages.
//
// Each outgoing connection has its own UDP socket. Packets can be lost for good on one pair of ports while others work.
// A connection is therefore replaced when a request on it times out, or when nothing arrives for silenceTimeout after
// something was sent; the next message then dials from a new source port. This package never retries a failed request.
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
	// DefaultMaxMessage bounds a request or a reply, in bytes. The largest are configuration snapshots and requests
	// with long prompts.
	DefaultMaxMessage = 8 << 20
	// maxOneWayMessage bounds a message of Send, in bytes; gossip messages are far smaller.
	maxOneWayMessage = 64 << 10

	// idleTimeout closes unused connections. It is longer than the time for which a peer stays in the gossip view, so
	// that only peers that have left the view are disconnected.
	idleTimeout = 30 * time.Second
	// handshakeTimeout is short because the latency between regions is at most a few hundred milliseconds.
	handshakeTimeout = 2 * time.Second
	// receiveTimeout bounds how long a peer may take to send one message, or to receive a reply.
	receiveTimeout = 10 * time.Second

	// maxIncoming bounds the connections from peers; the target deployment has 400 nodes.
	maxIncoming = 1024
	// maxStreams bounds the open streams per connection and direction.
	maxStreams = 256
	// maxHandlers bounds the concurrent handlers of all connections; QUIC's flow control holds back further messages.
	maxHandlers = 1024

	// Flow control windows in bytes. Small initial windows bound the memory that many idle connections can use.
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

// ErrClosed is returned for requests after Close.
var ErrClosed = errors.New("transport: closed")

// Handler handles a message from a peer whose certificate is issued for the name from. The reply is ignored for
// messages of Send. An error is sent as an Ack with the error's result code.
type Handler func(ctx context.Context, from string, env *pb.Envelope) (*pb.Envelope, error)

// Options configure a transport.
type Options struct {
	Node   string
	Region string
	// Addr is the UDP address to listen on, as IP:port; port 0 picks a free one.
	Addr        string
	Credentials *Credentials
	Log         *logrus.Entry
	// MaxMessage bounds requests and replies in bytes; 0 means DefaultMaxMessage.
	MaxMessage int
}

// Transport sends and receives the messages of one node. Its methods are safe for concurrent use.
type Transport struct {
	opts         Options
	log          *logrus.Entry
	handler      atomic.Pointer[Handler]
	socket       *net.UDPConn
	quic         *quic.Transport
	listener     *quic.Listener
	counts       *counters
	handlerSlots chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	running      sync.WaitGroup
	incoming     atomic.Int64

	mu     sync.Mutex
	peers  map[string]*peer
	open   map[*connection]struct{} // every outgoing connection that has not ended
	closed bool
}

// New returns a transport that listens on opts.Addr. Until SetHandler is called, requests are answered with not_found
// and one-way messages are discarded.
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
		counts: newCounters(), handlerSlots: make(chan struct{}, maxHandlers), peers: map[string]*peer{},
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
		// Messages are small, so probing for a larger packet size would cost more than it saves.
		DisablePathMTUDiscovery: true,
	}
}

// SetHandler sets the function that handles messages from peers.
func (t *Transport) SetHandler(h func(ctx context.Context, from string, env *pb.Envelope) (*pb.Envelope, error)) {
	handler := Handler(h)
	t.handler.Store(&handler)
}

// Addr returns the address that the transport listens on, as IP:port.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

// Stats returns the totals since the transport was created.
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

// Close closes all connections and waits for the running handlers.
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

// accept accepts connections from peers.
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

// serve accepts the streams of one connection until it ends.
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
			t.runHandler(func() { t.handleOneWay(conn, stream) })
		}
	}()
	for {
		stream, err := conn.AcceptStream(t.ctx)
		if err != nil {
			break
		}
		t.runHandler(func() { t.handleRequest(conn, stream) })
	}
	if t.ctx.Err() != nil {
		_ = conn.CloseWithError(closeNormal, "node is closing")
	}
}

// runHandler waits for a free handler slot and runs f in a new goroutine.
func (t *Transport) runHandler(f func()) {
	select {
	case t.handlerSlots <- struct{}{}:
	case <-t.ctx.Done():
		return
	}
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		defer func() { <-t.handlerSlots }()
		f()
	}()
}

// handleOneWay handles one message of Send.
func (t *Transport) handleOneWay(conn *quic.Conn, stream *quic.ReceiveStream) {
	_ = stream.SetReadDeadline(time.Now().Add(receiveTimeout))
	env, n, err := decode(stream, maxOneWayMessage)
	if err == nil {
		err = verifySender(conn.ConnectionState().TLS, env.From)
	}
	if err != nil {
		stream.CancelRead(streamFailed)
		t.rejectPeer(conn, err)
		return
	}
	t.counts.addReceived(Kind(env), n)
	if h := t.handler.Load(); h != nil && env.Body != nil {
		_, _ = (*h)(t.ctx, env.From, env)
	}
}

// handleRequest handles one request and sends the reply.
func (t *Transport) handleRequest(conn *quic.Conn, stream *quic.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(receiveTimeout))
	env, n, err := decode(stream, t.opts.MaxMessage)
	if err == nil {
		err = verifySender(conn.ConnectionState().TLS, env.From)
	}
	if err != nil {
		stream.CancelRead(streamFailed)
		stream.CancelWrite(streamFailed)
		t.rejectPeer(conn, err)
		return
	}
	t.counts.addReceived(Kind(env), n)
	reply := t.callHandler(stream.Context(), env)
	data, err := encode(t.withSender(reply), t.opts.MaxMessage)
	if err != nil {
		reply = ackFromError(err)
		data, _ = encode(t.withSender(reply), t.opts.MaxMessage)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(receiveTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(streamFailed)
		return
	}
	_ = stream.Close()
	t.counts.addSent(Kind(reply), len(data))
}

// callHandler calls the handler and converts its error to an Ack. A message kind that this release does not know gets
// not_found, so that a newer peer learns that it is not supported.
func (t *Transport) callHandler(ctx context.Context, env *pb.Envelope) *pb.Envelope {
	h := t.handler.Load()
	if h == nil || env.Body == nil {
		return ackFromError(code.New(code.NotFound, "message kind is not supported"))
	}
	reply, err := (*h)(ctx, env.From, env)
	if err != nil {
		return ackFromError(err)
	}
	if reply == nil || reply.Body == nil {
		return &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{}}}
	}
	return reply
}

// ackFromError returns the reply for an error. It omits the causes of the error, which stay on this node.
func ackFromError(err error) *pb.Envelope {
	e := code.From(err)
	return &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{Code: uint32(e.Code), Message: e.Message}}}
}

// withSender returns an envelope with the same body and the fields of this node as the sender. It does not modify env,
// because one message may be sent to several peers concurrently.
func (t *Transport) withSender(env *pb.Envelope) *pb.Envelope {
	return &pb.Envelope{Protocol: ProtocolVersion, From: t.opts.Node, Region: t.opts.Region, Body: env.GetBody()}
}

// rejectPeer closes a connection whose peer violates the protocol or uses the name of another node. It ignores other
// errors.
func (t *Transport) rejectPeer(conn *quic.Conn, err error) {
	if !errors.Is(err, ErrPeerRefused) && !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrTooLarge) {
		return
	}
	t.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Warn("message from peer refused")
	_ = conn.CloseWithError(closeRefused, "message refused")
}
