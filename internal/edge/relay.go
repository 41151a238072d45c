package edge

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// retryShare is the part of the deployment's bound on repeats that is used, since nodes count at different moments.
	retryShare = 0.7
	// maxTries bounds the servers that one request is tried on, those included that took no connection.
	maxTries = 5
	// serverRetry is when a caller should come back that found no server able to take its request.
	serverRetry = 300 * time.Millisecond
	// crashRetry is when a caller should come back whose request is suspected of crashing servers.
	crashRetry = 3 * time.Second
)

// verdict is how one try on a server ended.
type verdict uint8

const (
	// answered means that the caller has its answer.
	answered verdict = iota
	// notSent means that no byte of the request has left this node.
	notSent
	// rejected means that the server says it did not run the request.
	rejected
	// lost means that the request may have run and no usable answer came.
	lost
	// failedByServer means that the server ran the request and failed; its answer is kept.
	failedByServer
	// stopped means that the caller has left or the time is over.
	stopped
)

// try is one request on one server.
type try struct {
	ticket  *placement.Ticket
	verdict verdict
	reason  string
	answer  *bufferedAnswer
	// repeatTaken is set when the budget has already given a repeat for this try.
	repeatTaken bool
}

// relay sends a request to a server, and to others where the route allows it, until the caller has its answer.
func (n *Node) relay(ctx context.Context, req *request) *code.Error {
	now := time.Now()
	n.retryWindow(req.service.Name).Request(now)
	if state, _ := n.crashes.tracker.State(req.digest, now); state == strike.Quarantined || state == strike.Held {
		return code.New(code.RequestQuarantined, "this request has crashed backend servers").WithRetryAfter(crashRetry)
	}
	if req.workspace != nil {
		req.cost = req.Cost(req.workspace)
		if wait, ok := n.quota.Take(req.workspace.Name, req.cost, now); !ok {
			return code.New(code.TokenRateLimited, "the workspace is over its limit").WithRetryAfter(wait)
		}
	}
	refusal := n.tries(ctx, req)
	if refusal != nil && refusal.Ran == code.RanNo && req.workspace != nil {
		n.quota.Refund(req.workspace.Name, req.cost)
	}
	return refusal
}

// tries is the loop over servers.
func (n *Node) tries(ctx context.Context, req *request) *code.Error {
	stream := &streamRelay{n: n, req: req}
	var kept *bufferedAnswer
	for {
		ticket, refusal := n.place(req)
		if refusal != nil {
			return n.giveUp(req, stream, kept, refusal)
		}
		req.tried = append(req.tried, ticket.Server.ID)
		req.expected, req.sentAt, req.prefill = ticket.Expected, time.Now(), ticket.Prefill()
		t := n.trySend(ctx, req, stream, ticket)
		if t.verdict == answered {
			return nil
		}
		if t.answer != nil {
			kept = t.answer
		}
		if refusal := n.after(ctx, req, t); refusal != nil {
			return n.giveUp(req, stream, kept, refusal)
		}
	}
}

// place chooses a server.
func (n *Node) place(req *request) (*placement.Ticket, *code.Error) {
	now := time.Now()
	choice := placement.Choice{Service: req.service.Name, Exclude: req.tried, Allowed: n.outliers.Allow}
	var ticket *placement.Ticket
	if req.service.Engine == nil {
		ticket = n.board.PickPlain(choice, now)
	} else {
		ticket = n.board.PickEngine(placement.EngineRequest{Choice: choice, Prompt: req.Prompt, PromptTokens: req.PromptTokens}, now)
	}
	if req.service.Engine == nil && req.sends == 0 {
		n.demand.add(req.service.Name, 0, 0, now)
	}
	if ticket == nil {
		return nil, code.New(code.NoBackendServer, "no server of the service can take the request").WithRetryAfter(serverRetry)
	}
	if req.service.Engine != nil && req.sends == 0 {
		n.demand.add(req.service.Name, ticket.Prefill(), float64(req.expectedOutput()), now)
		verdict := placement.Admit(now.Sub(req.arrived)+ticket.Expected, req.route.LatencyTarget, req.deadline.Sub(now), req.rank)
		if !verdict.Admit {
			req.expected, req.refusedLeft = now.Sub(req.arrived)+ticket.Expected, req.deadline.Sub(now)
			ticket.End(placement.Abandoned, now)
			return nil, code.New(code.DeadlineUnreachable, "the engines are too busy to answer in time").WithRetryAfter(verdict.RetryAfter)
		}
	}
	return ticket, nil
}

// expectedOutput is the likely number of output tokens.
func (req *request) expectedOutput() int {
	if req.ExpectedOutput > 0 && req.ExpectedOutput < req.OutputTokens {
		return req.ExpectedOutput
	}
	return req.OutputTokens
}

// trySend sends the request to one server.
func (n *Node) trySend(ctx context.Context, req *request, stream *streamRelay, ticket *placement.Ticket) try {
	run, ok := n.crashes.tracker.Began(ticket.Server.ID, req.digest, time.Now())
	if !ok {
		ticket.End(placement.Abandoned, time.Now())
		return try{ticket: ticket, verdict: notSent, reason: "suspected of crashing servers"}
	}
	var t try
	if req.route.Stream {
		t = stream.send(ctx, ticket)
	} else {
		t = n.sendPlain(ctx, req, ticket)
	}
	t.ticket = ticket
	now := time.Now()
	switch t.verdict {
	case answered:
		ticket.End(placement.Served, now)
		n.outliers.Observe(ticket.Server.ID, true)
		run.Ended(strike.Completed, now)
	case rejected:
		ticket.End(placement.Refused, now)
		run.Ended(strike.Abandoned, now)
	case failedByServer:
		ticket.End(placement.Failed, now)
		n.outliers.Observe(ticket.Server.ID, false)
		run.Ended(strike.Completed, now)
	case lost, notSent:
		ticket.End(placement.Failed, now)
		n.outliers.Observe(ticket.Server.ID, false)
		run.Ended(strike.Interrupted, now)
	case stopped:
		ticket.End(placement.Abandoned, now)
		run.Ended(strike.Abandoned, now)
	}
	return t
}

// after decides what follows a try that did not answer: nil means another server.
func (n *Node) after(ctx context.Context, req *request, t try) *code.Error {
	if ctx.Err() != nil || t.verdict == stopped {
		return n.over(ctx, req)
	}
	switch t.verdict {
	case notSent:
		if len(req.tried) >= maxTries {
			return code.New(code.NoBackendServer, "no server takes connections").WithRetryAfter(serverRetry)
		}
		n.metrics.Retry("not_sent")
		return nil
	case rejected:
		req.sends++
	case lost:
		req.sends++
		req.mayHaveRun = true
		n.countUsage(req)
		if !req.route.Repeat.MayRepeat() {
			return code.New(code.OutcomeUnknown, "the server's answer was lost")
		}
	case failedByServer:
		req.sends++
		req.mayHaveRun = true
		n.countUsage(req)
		if !req.route.Repeat.MayRepeat() {
			return code.New(code.BackendFailed, "the server failed")
		}
	}
	if req.sends >= req.route.MaxAttempts || len(req.tried) >= maxTries {
		return code.New(code.BackendFailed, "all attempts of the route are used").WithRetryAfter(serverRetry)
	}
	if !t.repeatTaken && !n.retryWindow(req.service.Name).Withdraw(time.Now()) {
		return code.New(code.RetryBudgetExhausted, "no repeat is left in the budget").WithRetryAfter(serverRetry)
	}
	n.metrics.Retry(t.reason)
	return nil
}

// over is the end of a request whose caller has left or whose time has passed.
func (n *Node) over(ctx context.Context, req *request) *code.Error {
	ran := code.RanNo
	if req.mayHaveRun || req.sent() {
		ran = code.RanUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.Wrap(code.DeadlineExceeded, ran, "the time of the request is over", ctx.Err())
	}
	return code.Wrap(code.CallerGone, ran, "the caller closed the connection", ctx.Err())
}

// sent reports whether the last try may have reached its server.
func (req *request) sent() bool { return req.sends < len(req.tried) }

// giveUp is the final answer of a request that no further server gets.
func (n *Node) giveUp(req *request, stream *streamRelay, kept *bufferedAnswer, refusal *code.Error) *code.Error {
	if stream.started {
		// The caller has part of the answer; only a broken connection tells that it is not complete.
		req.outcome, req.note = logline.CutOff, refusal.Message
		n.metrics.Refusal(refusal.Code)
		n.abort(req)
		return nil
	}
	if kept != nil && refusal.Code != code.CallerGone {
		n.writeAnswer(req, kept)
		req.outcome = logline.ServerFailed
		return nil
	}
	if req.mayHaveRun && refusal.Ran == code.RanNo {
		refusal = refusal.WithRan(code.RanUnknown)
		refusal.RetryAfter = 0
	}
	return refusal
}

// abort breaks the caller's connection, after the handler has returned to its log line.
func (n *Node) abort(req *request) {
	controller := http.NewResponseController(req.w)
	conn, _, err := controller.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := conn.Close(); err != nil {
		n.log.WithError(err).Debug("connection of a caller not closed")
	}
}

// countUsage counts a request that a server began to run, once.
func (n *Node) countUsage(req *request) {
	if req.counted || req.workspace == nil {
		return
	}
	req.counted = true
	n.usage.CountStarted(req.workspace.Name, time.Now())
}

// classify tells what a failed send means. A server that refuses connections has crashed.
func (n *Node) classify(ctx context.Context, ticket *placement.Ticket, err error) try {
	switch {
	case ctx.Err() != nil:
		return try{verdict: stopped, reason: "stopped"}
	case errors.Is(err, backend.ErrUnreachable):
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.crashes.refused(ticket.Server, time.Now())
		}
		return try{verdict: notSent, reason: "unreachable"}
	default:
		return try{verdict: lost, reason: "connection_lost"}
	}
}
