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

// connSweep is how often connections of callers are checked.
const connSweep = 250 * time.Millisecond

// callerConns closes connections of callers that stay idle, or take longer for a header, than the configuration allows.
// The server's own bounds are fixed when it starts, and the configuration changes later.
type callerConns struct {
	log    *logrus.Entry
	limits func() serving.Limits

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is one connection that is not serving a request.
type callerConn struct {
	idle  bool // between two requests; otherwise a header is awaited
	since time.Time
}

type connKey struct{}

// attach makes a server report its connections.
func (c *callerConns) attach(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) { c.changed(conn, state, time.Now()) }
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

func (c *callerConns) changed(conn net.Conn, state http.ConnState, now time.Time) {
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

// serving tells that the header of a request is complete.
func (c *callerConns) serving(ctx context.Context) {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// run closes connections over their time until ctx ends.
func (c *callerConns) run(ctx context.Context) {
	for clock.Sleep(ctx, connSweep) {
		for _, conn := range c.over(time.Now()) {
			if err := conn.Close(); err != nil {
				c.log.WithError(err).Debug("connection of a caller not closed")
			}
		}
	}
}

// over returns the connections over their time.
func (c *callerConns) over(now time.Time) []net.Conn {
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
