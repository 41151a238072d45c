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
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/gateway"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/claim"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/route"
)

const (
	// maxServers bounds the servers one call is tried on.
	maxServers = 4
	// retryAfter is what callers are told when no server could take the call.
	retryAfter = time.Second
	// headerAttempt tells a service which attempt of a non-repeatable call it runs.
	headerAttempt = "X-Pollenlug-Attempt"
)

// Budget limits retries.
type Budget interface {
	// Take takes one retry from the budget and reports whether there was one.
	Take() bool
}

// Options are the parts of a Dispatcher.
type Options struct {
	Router  *route.Router
	Service backend.Service
	Budget  Budget
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
	if call.Route.NonRepeatable {
		return d.callOnce(ctx, call)
	}
	response, _, err := d.try(ctx, call, call.Request, call.Route.Idempotent)
	return response, err
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
	response, sent, err := d.try(ctx, call, request, false)
	if err != nil && !sent {
		return claim.Outcome{}, claim.NothingSent, err
	}
	if err != nil {
		return claim.Outcome{}, claim.MaybeSent, err
	}
	outcome := claim.Outcome{Status: uint32(response.Status), ContentType: response.Header.Get("Content-Type"), Body: response.Body}
	return outcome, claim.MaybeSent, nil
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
	req := route.Request{Group: call.Service.BackendGroup}
	for range maxServers {
		pick, pickErr := d.Router.Pick(&req)
		if pickErr != nil {
			break
		}
		response, err = d.sendTo(ctx, &pick, request)
		if err == nil {
			return response, true, nil
		}
		reached := !errors.Is(err, backend.ErrUnreachable)
		sent = sent || reached
		if ctx.Err() != nil || (reached && !repeatable) {
			break
		}
		if !d.Budget.Take() {
			return response, sent, code.Wrap(code.RetryBudgetExhausted, ranOf(sent), "the retry budget is spent", err).After(retryAfter)
		}
		d.Metrics.Retry(retryReason(err))
		req.Exclude = append(req.Exclude, pick.Server.ID)
	}
	return response, sent, d.failure(ctx, sent, err)
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
	if err != nil {
		result.Outcome = route.Failed
		d.Log.WithError(err).WithField("server", pick.Server.ID).Info("service call failed")
	}
	pick.Done(result)
	return response, err
}

// failure returns the refusal of a call that no server answered.
func (d *Dispatcher) failure(ctx context.Context, sent bool, err error) error {
	switch {
	case ctx.Err() != nil:
		return code.Wrap(code.DeadlineExceeded, ranOf(sent), "the deadline passed before the service answered", ctx.Err())
	case err == nil:
		return code.New(code.NoBackendServer, "no backend server can take the call").After(retryAfter)
	default:
		return code.Wrap(code.BackendFailed, ranOf(sent), "the service did not answer", err).After(retryAfter)
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
