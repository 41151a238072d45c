// Package platformhttp implements the interfaces of pkg/platform over the platform's HTTP service.
//
// Errors. Each call ends in one of three ways, and the error class states exactly which:
//   - The service responded. Its response states the class.
//   - No byte of the request was written, because opening a connection failed before the call's timeout or the end of
//     its context: ErrUnavailable.
//   - Anything else, such as a broken connection, a timeout or a response from an intermediary between client and
//     service: ErrOutcomeUnknown for calls that change state. A read-only call has no effect, so it always fails with
//     ErrUnavailable.
//
// Retries. Each call has a retry class. Reads and idempotent writes are retried after a jittered delay, within a budget
// shared by all calls. A commit or a weight reservation is never retried, because its caller decides what a retry
// means. A timeout closes idle connections, since an unresponsive connection is often not the only one.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	api "github.com/pollenlug/pollenlug/internal/platformapi"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Options configure a Client.
type Options struct {
	// BaseURL is the URL of the service, as http://IP:port or https://IP:port.
	BaseURL string
	// Timeouts overrides the fields of DefaultTimeouts where its own are positive.
	Timeouts Timeouts
	// Transport replaces the client's own transport when it is set.
	Transport *http.Transport
	// Jitter returns a random number in [0, 1); nil selects rand.Float64.
	Jitter func() float64
}

// Timeouts bounds one attempt of each kind of call. The caller's deadline may be shorter.
type Timeouts struct {
	Dial   time.Duration
	Table  time.Duration
	Object time.Duration
	Folder time.Duration
	Cloud  time.Duration
	List   time.Duration
}

// DefaultTimeouts are several times as long as a healthy service needs. Objects are up to 2 MiB; starting an instance waits
// for the cloud provider.
var DefaultTimeouts = Timeouts{
	Dial:   500 * time.Millisecond,
	Table:  time.Second,
	Object: 2 * time.Second,
	Folder: time.Second,
	Cloud:  10 * time.Second,
	List:   2 * time.Second,
}

const (
	// maxAttempts bounds the attempts of one call, including the first.
	maxAttempts = 3
	// initialRetryDelay is the mean delay before the first retry; it doubles with each further one.
	initialRetryDelay = 20 * time.Millisecond
	// budgetPerCall and budgetBurst limit retries to 10% of the calls plus a burst of 10, so that an outage does not
	// multiply the load on the service.
	budgetPerCall = 0.1
	budgetBurst   = 10

	maxIdleConnections = 32
	idleTimeout        = 30 * time.Second
	// noticeGrace is the time allowed for the response of a long poll to arrive after the service stopped waiting.
	noticeGrace = 500 * time.Millisecond
	// noticeWait is the wait time of a long poll whose caller has no deadline, and the maximum of all others.
	noticeWait = 30 * time.Second
)

// Client is a client of the service. It has one method for each interface of pkg/platform that returns an
// implementation of it.
type Client struct {
	base        string
	http        *http.Client
	timeouts    Timeouts
	jitter      func() float64
	retryBudget budget
	retries     atomic.Uint64
	eras        platform.Eras
}

// New returns a client. It opens no connection.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.BaseURL)
	if err != nil {
		return nil, fmt.Errorf("platform URL: %w", err)
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, fmt.Errorf("platform URL %q is not of the form http://IP:port", o.BaseURL)
	}
	timeouts := o.Timeouts.withDefaults()
	transport := o.Transport
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: timeouts.Dial}).DialContext,
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		}
	}
	jitter := o.Jitter
	if jitter == nil {
		jitter = rand.Float64
	}
	return &Client{
		base:        strings.TrimSuffix(o.BaseURL, "/"),
		http:        &http.Client{Transport: transport},
		timeouts:    timeouts,
		jitter:      jitter,
		retryBudget: budget{tokens: budgetBurst},
	}, nil
}

func (t Timeouts) withDefaults() Timeouts {
	set := func(field *time.Duration, unset time.Duration) {
		if *field <= 0 {
			*field = unset
		}
	}
	set(&t.Dial, DefaultTimeouts.Dial)
	set(&t.Table, DefaultTimeouts.Table)
	set(&t.Object, DefaultTimeouts.Object)
	set(&t.Folder, DefaultTimeouts.Folder)
	set(&t.Cloud, DefaultTimeouts.Cloud)
	set(&t.List, DefaultTimeouts.List)
	return t
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Retries returns the total number of retries.
func (c *Client) Retries() uint64 { return c.retries.Load() }

// retryClass states whether a call has an effect and whether it may be retried.
type retryClass int

const (
	// readOnly calls have no effect. They are retried and never fail with ErrOutcomeUnknown.
	readOnly retryClass = iota
	// idempotent calls have the same effect whether they run once or several times. They are retried.
	idempotent
	// nonIdempotent calls are never retried.
	nonIdempotent
)

// call describes one kind of call.
type call struct {
	path    string
	class   retryClass
	timeout time.Duration
}

// do makes a call, with retries.
func (c *Client) do(ctx context.Context, call call, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("platform: encode request: %w", err)
	}
	c.retryBudget.deposit()
	unknown := false
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, call, body, response)
		if err == nil {
			return nil
		}
		// An earlier attempt may have had an effect even when the last one had none.
		unknown = unknown || errors.Is(err, platform.ErrOutcomeUnknown)
		if !c.awaitRetry(ctx, call, attempt, err) {
			return finalError(err, unknown)
		}
		c.retries.Add(1)
	}
}

// poll makes a read-only call without retries.
func (c *Client) poll(ctx context.Context, call call, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("platform: encode request: %w", err)
	}
	return c.attempt(ctx, call, body, response)
}

func finalError(err error, unknown bool) error {
	if unknown && errors.Is(err, platform.ErrUnavailable) {
		return fmt.Errorf("%w: an earlier attempt may have had an effect (%s)", platform.ErrOutcomeUnknown, err.Error())
	}
	return err
}

// awaitRetry reports whether to retry a call. Before it returns true, it waits for the retry delay.
func (c *Client) awaitRetry(ctx context.Context, call call, attempt int, err error) bool {
	transient := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
	if !transient || call.class == nonIdempotent || attempt >= maxAttempts || ctx.Err() != nil || !c.retryBudget.withdraw() {
		return false
	}
	delay := initialRetryDelay << (attempt - 1)
	timer := time.NewTimer(time.Duration(float64(delay) * (0.5 + c.jitter())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, call call, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		// The header is sent with or before the body, so nothing has left this process before this point.
		WroteHeaderField: func(string, []string) { sent.Store(true) },
		WroteHeaders:     func() { sent.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+call.path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			c.http.CloseIdleConnections()
		}
		return call.transportError(ctx, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := httpclient.CheckHead(resp); err != nil {
		return call.transportError(ctx, true, err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, api.MaxBodyBytes+1))
	if err != nil || len(data) > api.MaxBodyBytes {
		return call.transportError(ctx, true, errors.Join(err, errors.New("the answer is incomplete")))
	}
	if !c.observeEra(resp.Header) {
		return call.transportError(ctx, true, platform.ErrEraPassed)
	}
	if resp.StatusCode != http.StatusOK {
		return call.serviceError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return call.transportError(ctx, true, err)
	}
	return nil
}

// observeEra records the era that an answer shows, if it shows any, and reports whether it is the newest one.
func (c *Client) observeEra(header http.Header) bool {
	text := header.Get(api.HeaderEra)
	if text == "" {
		return true
	}
	era, err := strconv.ParseUint(text, 10, 64)
	return err == nil && c.eras.Observe(era)
}

// transportError returns the error of a call without a response from the service. A context that ends during a call
// that changes state always gives ErrOutcomeUnknown, as platform.Table documents.
func (c call) transportError(ctx context.Context, sent bool, err error) error {
	class := platform.ErrUnavailable
	if c.class != readOnly && (sent || ctx.Err() != nil) {
		class = platform.ErrOutcomeUnknown
	}
	return fmt.Errorf("%w: %s: %w", class, c.path, err)
}

// serviceError returns the error for a failure response. A response without a known kind does not come from the service
// itself, so the outcome is unknown, as it is for the kind api.OutcomeUnknown.
func (c call) serviceError(status int, body []byte) error {
	var failure api.Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		failure.Kind = ""
	}
	switch failure.Kind {
	case api.NotFound:
		return platform.ErrNotFound
	case api.Conflict:
		return &platform.ConflictError{Failed: failure.Failed}
	case api.Unavailable:
		return fmt.Errorf("%w: %s", platform.ErrUnavailable, failure.Message)
	case api.StartRefused:
		return fmt.Errorf("%w: %s", platform.ErrStartRefused, failure.Message)
	case api.Invalid:
		return fmt.Errorf("platform: %s: %s", c.path, failure.Message)
	}
	class := platform.ErrOutcomeUnknown
	if c.class == readOnly {
		class = platform.ErrUnavailable
	}
	return fmt.Errorf("%w: %s: HTTP status %d", class, c.path, status)
}

// budget is a token bucket that calls fill and retries drain.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPerCall, budgetBurst)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
