package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/serving"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

// reasonSecond is the reason of a send to a second server while the first one has not answered yet.
const reasonSecond = "second_server"

// secondSend is a send of a request to a second server while the first one has not answered yet.
type secondSend struct {
	ticket *placement.Ticket
	run    *strike.Run
	// firstRun is that of the first server.
	firstRun *strike.Run
}

// exchanged is the result of a send.
type exchanged struct {
	resp   *httpclient.Response
	err    error
	second *secondSend // nil for the first server
}

// exchangeInTime sends a request to a server and, if its call is idempotent and would miss its target there, to a second
// one; see placement.Board.SecondServer. The first usable response counts, and the other send is canceled. second is set if
// the result is that of the second server.
func (n *Node) exchangeInTime(ctx context.Context, req *request, out *http.Request, ticket *placement.Ticket, timer *stallTimer) (
	resp *httpclient.Response, second *secondSend, err error) {
	if !n.maySendSecond(req) {
		resp, err = n.client.Exchange(out)
		return resp, nil, err
	}
	results := make(chan exchanged, 2)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	go func() {
		resp, err := n.client.Exchange(out.WithContext(firstCtx))
		results <- exchanged{resp: resp, err: err}
	}()
	first, started, cancelSecond := n.awaitFirst(ctx, req, ticket, results)
	if started == nil {
		context.AfterFunc(ctx, cancelFirst) // the response is read until then
		return first.resp, nil, first.err
	}
	timer.stop() // both sends go on until one of them is answered
	got := <-results
	if !got.usable(n, req) {
		n.endUnused(req, got, ticket, started)
		other := <-results
		context.AfterFunc(ctx, func() { cancelFirst(); cancelSecond() })
		return other.resp, other.second, other.err
	}
	if got.second == nil {
		cancelSecond()
	} else {
		cancelFirst()
	}
	context.AfterFunc(ctx, func() { cancelFirst(); cancelSecond() })
	go func() { n.endUnused(req, <-results, ticket, started) }()
	return got.resp, got.second, got.err
}

// maySendSecond reports whether a request may be sent to two servers at a time.
func (n *Node) maySendSecond(req *request) bool {
	return req.service.Engine == nil && req.route.Repeat == serving.Idempotent && req.route.LatencyTarget > 0 &&
		req.sends+1 < req.route.MaxAttempts && n.board.OnSharedMachines(req.service.Name)
}

// awaitFirst waits for the result of the first send, or until a second one has been started, whose result is sent to results.
func (n *Node) awaitFirst(ctx context.Context, req *request, ticket *placement.Ticket, results chan exchanged) (
	first exchanged, started *secondSend, cancel context.CancelFunc) {
	choice := n.choice(req)
	choice.Exclude, choice.Eligible = slices.Clone(req.triedServers), n.rollouts.choices(req, time.Now())[0]
	check := time.NewTimer(0)
	defer check.Stop()
	for {
		select {
		case first = <-results:
			return first, nil, nil
		case <-check.C:
			now := time.Now()
			// The time that the request has been here counts: the caller's target does too.
			target := req.route.LatencyTarget - req.sentAt.Sub(req.arrived)
			send, next := n.board.SecondServer(ticket, choice, target, now)
			if send {
				if started, cancel = n.startSecond(ctx, req, choice, results); started != nil {
					return exchanged{}, started, cancel
				}
			} else if next > 0 {
				check.Reset(next)
			}
		}
	}
}

// startSecond sends a request to a second server if the retry budget allows it.
func (n *Node) startSecond(ctx context.Context, req *request, choice placement.Choice, results chan<- exchanged) (*secondSend, context.CancelFunc) {
	now := time.Now()
	if !n.retryWindow(req.service.Name).Withdraw(now) {
		return nil, nil
	}
	ticket := n.board.PickPlain(choice, now)
	if ticket == nil {
		return nil, nil
	}
	run, ok := n.crashes.tracker.TryStart(ticket.Server.ID, req.content, now)
	if !ok {
		ticket.End(placement.Abandoned, now)
		return nil, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	out, err := n.outbound(ctx, req, ticket, req.ResumeAfter)
	if err != nil {
		cancel()
		ticket.End(placement.Abandoned, now)
		run.End(strike.Abandoned, now)
		return nil, nil
	}
	// The first server may have run the request by now.
	req.triedServers = append(req.triedServers, ticket.Server.ID)
	req.sends++
	req.mayHaveRun = true
	n.countUsage(req)
	n.metrics.Retry(reasonSecond)
	second := &secondSend{ticket: ticket, run: run, firstRun: req.run}
	go func() {
		resp, err := n.client.Exchange(out)
		results <- exchanged{resp: resp, err: err, second: second}
	}()
	return second, cancel
}

// usable reports whether a result may be passed to the caller, so that the other send is not needed.
func (e exchanged) usable(n *Node, req *request) bool {
	if e.err != nil || e.resp.StatusCode >= http.StatusInternalServerError {
		return false
	}
	reply := n.headers.Reply(e.resp.Response)
	return reply.AttemptID == req.AttemptID && reply.Signed && !reply.NotRun && !reply.OtherServer
}

// endUnused records the end of the send whose response is not used. The relay has the ticket and the run of the other one.
func (n *Node) endUnused(req *request, e exchanged, first *placement.Ticket, second *secondSend) {
	now := time.Now()
	ticket := first
	if e.second != nil {
		ticket = second.ticket
	}
	outcome, runOutcome := placement.Abandoned, strike.Disconnected
	switch {
	case e.err == nil:
		runOutcome = strike.Abandoned
		reply := n.headers.Reply(e.resp.Response)
		if reply.AttemptID == req.AttemptID {
			n.withhold(req, reply, ticket.Server)
		}
		if e.resp.StatusCode >= http.StatusInternalServerError && !reply.NotRun {
			outcome = placement.Failed
		}
		closeBody(e.resp)
	case errors.Is(e.err, context.Canceled) || errors.Is(e.err, context.DeadlineExceeded):
	case errors.Is(e.err, backend.ErrUnreachable):
		outcome, runOutcome = placement.Failed, strike.Abandoned
	default:
		outcome, runOutcome = placement.Failed, strike.Interrupted
	}
	ticket.End(outcome, now)
	if outcome == placement.Failed {
		n.outliers.Observe(ticket.Server.ID, false)
	}
	if e.second != nil {
		second.run.End(runOutcome, now)
	} else {
		second.firstRun.End(runOutcome, now)
	}
	switch {
	case errors.Is(e.err, syscall.ECONNREFUSED):
		n.crashes.connRefused(ticket.Server, now)
	case runOutcome == strike.Interrupted:
		n.prober.connLost(ticket.Server)
	}
}
