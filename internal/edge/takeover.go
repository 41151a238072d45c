package edge

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/stall"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

// This file sends requests to a second server while the first one is silent.
//
// Load pattern: servers fall silent for a while, because they are overloaded, preempt streams or hang, and the others may
// be too full to take more requests. Nothing tells a server that hangs from one that will go on, so a silent server is left
// only for one that takes its request. The request is sent to another server, and the silent one is canceled as soon as
// that has answered with success, or has not refused the request for a while: full servers refuse at once. If the request
// is refused, the silent server keeps it. If the silent server goes on first, the other one is canceled.
//
// The timer of a send decides in a goroutine of its own and shares a mutex with the goroutine of the request. A second send
// that is under way when the first one ends, or has been handed over to, is left to the request, which goes on with it.

const (
	// stallPauseFactor times the route's target for the pause between events is how long a resumable stream may
	// send nothing before it is sent to another server.
	stallPauseFactor = 4
	// minStallTimeout is the minimum of that time.
	minStallTimeout = 1200 * time.Millisecond
	// stallRecheckInterval is how often it is asked again whether a silent attempt has stalled, while too little is known.
	stallRecheckInterval = 50 * time.Millisecond
	// refusalTime is how long after the last byte of a request its server may refuse it. It limits the time for which two
	// servers work on one request.
	refusalTime = 200 * time.Millisecond
)

// errStalled is the cancellation cause of a send whose answer stalled.
var errStalled = errorString("answer stalled")

// errAnswered is the cancellation cause of a send that is no longer needed.
var errAnswered = errorString("another server has answered")

type errorString string

// Error implements error.
func (e errorString) Error() string { return string(e) }

// takeoverState is what has become of a takeover.
type takeoverState uint8

const (
	// underway means that the first server may still go on.
	underway takeoverState = iota
	// dropped means that the first server has gone on.
	dropped
	// adopted means that the request goes on with this server.
	adopted
)

// takeover is the send of a request to another server while the one before is silent.
type takeover struct {
	ticket *placement.Ticket
	run    *strike.Run
	sentAt time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	// written is closed when the whole request has been written, done when response or result has been set.
	written, done chan struct{}
	// response is nil if it cannot be passed on. result says why.
	response *httpclient.Response
	result   sendResult
	state    takeoverState // guarded by the mutex of the stallTimer
}

// startTakeover sends a request to the server of a ticket.
func (n *Node) startTakeover(ctx context.Context, req *request, ticket *placement.Ticket, run *strike.Run, resumeAfter string) *takeover {
	t := &takeover{ticket: ticket, run: run, sentAt: time.Now(), written: make(chan struct{}), done: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	var once sync.Once
	traced := httptrace.WithClientTrace(t.ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		once.Do(func() { close(t.written) })
	}})
	go func() {
		defer close(t.done)
		t.response, t.result = n.exchange(traced, req, ticket, resumeAfter)
	}()
	return t
}

// takesOver waits until the server has answered or should have refused the request, and reports whether it has taken the
// request.
func (t *takeover) takesOver(stream bool) bool {
	select {
	case <-t.done:
	case <-t.written:
		select {
		case <-t.done:
		case <-time.After(refusalTime):
			return true
		}
	}
	if t.response == nil {
		return false
	}
	return t.response.StatusCode/100 == 2 || !stream && t.response.StatusCode < http.StatusInternalServerError
}

// failure returns the result of a takeover whose server has not taken the request. Its send must be done.
func (t *takeover) failure() sendResult {
	if t.response != nil {
		return sendResult{status: serverFailed, reason: "server_error"}
	}
	return t.result
}

// end ends a takeover that failed, or is not needed because the first server has gone on.
func (t *takeover) end(n *Node, needless bool) {
	t.cancel(errAnswered)
	<-t.done
	if t.response != nil {
		closeBody(t.response)
	}
	result := t.failure()
	if needless {
		result = sendResult{status: canceled, reason: "not_needed", unsent: result.unsent || result.status == notSent}
	}
	result.ticket = t.ticket
	n.endRun(result, t.run, time.Now())
}

// exchange sends a request to the server of a ticket and reads the head of the response. The response is nil if it cannot
// be passed on; the result says why.
func (n *Node) exchange(ctx context.Context, req *request, ticket *placement.Ticket, resumeAfter string) (*httpclient.Response, sendResult) {
	out, err := n.outbound(ctx, req, ticket, resumeAfter)
	if err != nil {
		return nil, sendResult{status: notSent, reason: "invalid_request"}
	}
	resp, err := n.client.Exchange(out)
	if err != nil {
		return nil, classify(ctx, err)
	}
	if result, done := n.checkReply(req, resp, ticket); done {
		return nil, result
	}
	return resp, sendResult{}
}

// send is the send of a request to one server.
type send struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	req    *request
	timer  *stallTimer // nil if the request cannot be sent again in time
}

// startSend sends a request, or goes on with a takeover, and reads the head of the response. The response is nil if it
// cannot be passed on; the result says why. The caller must call end on the send.
func (n *Node) startSend(ctx context.Context, req *request, ticket *placement.Ticket, resumeAfter string) (*send, *httpclient.Response, sendResult) {
	s := &send{req: req}
	t := req.takeover
	req.takeover = nil
	if t != nil {
		s.ctx, s.cancel = t.ctx, t.cancel
	} else {
		s.ctx, s.cancel = context.WithCancelCause(ctx)
	}
	s.timer = n.startStallTimer(ctx, req, ticket, s.cancel, resumeAfter)
	if t != nil {
		<-t.done // its context ends with that of the request
		return s, t.response, t.result
	}
	resp, result := n.exchange(s.ctx, req, ticket, resumeAfter)
	return s, resp, result
}

// end ends the send. If a takeover is under way, the request goes on with it, if at all.
func (s *send) end() {
	s.cancel(nil)
	s.timer.finish(s.req)
}

// stallTimer sends a request to another server when its server is silent for too long, and cancels the send to the silent
// server when another one has taken the request.
type stallTimer struct {
	n *Node
	// req is that of the send. The timer's goroutine reads only what does not change while the request is relayed.
	req     *request
	ctx     context.Context // of the request
	cancel  context.CancelCauseFunc
	attempt stall.Attempt
	started time.Time
	// choice excludes the servers that had the request before the send.
	choice placement.Choice
	// sendsLeft is the number of further sends that the route allows.
	sendsLeft int

	mu          sync.Mutex
	timer       *time.Timer
	timeout     time.Duration
	resumeAfter string
	// answered is set once something has arrived, writing while the caller is sent events, and finished when the send ends.
	answered, writing, finished bool
	// handedOver is set when the send has been canceled because another server has taken the request.
	handedOver bool
	takeover   *takeover
	// tried, sends and mayHaveRun are what the takeovers that were not adopted add to those of the request.
	tried      []string
	sends      int
	mayHaveRun bool
}

// startStallTimer returns a timer for a send to the server of a ticket, or nil if the request cannot be sent again in time.
// While nothing shows that the service is faster, no other server is left or the retry budget is spent, the send goes on,
// because without a retry the request would fail, and the timer tries again later.
func (n *Node) startStallTimer(ctx context.Context, req *request, ticket *placement.Ticket, cancel context.CancelCauseFunc, resumeAfter string) *stallTimer {
	sendsLeft := req.route.MaxAttempts - req.sends - 1
	if !req.route.Repeat.MayRetry() || sendsLeft <= 0 {
		return nil
	}
	now := time.Now()
	attempt := stall.Attempt{Service: req.service.Name, Expected: ticket.Expected, Target: req.route.LatencyTarget, Left: req.deadline.Sub(now)}
	timeout, ok := n.forecasts.Timeout(attempt, now)
	if !ok {
		return nil
	}
	t := &stallTimer{n: n, req: req, ctx: ctx, cancel: cancel, attempt: attempt, started: now, choice: n.choice(req),
		sendsLeft: sendsLeft, timeout: timeout, resumeAfter: resumeAfter}
	t.choice.Exclude = slices.Clone(req.triedServers)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.expire)
	return t
}

// expire handles a silence of the timeout.
func (t *stallTimer) expire() {
	now := time.Now()
	t.mu.Lock()
	silent := !t.answered // since the start
	t.mu.Unlock()
	if silent && !t.n.forecasts.Stalled(t.attempt, now.Sub(t.started), now) {
		t.tryAgain(stallRecheckInterval)
		return
	}
	next := t.tryOther(now)
	if next == nil {
		t.tryAgain(0)
		return
	}
	taken := next.takesOver(t.req.route.Stream)
	t.mu.Lock()
	state := next.state
	if state == underway && taken {
		t.handedOver = true
		t.cancel(errStalled)
	} else if state == underway {
		t.takeover = nil
		t.count(next, next.failure())
	}
	t.mu.Unlock()
	switch {
	case state == adopted:
	case state == dropped:
		next.end(t.n, true)
	case taken:
		if silent {
			t.n.forecasts.Abandon(t.attempt.Service, now)
		}
	default:
		next.end(t.n, false)
		again := time.Duration(0)
		if next.result.status == notSent {
			again = stallRecheckInterval
		}
		t.tryAgain(again)
	}
}

// tryOther sends the request to another server. It returns nil if there is none, the retry budget is spent or the
// send has ended.
func (t *stallTimer) tryOther(now time.Time) *takeover {
	n, choice := t.n, t.choice
	t.mu.Lock()
	choice.Exclude = slices.Concat(choice.Exclude, t.tried)
	t.mu.Unlock()
	if len(choice.Exclude)+1 >= maxServersTried { // checkRetry would refuse to go on with the last one
		return nil
	}
	ticket := n.pickOf(t.req, choice, n.rollouts.choices(t.req, false, now), true, now)
	if ticket == nil {
		return nil
	}
	run, ok := n.crashes.tracker.TryStart(ticket.Server.ID, t.req.content, now)
	if !ok {
		ticket.End(placement.Abandoned, now)
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.finished || t.writing || !n.retryWindow(t.attempt.Service).Withdraw(now) {
		ticket.End(placement.Abandoned, now)
		run.End(strike.Abandoned, now)
		return nil
	}
	t.takeover = n.startTakeover(t.ctx, t.req, ticket, run, t.resumeAfter)
	return t.takeover
}

// count counts the send of a takeover that is not adopted. The caller holds mu.
func (t *stallTimer) count(next *takeover, result sendResult) {
	t.n.metrics.Retry(reasonStalled)
	t.tried = append(t.tried, next.ticket.Server.ID)
	if result.status == notSent || result.unsent {
		return
	}
	t.sends++
	t.sendsLeft--
	t.mayHaveRun = t.mayHaveRun || result.status != notRun
}

// tryAgain starts the timer again, for the timeout if after is 0, unless the route allows no further send.
func (t *stallTimer) tryAgain(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after == 0 {
		after = t.timeout
	}
	if !t.finished && !t.writing && t.sendsLeft > 0 && t.ctx.Err() == nil {
		t.timer.Reset(after)
	}
}

// heard stops the timer because something has arrived, and drops a takeover that is under way. It returns false if
// another server has taken the request: what has arrived must not be used then.
func (t *stallTimer) heard() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.handedOver {
		return false
	}
	t.answered, t.writing = true, true
	t.timer.Stop()
	if next := t.takeover; next != nil {
		t.takeover, next.state = nil, dropped
		next.cancel(errAnswered)
		t.count(next, sendResult{status: canceled})
	}
	return true
}

// expect starts the timer again: the next event is due within the timeout. Another server has to resume after the event
// with the given id.
func (t *stallTimer) expect(timeout time.Duration, resumeAfter string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	t.writing, t.timeout, t.resumeAfter = false, timeout, resumeAfter
	t.mu.Unlock()
	t.tryAgain(0)
}

// finish stops the timer at the end of the send. A takeover that is under way is left to the request.
func (t *stallTimer) finish(req *request) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = true
	t.timer.Stop()
	req.sends += t.sends
	req.mayHaveRun = req.mayHaveRun || t.mayHaveRun
	req.triedServers = append(req.triedServers, t.tried...)
	if t.takeover != nil {
		t.takeover.state = adopted
		req.takeover = t.takeover
		req.triedServers = append(req.triedServers, t.takeover.ticket.Server.ID)
	}
}
