// Package netfault serves an HTTP handler over connections with fault injection: all connections can be closed or
// refused, or stay open without progress. The stand-ins use it to simulate faults of a process and of the network.
package netfault

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

var errClosed = errors.New("netfault: server is closed")

// Server serves one handler on one address. Its methods may be called from several goroutines.
type Server struct {
	handler http.Handler
	listen  ListenFunc

	lifecycle sync.Mutex // held during Listen, Crash and Restart; acquired before mu

	mu       sync.Mutex
	addr     string
	listener net.Listener
	http     *http.Server
	conns    map[*conn]struct{}
	frozen   chan struct{} // closed by Unfreeze or Crash; nil when the server is not frozen
	closed   bool

	isFrozen atomic.Bool // true while frozen is not nil; read without the lock for each read and write
}

// ListenFunc opens a listener at an address.
type ListenFunc func(addr string) (net.Listener, error)

// New returns a server that does not listen yet. A nil listen means TCP.
func New(handler http.Handler, listen ListenFunc) *Server {
	if listen == nil {
		listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	return &Server{handler: handler, listen: listen, conns: map[*conn]struct{}{}}
}

// Listen starts to serve at addr, an IP:port, and returns. Port 0 picks a free port, which Restart reuses.
func (s *Server) Listen(addr string) error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	return s.open(addr)
}

func (s *Server) open(addr string) error {
	l, err := s.listen(addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return errClosed
	}
	s.addr = l.Addr().String()
	s.listener = l
	s.http = &http.Server{Handler: s.handler}
	go func(h *http.Server) { _ = h.Serve(&listener{Listener: l, server: s}) }(s.http)
	return nil
}

// Addr returns the address, or "" before Listen.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Crash closes the listener, aborts all connections and ends Freeze. It can be called before Listen.
func (s *Server) Crash() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	h, l := s.http, s.listener
	s.http, s.listener = nil, nil
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.unfreeze()
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range open {
		c.abort()
	}
	if h != nil {
		_ = h.Close()
	}
}

// Restart listens at the same address again after Crash. It does nothing if the server has not crashed.
func (s *Server) Restart() error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	addr, running := s.addr, s.listener != nil
	s.mu.Unlock()
	if running || addr == "" {
		return nil
	}
	return s.open(addr)
}

// Close crashes the server and makes further calls of Listen and Restart fail.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Crash()
}

// Freeze stops all progress: connections stay open and new ones are accepted, but no data is transferred until Unfreeze
// or Crash.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
		s.isFrozen.Store(true)
	}
}

// Unfreeze ends Freeze.
func (s *Server) Unfreeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfreeze()
}

func (s *Server) unfreeze() {
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
		s.isFrozen.Store(false)
	}
}

// StallOpenConns stalls the connections that are open now: they transfer no more data and stay open until their peer
// closes them. New connections work. It returns the number of stalled connections.
func (s *Server) StallOpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stallOnce.Do(func() { close(c.stalled) })
	}
	return len(s.conns)
}

func (s *Server) frozenSignal() chan struct{} {
	if !s.isFrozen.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server, stalled: make(chan struct{}), closed: make(chan struct{})}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	crashed := l.server.listener != l.Listener
	l.server.mu.Unlock()
	if crashed {
		c.abort()
	}
	return c, nil
}

// conn transfers data unless the server is frozen or the connection is stalled.
type conn struct {
	net.Conn
	server    *Server
	stalled   chan struct{}
	stallOnce sync.Once
	closed    chan struct{}
	closeOnce sync.Once
}

// waitUnblocked blocks while the server is frozen or the connection is stalled. It returns net.ErrClosed if the
// connection is closed meanwhile.
func (c *conn) waitUnblocked() error {
	for {
		select {
		case <-c.stalled:
			<-c.closed
			return net.ErrClosed
		default:
		}
		frozen := c.server.frozenSignal()
		if frozen == nil {
			return nil
		}
		select {
		case <-frozen:
		case <-c.stalled:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Read implements net.Conn. It always reports the end of the connection, so that a stalled connection is released when
// its peer closes it.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			var timeout net.Error
			if !errors.As(err, &timeout) || !timeout.Timeout() {
				_ = c.Close() // releases a blocked Write; not after a timeout, by which net/http ends its own pending read
			}
			return n, err
		}
		select {
		case <-c.stalled:
			continue // discards the data
		default:
		}
		return n, c.waitUnblocked()
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitUnblocked(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}

// abort closes the connection with a reset, as the operating system does when a process with unsent data ends.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
