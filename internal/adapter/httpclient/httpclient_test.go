package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

const addr = "server:1"

func startServer(t *testing.T, handler http.HandlerFunc) (*Client, *netfault.Server) {
	network := netfault.NewPipeNetwork()
	server := netfault.New(handler, network.Listen)
	assert.NilError(t, server.Listen(addr))
	return New(Options{Dial: network.Dial}), server
}

func send(ctx context.Context, c *Client, once bool) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", nil)
	if err != nil {
		return err
	}
	if once {
		SendOnce(req)
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	Drain(resp.Body)
	return nil
}

// Guards against RetireConns closing a connection that a request has just taken from the idle pool, or letting a
// retired connection accept a request that then counts as interrupted.
func TestRetireConnsNeverInterruptsRequests(t *testing.T) {
	client, server := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	defer server.Close()
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var retirements, requests sync.WaitGroup
	retirements.Go(func() {
		for ctx.Err() == nil {
			client.RetireConns(addr)
		}
	})
	for range 4 {
		requests.Go(func() {
			for i := range 300 {
				err := send(t.Context(), client, i%2 == 0)
				assert.Check(t, err == nil || errors.Is(err, backend.ErrUnreachable), "%v", err)
			}
		})
	}
	requests.Wait()
	cancel()
	retirements.Wait()
}

// Guards against sending a request after Do has returned ErrUnreachable for it, for example because its context ended
// between the choice of a connection and the first write.
func TestUnreachableRequestIsNeverSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := netfault.NewPipeNetwork()
		var mu sync.Mutex
		runs := 0
		server := netfault.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			mu.Lock()
			runs++
			mu.Unlock()
		}), network.Listen)
		defer server.Close()
		assert.NilError(t, server.Listen(addr))
		sentAfterError := 0
		for range 500 {
			ctx, cancel := context.WithCancel(t.Context())
			client := New(Options{Dial: func(dialCtx context.Context, n, a string) (net.Conn, error) {
				c, err := network.Dial(dialCtx, n, a)
				go cancel() // races with the request
				return c, err
			}})
			mu.Lock()
			before := runs
			mu.Unlock()
			err := send(ctx, client, true)
			synctest.Wait()
			mu.Lock()
			if errors.Is(err, backend.ErrUnreachable) {
				sentAfterError += runs - before
			}
			mu.Unlock()
			cancel()
			client.Close()
		}
		assert.Equal(t, sentAfterError, 0)
	})
}

// Guards against a leak of entries for closed connections: server addresses of a fleet change every day.
func TestClosedConnectionsAreUntracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := startServer(t, func(http.ResponseWriter, *http.Request) {})
		defer server.Close()
		defer client.Close()
		assert.NilError(t, send(t.Context(), client, false))
		assert.Equal(t, len(client.conns), 1)
		server.Crash()
		synctest.Wait()
		assert.Equal(t, len(client.conns), 0)
	})
}

// Covers rare interleavings that the tests above do not reach on every run.
func TestConnectionStates(t *testing.T) {
	client := New(Options{})
	open := func() (*conn, *bool) {
		local, remote := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, remote) }()
		closed := new(bool)
		return client.track(closeRecorder{local, closed}, addr), closed
	}
	write := func(c *conn) error {
		_, err := c.Write([]byte("x"))
		return err
	}
	t.Run("a sealed connection accepts no write", func(t *testing.T) {
		c, _ := open()
		assert.Assert(t, c.seal(c.acquire()))
		assert.ErrorIs(t, write(c), net.ErrClosed)
	})
	t.Run("a connection with a write is not sealed", func(t *testing.T) {
		c, _ := open()
		writes := c.acquire()
		assert.NilError(t, write(c))
		assert.Assert(t, !c.seal(writes))
	})
	t.Run("a late release does not close a connection that was acquired again", func(t *testing.T) {
		c, closed := open()
		c.acquire()
		c.acquire()
		c.release()
		c.retire()
		assert.Assert(t, !*closed)
		assert.NilError(t, write(c))
		c.release()
		assert.Assert(t, *closed)
	})
	t.Run("an idle connection that is retired accepts no write", func(t *testing.T) {
		c, closed := open()
		c.retire()
		assert.Assert(t, *closed)
		assert.ErrorIs(t, write(c), net.ErrClosed)
		assert.Equal(t, c.writes, uint64(0))
	})
}

type closeRecorder struct {
	net.Conn
	closed *bool
}

// Close implements net.Conn.
func (c closeRecorder) Close() error {
	*c.closed = true
	return nil
}
