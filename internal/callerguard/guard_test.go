package callerguard

import (
	"net"
	"strings"
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
