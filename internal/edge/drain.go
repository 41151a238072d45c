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
	// next directory query. acceptAllShare limits it to a part of the grace period.
	acceptAllPeriod = 2500 * time.Millisecond
	acceptAllShare  = 0.35
	// acceptShortPeriod is how long after the stop signal requests other than streams are accepted; streams would not
	// end within the grace period. acceptShortShare limits it to a part of the grace period.
	acceptShortPeriod = 6 * time.Second
	acceptShortShare  = 0.75
	// exitMargin is the part of the grace period reserved for the process to exit.
	exitMargin = 300 * time.Millisecond
	// stopLogInterval is how often a stopping node logs what it waits for.
	stopLogInterval = time.Second
)

// accepts reports whether a node accepts a request at a time after its stop signal. It must end early enough that all
// accepted requests can be answered within the grace period.
func accepts(sinceStop, grace time.Duration, stream bool) bool {
	if stream {
		return sinceStop <= min(acceptAllPeriod, time.Duration(acceptAllShare*float64(grace)))
	}
	return sinceStop <= acceptUntil(grace)
}

// acceptUntil is the time after the stop signal at which the last requests are accepted.
func acceptUntil(grace time.Duration) time.Duration {
	return min(acceptShortPeriod, time.Duration(acceptShortShare*float64(grace)))
}

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
	clock.Sleep(ctx, time.Until(start.Add(acceptUntil(n.settings.Grace))))
	n.closeServers(ctx, servers)
	if open := n.openRequests.Load(); open > 0 {
		n.log.WithField("open", open).Warning(logline.RequestsCutOff)
	}
}

// closeServers stops accepting connections, waits for the requests in progress and closes all servers when ctx ends at
// the latest. The servers other than that of callers answer until all requests have ended.
func (n *Node) closeServers(ctx context.Context, servers []*http.Server) {
	done := make(chan struct{})
	go func() {
		for ticker := time.NewTicker(stopLogInterval); ; {
			select {
			case <-ticker.C:
				n.log.WithField("open", n.openRequests.Load()).Info("waiting for open requests")
			case <-done:
				ticker.Stop()
				return
			}
		}
	}()
	defer close(done)
	for _, server := range servers {
		if server.Addr == n.settings.CallerAddr {
			if err := server.Shutdown(ctx); err != nil {
				n.log.WithError(err).Debug("connections of callers are closed before their requests have ended")
			}
		}
	}
	for _, server := range servers {
		if err := server.Close(); err != nil {
			n.log.WithError(err).Debug("closing listener failed")
		}
	}
}
