// Package dispatch sends calls to plain services.
//
// The route of a call determines how failures are handled. A non-repeatable call runs under a claim and fails over to
// another server only while no byte of it has left this node. An idempotent call is retried on other servers within the
// retry budget. Any other call runs without a claim and fails over like a non-repeatable one. A call that fails after
// it may have reached a server gets an error with ran:"unknown".
package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/gateway"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/claim"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// maxServers bounds the number of servers that one call, or one query for its outcome, is tried on.
	maxServers = 4
	// retryAfter is the Retry-After delay that callers get when no server could take the call or responded to it, or
	// when the retry budget is spent.
	retryAfter = time.Second
	// outcomeQueryInterval is how often the service is queried for the outcome of a non-repeatable call in progress.
	outcomeQueryInterval = time.Second
	// attemptTimeDivisor limits one server to this fraction (1/n) of an idempotent call's remaining time. The last
	// server gets all of the rest.
	attemptTimeDivisor = 4
	// strikeDigestBytes is the length to which digests are truncated, to keep the keys of gossiped strikes short.
	strikeDigestBytes = 8
	// heldPollInterval is how often a call retries to begin after Strikes has refused its run.
	heldPollInterval = 100 * time.Millisecond
	// attemptHeader carries the attempt id of a non-repeatable call to the service.
	attemptHeader = "X-Pollenlug-Attempt"
)

// Budget limits retries.
type Budget interface {
	// Request counts a first attempt, which adds to the budget.
	Request()
	// Withdraw takes one retry from the budget and reports whether one was available.
	Withdraw() bool
}

// Strikes tracks the requests that crash servers; see generate.Strikes.
type Strikes interface {
	State(req strike.Request) (state strike.State, wait time.Duration)
	TryStart(server *route.Server, req strike.Request) (answering func(), end func(strike.Outcome), ok bool)
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Router  *route.Router
	Service backend.Service
	Budget  Budget
	Strikes Strikes
	// Health receives the success or failure of each call, by server.
	Health  interface{ Observe(server string, ok bool) }
	Config  func() *config.Index
	Metrics *metrics.Set
	Log     *logrus.Entry
}

// Dispatcher sends calls to plain services.
type Dispatcher struct {
	Options
	claims *claim.Claims
}

// New returns a Dispatcher. UseClaims must be called before the first call.
func New(opts Options) *Dispatcher { return &Dispatcher{Options: opts} }

// UseClaims sets the claims that protect non-repeatable calls from running twice. It is separate from New because the
// claims in turn query the Dispatcher for outcomes.
func (d *Dispatcher) UseClaims(claims *claim.Claims) { d.claims = claims }

// Call implements gateway.Services.
func (d *Dispatcher) Call(ctx context.Context, call gateway.ServiceCall) (backend.CallResponse, error) {
	d.Budget.Request()
	if state, _ := d.Strikes.State(strike.Request{Digest: contentDigest(call)}); state == strike.Quarantined {
		return backend.CallResponse{}, code.New(code.RequestQuarantined, "this call has crashed backend servers")
	}
	if call.Route.NonRepeatable {
		return d.callNonRepeatable(ctx, call)
	}
	response, _, err := d.callServers(ctx, call, call.Request, call.Route.Idempotent)
	return response, err
}

// contentDigest returns the key of a call's strikes. It does not depend on who sends the call.
func contentDigest(call gateway.ServiceCall) string {
	sum := digest(call.Service.Name, call.Request)
	return hex.EncodeToString(sum[:strikeDigestBytes])
}

// callNonRepeatable runs a non-repeatable call under a claim.
func (d *Dispatcher) callNonRepeatable(ctx context.Context, call gateway.ServiceCall) (backend.CallResponse, error) {
	claimCall := claim.Call{
		Workspace: call.Workspace.Name,
		Key:       call.Key,
		Service:   call.Service.Name,
		Digest:    digest(call.Service.Name, call.Request),
	}
	outcome, err := d.claims.Do(ctx, claimCall, func(ctx context.Context, attempt string) (claim.Outcome, claim.Sent, error) {
		ctx, cancel := context.WithTimeout(ctx, call.Service.Timeout)
		defer cancel()
		return d.send(ctx, call, attempt)
	})
	if err != nil {
		return backend.CallResponse{}, err
	}
	header := http.Header{}
	header.Set("Content-Type", outcome.ContentType)
	return backend.CallResponse{Status: int(outcome.Status), Header: header, Body: outcome.Body}, nil
}

func (d *Dispatcher) send(ctx context.Context, call gateway.ServiceCall, attempt string) (claim.Outcome, claim.Sent, error) {
	request := call.Request
	request.Header = request.Header.Clone()
	request.Header.Set(gateway.HeaderIdempotencyKey, call.Workspace.Name+"/"+call.Key)
	request.Header.Set(attemptHeader, attempt)
	request.NewConnection = true
	results := make(chan callResult, 1)
	go func() {
		response, sent, err := d.callServers(ctx, call, request, false)
		results <- callResult{response, sent, err}
	}()
	return d.awaitOutcome(ctx, call, attempt, results)
}

// callResult is the result of a call to a service; sent reports whether a server may have received any of it.
type callResult struct {
	response backend.CallResponse
	sent     bool
	err      error
}

// awaitOutcome waits for the response to a non-repeatable call. While there is none, it queries the service for the
// outcome on another connection: the connection of the call may have gone silent after the call ran.
func (d *Dispatcher) awaitOutcome(ctx context.Context, call gateway.ServiceCall, attempt string, results <-chan callResult) (claim.Outcome, claim.Sent, error) {
	ticker := time.NewTicker(outcomeQueryInterval)
	defer ticker.Stop()
	for {
		select {
		case result := <-results:
			return result.outcome()
		case <-ticker.C:
			claimCall := claim.Call{Workspace: call.Workspace.Name, Key: call.Key, Service: call.Service.Name}
			out, found, err := d.Outcome(ctx, claimCall, attempt)
			if found && err == nil {
				d.Metrics.Retry("service_outcome")
				return out, claim.MaybeSent, nil
			}
		}
	}
}

func (r callResult) outcome() (claim.Outcome, claim.Sent, error) {
	if r.err != nil && !r.sent {
		return claim.Outcome{}, claim.NothingSent, r.err
	}
	if r.err != nil {
		return claim.Outcome{}, claim.MaybeSent, r.err
	}
	response := r.response
	return claim.Outcome{Status: uint32(response.Status), ContentType: response.Header.Get("Content-Type"), Body: response.Body}, claim.MaybeSent, nil
}

// digest returns a hash of a call's content. It includes the service, because idempotency keys are unique per
// workspace, not per service.
func digest(service string, request backend.CallRequest) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{service, request.Method, request.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(request.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// callServers sends a call to the servers of its group, one after the other, until one responds. Unless the call is
// idempotent it stops at the first server that may have received a byte. sent reports whether any server may have.
func (d *Dispatcher) callServers(ctx context.Context, call gateway.ServiceCall, request backend.CallRequest, idempotent bool) (
	response backend.CallResponse, sent bool, err error) {
	content := contentDigest(call)
	req := route.Request{Group: call.Service.BackendGroup}
	// A status such as 429 is the service's own only on a connection that has carried no other call.
	request.NewConnection = request.NewConnection || !idempotent
	for i := range maxServers {
		var current *serverCall
		current, err = d.begin(ctx, &req, content)
		if err != nil {
			break
		}
		response, err = current.sendWithTimeLimit(ctx, request, idempotent && i < maxServers-1)
		if err == nil {
			return response, true, nil
		}
		maybeReceived := !errors.Is(err, backend.ErrUnreachable)
		sent = sent || maybeReceived
		if ctx.Err() != nil || (maybeReceived && !idempotent) {
			break
		}
		if !d.Budget.Withdraw() {
			err = code.Wrap(code.RetryBudgetExhausted, code.RanUnknown, "the retry budget is spent", err).WithRetryAfter(retryAfter)
			break
		}
		d.Metrics.Retry(retryReason(err))
		request.NewConnection = request.NewConnection || errors.Is(err, backend.ErrRefused)
		req.Exclude = append(req.Exclude, current.pick.Server.ID)
	}
	return response, sent, d.callError(ctx, sent, err)
}

// serverCall is one run of a call on one server.
type serverCall struct {
	dispatcher *Dispatcher
	pick       route.Pick
	end        func(strike.Outcome)
}

// begin picks a server and registers the run with Strikes: if the server crashes during the run, the call may get a
// strike. begin waits while a decision on the call's strikes is pending or another run of the same content must end
// first.
func (d *Dispatcher) begin(ctx context.Context, req *route.Request, content string) (*serverCall, error) {
	for {
		state, wait := d.Strikes.State(strike.Request{Digest: content})
		if state == strike.Quarantined {
			return nil, code.New(code.RequestQuarantined, "this call has crashed backend servers")
		}
		if state != strike.Held {
			req.Isolate, req.IsolateKey = state == strike.Isolate, content
			pick, err := d.Router.Pick(req)
			if err != nil {
				return nil, code.Wrap(code.NoBackendServer, code.RanNo, "no backend server can take the call", err).WithRetryAfter(retryAfter)
			}
			if _, end, ok := d.Strikes.TryStart(pick.Server, strike.Request{Digest: content}); ok {
				return &serverCall{d, pick, end}, nil
			}
			pick.Done(route.Result{Outcome: route.Cancelled})
			wait = heldPollInterval
		}
		d.Metrics.Retry("held")
		if !clock.Sleep(ctx, wait) {
			return nil, ctx.Err()
		}
	}
}

// sendWithTimeLimit sends the call. If the call can be retried on another server, this one gets only a part of the
// remaining time: its connection may have gone silent, which, without a response, cannot be distinguished from a slow
// call.
func (c *serverCall) sendWithTimeLimit(ctx context.Context, request backend.CallRequest, canRetry bool) (backend.CallResponse, error) {
	deadline, ok := ctx.Deadline()
	if !canRetry || !ok {
		return c.send(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/attemptTimeDivisor)
	defer cancel()
	return c.send(ctx, request)
}

func (c *serverCall) send(ctx context.Context, request backend.CallRequest) (backend.CallResponse, error) {
	response, err := c.dispatcher.sendTo(ctx, &c.pick, request)
	switch {
	case err == nil && response.Status >= http.StatusInternalServerError:
		c.end(strike.Abandoned) // a failing server may answer so without running the call
	case err == nil:
		c.end(strike.Completed)
	case errors.Is(err, backend.ErrInterrupted) && ctx.Err() != nil:
		c.end(strike.Disconnected)
	case errors.Is(err, backend.ErrInterrupted):
		c.end(strike.Interrupted)
	default:
		c.end(strike.Abandoned)
	}
	return response, err
}

func retryReason(err error) string {
	switch {
	case errors.Is(err, backend.ErrUnreachable):
		return "service_unreachable"
	case errors.Is(err, backend.ErrRefused):
		return "service_refused"
	case errors.Is(err, backend.ErrSilent):
		return "service_silent"
	default:
		return "service_interrupted"
	}
}

func (d *Dispatcher) sendTo(ctx context.Context, pick *route.Pick, request backend.CallRequest) (backend.CallResponse, error) {
	start := time.Now()
	response, err := d.Service.Call(ctx, pick.Server.Addr, request)
	result := route.Result{FirstToken: time.Since(start), Outcome: route.Succeeded}
	d.Health.Observe(pick.Server.ID, err == nil || errors.Is(err, backend.ErrRefused))
	if err != nil {
		result.Outcome = route.Failed
		d.Log.WithError(err).WithField("server", pick.Server.ID).Info("service call failed")
	}
	pick.Done(result)
	return response, err
}

// callError returns the error for a call that got no response. It has ran:"no" only if no server can have received any
// of the call, and ran:"unknown" otherwise.
func (d *Dispatcher) callError(ctx context.Context, sent bool, err error) error {
	var refusal *code.Error
	switch {
	case ctx.Err() != nil:
		return code.Wrap(code.DeadlineExceeded, ranStatus(sent), "the deadline passed before the service answered", ctx.Err())
	case errors.As(err, &refusal):
		return refusal.WithRan(ranStatus(sent))
	default:
		return code.Wrap(code.BackendFailed, ranStatus(sent), "the service did not answer", err).WithRetryAfter(retryAfter)
	}
}

func ranStatus(sent bool) code.Ran {
	if sent {
		return code.RanUnknown
	}
	return code.RanNo
}

// Outcome implements claim.Outcomes: it queries the servers of a service whose backend group has an outcome path. A
// service responds with 200 and the stored response, or with 404 if it does not know the key.
func (d *Dispatcher) Outcome(ctx context.Context, call claim.Call, _ string) (claim.Outcome, bool, error) {
	index := d.Config()
	if index == nil {
		return claim.Outcome{}, false, nil
	}
	service, ok := index.Service(call.Service)
	if !ok || service.Group.OutcomePath == "" {
		return claim.Outcome{}, false, nil
	}
	key := call.Workspace + "/" + call.Key
	request := backend.CallRequest{
		Method: http.MethodGet,
		Path:   service.Group.OutcomePath + "?key=" + url.QueryEscape(key),
		Header: http.Header{},
	}
	req := route.Request{Group: service.BackendGroup}
	for range maxServers {
		pick, err := d.Router.Pick(&req)
		if err != nil {
			return claim.Outcome{}, false, nil
		}
		response, err := d.sendTo(ctx, &pick, request)
		if err == nil && response.Status == http.StatusOK {
			return claim.Outcome{Status: http.StatusOK, ContentType: response.Header.Get("Content-Type"), Body: response.Body}, true, nil
		}
		req.Exclude = append(req.Exclude, pick.Server.ID)
	}
	return claim.Outcome{}, false, nil
}
