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

// Guards against Renew closing a connection that a request has just taken from the idle ones, or letting a retired one
// take a request that then counts as interrupted.
func TestRenewNeverInterruptsRequests(t *testing.T) {
	client, server := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	defer server.Close()
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var renewals, requests sync.WaitGroup
	renewals.Go(func() {
		for ctx.Err() == nil {
			client.Renew(addr)
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
	renewals.Wait()
}

// Guards against a request that still leaves after Do has called it unsent, for example because its context ended
// between the choice of a connection and the first write.
func TestUnsentRequestNeverLeaves(t *testing.T) {
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
		sentAfterAll := 0
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
				sentAfterAll += runs - before
			}
			mu.Unlock()
			cancel()
			client.Close()
		}
		assert.Equal(t, sentAfterAll, 0)
	})
}

// Guards against entries of closed connections that stay for ever: a fleet has new addresses every day.
func TestClosedConnectionsAreForgotten(t *testing.T) {
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

// Guards against the rare interleavings that the tests above do not reach on every run.
func TestConnectionStates(t *testing.T) {
	client := New(Options{})
	open := func() (*conn, *bool) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		closed := new(bool)
		return client.track(closeRecorder{near, closed}, addr), closed
	}
	write := func(c *conn) error {
		_, err := c.Write([]byte("x"))
		return err
	}
	t.Run("a sealed connection takes no write", func(t *testing.T) {
		c, _ := open()
		assert.Assert(t, c.seal(c.take()))
		assert.ErrorIs(t, write(c), net.ErrClosed)
	})
	t.Run("a connection with a write is not sealed", func(t *testing.T) {
		c, _ := open()
		writes := c.take()
		assert.NilError(t, write(c))
		assert.Assert(t, !c.seal(writes))
	})
	t.Run("a late release does not free a connection that was taken again", func(t *testing.T) {
		c, closed := open()
		c.take()
		c.take()
		c.release()
		c.retire()
		assert.Assert(t, !*closed)
		assert.NilError(t, write(c))
		c.release()
		assert.Assert(t, *closed)
	})
	t.Run("an idle connection that retires takes no write", func(t *testing.T) {
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
