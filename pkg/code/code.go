// Package code defines the numbered result codes of the system and the error type that carries them.
//
// Every error response to a caller has one code. The number is stable: clients and dashboards rely on it, so a code is
// never reused. The thousands digit gives the class: 1 malformed requests, 2 credentials, 3 load and limits,
// 4 non-repeatable calls, 5 backend servers, 6 the system itself.
package code

import (
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Code is a numbered result code. Zero means success.
type Code uint32

// Ran reports whether a failed request ran on a backend server.
type Ran string

// Values of Ran. RanNo is a guarantee: the request did not run and never will through this attempt.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// The result codes.
const (
	OK                     Code = 0
	MalformedRequest       Code = 1001
	BodyTooLarge           Code = 1002
	UnknownModel           Code = 1003
	UnknownService         Code = 1004
	IdempotencyKeyRequired Code = 1005
	IdempotencyKeyReused   Code = 1006
	UnknownResponse        Code = 1007
	InvalidEventID         Code = 1008
	NotFound               Code = 1009
	MethodNotAllowed       Code = 1010
	ContextTooLong         Code = 1011
	HeaderTooLarge         Code = 1012
	TokenMissing           Code = 2001
	TokenRefused           Code = 2002
	NotPermitted           Code = 2003
	RequestRateLimited     Code = 3001
	TokenRateLimited       Code = 3002
	ConcurrencyLimited     Code = 3003
	QueueFull              Code = 3004
	DeadlineUnreachable    Code = 3005
	RetryBudgetExhausted   Code = 3006
	NodeLeaving            Code = 3007
	OutcomeUnknown         Code = 4001
	CallInProgress         Code = 4002
	ClaimStoreUnavailable  Code = 4003
	NoBackendServer        Code = 5001
	BackendFailed          Code = 5002
	RequestQuarantined     Code = 5003
	DeadlineExceeded       Code = 5004
	CallerGone             Code = 5005
	NoConfiguration        Code = 6001
	ReplicationUnavailable Code = 6002
	Internal               Code = 6003
)

// Info describes one code.
type Info struct {
	Code   Code
	Name   string
	Status int    // HTTP status
	Help   string // one sentence for operators
}

// table is in ascending order of code. A test compares docs/result-codes.md with it.
var table = []Info{
	{OK, "ok", http.StatusOK, "The request succeeded."},
	{MalformedRequest, "malformed_request", http.StatusBadRequest, "The body or a parameter cannot be parsed."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is larger than max_body_kib."},
	{UnknownModel, "unknown_model", http.StatusNotFound, "No model of this name is configured."},
	{UnknownService, "unknown_service", http.StatusNotFound, "No service of this name is configured."},
	{IdempotencyKeyRequired, "idempotency_key_required", http.StatusBadRequest, "The route is non-repeatable and needs an Idempotency-Key header of 1 to 255 bytes."},
	{IdempotencyKeyReused, "idempotency_key_reused", http.StatusUnprocessableEntity, "The key was used before with another method, path or body."},
	{UnknownResponse, "unknown_response", http.StatusNotFound, "No live node holds this response, or its retention has ended."},
	{InvalidEventID, "invalid_event_id", http.StatusBadRequest, "Last-Event-ID is not an event of this response."},
	{NotFound, "not_found", http.StatusNotFound, "The path does not exist."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, "The path does not take this method."},
	{ContextTooLong, "context_too_long", http.StatusBadRequest, "Prompt and answer exceed the model's context."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, "The header is larger than the configuration allows."},
	{TokenMissing, "token_missing", http.StatusUnauthorized, "The request has no bearer token."},
	{TokenRefused, "token_refused", http.StatusUnauthorized, "The bearer token belongs to no workspace."},
	{NotPermitted, "not_permitted", http.StatusForbidden, "The workspace may not use this model or service."},
	{RequestRateLimited, "request_rate_limited", http.StatusTooManyRequests, "The workspace is over its request rate."},
	{TokenRateLimited, "token_rate_limited", http.StatusTooManyRequests, "The workspace is over its token rate."},
	{ConcurrencyLimited, "concurrency_limited", http.StatusTooManyRequests, "The workspace has too many open requests."},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, "The queue in front of the backend servers is full."},
	{DeadlineUnreachable, "deadline_unreachable", http.StatusServiceUnavailable, "The request would not be served before its deadline."},
	{RetryBudgetExhausted, "retry_budget_exhausted", http.StatusServiceUnavailable, "An attempt failed and the retry budget is spent."},
	{NodeLeaving, "node_leaving", http.StatusServiceUnavailable, "The entry node is leaving and knows no live node."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, "The non-repeatable call may have run; its outcome is not known."},
	{CallInProgress, "call_in_progress", http.StatusConflict, "Another request with the same key is still running."},
	{ClaimStoreUnavailable, "claim_store_unavailable", http.StatusServiceUnavailable, "The table service did not confirm the claim; the call was not sent."},
	{NoBackendServer, "no_backend_server", http.StatusServiceUnavailable, "No backend server can take the request."},
	{BackendFailed, "backend_failed", http.StatusBadGateway, "The backend servers that were tried failed."},
	{RequestQuarantined, "request_quarantined", http.StatusUnprocessableEntity, "The request, or a part of its prompt that other requests have too, has crashed backend servers. With a part, the time to return is that of its next trial."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, "The deadline passed before the answer was complete."},
	{CallerGone, "caller_gone", 499, "The caller closed the connection; used in logs and counters only."},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, "The node has no configuration in force yet."},
	{ReplicationUnavailable, "replication_unavailable", http.StatusServiceUnavailable, "No second node could take a copy of the request."},
	{Internal, "internal", http.StatusInternalServerError, "A fault in the system; the log line with the request id has details."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()

// All returns every code, in ascending order.
func All() []Info { return append([]Info(nil), table...) }

// Info returns the description of c, or that of Internal if c is not a known code.
func (c Code) Info() Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// String returns the name of c.
func (c Code) String() string { return c.Info().Name }

// Error is an error with a result code.
type Error struct {
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration // 0 when a retry does not help
	cause      error
}

// New returns an Error for a request that did not run.
func New(c Code, message string) *Error {
	return &Error{Code: c, Ran: RanNo, Message: message}
}

// Wrap returns an Error with a cause. The cause is logged but never sent to callers.
func Wrap(c Code, ran Ran, message string, cause error) *Error {
	return &Error{Code: c, Ran: ran, Message: message, cause: merry.Wrap(cause)}
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// WithRan returns a copy of e with another value of Ran.
func (e *Error) WithRan(ran Ran) *Error {
	out := *e
	out.Ran = ran
	return &out
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Code.String()
	if e.Message != "" {
		text += ": " + e.Message
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the first *Error in the chain of err. An error without one becomes Internal with RanUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, RanUnknown, "internal error", err)
}
