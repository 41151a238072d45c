package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/code"
)

// statusOf is the HTTP status of a refusal. 429 and 503 promise that the request has not run and never will, so a
// request that may have run gets 502, or 504 when its time is over.
func statusOf(e *code.Error) int {
	status := e.Code.Info().Status
	if e.Ran != code.RanNo {
		if e.Code == code.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch {
	case e.Code == code.RequestQuarantined, status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case e.Code == code.CallerGone:
		return http.StatusRequestTimeout
	}
	return status
}

// refuse answers a request with a code at once.
func (n *Node) refuse(req *request, e *code.Error) {
	n.metrics.Refusal(e.Code)
	req.outcome, req.note = e.Code.String(), e.Message
	if req.http.Context().Err() != nil {
		req.outcome = code.CallerGone.String()
	}
	header := req.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("X-Pollenlug-Code", strconv.Itoa(int(e.Code)))
	n.headers.Echo(header, req.AttemptID)
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := e.Body()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	req.w.WriteHeader(statusOf(e))
	// A caller that is gone by now needs no answer.
	_, _ = req.w.Write(body)
}

// logRequest writes the one line of a request that says how it ended and why.
func (n *Node) logRequest(req *request) {
	took := time.Since(req.arrived)
	n.metrics.Observe("request", took)
	n.metrics.Count("requests", "outcome", req.outcome, 1)
	if !n.log.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{logline.Attempt: req.AttemptID, logline.Outcome: req.outcome, logline.Duration: took.Milliseconds(), "config": n.config.Version()}
	if req.route != nil {
		fields["route"] = req.route.Name
	}
	if len(req.tried) > 0 {
		fields[logline.Servers] = req.tried
	}
	if req.firstEvent > 0 {
		fields["first_event_ms"], fields[logline.Expected] = req.firstEvent.Milliseconds(), req.expected.Milliseconds()
		fields["prefill"], fields["prompt"], fields["output"] = int(req.prefill), req.PromptTokens, req.OutputTokens
	}
	if req.refusedLeft > 0 {
		fields[logline.Expected], fields[logline.Left] = req.expected.Milliseconds(), req.refusedLeft.Milliseconds()
		fields[logline.Target] = req.route.LatencyTarget.Milliseconds()
	}
	if req.note != "" {
		fields[logline.Reason] = req.note
	}
	if req.workspace != nil {
		fields["workspace"] = req.workspace.Name
	}
	n.log.WithFields(fields).Info(logline.Request)
}
