package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
)

const (
	// leaveNotice is how long after the stop signal requests are still taken as usual: callers learn of the stop with
	// their next question for addresses.
	leaveNotice = 2500 * time.Millisecond
	// lateTake is how long short requests are taken; streams would not end within the grace.
	lateTake = 6 * time.Second
	// endMargin is left of the grace when the process ends.
	endMargin = 300 * time.Millisecond
	// drainPoll is how often a stopping node looks whether the last request has ended.
	drainPoll = 50 * time.Millisecond
)

// sinceStop returns how long ago the stop signal came, or -1.
func (n *Node) sinceStop() time.Duration {
	at := n.stoppedAt.Load()
	if at == nil {
		return -1
	}
	return time.Since(*at)
}

// drain finishes what is in progress. Callers are told at once to go elsewhere, but the node serves those that still
// come until their addresses must have expired.
func (n *Node) drain(servers []*http.Server, stopDuties func()) {
	begin := time.Now()
	n.stoppedAt.Store(&begin)
	n.stopping.Store(true)
	n.log.WithField("open", n.open.Load()).Info(logline.NodeDraining)
	go n.peers.send(context.Background()) // in a large deployment it takes a part of a second
	stopDuties()
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(n.settings.Grace-endMargin))
	defer cancel()
	n.peers.unregister(ctx)
	clock.Sleep(ctx, time.Until(begin.Add(min(lateTake, n.settings.Grace*3/4))))
	for n.open.Load() > 0 && clock.Sleep(ctx, drainPoll) {
	}
	for _, server := range servers {
		if err := server.Close(); err != nil {
			n.log.WithError(err).Debug("listener not closed")
		}
	}
	if open := n.open.Load(); open > 0 {
		n.log.WithField("open", open).Warning(logline.RequestsCutOff)
	}
}
