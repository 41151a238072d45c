package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/code"
)

// httpStatus returns the HTTP status of a refusal. 429 and 503 guarantee that the request has not run and never will,
// so a request that may have run gets 502, or 504 if its deadline has passed.
func httpStatus(e *code.Error) int {
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

// refuse responds to a request with an error code.
func (n *Node) refuse(req *request, e *code.Error) {
	n.metrics.Refusal(e.Code)
	req.outcome, req.reason = e.Code.String(), e.Message
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
	req.w.WriteHeader(httpStatus(e))
	// The caller may have disconnected.
	_, _ = req.w.Write(body)
}

const (
	// maxLoggedParts and maxLoggedID limit what ids of others, such as those of prompt parts, add to a log line.
	maxLoggedParts = 16
	maxLoggedID    = 32
)

func loggedParts(ids []string) []string {
	out := make([]string, 0, min(len(ids), maxLoggedParts))
	for _, id := range ids[:min(len(ids), maxLoggedParts)] {
		out = append(out, loggedID(id))
	}
	return out
}

// loggedID returns the part of an id that is logged.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// logRequest writes the request's only log line, which says how it ended and why, and counts the request.
func (n *Node) logRequest(req *request) {
	elapsed := time.Since(req.arrived)
	n.metrics.Observe("request", elapsed)
	n.metrics.Count("requests", "outcome", req.outcome, 1)
	if !n.log.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{logline.Attempt: req.AttemptID, logline.Outcome: req.outcome, logline.Duration: elapsed.Milliseconds(), "config": n.config.Version()}
	if req.route != nil {
		fields["route"] = req.route.Name
	}
	if len(req.triedServers) > 0 {
		fields[logline.Servers] = req.triedServers
	}
	if req.firstEvent > 0 {
		fields["first_event_ms"], fields[logline.Expected] = req.firstEvent.Milliseconds(), req.expected.Milliseconds()
		fields["prefill"], fields["prompt"], fields["output"] = int(req.prefill), req.PromptTokens, req.OutputTokens
	}
	if req.refusalTimeLeft > 0 {
		fields[logline.Expected], fields[logline.Left] = req.expected.Milliseconds(), req.refusalTimeLeft.Milliseconds()
		fields[logline.Target] = req.route.LatencyTarget.Milliseconds()
	}
	if req.measuredCost > 0 {
		fields[logline.PredictedCost], fields[logline.MeasuredCost] = costMillis(req.predictedCost), costMillis(req.measuredCost)
	}
	if req.logDigest {
		fields[logline.Digest] = req.content.Digest
		if parts := req.SharedParts(); len(parts) > 0 {
			fields[logline.Parts] = loggedParts(parts)
		}
	}
	if req.quarantinedPart != "" {
		fields[logline.Part] = req.quarantinedPart
	}
	if req.restrictedFor > 0 {
		fields["restricted_ms"] = req.restrictedFor.Milliseconds()
	}
	if req.reason != "" {
		fields[logline.Reason] = req.reason
	}
	if req.lost != "" {
		fields[logline.Lost] = req.lost
	}
	if req.workspace != nil {
		fields["workspace"] = req.workspace.Name
	}
	n.log.WithFields(fields).Info(logline.Request)
}
