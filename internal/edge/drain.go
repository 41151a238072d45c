package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
)

const (
	// acceptAllPeriod is how long after the stop signal all requests are accepted: callers learn of the stop with their
	// next directory query.
	acceptAllPeriod = 2500 * time.Millisecond
	// acceptShortPeriod is how long after the stop signal requests other than streams are accepted; streams would not
	// end within the grace period.
	acceptShortPeriod = 6 * time.Second
	// exitMargin is the part of the grace period reserved for the process to exit.
	exitMargin = 300 * time.Millisecond
	// drainPollInterval is how often a stopping node checks whether all requests have ended.
	drainPollInterval = 50 * time.Millisecond
)

// sinceStop returns the time since the stop signal, or -1 without one.
func (n *Node) sinceStop() time.Duration {
	at := n.stoppedAt.Load()
	if at == nil {
		return -1
	}
	return time.Since(*at)
}

// drain finishes the requests in progress. Other nodes stop listing this one at once, but requests are still accepted
// until the addresses that callers have cached must have expired.
func (n *Node) drain(servers []*http.Server, stopDuties func()) {
	start := time.Now()
	n.stoppedAt.Store(&start)
	n.stopping.Store(true)
	n.log.WithField("open", n.openRequests.Load()).Info(logline.NodeDraining)
	go n.peers.send(context.Background()) // takes a fraction of a second in a large deployment
	stopDuties()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(n.settings.Grace-exitMargin))
	defer cancel()
	n.peers.unregister(ctx)
	clock.Sleep(ctx, time.Until(start.Add(min(acceptShortPeriod, n.settings.Grace*3/4))))
	for n.openRequests.Load() > 0 && clock.Sleep(ctx, drainPollInterval) {
	}
	for _, server := range servers {
		if err := server.Close(); err != nil {
			n.log.WithError(err).Debug("closing listener failed")
		}
	}
	if open := n.openRequests.Load(); open > 0 {
		n.log.WithField("open", open).Warning(logline.RequestsCutOff)
	}
}
