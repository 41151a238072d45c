package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/drain"
)

const (
	// listenPeriod is how long after the stop signal connections are accepted; callers have learned of the stop then.
	// listenShare limits it to a part of the grace period.
	listenPeriod = 6 * time.Second
	listenShare  = 0.75
	// exitMargin is the part of the grace period reserved for the process to exit, and answerMargin the part before it
	// in which the requests that are still open are answered. marginShare limits each to a part of the grace period.
	exitMargin   = 300 * time.Millisecond
	answerMargin = 200 * time.Millisecond
	marginShare  = 0.1
	// lastLinesShare is the part of the exit margin in which the requests that were ended last write their log lines.
	// lastLinesPollInterval is how often the node checks whether they have.
	lastLinesShare        = 0.5
	lastLinesPollInterval = 5 * time.Millisecond
	// stopLogInterval is how often a stopping node logs what it waits for.
	stopLogInterval = time.Second
)

// errNodeStopping is the cancellation cause of requests that are open when the time for them is over.
var errNodeStopping = errorString("the node stops")

// workPeriod is the time after the stop signal at which all requests must have ended, exitAt the one at which the node
// exits.
func (s *Settings) workPeriod() time.Duration { return s.exitAt() - s.drainMargin(answerMargin) }

func (s *Settings) exitAt() time.Duration { return s.Grace - s.drainMargin(exitMargin) }

func (s *Settings) drainMargin(most time.Duration) time.Duration {
	return min(most, time.Duration(marginShare*float64(s.Grace)))
}

// refuseIfStopping returns the refusal of a request that a stopping node could not answer in time.
func (n *Node) refuseIfStopping(req *request) *code.Error {
	at := n.stoppedAt.Load()
	if at == nil {
		return nil
	}
	now := time.Now()
	stop := drain.Stop{At: *at, Work: n.settings.workPeriod(), Grace: n.settings.Grace}
	if stop.Accept(drainRequest(req, now), n.durations, now) {
		return nil
	}
	return leavingRefusal()
}

// drainRequest describes a request for package drain.
func drainRequest(req *request, now time.Time) drain.Request {
	return drain.Request{Route: req.route.Name, Service: req.service.Name, Repeat: req.route.Repeat, Stream: req.route.Stream,
		Output: req.expectedOutput(), Left: req.deadline.Sub(now)}
}

func leavingRefusal() *code.Error {
	return code.New(code.NodeLeaving, "this node is stopping; another one takes the request").WithRetryAfter(leavingRetryAfter)
}

// drain finishes the requests in progress. Other nodes stop listing this one at once, but requests that end in time are
// still accepted until the addresses that callers have cached must have expired. What is open at the end of workPeriod
// is ended with an answer.
func (n *Node) drain(servers []*http.Server, stopDuties func()) {
	start := time.Now()
	n.stoppedAt.Store(&start)
	n.stopping.Store(true)
	n.log.WithField("open", n.openRequests.Load()).Info(logline.NodeDraining)
	go n.peers.send(context.Background()) // takes a fraction of a second in a large deployment
	stopDuties()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(n.settings.exitAt()))
	defer cancel()
	unregistered := make(chan struct{})
	go func() { // a slow store must not keep requests from being finished
		defer close(unregistered)
		n.peers.unregister(ctx)
	}()
	endWork := time.AfterFunc(time.Until(start.Add(n.settings.workPeriod())), func() {
		if open := n.openRequests.Load(); open > 0 {
			n.log.WithField("open", open).Warning(logline.RequestsCutOff)
		}
		n.endWork()
	})
	defer endWork.Stop()
	clock.Sleep(ctx, time.Until(start.Add(min(listenPeriod, time.Duration(listenShare*float64(n.settings.Grace))))))
	n.closeServers(ctx, servers)
	<-unregistered
	lastLines := time.Duration(lastLinesShare * float64(n.settings.drainMargin(exitMargin)))
	n.awaitRequests(start.Add(n.settings.exitAt() + lastLines))
}

// awaitRequests waits until all requests have been logged, at most until the given time. http.Server does not wait for
// requests whose connections the node has closed itself.
func (n *Node) awaitRequests(until time.Time) {
	for n.openRequests.Load() > 0 && time.Now().Before(until) {
		time.Sleep(lastLinesPollInterval)
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
