package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxy forwards TCP connections and can delay, reset or stall them, drop all responses and refuse new connections.
type proxy struct {
	listener      net.Listener
	target        string
	delay         atomic.Int64 // added to each read, in nanoseconds
	dropResponses atomic.Bool  // data from the server is discarded
	refuse        atomic.Bool  // new connections are reset

	mu    sync.Mutex
	conns map[*proxiedConn]bool
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	client, server net.Conn
	stalled        atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: listener, target: target, conns: map[*proxiedConn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.reset()
	})
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		server, err := net.DialTimeout("tcp4", p.target, time.Second)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &proxiedConn{client: client, server: server}
		p.mu.Lock()
		p.conns[conn] = true
		p.mu.Unlock()
		go p.forward(conn, client, server, false)
		go p.forward(conn, server, client, true)
	}
}

func (p *proxy) forward(conn *proxiedConn, from, to net.Conn, fromServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !conn.stalled.Load() && !(fromServer && p.dropResponses.Load()) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if err == io.EOF && conn.stalled.Load() {
				return // a stalled connection does not report the close to its other end
			}
			_ = conn.client.Close()
			_ = conn.server.Close()
			p.mu.Lock()
			delete(p.conns, conn)
			p.mu.Unlock()
			return
		}
	}
}

func (p *proxy) forEachConn(do func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		do(conn)
	}
}

func (p *proxy) reset() {
	p.forEachConn(func(conn *proxiedConn) {
		_ = conn.client.(*net.TCPConn).SetLinger(0)
		_ = conn.client.Close()
		_ = conn.server.Close()
	})
}

func (p *proxy) stall() { p.forEachConn(func(conn *proxiedConn) { conn.stalled.Store(true) }) }

func (p *proxy) clearFaults() {
	p.delay.Store(0)
	p.dropResponses.Store(false)
	p.refuse.Store(false)
}
