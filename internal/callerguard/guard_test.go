package callerguard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/headerlimit"
)

// Guards against a refusal that a client takes for the answer to a request in progress, and against closing a connection
// over the limit without an answer when there is none.
func TestRefusals(t *testing.T) {
	s := newGuardedServer(t, headerlimit.Limits{HeaderBytes: testHeaderBytes})
	request, long := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "GET /"+strings.Repeat("x", 30000)
	emptyLines := strings.Repeat("\r\n", 20)
	for text, want := range map[string]string{long: "HTTP/1.1 431 ", emptyLines: "HTTP/1.1 400 ", request + emptyLines: "", request + long: "HTTP/1.1 200 "} {
		got := s.send(t, []byte(text), 1<<20)
		assert.Assert(t, strings.HasPrefix(got, want) && (want != "" || got == ""), "%.80q: %s", text, got)
		s.settled(t)
	}
	assert.Equal(t, s.guard.Metrics.Value("connections_refused", "reason", "header_bytes"), int64(2))
}

// Guards against connections that wait for the rest of a body forever, where no handler limits that time.
func TestBodiesEndByTheirTimeout(t *testing.T) {
	s := newGuardedServer(t, headerlimit.Limits{HeaderBytes: testHeaderBytes, BodyTimeout: time.Minute})
	client, server := net.Pipe()
	c := s.guard.open(server, time.Now())
	go func() { _, _ = client.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")) }()
	_, err := c.Read(make([]byte, 4096))
	assert.NilError(t, err)
	s.guard.closeExpired(time.Now().Add(50 * time.Second))
	assert.Equal(t, c.entry.Phase(), headerlimit.Receiving)
	s.guard.closeExpired(time.Now().Add(70 * time.Second))
	assert.Assert(t, c.entry.IsClosed())
	_, err = client.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// heldListener returns connections whose reads, once hold is set, return only after release is closed.
type heldListener struct {
	net.Listener
	hold          atomic.Bool
	read, release chan struct{}
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c, l}, nil
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.listener.hold.CompareAndSwap(true, false) {
		close(c.listener.read)
		<-c.listener.release
	}
	return n, err
}

// Guards against a request that runs although its connection has just been closed, for its idle time or in favor of a new
// one: its caller gets no answer. The request has been read, but the guard has not seen it.
func TestRequestOnAnIdleConnectionIsAnsweredOrNotRun(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, served := range map[string]int64{"idle time": 2, "replaced": 1} {
		t.Run(name, func(t *testing.T) {
			held := &heldListener{read: make(chan struct{}), release: make(chan struct{})}
			s := newGuardedServerOn(t, headerlimit.Limits{HeaderBytes: testHeaderBytes, IdleTimeout: time.Minute}, func(l net.Listener) net.Listener {
				held.Listener = l
				return held
			})
			conn, err := s.network.Dial(t.Context(), "tcp", testAddr)
			assert.NilError(t, err)
			defer conn.Close()
			answers := bufio.NewReader(conn)
			ask := func() error {
				if _, err := conn.Write([]byte(request)); err != nil {
					return err
				}
				answer, err := http.ReadResponse(answers, nil)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, answer.Body)
				return err
			}
			assert.NilError(t, ask())
			s.await(t, func() bool { return s.guard.table.Overdue(headerlimit.Idle, time.Nanosecond, time.Now()) != nil })
			held.hold.Store(true)
			asked := make(chan error, 1)
			go func() { asked <- ask() }()
			<-held.read
			if name == "replaced" {
				for range testConnections {
					other, err := s.network.Dial(t.Context(), "tcp", testAddr)
					assert.NilError(t, err)
					defer other.Close()
				}
				s.await(t, func() bool { return s.guard.table.Overdue(headerlimit.Idle, time.Nanosecond, time.Now()) == nil })
			} else {
				s.guard.closeExpired(time.Now().Add(2 * time.Minute))
			}
			close(held.release)
			err = <-asked
			assert.Equal(t, err == nil, served == 2, "%v", err)
			time.Sleep(50 * time.Millisecond) // in which a request that must not run would
			assert.Equal(t, s.served.Load(), served)
		})
	}
}

// Guards against connections that stay open beyond their idle time.
func TestIdleConnectionsEndByTheirTimeout(t *testing.T) {
	s := newGuardedServer(t, headerlimit.Limits{HeaderBytes: testHeaderBytes, IdleTimeout: time.Minute})
	conn, err := s.network.Dial(t.Context(), "tcp", testAddr)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	s.await(t, func() bool { return s.guard.table.Overdue(headerlimit.Idle, time.Nanosecond, time.Now()) != nil })
	s.guard.closeExpired(time.Now().Add(50 * time.Second))
	assert.Equal(t, s.guard.table.Count(), 1)
	s.guard.closeExpired(time.Now().Add(70 * time.Second))
	s.settled(t)
}

// await waits until a condition on the guard's table holds.
func (s *guardedServer) await(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		s.guard.mu.Lock()
		done := holds()
		s.guard.mu.Unlock()
		if done {
			return
		}
		assert.Assert(t, time.Now().Before(end))
	}
}

// replayConn is a connection on which the same request arrives with each read.
type replayConn struct {
	net.Conn
	request string
}

func (c *replayConn) Read(p []byte) (int, error) { return copy(p, c.request), nil }

// Guards against work for the garbage collector with each request.
func TestRequestsDoNotAllocate(t *testing.T) {
	s := newGuardedServer(t, headerlimit.Limits{HeaderBytes: testHeaderBytes})
	c := s.guard.open(&replayConn{request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n" + strings.Repeat("X-Field: value\r\n", 20) + "\r\nbody"}, time.Now())
	buffer := make([]byte, 4096)
	allocations := testing.AllocsPerRun(1000, func() {
		_, _ = c.Read(buffer)
		c.requestEnded(time.Now())
	})
	assert.Equal(t, allocations, 0.0)
	assert.Equal(t, c.scanner.Headers, c.ended)
}
