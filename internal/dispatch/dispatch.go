// Package dispatch sends calls to plain services.
//
// How a call is treated follows from its route. A non-repeatable call runs under a claim and is sent to another
// server only while no byte of it has left this node. An idempotent call is retried on other servers within the
// retry budget. Any other call is sent once, with other servers only while nothing has left. A call that fails
// after it was sent is answered ran:"unknown".
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
	// maxServers bounds the servers one call is tried on.
	maxServers = 4
	// retryAfter is what callers are told when no server could take the call.
	retryAfter = time.Second
	// outcomeInterval is how long a non-repeatable call is waited for before the service is asked for its outcome.
	outcomeInterval = time.Second
	// tryShare is the part of a repeatable call's time that one server gets, as a divisor; the last server gets the rest.
	tryShare = 4
	// strikeDigestBytes keeps the keys of gossiped strikes short.
	strikeDigestBytes = 8
	// heldPoll is how often a call that must not run now asks again.
	heldPoll = 100 * time.Millisecond
	// headerAttempt tells a service which attempt of a non-repeatable call it runs.
	headerAttempt = "X-Pollenlug-Attempt"
)

// Budget limits retries.
type Budget interface {
	// Request counts a first attempt, which adds to the budget.
	Request()
	// Take takes one retry from the budget and reports whether there was one.
	Take() bool
}

// Strikes knows the requests that crash servers; see generate.Strikes.
type Strikes interface {
	State(digest string) (state strike.State, wait time.Duration)
	Begin(server *route.Server, digest string) (end func(strike.Outcome), ok bool)
}

// Options are the parts of a Dispatcher.
type Options struct {
	Router  *route.Router
	Service backend.Service
	Budget  Budget
	Strikes Strikes
	// Health learns which servers fail.
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

// UseClaims sets the claims that guard non-repeatable calls; they ask the Dispatcher for outcomes.
func (d *Dispatcher) UseClaims(claims *claim.Claims) { d.claims = claims }

// Call implements gateway.Services.
func (d *Dispatcher) Call(ctx context.Context, call gateway.ServiceCall) (backend.CallResponse, error) {
	d.Budget.Request()
	if state, _ := d.Strikes.State(contentOf(call)); state == strike.Quarantined {
		return backend.CallResponse{}, code.New(code.RequestQuarantined, "this call has crashed two backend servers")
	}
	if call.Route.NonRepeatable {
		return d.callOnce(ctx, call)
	}
	response, _, err := d.try(ctx, call, call.Request, call.Route.Idempotent)
	return response, err
}

// contentOf identifies what a call asks for, whoever sends it, for strikes.
func contentOf(call gateway.ServiceCall) string {
	sum := digest(call.Service.Name, call.Request)
	return hex.EncodeToString(sum[:strikeDigestBytes])
}

// callOnce runs a non-repeatable call under a claim.
func (d *Dispatcher) callOnce(ctx context.Context, call gateway.ServiceCall) (backend.CallResponse, error) {
	claimed := claim.Call{
		Workspace: call.Workspace.Name,
		Key:       call.Key,
		Service:   call.Service.Name,
		Digest:    digest(call.Service.Name, call.Request),
	}
	outcome, err := d.claims.Do(ctx, claimed, func(ctx context.Context, attempt string) (claim.Outcome, claim.Sent, error) {
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
	request.Header.Set(headerAttempt, attempt)
	request.NewConnection = true
	answered := make(chan answer, 1)
	go func() {
		response, sent, err := d.try(ctx, call, request, false)
		answered <- answer{response, sent, err}
	}()
	return d.awaitOutcome(ctx, call, attempt, answered)
}

// answer is how a call to a service ended.
type answer struct {
	response backend.CallResponse
	sent     bool
	err      error
}

// awaitOutcome waits for the answer of a non-repeatable call. When it is late, the service is asked for the outcome on
// another connection: the one of the call may have gone silent after the call ran.
func (d *Dispatcher) awaitOutcome(ctx context.Context, call gateway.ServiceCall, attempt string, answered <-chan answer) (claim.Outcome, claim.Sent, error) {
	ticker := time.NewTicker(outcomeInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-answered:
			return a.outcome()
		case <-ticker.C:
			claimed := claim.Call{Workspace: call.Workspace.Name, Key: call.Key, Service: call.Service.Name}
			out, found, err := d.Outcome(ctx, claimed, attempt)
			if found && err == nil {
				d.Metrics.Retry("service_outcome")
				return out, claim.MaybeSent, nil
			}
		}
	}
}

func (a answer) outcome() (claim.Outcome, claim.Sent, error) {
	if a.err != nil && !a.sent {
		return claim.Outcome{}, claim.NothingSent, a.err
	}
	if a.err != nil {
		return claim.Outcome{}, claim.MaybeSent, a.err
	}
	response := a.response
	return claim.Outcome{Status: uint32(response.Status), ContentType: response.Header.Get("Content-Type"), Body: response.Body}, claim.MaybeSent, nil
}

// digest identifies a call's content. It covers the service, since a key is unique in its workspace and not only in
// one service.
func digest(service string, request backend.CallRequest) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{service, request.Method, request.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(request.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// try sends a call to servers of its group until one answers. Unless the call is repeatable it stops at the first
// server that may have received a byte. Sent tells whether any server may have.
func (d *Dispatcher) try(ctx context.Context, call gateway.ServiceCall, request backend.CallRequest, repeatable bool) (
	response backend.CallResponse, sent bool, err error) {
	content := contentOf(call)
	req := route.Request{Group: call.Service.BackendGroup}
	for try := range maxServers {
		var run *run
		run, err = d.begin(ctx, &req, content)
		if err != nil {
			break
		}
		response, err = run.sendWithin(ctx, request, repeatable && try < maxServers-1)
		if err == nil {
			return response, true, nil
		}
		reached := !errors.Is(err, backend.ErrUnreachable)
		sent = sent || reached
		if ctx.Err() != nil || (reached && !repeatable) {
			break
		}
		if !d.Budget.Take() {
			err = code.Wrap(code.RetryBudgetExhausted, code.RanUnknown, "the retry budget is spent", err).WithRetryAfter(retryAfter)
			break
		}
		d.Metrics.Retry(retryReason(err))
		req.Exclude = append(req.Exclude, run.pick.Server.ID)
	}
	return response, sent, d.failure(ctx, sent, err)
}

// run is one call on one server.
type run struct {
	dispatcher *Dispatcher
	pick       route.Pick
	end        func(strike.Outcome)
}

// begin chooses a server and counts the run, which may earn the call a strike. It waits while a decision on the call's
// strikes is pending or another run of the same content must end first.
func (d *Dispatcher) begin(ctx context.Context, req *route.Request, content string) (*run, error) {
	for {
		state, wait := d.Strikes.State(content)
		if state == strike.Quarantined {
			return nil, code.New(code.RequestQuarantined, "this call has crashed two backend servers")
		}
		if state != strike.Held {
			req.Isolate, req.IsolateKey = state == strike.Isolate, content
			pick, err := d.Router.Pick(req)
			if err != nil {
				return nil, code.Wrap(code.NoBackendServer, code.RanNo, "no backend server can take the call", err).WithRetryAfter(retryAfter)
			}
			if end, ok := d.Strikes.Begin(pick.Server, content); ok {
				return &run{d, pick, end}, nil
			}
			pick.Done(route.Result{Outcome: route.Cancelled})
			wait = heldPoll
		}
		d.Metrics.Retry("held")
		if !clock.Sleep(ctx, wait) {
			return nil, ctx.Err()
		}
	}
}

// sendWithin sends the call. A server that may be passed over gets a part of the time only: its connection may have
// gone silent, which without an answer cannot be told from a slow call.
func (r *run) sendWithin(ctx context.Context, request backend.CallRequest, mayPass bool) (backend.CallResponse, error) {
	deadline, ok := ctx.Deadline()
	if !mayPass || !ok {
		return r.send(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/tryShare)
	defer cancel()
	return r.send(ctx, request)
}

func (r *run) send(ctx context.Context, request backend.CallRequest) (backend.CallResponse, error) {
	response, err := r.dispatcher.sendTo(ctx, &r.pick, request)
	switch {
	case err == nil:
		r.end(strike.Completed)
	case ctx.Err() == nil && errors.Is(err, backend.ErrInterrupted):
		r.end(strike.Interrupted)
	default:
		r.end(strike.Abandoned)
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
	begin := time.Now()
	response, err := d.Service.Call(ctx, pick.Server.Addr, request)
	result := route.Result{FirstToken: time.Since(begin), Outcome: route.Succeeded}
	d.Health.Observe(pick.Server.ID, err == nil || errors.Is(err, backend.ErrRefused))
	if err != nil {
		result.Outcome = route.Failed
		d.Log.WithError(err).WithField("server", pick.Server.ID).Info("service call failed")
	}
	pick.Done(result)
	return response, err
}

// failure returns the refusal of a call that no server answered. Its ran says no only when nothing was sent.
func (d *Dispatcher) failure(ctx context.Context, sent bool, err error) error {
	var refusal *code.Error
	switch {
	case ctx.Err() != nil:
		return code.Wrap(code.DeadlineExceeded, ranOf(sent), "the deadline passed before the service answered", ctx.Err())
	case errors.As(err, &refusal):
		return refusal.WithRan(ranOf(sent))
	default:
		return code.Wrap(code.BackendFailed, ranOf(sent), "the service did not answer", err).WithRetryAfter(retryAfter)
	}
}

func ranOf(sent bool) code.Ran {
	if sent {
		return code.RanUnknown
	}
	return code.RanNo
}

// Outcome implements claim.Outcomes: it asks the servers of a service that can be queried. A service answers 200 with
// the stored answer, and 404 when it does not know the key.
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
