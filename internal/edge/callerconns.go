package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// connSweepInterval is how often caller connections are checked for timeouts.
const connSweepInterval = 250 * time.Millisecond

// callerConns closes caller connections that stay idle, or take longer to send a header, than the configuration allows.
// The timeouts of http.Server can't be used: they are fixed at start, and the configuration changes later.
type callerConns struct {
	log    *logrus.Entry
	limits func() serving.Limits

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is the state of a connection that is not serving a request.
type callerConn struct {
	idle  bool // between two requests; otherwise waiting for a request header
	since time.Time
}

type connKey struct{}

// attach registers the connection hooks of c on a server.
func (c *callerConns) attach(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) { c.stateChanged(conn, state, time.Now()) }
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

func (c *callerConns) stateChanged(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.conns[conn] = &callerConn{since: now}
	case http.StateIdle:
		c.conns[conn] = &callerConn{idle: true, since: now}
	case http.StateHijacked, http.StateClosed:
		delete(c.conns, conn)
	}
}

// headerReceived marks the connection of ctx as serving a request: its header is complete.
func (c *callerConns) headerReceived(ctx context.Context) {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// run closes connections that exceed their timeout until ctx ends.
func (c *callerConns) run(ctx context.Context) {
	for clock.Sleep(ctx, connSweepInterval) {
		for _, conn := range c.expired(time.Now()) {
			if err := conn.Close(); err != nil {
				c.log.WithError(err).Debug("closing caller connection failed")
			}
		}
	}
}

// expired removes and returns the connections that exceed their timeout.
func (c *callerConns) expired(now time.Time) []net.Conn {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, state := range c.conns {
		limit := limits.HeaderTimeout
		if state.idle {
			limit = limits.IdleTimeout
		}
		if limit > 0 && now.Sub(state.since) > limit {
			out = append(out, conn)
			delete(c.conns, conn)
		}
	}
	return out
}
