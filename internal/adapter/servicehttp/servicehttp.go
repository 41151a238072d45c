// Package servicehttp implements backend.Service for plain services over HTTP/1.1.
package servicehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/target"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/proof"
)

// DefaultMaxAnswerBytes is the default of Options.MaxAnswerBytes.
const DefaultMaxAnswerBytes = 16 << 20

// DefaultLoadPath is the default of Options.LoadPath.
const DefaultLoadPath = "/v1/load"

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// MaxAnswerBytes bounds the body of a response.
	MaxAnswerBytes int64
	// LoadPath is the path at which services report their load.
	LoadPath string
	HTTP     httpclient.Options
}

// Client implements backend.Service.
type Client struct {
	options   Options
	http      *httpclient.Client
	singleUse *httpclient.Client // uses each connection for one request only
}

var _ backend.Service = (*Client)(nil)

var errResponseTooLarge = errors.New("servicehttp: response is too large")

// New returns a client for all plain services.
func New(o Options) *Client {
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.LoadPath == "" {
		o.LoadPath = DefaultLoadPath
	}
	singleUse := o.HTTP
	singleUse.SingleUse = true
	return &Client{o, httpclient.New(o.HTTP), httpclient.New(singleUse)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
	c.singleUse.Close()
}

// Call implements backend.Service. It sends the request at most once. When ctx ends after that, the error wraps both
// backend.ErrInterrupted and the error of ctx. Status 503 gives backend.ErrRefused, and so does another status that
// promises that the call has not run, on a connection that has carried other calls: nothing shows that it belongs to this
// one. Any other status is returned as a response.
func (c *Client) Call(ctx context.Context, addr string, call backend.CallRequest) (backend.CallResponse, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+addr, bytes.NewReader(call.Body))
	if err != nil {
		return backend.CallResponse{}, fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	if !target.Set(req.URL, call.Path) {
		return backend.CallResponse{}, fmt.Errorf("%w: the target %q cannot be sent unchanged", backend.ErrUnreachable, call.Path)
	}
	req.Header = endToEnd(call.Header)
	if host := call.Header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	httpclient.SendOnce(req)
	client := c.http
	if call.NewConnection {
		client = c.singleUse
	}
	resp, err := client.Exchange(req)
	if err != nil {
		return backend.CallResponse{}, err
	}
	defer resp.Body.Close()
	if unproven := resp.Reused && proof.PromisesNotRun(resp.StatusCode); unproven {
		resp.Discard() // the response of this call may follow and must not be taken for that of the next one
		return backend.CallResponse{}, fmt.Errorf("%w: status %d on a kept connection", backend.ErrRefused, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxAnswerBytes+1))
	if err == nil && int64(len(body)) > c.options.MaxAnswerBytes {
		err = errResponseTooLarge
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return backend.CallResponse{}, fmt.Errorf("%w: status %d", backend.ErrRefused, resp.StatusCode)
	case err != nil:
		return backend.CallResponse{}, fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
	}
	return backend.CallResponse{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

// Load implements backend.Service.
func (c *Client) Load(ctx context.Context, addr string) (backend.Load, error) {
	var load backend.Load
	resp, err := c.Call(ctx, addr, backend.CallRequest{Method: http.MethodGet, Path: c.options.LoadPath})
	if err != nil {
		return load, err
	}
	if resp.Status != http.StatusOK {
		return load, fmt.Errorf("%w: status %d", backend.ErrInterrupted, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, &load); err != nil {
		return load, fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
	}
	return load, nil
}

// hopByHopHeaders apply to a single connection; see RFC 9110 section 7.6.1.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
