// Package enginehttp is the backend.Engine for model engines that speak JSON lines over HTTP/1.1. The package
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
	DefaultFirstSilence = 5 * time.Second
	DefaultSilence      = 2 * time.Second
)

// maxReplyBytes bounds every answer except the stream of Generate.
const maxReplyBytes = 64 << 20

// maxErrorBytes is how much of an error's body is kept for its message.
const maxErrorBytes = 256

// Options configure a Client. Zero values mean the defaults.
type Options struct {
	// FirstSilence bounds the time without any byte until the first chunk, while the request may wait on the engine
	// and only heartbeats arrive. Silence bounds it between chunks.
	FirstSilence time.Duration
	Silence      time.Duration
	HTTP         httpclient.Options
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
	return &Client{o, httpclient.New(o.HTTP)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Generate implements backend.Engine. An error of emit is returned as it is; when ctx ends after the request was
// sent, the error is both backend.ErrInterrupted and that of ctx. A stream that ends with an error closes its
// connection.
func (c *Client) Generate(ctx context.Context, addr string, req backend.GenerateRequest, emit func(backend.Chunk) error) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := startSilence(c.options.FirstSilence, cancel)
	defer func() {
		silence.stop()
		if silence.fired.Load() {
			c.http.Renew(addr)
		}
	}()
	resp, err := c.send(streamCtx, addr, "/v1/generate", body)
	if err != nil {
		return silence.classify(err)
	}
	// Closing an incomplete body closes its connection.
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	err = c.readChunks(resp.Body, silence, emit)
	if err != nil && ctx.Err() != nil && isTransport(err) {
		return fmt.Errorf("%w: %w", backend.ErrInterrupted, ctx.Err())
	}
	return err
}

// transportError is a failure of the stream, as opposed to one of emit.
type transportError struct{ error }

// Unwrap returns the failure.
func (e transportError) Unwrap() error { return e.error }

func isTransport(err error) bool {
	_, ok := err.(transportError)
	return ok
}

func (c *Client) readChunks(body io.Reader, silence *silenceTimer, emit func(backend.Chunk) error) error {
	lines := newLineReader(body)
	defer lines.release()
	var parser chunkParser
	limit := c.options.FirstSilence
	for {
		line, err := lines.next(silence, limit)
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return transportError{silence.classify(fmt.Errorf("%w: %w", backend.ErrInterrupted, err))}
		}
		if len(line) == 0 { // heartbeat
			continue
		}
		if limit != c.options.Silence {
			limit = c.options.Silence
			silence.shorten(limit)
		}
		chunk, err := parser.parse(line)
		if err != nil {
			return transportError{fmt.Errorf("%w: %w", backend.ErrInterrupted, err)}
		}
		if err := emit(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			lines.finish(silence)
			return nil
		}
	}
}

// silenceTimer cancels a stream on which a read waits for too long. Arming it only stores the deadline, since
// resetting a timer for each token costs more; the timer moves itself when it fires early.
type silenceTimer struct {
	timer    *time.Timer
	start    time.Time
	limit    atomic.Int64 // duration of the current limit
	deadline atomic.Int64 // nanoseconds after start; 0 while no read waits
	fired    atomic.Bool
	cancel   context.CancelFunc
}

func startSilence(limit time.Duration, cancel context.CancelFunc) *silenceTimer {
	s := &silenceTimer{start: time.Now(), cancel: cancel}
	s.limit.Store(int64(limit))
	s.deadline.Store(int64(limit))
	ready := make(chan struct{})
	s.timer = time.AfterFunc(limit, func() {
		<-ready // the assignment of timer
		s.check()
	})
	close(ready)
	return s
}

func (s *silenceTimer) check() {
	deadline := s.deadline.Load()
	if deadline == 0 {
		s.timer.Reset(time.Duration(s.limit.Load()))
		return
	}
	if left := time.Duration(deadline) - time.Since(s.start); left > 0 {
		s.timer.Reset(left)
		return
	}
	s.fired.Store(true)
	s.cancel()
}

// arm starts to count for a read.
func (s *silenceTimer) arm(limit time.Duration) {
	s.deadline.Store(int64(time.Since(s.start) + limit))
}

// disarm stops counting: what the receiver of a chunk takes is no silence of the server.
func (s *silenceTimer) disarm() { s.deadline.Store(0) }

// shorten makes a smaller limit take effect from now on.
func (s *silenceTimer) shorten(limit time.Duration) {
	s.limit.Store(int64(limit))
	s.timer.Reset(limit)
}

func (s *silenceTimer) stop() { s.timer.Stop() }

// classify replaces backend.ErrInterrupted when silence was the reason. An error of another class stays.
func (s *silenceTimer) classify(err error) error {
	if !s.fired.Load() || errors.Is(err, backend.ErrUnreachable) {
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

func (c *Client) get(ctx context.Context, addr, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	data, err := readReply(resp)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, addr, path string, body []byte) ([]byte, error) {
	resp, err := c.send(ctx, addr, path, body)
	if err != nil {
		return nil, err
	}
	return readReply(resp)
}

func (c *Client) send(ctx context.Context, addr, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}

func readReply(resp *http.Response) ([]byte, error) {
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	httpclient.Drain(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
	}
	return data, nil
}

// statusError returns the error for an answer other than 200.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	httpclient.Drain(resp.Body)
	class := backend.ErrInterrupted
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		class = backend.ErrRefused
	case http.StatusConflict:
		class = backend.ErrStaleFencing
	}
	return fmt.Errorf("%w: status %d: %s", class, resp.StatusCode, bytes.TrimSpace(text))
}
