package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/pkg/code"
)

// refuse sends an error response with the error's code. It is the error encoder of all endpoints.
func (g *gateway) refuse(ctx context.Context, err error, w http.ResponseWriter) {
	e := code.From(err)
	if errors.Is(ctx.Err(), context.Canceled) {
		e = code.Wrap(code.CallerGone, e.Ran, "the caller closed the connection", err)
	}
	if e.Code == code.Internal {
		g.Log.WithError(err).Error("request failed with an internal error")
	}
	Refuse(w, g.Metrics, e)
}

// Refuse sends an error response with the code of e and counts the refusal.
func Refuse(w http.ResponseWriter, counters *metrics.Set, e *code.Error) {
	refuseWith(w, counters, e, e.Code.Info().Status)
}

// refuseWith is like Refuse but with the given HTTP status.
func refuseWith(w http.ResponseWriter, counters *metrics.Set, e *code.Error, status int) {
	counters.Refusal(e.Code)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter.Milliseconds() + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(e.Body())
}
