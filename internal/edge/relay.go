package edge

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/eventorder"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// retryShare is the fraction of the deployment's retry budget that is used, because nodes count requests and
	// retries at different times.
	retryShare = 0.7
	// maxServersTried limits the servers tried for one request, including those that accepted no connection.
	maxServersTried = 5
	// serverRetryAfter is the Retry-After time when no server can take a request or no further retry is allowed.
	serverRetryAfter = 300 * time.Millisecond
	// crashRetryAfter is the Retry-After time of a quarantined request.
	crashRetryAfter = 3 * time.Second
	// maxRestrictedWait is how long a request waits while a decision on its strikes is pending or an isolated run of it is
	// in flight. It exceeds the time until a decision of another node is known.
	maxRestrictedWait = 3 * time.Second
	// restrictedPollInterval is how often a waiting request checks its state again.
	restrictedPollInterval = 50 * time.Millisecond
)

// reasonStalled is the reason of a send that was canceled because nothing arrived.
const reasonStalled = "answer_stalled"

// reasonOutOfOrder is the reason of a send whose events do not continue the stream.
const reasonOutOfOrder = "events_out_of_order"

// status is the outcome of sending a request to one server.
type status uint8

const (
	// delivered means that the caller has its response.
	delivered status = iota
	// notSent means that no byte of the request has left this node.
	notSent
	// notRun means that the server says it did not run the request.
	notRun
	// responseLost means that the request may have run, but no usable response arrived.
	responseLost
	// serverFailed means that the server ran the request and failed. Its response is kept: the caller gets it if no
	// other server delivers one.
	serverFailed
	// canceled means that the caller has disconnected or the deadline has passed.
	canceled
)

// sendResult is the result of sending a request to one server.
type sendResult struct {
	ticket   *placement.Ticket
	status   status
	reason   string
	response *bufferedResponse
	// completed is set if the server completed the request without an error of its own.
	completed bool
	// connRefused is set if the server refused the connection, connLost if an established one broke, also after the first
	// part of a delivered response.
	connRefused, connLost bool
	// unsent is set if the send was canceled before a byte of the request left this node.
	unsent bool
	// detail says more about the reason of a lost response, for the log.
	detail string
	// final is set if the caller has part of the response and no other server can go on with it.
	final bool
	// retryReserved is set if a retry has already been taken from the budget, for a takeover.
	retryReserved bool
}

// relay sends a request to a server, and retries on others where the route allows it, until the caller has its
// response. It returns an error if nothing has been sent to the caller; a stream that was cut off is no error here.
func (n *Node) relay(ctx context.Context, req *request) *code.Error {
	now := time.Now()
	n.retryWindow(req.service.Name).Request(now)
	if state, wait := n.crashes.tracker.State(req.content, now); state == strike.Quarantined {
		return n.refuseQuarantined(req, wait)
	}
	if req.workspace != nil {
		req.cost = req.Cost(req.workspace)
		if wait, ok := n.quota.Take(req.workspace.Name, req.cost, now); !ok {
			return code.New(code.TokenRateLimited, "the workspace is over its limit").WithRetryAfter(wait)
		}
	}
	refusal := n.sendUntilDelivered(ctx, req)
	if refusal != nil && refusal.Ran == code.RanNo && req.workspace != nil {
		n.quota.Refund(req.workspace.Name, req.cost)
	}
	return refusal
}

// sendUntilDelivered sends a request to one server after the other until a response is delivered or no further send is
// allowed.
func (n *Node) sendUntilDelivered(ctx context.Context, req *request) *code.Error {
	stream := &streamRelay{n: n, req: req}
	defer func() {
		if req.takeover != nil {
			req.takeover.end(n, true)
		}
	}()
	var failedResponse *bufferedResponse
	for {
		var ticket *placement.Ticket
		var run *strike.Run
		if t := req.takeover; t != nil {
			ticket, run, req.sentAt = t.ticket, t.run, t.sentAt
		} else {
			var refusal *code.Error
			if ticket, run, refusal = n.startRun(ctx, req); refusal != nil {
				return n.giveUp(req, stream, failedResponse, refusal)
			}
			req.triedServers = append(req.triedServers, ticket.Server.ID)
			req.sentAt = time.Now()
		}
		req.expected, req.prefill = ticket.Expected, ticket.Prefill()
		result := n.sendTo(ctx, req, stream, ticket, run)
		result.retryReserved = req.takeover != nil
		if result.status == delivered {
			return nil
		}
		if result.response != nil {
			failedResponse = result.response
		}
		if refusal := n.checkRetry(ctx, req, result); refusal != nil {
			return n.giveUp(req, stream, failedResponse, refusal)
		}
	}
}

// startRun picks a server and registers the run with the crash tracker. A request that is held, or of which an isolated
// run is in flight here or a trial on another node, waits for at most maxRestrictedWait.
func (n *Node) startRun(ctx context.Context, req *request) (*placement.Ticket, *strike.Run, *code.Error) {
	waitUntil := time.Now().Add(maxRestrictedWait)
	if req.deadline.Before(waitUntil) {
		waitUntil = req.deadline
	}
	for {
		now := time.Now()
		state, wait := n.crashes.tracker.Await(req.content, now)
		if state == strike.Quarantined {
			return nil, nil, n.refuseQuarantined(req, wait)
		}
		switch {
		case state == strike.Held:
		case state == strike.Isolate && n.crashes.tracker.InFlight(req.content.Digest):
			wait = restrictedPollInterval
		default:
			ticket, refusal := n.pickServer(req)
			if refusal != nil {
				return nil, nil, refusal
			}
			if run, ok := n.crashes.tracker.TryStart(ticket.Server.ID, req.content, now); ok {
				return ticket, run, nil
			}
			ticket.End(placement.Abandoned, now)
			wait = restrictedPollInterval
		}
		req.logDigest = true
		if now.Add(wait).After(waitUntil) {
			return nil, nil, code.New(code.RequestQuarantined, "this request may have crashed backend servers").WithRetryAfter(wait)
		}
		if !clock.Sleep(ctx, min(wait, restrictedPollInterval)) {
			return nil, nil, n.cancellation(ctx, req)
		}
		req.restrictedFor += time.Since(now)
	}
}

// refuseQuarantined returns the refusal of a quarantined request. wait is the time until a quarantined part of its prompt
// is tried again, if that is the reason.
func (n *Node) refuseQuarantined(req *request, wait time.Duration) *code.Error {
	req.logDigest = true
	if req.quarantinedPart = n.crashes.tracker.QuarantinedPart(req.content); req.quarantinedPart != "" {
		return code.New(code.RequestQuarantined, "a part of the prompt has crashed backend servers").WithRetryAfter(wait)
	}
	return code.New(code.RequestQuarantined, "this request has crashed backend servers").WithRetryAfter(crashRetryAfter)
}

// pickServer chooses a server. Before the first send it counts the request as demand and, for an engine, checks that the
// latency target and the deadline can be met.
func (n *Node) pickServer(req *request) (*placement.Ticket, *code.Error) {
	now := time.Now()
	ticket := n.pickOf(req, n.choice(req), n.rollouts.choices(req, len(req.triedServers) == 0, now), req.ResumeAfter != "" || req.sends > 0, now)
	if req.service.Engine == nil && req.sends == 0 {
		n.demand.add(req.service.Name, 0, 0, now)
	}
	if ticket == nil {
		retryAfter := max(serverRetryAfter, n.board.PauseLeft(req.service.Name, now))
		return nil, code.New(code.NoBackendServer, "no server of the service can take the request").WithRetryAfter(retryAfter)
	}
	if req.service.Engine != nil && req.sends == 0 {
		n.demand.add(req.service.Name, ticket.Prefill(), float64(req.expectedOutput()), now)
		expected := now.Sub(req.arrived) - req.restrictedFor + ticket.Expected
		decision := placement.Admit(expected, req.route.LatencyTarget, req.deadline.Sub(now), req.priority)
		if !decision.Admit {
			req.expected, req.refusalTimeLeft = expected, req.deadline.Sub(now)
			ticket.End(placement.Abandoned, now)
			return nil, code.New(code.DeadlineUnreachable, "the engines are too busy to answer in time").WithRetryAfter(decision.RetryAfter)
		}
	}
	return ticket, nil
}

// pickOf chooses a server that meets the first of the filters that any server meets. It returns nil if there is none.
func (n *Node) pickOf(req *request, choice placement.Choice, filters []filter, resumed bool, now time.Time) (ticket *placement.Ticket) {
	for _, choice.Eligible = range filters {
		if req.service.Engine == nil {
			ticket = n.board.PickPlain(choice, now)
		} else {
			ticket = n.board.PickEngine(engineRequest(req, choice, resumed), now)
		}
		if ticket != nil {
			break
		}
	}
	return ticket
}

// expectedOutput is the estimated number of output tokens.
func (req *request) expectedOutput() int {
	if req.ExpectedOutput > 0 && req.ExpectedOutput < req.OutputTokens {
		return req.ExpectedOutput
	}
	return req.OutputTokens
}

// sendTo sends a request to one server and reports the outcome to those who learn from it.
func (n *Node) sendTo(ctx context.Context, req *request, stream *streamRelay, ticket *placement.Ticket, run *strike.Run) sendResult {
	var result sendResult
	req.versionAttempt = n.rollouts.begin(req, ticket.Server, time.Now())
	if req.route.Stream {
		result = stream.send(ctx, ticket, run)
	} else {
		result = n.sendPlain(ctx, req, ticket)
	}
	result.ticket = ticket
	now := time.Now()
	n.rollouts.end(ctx, req.versionAttempt, result, now)
	if result.status == responseLost {
		req.lost = lostResponse(result)
	}
	req.logDigest = req.logDigest || result.status == responseLost || result.status == delivered && result.connLost
	n.endRun(result, run, now)
	if result.status == delivered && !result.connLost {
		n.observeCost(req, ticket)
	}
	return result
}

// lostResponse describes a lost response for the log.
func lostResponse(result sendResult) string {
	if result.detail == "" {
		return result.reason
	}
	return result.reason + ": " + result.detail
}

// endRun reports the outcome of a send to the load, outlier and crash tracking.
func (n *Node) endRun(result sendResult, run *strike.Run, now time.Time) {
	ticket := result.ticket
	switch result.status {
	case delivered:
		if result.connLost {
			n.recordInterruption(result, run, now)
			break
		}
		ticket.End(placement.Served, now)
		n.outliers.Observe(ticket.Server.ID, true)
		run.End(runOutcome(result), now)
	case notRun:
		ticket.End(placement.Refused, now)
		run.End(strike.Abandoned, now)
	case serverFailed:
		ticket.End(placement.Failed, now)
		n.outliers.Observe(ticket.Server.ID, false)
		run.End(runOutcome(result), now)
	case responseLost:
		n.recordInterruption(result, run, now)
	case notSent:
		ticket.End(placement.Failed, now)
		n.outliers.Observe(ticket.Server.ID, false)
		// The run ends before the crash is recorded: a request that was not sent cannot have caused it.
		run.End(strike.Abandoned, now)
		if result.connRefused {
			n.crashes.connRefused(ticket.Server, now)
		}
	case canceled:
		ticket.End(placement.Abandoned, now)
		if result.unsent {
			run.End(strike.Abandoned, now)
		} else {
			run.End(strike.Disconnected, now)
		}
	}
}

// recordInterruption records a run that the server did not answer completely.
func (n *Node) recordInterruption(result sendResult, run *strike.Run, now time.Time) {
	result.ticket.End(placement.Failed, now)
	n.outliers.Observe(result.ticket.Server.ID, false)
	if result.reason == reasonStalled || result.reason == reasonOutOfOrder {
		run.End(strike.Disconnected, now) // no sign of a crash
	} else {
		run.End(strike.Interrupted, now)
	}
	if result.connLost {
		n.prober.connLost(result.ticket.Server)
	}
}

// runOutcome is the outcome of a run that the server answered. Only a completed one shows that the request does not crash
// its servers; a failing server may answer with an error without running it.
func runOutcome(result sendResult) strike.Outcome {
	if result.completed {
		return strike.Completed
	}
	return strike.Abandoned
}

// checkRetry decides what follows a failed send: nil means a retry on another server.
func (n *Node) checkRetry(ctx context.Context, req *request, result sendResult) *code.Error {
	if ctx.Err() != nil || result.status == canceled {
		return n.cancellation(ctx, req)
	}
	switch result.status {
	case notSent:
		if len(req.triedServers) >= maxServersTried {
			return code.New(code.NoBackendServer, "no server takes connections").WithRetryAfter(serverRetryAfter)
		}
		n.metrics.Retry("not_sent")
		return nil
	case notRun:
		req.sends++
	case responseLost:
		req.sends++
		req.mayHaveRun = true
		n.countUsage(req)
		if !req.route.Repeat.MayRetry() || result.final {
			return code.New(code.OutcomeUnknown, "the server's answer was lost")
		}
	case serverFailed:
		req.sends++
		req.mayHaveRun = true
		n.countUsage(req)
		if !req.route.Repeat.MayRetry() {
			return code.New(code.BackendFailed, "the server failed")
		}
	}
	if req.sends >= req.route.MaxAttempts || len(req.triedServers) >= maxServersTried {
		return code.New(code.BackendFailed, "all attempts of the route are used").WithRetryAfter(serverRetryAfter)
	}
	if !result.retryReserved && !n.retryWindow(req.service.Name).Withdraw(time.Now()) {
		return code.New(code.RetryBudgetExhausted, "no repeat is left in the budget").WithRetryAfter(serverRetryAfter)
	}
	n.metrics.Retry(result.reason)
	return nil
}

// cancellation returns the error of a request whose caller has disconnected, whose deadline has passed, or that is open
// when this node stops.
func (n *Node) cancellation(ctx context.Context, req *request) *code.Error {
	ran := code.RanNo
	if req.mayHaveRun || req.lastSendUnresolved() {
		ran = code.RanUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.Wrap(code.DeadlineExceeded, ran, "the time of the request is over", ctx.Err())
	}
	if context.Cause(ctx) == errNodeStopping {
		if ran == code.RanNo {
			return leavingRefusal()
		}
		return code.Wrap(code.OutcomeUnknown, ran, "the node stopped before the server's answer", errNodeStopping)
	}
	return code.Wrap(code.CallerGone, ran, "the caller closed the connection", ctx.Err())
}

// lastSendUnresolved reports whether the outcome of the last send has not been counted, so that the request may have
// reached its server.
func (req *request) lastSendUnresolved() bool { return req.sends < len(req.triedServers) }

// giveUp ends a request that is not sent to any further server. It returns the error for the caller, or nil if the
// caller has been sent the response of a failed server or part of a stream.
func (n *Node) giveUp(req *request, stream *streamRelay, failedResponse *bufferedResponse, refusal *code.Error) *code.Error {
	if stream.headerSent {
		// The caller has part of the response; only closing the connection shows that it is incomplete.
		req.outcome, req.reason = logline.CutOff, refusal.Message
		n.metrics.Refusal(refusal.Code)
		n.abort(req)
		return nil
	}
	if failedResponse != nil && refusal.Code != code.CallerGone {
		n.writeResponse(req, failedResponse)
		req.outcome = logline.ServerFailed
		return nil
	}
	if req.mayHaveRun && refusal.Ran == code.RanNo {
		refusal = refusal.WithRan(code.RanUnknown)
		refusal.RetryAfter = 0
	}
	return refusal
}

// abort closes the caller's connection. It panics with http.ErrAbortHandler if the connection cannot be hijacked.
func (n *Node) abort(req *request) {
	controller := http.NewResponseController(req.w)
	conn, _, err := controller.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok && !req.http.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunks: the end of the connection completes a response without a length, a reset does not.
		if err := lingerer.SetLinger(0); err != nil {
			n.log.WithError(err).Debug("resetting caller connection failed")
		}
	}
	if err := conn.Close(); err != nil {
		n.log.WithError(err).Debug("closing caller connection failed")
	}
}

// countUsage counts a request, once, as soon as a server may have started to run it.
func (n *Node) countUsage(req *request) {
	if req.usageCounted || req.workspace == nil {
		return
	}
	req.usageCounted = true
	n.usage.CountStarted(req.workspace.Name, time.Now())
}

// classify returns the result for a failed send.
func classify(ctx context.Context, err error) sendResult {
	var order eventorder.Error
	switch {
	case context.Cause(ctx) == errStalled:
		return sendResult{status: responseLost, reason: reasonStalled}
	case ctx.Err() != nil:
		return sendResult{status: canceled, reason: "stopped", unsent: errors.Is(err, backend.ErrUnreachable)}
	case errors.Is(err, backend.ErrUnreachable):
		return sendResult{status: notSent, reason: "unreachable", connRefused: errors.Is(err, syscall.ECONNREFUSED)}
	case errors.Is(err, httpclient.ErrInvalidResponse):
		return sendResult{status: responseLost, reason: "answer_invalid"}
	case errors.As(err, &order):
		return sendResult{status: responseLost, reason: reasonOutOfOrder, detail: order.Error()}
	default:
		return sendResult{status: responseLost, reason: "connection_lost", connLost: true}
	}
}
