package netfault

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// PipeNetwork connects clients and servers of one process through net.Pipe, so that whole scenarios can run in the
// virtual time of testing/synctest.
type PipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// NewPipeNetwork returns a network without listeners.
func NewPipeNetwork() *PipeNetwork { return &PipeNetwork{listeners: map[string]*pipeListener{}} }

// Listen is a ListenFunc. The address is only a name, so port 0 is not replaced by a free port.
func (n *PipeNetwork) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &pipeListener{network: n, addr: addr, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to a listener of the network. It returns syscall.ECONNREFUSED if there is none at addr.
func (n *PipeNetwork) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeListener struct {
	network *PipeNetwork
	addr    string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }
