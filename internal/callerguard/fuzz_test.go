package callerguard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/headerlimit"
)

const (
	testAddr        = "10.0.0.1:80"
	testHeaderBytes = 16384
	testConnections = 20
)

// guardedServer is an http.Server behind a guard, on a network in memory.
type guardedServer struct {
	guard   *Guard
	budget  *headerlimit.Budget
	network *netfault.PipeNetwork
	// uncounted is the number of requests that net/http served and the guard had not seen.
	uncounted, served atomic.Int64
}

type connKey struct{}

func newGuardedServer(t testing.TB, limits headerlimit.Limits) *guardedServer {
	return newGuardedServerOn(t, limits, func(l net.Listener) net.Listener { return l })
}

// newGuardedServerOn lets wrap replace the listener of the connections.
func newGuardedServerOn(t testing.TB, limits headerlimit.Limits, wrap func(net.Listener) net.Listener) *guardedServer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &guardedServer{network: netfault.NewPipeNetwork(), budget: headerlimit.NewBudget(1<<20, nil)}
	s.guard = New(Options{Limits: func() headerlimit.Limits { return limits }, Budget: s.budget, Connections: testConnections,
		Metrics: metrics.NewSet(), Log: logrus.NewEntry(log)})
	listener, err := s.network.Listen(testAddr)
	assert.NilError(t, err)
	server := &http.Server{MaxHeaderBytes: 1 << 20, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.served.Add(1)
			if c := r.Context().Value(connKey{}).(*conn); !c.isServing() {
				s.uncounted.Add(1)
			}
			_, _ = io.Copy(io.Discard, r.Body) // a broken body is expected
		})}
	s.guard.Attach(server)
	go func() { _ = server.Serve(s.guard.Listener(wrap(listener))) }() // always returns an error
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// send sends text on a new connection, in pieces, and returns what comes back until nothing does for a while or the
// connection ends.
func (s *guardedServer) send(t testing.TB, text []byte, piece int) string {
	conn, err := s.network.Dial(context.Background(), "tcp", testAddr)
	assert.NilError(t, err)
	defer conn.Close()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for len(text) > 0 {
			n := min(piece, len(text))
			if _, err := conn.Write(text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	var out strings.Builder
	buffer := make([]byte, 4096)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := conn.Read(buffer)
		out.Write(buffer[:n])
		select {
		case <-sent:
		default:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue // the rest is on its way
			}
		}
		if err != nil {
			return out.String()
		}
	}
}

// settled waits until all connections have ended and the budget is whole.
func (s *guardedServer) settled(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		s.guard.mu.Lock()
		count := s.guard.table.Count()
		s.guard.mu.Unlock()
		if count == 0 && s.budget.Used() == 0 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "%d connections are open and %d bytes of headers in use", count, s.budget.Used())
	}
}

// Guards against a header that ends the process, that net/http reads without the guard counting it, or whose memory is
// not released when its connection has ended.
func FuzzHeaders(f *testing.F) {
	files, err := filepath.Glob("testdata/headers/*")
	assert.NilError(f, err)
	assert.Assert(f, len(files) > 0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(f, err)
		for _, piece := range []uint16{1, 7, 4096} {
			f.Add(text, piece)
		}
	}
	s := newGuardedServer(f, headerlimit.Limits{HeaderBytes: testHeaderBytes})
	f.Fuzz(func(t *testing.T, text []byte, piece uint16) {
		s.send(t, text, max(int(piece), 1+len(text)/1000))
		s.settled(t)
		assert.Equal(t, s.uncounted.Load(), int64(0))
		s.send(t, []byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), 4096)
		s.settled(t)
	})
}
