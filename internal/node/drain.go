package node

import (
	"context"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

const (
	// handoverInterval spaces the handovers of a leaving node, so that the new homes are not flooded. It moves 100
	// responses a second.
	handoverInterval = 10 * time.Millisecond
	// exitMargin is kept before the end of a notice for the last steps.
	exitMargin = time.Second
	// leaveSpread is how long a leaving node goes on to answer after it has announced that it leaves, so that callers who
	// have just read its address are sent on and not refused.
	leaveSpread = 2 * time.Second
	// copyTimeout bounds the last messages of a leaving node; it is less than exitMargin.
	copyTimeout = 500 * time.Millisecond
	drainPoll   = 20 * time.Millisecond
)

// Drain takes the node out of service. Without a deadline it waits until the last request is done. With one, it hands
// the responses that will not finish in time to other nodes, from the first second on, because processes die
// before their notice ends. It returns when nothing is left or the deadline is near.
func (n *Node) Drain(ctx context.Context, deadline time.Time) {
	if !n.leaving.CompareAndSwap(false, true) {
		<-n.drained
		return
	}
	defer close(n.drained)
	n.log.WithField("deadline", deadline).Info("node leaves: no new work, open requests go on")
	n.cluster.view.Leave()
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-exitMargin))
		defer cancel()
	}
	n.finishWork(ctx, deadline)
	if err := n.claims.Drain(ctx); err != nil {
		n.log.WithError(err).Warn("non-repeatable calls are not all recorded; resends get ran:unknown")
	}
	clock.Sleep(ctx, leaveSpread)
	n.finishWork(ctx, deadline)
	last, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	n.replicator.TransferReplicas(last)
	n.log.WithField("open_requests", n.openRequests.Load()).Info("node has drained")
}

// finishWork returns when no request is open and no response runs, or ctx ends. With a deadline it hands over what
// will not finish in time, again and again: a caller whose home node has died may make this node take over a response
// that it has the copy of.
func (n *Node) finishWork(ctx context.Context, deadline time.Time) {
	for (n.runner.Running() > 0 || n.openRequests.Load() > 0) && ctx.Err() == nil {
		if !deadline.IsZero() {
			n.handOver(ctx, deadline)
		}
		clock.Sleep(ctx, drainPoll)
	}
}

// handOver gives the responses that run past the deadline to other nodes. They do not wait for each other: a node that
// has died without being known dead delays each by its timeout, and together they would use up the notice.
func (n *Node) handOver(ctx context.Context, deadline time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	n.logs.Each(func(log *stream.Log) {
		id := log.Meta().ID
		if ctx.Err() != nil || !n.runner.OutlastsDeadline(id, deadline) {
			return
		}
		keepKV := func(ctx context.Context) string { return n.runner.RetainKV(ctx, id) }
		wg.Go(func() { n.replicator.Handover(ctx, log, keepKV, func() { n.runner.Stop(id) }) })
		clock.Sleep(ctx, handoverInterval)
	})
}
