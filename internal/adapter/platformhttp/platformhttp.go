// Package platformhttp implements the interfaces of pkg/platform over the platform's HTTP service.
//
// Errors. Each call ends in one of three ways, which the error class states exactly:
//   - The service answered. Its answer states the class.
//   - No byte of the request was written, because no connection could be opened: ErrUnavailable.
//   - Anything else, such as a broken connection, a timeout or an answer of something between client and
//     service: ErrOutcomeUnknown for calls that change state. A call that only reads has no effect, so it always
//     fails with ErrUnavailable.
//
// Retries. Each call has a retry class. Reads and writes that may be repeated without further effect are retried
// after a jittered delay, within a budget over all calls; a commit or a weight reservation never is, because
// its caller decides what a repeat means. A timeout closes idle connections, since a silent connection is often
// not the only one.
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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	api "github.com/pollenlug/pollenlug/internal/platformapi"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Options configure a Client.
type Options struct {
	// BaseURL is the address of the service, as http://IP:port.
	BaseURL string
	// Timeouts replaces the default time limits where its fields are not zero.
	Timeouts Timeouts
	// Transport is used instead of an own one when it is set.
	Transport *http.Transport
	// Jitter returns a random number from 0 to 1; nil means the global random source.
	Jitter func() float64
}

// Timeouts limits one attempt of each kind of call. The caller's deadline may be shorter.
type Timeouts struct {
	Dial   time.Duration
	Table  time.Duration
	Object time.Duration
	Folder time.Duration
	Cloud  time.Duration
	List   time.Duration
}

// DefaultTimeouts are several times the time that a healthy service needs. Objects are up to 2 MiB; a start waits
// for the cloud.
var DefaultTimeouts = Timeouts{
	Dial:   500 * time.Millisecond,
	Table:  time.Second,
	Object: 2 * time.Second,
	Folder: time.Second,
	Cloud:  10 * time.Second,
	List:   2 * time.Second,
}

const (
	// maxAttempts counts all attempts of one call.
	maxAttempts = 3
	// firstRetryDelay doubles with each retry.
	firstRetryDelay = 20 * time.Millisecond
	// budgetPerCall and budgetBurst limit retries to 10% of the calls, and 10 at once, so that an outage does
	// not multiply the load on the service.
	budgetPerCall = 0.1
	budgetBurst   = 10

	maxIdleConnections = 32
	idleTimeout        = 30 * time.Second
	// noticeGrace is the time for the answer of a long poll to arrive after the service stopped waiting.
	noticeGrace = 500 * time.Millisecond
	// noticeWait is the wait of a long poll whose caller has no deadline.
	noticeWait = 30 * time.Second
)

// Client is the connection to the service; its methods return one view for each interface of pkg/platform.
type Client struct {
	base     string
	http     *http.Client
	timeouts Timeouts
	jitter   func() float64
	budget   budget
	retries  atomic.Uint64
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
		base:     strings.TrimSuffix(o.BaseURL, "/"),
		http:     &http.Client{Transport: transport},
		timeouts: timeouts,
		jitter:   jitter,
		budget:   budget{tokens: budgetBurst},
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

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Retries returns the number of retries so far.
func (c *Client) Retries() uint64 { return c.retries.Load() }

// effect says what a repeat of a call does.
type effect int

const (
	// reads has no effect: it is retried and never fails with ErrOutcomeUnknown.
	reads effect = iota
	// repeatable has the same effect once or several times: it is retried.
	repeatable
	// once is never retried.
	once
)

// call is one kind of call.
type call struct {
	path    string
	effect  effect
	timeout time.Duration
}

// do runs a call with its retries.
func (c *Client) do(ctx context.Context, call call, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("platform: encode request: %w", err)
	}
	c.budget.add()
	unknown := false
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, call, body, response)
		if err == nil {
			return nil
		}
		// An earlier attempt may have had an effect even when the last one had none.
		unknown = unknown || errors.Is(err, platform.ErrOutcomeUnknown)
		if !c.mayRetry(ctx, call, attempt, err) {
			return final(err, unknown)
		}
		c.retries.Add(1)
	}
}

// poll runs a call that only reads once, without a retry.
func (c *Client) poll(ctx context.Context, call call, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("platform: encode request: %w", err)
	}
	return c.attempt(ctx, call, body, response)
}

func final(err error, unknown bool) error {
	if unknown && errors.Is(err, platform.ErrUnavailable) {
		return fmt.Errorf("%w: an earlier attempt may have had an effect (%s)", platform.ErrOutcomeUnknown, err.Error())
	}
	return err
}

// mayRetry waits for the delay before a retry. It returns false when there must be none.
func (c *Client) mayRetry(ctx context.Context, call call, attempt int, err error) bool {
	transient := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
	if !transient || call.effect == once || attempt >= maxAttempts || ctx.Err() != nil || !c.budget.take() {
		return false
	}
	delay := firstRetryDelay << (attempt - 1)
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
		// The header goes out with or before the body, so nothing has left this process before this point.
		WroteHeaderField: func(string, []string) { sent.Store(true) },
		WroteHeaders:     func() { sent.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+call.path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			c.http.CloseIdleConnections()
		}
		return call.broken(ctx, sent.Load(), err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, api.MaxBodyBytes+1))
	if err != nil || len(data) > api.MaxBodyBytes {
		return call.broken(ctx, true, errors.Join(err, errors.New("the answer is incomplete")))
	}
	if answer.StatusCode != http.StatusOK {
		return call.failed(answer.StatusCode, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return call.broken(ctx, true, err)
	}
	return nil
}

// broken classifies a call without an answer of the service. A context that ends during a call with an effect
// gives ErrOutcomeUnknown in any case, as platform.Table documents.
func (c call) broken(ctx context.Context, sent bool, err error) error {
	class := platform.ErrUnavailable
	if c.effect != reads && (sent || ctx.Err() != nil) {
		class = platform.ErrOutcomeUnknown
	}
	return fmt.Errorf("%w: %s: %w", class, c.path, err)
}

// failed classifies a failure that the service states.
func (c call) failed(status int, body []byte) error {
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
	if c.effect == reads {
		class = platform.ErrUnavailable
	}
	return fmt.Errorf("%w: %s: HTTP status %d", class, c.path, status)
}

// budget is a token bucket that calls fill and retries empty.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *budget) add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPerCall, budgetBurst)
}

func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
