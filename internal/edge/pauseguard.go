package edge

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
)

const (
	// pauseTick is how often a node notes that it runs, pauseThreshold the time without a note after which it was paused.
	// In a shorter time no view gets older than the bounds of a change allow.
	pauseTick      = 100 * time.Millisecond
	pauseThreshold = time.Second
	// maxPauseWait limits the time for which requests wait for the views after a pause. Without the store the node goes on
	// with what it knows and what its peers say.
	maxPauseWait = 600 * time.Millisecond
)

// pauseGuard notices when the process was paused, with its machine or alone. Requests that have waited in its sockets
// meanwhile must not be served with views from before: a key may have been withdrawn or a server may have left. They
// wait until the views have been read again.
type pauseGuard struct {
	log *logrus.Entry
	// refresh reads the views from the store.
	refresh func(ctx context.Context) error

	mu     sync.Mutex
	noted  time.Time
	paused chan struct{} // closed when the views are current again; nil if the node was not paused
}

func newPauseGuard(log *logrus.Entry, refresh func(ctx context.Context) error) *pauseGuard {
	return &pauseGuard{log: log, refresh: refresh, noted: time.Now()}
}

// run notes that the process runs, until ctx ends.
func (g *pauseGuard) run(ctx context.Context) {
	for clock.Sleep(ctx, pauseTick) {
		g.note(time.Now())
	}
}

// note notes that the process runs. The first call after a pause reads the views again.
func (g *pauseGuard) note(now time.Time) (current <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The monotonic clock does not count a suspension of the machine, the wall clock does.
	elapsed := max(now.Sub(g.noted), now.Round(0).Sub(g.noted.Round(0)))
	g.noted = now
	if elapsed < pauseThreshold || g.paused != nil {
		return g.paused
	}
	g.log.WithField(logline.Duration, elapsed.Milliseconds()).Warning(logline.NodePaused)
	done := make(chan struct{})
	g.paused = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxPauseWait)
		defer cancel()
		if err := g.refresh(ctx); err != nil {
			g.log.WithError(err).Warning("reading views after a pause failed; going on with those from before")
		}
		g.mu.Lock()
		g.paused = nil
		g.mu.Unlock()
		close(done)
	}()
	return done
}

// await waits, right after a pause, until the views are current.
func (g *pauseGuard) await(ctx context.Context) {
	current := g.note(time.Now())
	if current == nil {
		return
	}
	select {
	case <-current:
	case <-ctx.Done():
	}
}
