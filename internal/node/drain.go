package node

import (
	"context"
	"time"

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
		n.handOver(ctx, deadline)
	}
	n.await(ctx, func() bool { return n.runner.Running() == 0 && n.openRequests.Load() == 0 })
	if err := n.claims.Drain(ctx); err != nil {
		n.log.WithError(err).Warn("non-repeatable calls are not all recorded; resends get ran:unknown")
	}
	sleep(ctx, leaveSpread)
	n.log.WithField("open_requests", n.openRequests.Load()).Info("node has drained")
}

// handOver gives the responses that run past the deadline to other nodes.
func (n *Node) handOver(ctx context.Context, deadline time.Time) {
	n.logs.Each(func(log *stream.Log) {
		id := log.Meta().ID
		if ctx.Err() != nil || !n.runner.OutlastsDeadline(id, deadline) {
			return
		}
		keepKV := func(ctx context.Context) string { return n.runner.KeepKV(ctx, id) }
		n.replicator.Handover(ctx, log, keepKV, func() { n.runner.Stop(id) })
		sleep(ctx, handoverInterval)
	})
}

func (n *Node) await(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
