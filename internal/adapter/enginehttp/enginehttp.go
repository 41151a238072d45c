// Package enginehttp implements backend.Engine for model engines that use JSON lines over HTTP/1.1. The package
// comment of internal/standin/engine describes the protocol.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/pkg/backend"
)

// Defaults of Options.
const (
	DefaultFirstSilence     = 5 * time.Second
	DefaultSilence          = 2 * time.Second
	DefaultMaxResponseBytes = 64 << 20
)

// maxReportBytes bounds the responses that describe the load or the cache of an engine.
const maxReportBytes = 4 << 20

var errResponseTooLarge = errors.New("enginehttp: response is too large")

// maxErrorBytes bounds the part of an error response's body that is included in the error message.
const maxErrorBytes = 256

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// FirstSilence is the read timeout until the first chunk, while the request may be queued on the engine and only
	// heartbeats arrive. Silence is the read timeout between chunks. Any received byte restarts either timeout.
	FirstSilence time.Duration
	Silence      time.Duration
	// MaxResponseBytes bounds an exported KV cache. A larger one is an error.
	MaxResponseBytes int64
	HTTP             httpclient.Options
}

// Client implements backend.Engine.
type Client struct {
	options Options
	http    *httpclient.Client
}

var _ backend.Engine = (*Client)(nil)

// New returns a client for all engines.
func New(o Options) *Client {
	if o.FirstSilence == 0 {
		o.FirstSilence = DefaultFirstSilence
	}
	if o.Silence == 0 {
		o.Silence = DefaultSilence
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &Client{o, httpclient.New(o.HTTP)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Generate implements backend.Engine. An error of emit is returned unchanged. When ctx ends after the request was
// sent, the error wraps both backend.ErrInterrupted and ctx.Err(). A stream that ends with an error closes its
// connection.
func (c *Client) Generate(ctx context.Context, addr string, req backend.GenerateRequest, emit func(backend.Chunk) error) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := startReadTimer(c.options.FirstSilence, cancel)
	defer func() {
		timer.stop()
		if timer.fired.Load() {
			c.http.RetireConns(addr)
		}
	}()
	resp, err := c.send(streamCtx, addr, "/v1/generate", body)
	if err != nil {
		return timer.classify(err)
	}
	// Closing a body before its end closes the connection.
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	err = c.readChunks(resp.Body, timer, emit)
	if err != nil && ctx.Err() != nil && isTransportError(err) {
		return fmt.Errorf("%w: %w", backend.ErrInterrupted, ctx.Err())
	}
	return err
}

// transportError is an error of the stream, as opposed to one returned by emit.
type transportError struct{ error }

// Unwrap returns the stream's error.
func (e transportError) Unwrap() error { return e.error }

func isTransportError(err error) bool {
	_, ok := err.(transportError)
	return ok
}

func (c *Client) readChunks(body io.Reader, timer *readTimer, emit func(backend.Chunk) error) error {
	lines := newLineReader(body)
	defer lines.release()
	var parser chunkParser
	timeout := c.options.FirstSilence
	for {
		line, err := lines.next(timer, timeout)
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return transportError{timer.classify(fmt.Errorf("%w: %w", backend.ErrInterrupted, err))}
		}
		if len(line) == 0 { // heartbeat
			continue
		}
		if timeout != c.options.Silence {
			timeout = c.options.Silence
			timer.shorten(timeout)
		}
		chunk, err := parser.parse(line)
		if err != nil {
			return transportError{fmt.Errorf("%w: %w", backend.ErrInterrupted, err)}
		}
		if err := emit(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			lines.finish(timer)
			return nil
		}
	}
}

// readTimer cancels a stream when a read exceeds its timeout. Arming it only stores the deadline, which is cheaper than
// resetting a timer for each token; a timer that fires before the deadline or between reads resets itself.
type readTimer struct {
	timer    *time.Timer
	start    time.Time
	timeout  atomic.Int64 // current timeout in nanoseconds
	deadline atomic.Int64 // nanoseconds after start; 0 while no read is in progress
	fired    atomic.Bool
	cancel   context.CancelFunc
}

func startReadTimer(timeout time.Duration, cancel context.CancelFunc) *readTimer {
	t := &readTimer{start: time.Now(), cancel: cancel}
	t.timeout.Store(int64(timeout))
	t.deadline.Store(int64(timeout))
	ready := make(chan struct{})
	t.timer = time.AfterFunc(timeout, func() {
		<-ready // t.timer is assigned after AfterFunc returns
		t.check()
	})
	close(ready)
	return t
}

func (t *readTimer) check() {
	deadline := t.deadline.Load()
	if deadline == 0 {
		t.timer.Reset(time.Duration(t.timeout.Load()))
		return
	}
	if left := time.Duration(deadline) - time.Since(t.start); left > 0 {
		t.timer.Reset(left)
		return
	}
	t.fired.Store(true)
	t.cancel()
}

// arm sets the deadline of a read that is about to start.
func (t *readTimer) arm(timeout time.Duration) {
	t.deadline.Store(int64(time.Since(t.start) + timeout))
}

// disarm clears the deadline: the time that the receiver of a chunk needs does not count as read time.
func (t *readTimer) disarm() { t.deadline.Store(0) }

// shorten applies a shorter timeout immediately.
func (t *readTimer) shorten(timeout time.Duration) {
	t.timeout.Store(int64(timeout))
	t.timer.Reset(timeout)
}

func (t *readTimer) stop() { t.timer.Stop() }

// classify returns backend.ErrSilent when the read timeout caused err, unless err is backend.ErrUnreachable.
func (t *readTimer) classify(err error) error {
	if !t.fired.Load() || errors.Is(err, backend.ErrUnreachable) {
		return err
	}
	return fmt.Errorf("%w: %v", backend.ErrSilent, err)
}

// Load implements backend.Engine.
func (c *Client) Load(ctx context.Context, addr string) (backend.Load, error) {
	var load backend.Load
	err := c.get(ctx, addr, "/v1/load", &load)
	return load, err
}

// CacheEvents implements backend.Engine.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]backend.CacheEvent, error) {
	var events []backend.CacheEvent
	err := c.get(ctx, addr, "/v1/cache-events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// ExportKV implements backend.Engine.
func (c *Client) ExportKV(ctx context.Context, addr, id string) ([]byte, error) {
	return c.post(ctx, addr, "/v1/kv/export?id="+url.QueryEscape(id), nil)
}

// ImportKV implements backend.Engine.
func (c *Client) ImportKV(ctx context.Context, addr, id string, kv []byte) error {
	_, err := c.post(ctx, addr, "/v1/kv/import?id="+url.QueryEscape(id), kv)
	return err
}

// Order implements backend.Engine.
func (c *Client) Order(ctx context.Context, addr string, order backend.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	_, err = c.post(ctx, addr, "/v1/orders", body)
	return err
}

func (c *Client) get(ctx context.Context, addr, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	resp, err := c.http.Exchange(req)
	if err != nil {
		return err
	}
	data, err := readResponse(resp, min(maxReportBytes, c.options.MaxResponseBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, addr, path string, body []byte) ([]byte, error) {
	resp, err := c.send(ctx, addr, path, body)
	if err != nil {
		return nil, err
	}
	return readResponse(resp, c.options.MaxResponseBytes)
}

func (c *Client) send(ctx context.Context, addr, path string, body []byte) (*httpclient.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.http.Exchange(req)
}

// readResponse reads a response of at most limit bytes.
func readResponse(resp *httpclient.Response, limit int64) ([]byte, error) {
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	httpclient.Drain(resp.Body)
	if err == nil && int64(len(data)) > limit {
		err = errResponseTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
	}
	return data, nil
}

// statusError returns the error for a response whose status is not 200. One without a text, which engines write with their
// refusals, may belong to an earlier request on the connection; the connection is closed then, so that the response that
// follows is not taken for that of the next request.
func statusError(resp *httpclient.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if resp.Reused && len(text) == 0 {
		resp.Discard()
	} else {
		httpclient.Drain(resp.Body)
	}
	class := backend.ErrInterrupted
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		class = backend.ErrRefused
	case http.StatusConflict:
		class = backend.ErrStaleFencing
	}
	return fmt.Errorf("%w: status %d: %s", class, resp.StatusCode, bytes.TrimSpace(text))
}
