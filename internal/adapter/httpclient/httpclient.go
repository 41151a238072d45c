// Package httpclient sends requests to backend servers over HTTP/1.1 and tells exactly whether a failed request can
// have reached the server.
//
// HTTP/2 is not used: one silent connection would then take many requests with it. Redirects are not followed and
// no proxy is used.
package httpclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
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
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client sends requests.
type Client struct {
	transport *http.Transport
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
	return &Client{&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
			defer cancel()
			c, err := o.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		Protocols:           protocols,
		DisableCompression:  true,
		MaxIdleConnsPerHost: o.MaxIdleConnections,
		IdleConnTimeout:     o.IdleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends req and returns the response once its header is there. An error is backend.ErrUnreachable when no byte
// of the request has left and none can leave later, and backend.ErrInterrupted otherwise. The transport sends a
// request again only after a connection that took none of its bytes, provided that the request has no body, or has
// GetBody, and is not one of those that net/http takes for idempotent; see SendOnce.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var used []use
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if wrapped, ok := info.Conn.(*conn); ok {
			used = append(used, use{wrapped, wrapped.count()})
		}
	}}
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

	mu     sync.Mutex
	writes uint64
	sealed bool
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

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
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
