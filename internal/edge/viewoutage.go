package edge

import (
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// isolationThreshold is the time without a heartbeat of any node after which a node assumes that it is cut off itself. It is
// below outageThreshold, so that it is known whenever an outage of the store is assumed, and above the interval at which
// the heartbeats of all others together arrive, also with two nodes.
const isolationThreshold = 1200 * time.Millisecond

// isolation records when this node last heard nothing from others.
//
// Load pattern: a node is cut off or paused for some seconds, during which servers leave. Its last read of the store is as
// old as after an outage, in which live servers cannot renew their rows, but here vanished rows belong to servers that
// have left. With the simple rule, the age of the last read alone, the node keeps them and gives them back to the others.
type isolation struct {
	// heardAt is when the last heartbeat arrived, until when the last one that ended an isolation did.
	heardAt, until time.Time
}

// heard records a heartbeat.
func (i *isolation) heard(now time.Time) {
	if i.now(now) {
		i.until = now
	}
	i.heardAt = now
}

// now reports whether this node is isolated. One that has never heard of others is not.
func (i *isolation) now(now time.Time) bool {
	return !i.heardAt.IsZero() && now.Sub(i.heardAt) > isolationThreshold
}

// isOutage reports whether the store had an outage that ends with a read at the given time, the first one after lastRead by
// any node that this one knows of.
func (i *isolation) isOutage(lastRead, read time.Time) bool {
	return !lastRead.IsZero() && read.Sub(lastRead) > outageThreshold && !i.now(read) && !i.until.After(lastRead)
}

// knowsVanished reports whether this view, before it was changed to a newer one, was at a version at which the row of e had
// vanished. An entry that a peer keeps without its row must not come back then.
func (v *serverView) knowsVanished(e *pb.ServerEntry, before uint64) bool {
	return e.GoneInMs > 0 && v.loaded.Load() && v.entries[e.Key] == nil && e.Version <= before &&
		platform.EraOf(before) == platform.EraOf(v.version)
}
