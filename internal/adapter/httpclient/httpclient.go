// Package httpclient sends requests to backend servers over HTTP/1.1 and reports exactly whether a failed request may
// have reached the server.
//
// HTTP/2 is not used, because one unresponsive connection would then fail many requests. Redirects are not followed and
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
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// Defaults of Options.
const (
	DefaultDialTimeout        = time.Second
	DefaultIdleTimeout        = 30 * time.Second
	DefaultMaxIdleConnections = 1024
)

const (
	bufferBytes = 4 << 10
	// maxHeaderBytes limits the header of a response, interim responses included. A server in trouble may send one without
	// end.
	maxHeaderBytes = 64 << 10
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// MaxIdleConnections is the limit per server address.
	MaxIdleConnections int
	// SingleUse closes each connection after one request.
	SingleUse bool
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	transport *http.Transport

	mu    sync.Mutex
	conns map[string]map[*conn]struct{} // open connections by address
}

// New returns a client. It opens no connection.
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
		Protocols:              protocols,
		DisableCompression:     true,
		DisableKeepAlives:      o.SingleUse,
		MaxIdleConnsPerHost:    o.MaxIdleConnections,
		IdleConnTimeout:        o.IdleTimeout,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
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

// RetireConns retires all open connections to addr, so that later requests use new ones. Requests in progress keep
// their connections. It is called when a connection stops responding, because other old connections may be unresponsive
// as well while new ones work. Do calls it when a deadline passes after the request was sent.
func (c *Client) RetireConns(addr string) {
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

// ErrInvalidResponse means that the head of a response is not valid in HTTP/1 although net/http accepts it.
var ErrInvalidResponse = errors.New("httpclient: invalid response")

// maxStatus is the highest status that a response may have; see RFC 9110 section 15.
const maxStatus = 599

// CheckHead returns ErrInvalidResponse if the parsed head of a final response is not valid.
func CheckHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrInvalidResponse, resp.Proto)
	}
	// A switch of protocols is returned as a final response, with a body that reads from the connection without regard to
	// the request's context. No request asks for one.
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %q", ErrInvalidResponse, resp.Status)
	}
	// net/http rejects all other invalid bytes in names. It does not recognize a field such as "Content-Length ", so the
	// body may end elsewhere than the server meant.
	for name := range resp.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %q", ErrInvalidResponse, name)
		}
	}
	return nil
}

// Response is a response to a request, with what is known of its connection.
type Response struct {
	*http.Response
	// Reused reports whether the connection had carried other requests before. Bytes on such a connection may belong to
	// one of them.
	Reused bool
	conn   *conn
}

// Discard closes the response and its connection, on which more bytes of unknown origin may follow. Closing the body
// alone keeps the connection of a response without a body.
func (r *Response) Discard() {
	_ = r.Body.Close()
	r.conn.retire()
}

// Do sends req and returns the response once its header has arrived. An error is backend.ErrUnreachable when no byte
// of the request was sent and none can be sent later, and backend.ErrInterrupted otherwise. The transport resends a
// request only if the previous connection accepted none of its bytes, provided that the request has no body, or has
// GetBody, and is not one that net/http considers idempotent; see SendOnce.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	resp, err := c.Exchange(req)
	if err != nil {
		return nil, err
	}
	return resp.Response, nil
}

// Exchange is like Do and also returns what is known of the connection.
func (c *Client) Exchange(req *http.Request) (*Response, error) {
	var used []connUse
	var current atomic.Pointer[conn]
	reused := false
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			wrapped := info.Conn.(*conn)
			used = append(used, connUse{wrapped, wrapped.acquire()})
			reused = info.Reused
			current.Store(wrapped)
		},
		PutIdleConn: func(error) { current.Load().release() },
	}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		out := &Response{resp, reused, current.Load()}
		if err := errors.Join(CheckHead(resp), out.conn.headError()); err != nil {
			out.Discard()
			return nil, fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
		}
		return out, nil
	}
	class := backend.ErrUnreachable
	for _, u := range used {
		if !u.conn.seal(u.writes) {
			class = backend.ErrInterrupted
		}
	}
	if class == backend.ErrInterrupted && errors.Is(err, context.DeadlineExceeded) {
		c.RetireConns(req.URL.Host)
	}
	return nil, fmt.Errorf("%w: %w", class, err)
}

// connUse is a connection that a request acquired, with the number of writes on it before the request.
type connUse struct {
	conn   *conn
	writes uint64
}

// conn counts writes, which shows whether a failed request may have reached the server.
type conn struct {
	net.Conn
	client *Client
	addr   string

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed; guarded by writing

	mu      sync.Mutex
	head    headScanner
	writes  uint64
	sealed  bool
	users   int  // may briefly be 2: the transport calls PutIdleConn after it has made the connection available again
	retired bool // close the connection after the request in progress
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
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the server has ended the connection in order, which completes a
// response without a length. The system reports a broken connection once: if a write gets that error, reads return io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.head.scan(p[:n])
		c.mu.Unlock()
	}
	if err == io.EOF {
		if broken := c.brokenWrite(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// headError returns the fault that net/http hides in the head of a response on this connection.
func (c *conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.err
}

// brokenWrite returns the error of a write that has found the connection broken. It must be called after a read has
// returned io.EOF. A write in progress ends first, because it may be about to return that error.
func (c *conn) brokenWrite() error {
	if !c.writing.TryLock() {
		// What is left of the request is of no use to a server that has ended the connection.
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the write as well
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	if errors.Is(c.writeErr, syscall.EPIPE) { // the server had ended its side before it closed the connection
		return nil
	}
	return c.writeErr
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.client.untrack(c)
	return c.Conn.Close()
}

// acquire marks the connection as used by a request and returns the number of writes so far. On a retired connection
// the request fails before its first byte, and the transport uses another connection.
func (c *conn) acquire() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	c.head.begin()
	c.sealed = c.sealed || c.retired
	return c.writes
}

// release ends the use by a request and closes a retired connection that no other request uses.
func (c *conn) release() {
	c.mu.Lock()
	c.users--
	closeNow := c.users == 0 && c.retired
	c.mu.Unlock()
	if closeNow {
		_ = c.Close()
	}
}

// retire closes the connection now or, while a request uses it, when that request ends.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	idle := c.users == 0
	c.sealed = c.sealed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}

// seal prevents further writes. It returns false, without effect, when a write has started since acquire returned writes.
func (c *conn) seal(writes uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writes {
		return false
	}
	c.sealed = true
	return true
}

// SendOnce changes req so that net/http never sends it twice. The transport retries a request automatically when a
// reused connection fails without a response and the method is GET, HEAD, OPTIONS or TRACE or the header has an
// Idempotency-Key. It looks that header up under its canonical name only, and needs GetBody to resend a body.
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

// emptyBody is an empty body that net/http does not recognize as empty.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// Drain reads the rest of a body and closes it, so that the connection can be reused. When more than bufferBytes
// remain, the connection is closed instead.
func Drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, bufferBytes)
	_ = body.Close()
}
