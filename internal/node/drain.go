package node

import (
	"context"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

const (
	// handoverInterval limits a leaving node to 100 handovers per second, so that the new home nodes are not
	// overloaded.
	handoverInterval = 10 * time.Millisecond
	// exitMargin is the time before the deadline of a drain that is reserved for the last steps before exit.
	exitMargin = time.Second
	// redirectPeriod is how long a leaving node without open work still accepts connections, so that callers that have
	// just got its address are redirected instead of failing to connect.
	redirectPeriod = 2 * time.Second
	// finalTransferTimeout bounds the transfer of response replicas to other nodes before exit; it is less than
	// exitMargin.
	finalTransferTimeout = 500 * time.Millisecond
	drainPollInterval    = 20 * time.Millisecond
	// answerTimeout bounds the wait for the answers of calls that are ended before exit. lastStepMargin is the time before
	// the deadline at which the last connections are closed. Together with finalTransferTimeout they are at most exitMargin.
	answerTimeout  = 300 * time.Millisecond
	lastStepMargin = 100 * time.Millisecond
)

// Drain takes the node out of service. With a zero deadline it waits until the last request is done. Otherwise it hands
// over the responses that will not finish in time to other nodes. It starts at once, because processes may die before
// their notice period ends. It returns when no work is left or the deadline is less than exitMargin away.
func (n *Node) Drain(ctx context.Context, deadline time.Time) {
	if !n.leaving.CompareAndSwap(false, true) {
		<-n.drained
		return
	}
	defer close(n.drained)
	n.log.WithField("deadline", deadline).Info("node draining: no new requests are accepted, open ones continue")
	n.cluster.view.Leave()
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-exitMargin))
		defer cancel()
	}
	n.finishWork(ctx, deadline)
	if ctx.Err() != nil {
		n.answerCalls()
	}
	if err := n.claims.Drain(ctx); err != nil {
		n.log.WithError(err).Warn("outcomes of some non-repeatable calls were not recorded; resent calls get ran:unknown")
	}
	clock.Sleep(ctx, redirectPeriod)
	n.finishWork(ctx, deadline)
	finalCtx, cancel := context.WithTimeout(context.Background(), finalTransferTimeout)
	defer cancel()
	n.replicator.TransferReplicas(finalCtx)
	n.log.WithField("open_requests", n.openRequests.Load()).Info("node drained")
}

// answerCalls ends the calls in progress, so that their callers learn that they may have run, and waits until they have
// been answered.
func (n *Node) answerCalls() {
	n.log.WithField("open_requests", n.openRequests.Load()).Warn("the time of the drain is over; ending open calls")
	n.endCalls()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for n.openRequests.Load() > 0 && clock.Sleep(ctx, drainPollInterval) {
	}
}

// finishWork returns when no request is open and no response runs, or when ctx ends. With a deadline it repeatedly
// hands over what will not finish in time: a caller of a dead home node may meanwhile make this node take over a
// response of which it holds the replica.
func (n *Node) finishWork(ctx context.Context, deadline time.Time) {
	for (n.runner.Running() > 0 || n.openRequests.Load() > 0) && ctx.Err() == nil {
		if !deadline.IsZero() {
			n.handOverResponses(ctx, deadline)
		}
		clock.Sleep(ctx, drainPollInterval)
	}
}

// handOverResponses hands over the responses that run past the deadline to other nodes. Handovers run concurrently:
// each one to a dead node that is not yet known to be dead takes a full timeout, and one after the other they would use
// up the notice period.
func (n *Node) handOverResponses(ctx context.Context, deadline time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	n.logs.Each(func(log *stream.Log) {
		id := log.Meta().ID
		if ctx.Err() != nil || !n.runner.OutlastsDeadline(id, deadline) {
			return
		}
		retainKV := func(ctx context.Context) string { return n.runner.RetainKV(ctx, id) }
		wg.Go(func() { n.replicator.Handover(ctx, log, retainKV, func() { n.runner.Stop(id) }) })
		clock.Sleep(ctx, handoverInterval)
	})
}
