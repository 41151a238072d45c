// Package httpclient sends requests to backend servers over HTTP/1.1 and tells exactly whether a failed request can
// have reached the server.
//
// HTTP/2 is not used: one silent connection would then take many requests with it. Redirects are not followed and
// no proxy is used.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// Defaults of Options.
const (
	DefaultDialTimeout        = time.Second
	DefaultIdleTimeout        = 30 * time.Second
	DefaultMaxIdleConnections = 1024
)

const bufferBytes = 4 << 10

// Options configure a Client. Zero values mean the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// MaxIdleConnections is per server.
	MaxIdleConnections int
	// SingleUse closes each connection after one request.
	SingleUse bool
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client sends requests.
type Client struct {
	transport *http.Transport

	mu    sync.Mutex
	conns map[string]map[*conn]struct{} // open connections by address
}

// New returns a client.
func New(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxIdleConnections == 0 {
		o.MaxIdleConnections = DefaultMaxIdleConnections
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	client := &Client{conns: map[string]map[*conn]struct{}{}}
	client.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
			defer cancel()
			c, err := o.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return client.track(c, addr), nil
		},
		Protocols:           protocols,
		DisableCompression:  true,
		DisableKeepAlives:   o.SingleUse,
		MaxIdleConnsPerHost: o.MaxIdleConnections,
		IdleConnTimeout:     o.IdleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
	return client
}

func (c *Client) track(raw net.Conn, addr string) *conn {
	wrapped := &conn{Conn: raw, client: c, addr: addr}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == nil {
		c.conns[addr] = map[*conn]struct{}{}
	}
	c.conns[addr][wrapped] = struct{}{}
	return wrapped
}

func (c *Client) untrack(wrapped *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns[wrapped.addr], wrapped)
	if len(c.conns[wrapped.addr]) == 0 {
		delete(c.conns, wrapped.addr)
	}
}

// Renew makes all further requests to addr use connections that are opened from now on. Requests in progress keep
// theirs. It is called when a connection went silent, since those opened before may be silent as well while new ones
// work. Do calls it when a deadline passes after the request was sent.
func (c *Client) Renew(addr string) {
	c.mu.Lock()
	open := make([]*conn, 0, len(c.conns[addr]))
	for wrapped := range c.conns[addr] {
		open = append(open, wrapped)
	}
	c.mu.Unlock()
	for _, wrapped := range open {
		wrapped.retire()
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends req and returns the response once its header is there. An error is backend.ErrUnreachable when no byte
// of the request has left and none can leave later, and backend.ErrInterrupted otherwise. The transport sends a
// request again only after a connection that took none of its bytes, provided that the request has no body, or has
// GetBody, and is not one of those that net/http takes for idempotent; see SendOnce.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var used []use
	var current atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			wrapped := info.Conn.(*conn)
			used = append(used, use{wrapped, wrapped.take()})
			current.Store(wrapped)
		},
		PutIdleConn: func(error) { current.Load().release() },
	}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	class := backend.ErrUnreachable
	for _, u := range used {
		if !u.conn.seal(u.writes) {
			class = backend.ErrInterrupted
		}
	}
	if class == backend.ErrInterrupted && errors.Is(err, context.DeadlineExceeded) {
		c.Renew(req.URL.Host)
	}
	return nil, fmt.Errorf("%w: %w", class, err)
}

// use is a connection with the number of its writes before the request.
type use struct {
	conn   *conn
	writes uint64
}

// conn counts writes, so that a failed request can be told from one that may have reached the server.
type conn struct {
	net.Conn
	client *Client
	addr   string

	mu      sync.Mutex
	writes  uint64
	sealed  bool
	users   int  // can be 2 for a moment: the transport reports the release after it has offered the connection again
	retired bool // to be closed after the request in progress
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.client.untrack(c)
	return c.Conn.Close()
}

// take marks the connection as used by a request and returns the number of writes before it. The request fails before
// its first byte when the connection is retired, and the transport takes another one.
func (c *conn) take() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	c.sealed = c.sealed || c.retired
	return c.writes
}

// release ends the use by a request.
func (c *conn) release() {
	c.mu.Lock()
	c.users--
	unused := c.users == 0 && c.retired
	c.mu.Unlock()
	if unused {
		_ = c.Close()
	}
}

// retire closes the connection now or, while a request uses it, with the end of the request.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	unused := c.users == 0
	c.sealed = c.sealed || unused
	c.mu.Unlock()
	if unused {
		_ = c.Close()
	}
}

// seal prevents further writes. It returns false when a write has started since the count.
func (c *conn) seal(writes uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writes {
		return false
	}
	c.sealed = true
	return true
}

// SendOnce changes req so that net/http never sends it twice. The transport repeats a request on its own when a
// reused connection fails without an answer and the method is GET, HEAD, OPTIONS or TRACE or the header has an
// Idempotency-Key; it looks for that header under its canonical name only, and needs GetBody for a body.
func SendOnce(req *http.Request) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[lowerCase[name]] = values
		}
	}
	switch req.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.GetBody = nil
		if req.Body == nil || req.Body == http.NoBody {
			req.Body = emptyBody{}
		}
	}
}

var lowerCase = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// emptyBody is an empty body that net/http does not know to be empty.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// Drain reads the rest of a body and closes it, so that the connection can be used again. It closes the connection
// instead when more than a few KiB remain.
func Drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, bufferBytes)
	_ = body.Close()
}
