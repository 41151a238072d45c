package explain

import (
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
)

// timelineMessages are the messages that appear in a timeline. Each one marks a change of a node's state or of its view
// of the system.
var timelineMessages = []string{
	logline.NodeStarted, logline.NodeDraining, logline.NodeStopped, logline.NodeDiscovered, logline.NodePaused, logline.RequestsCutOff,
	logline.ConfigInForce, logline.ConfigRowUnreadable, logline.ServerChanged, logline.ServerGone, logline.ServerRowVanished,
	logline.CrashRecord, logline.DutiesAcquired, logline.DutiesEnded, logline.ServersOrdered, logline.OrderRefused,
	logline.UsageReported, logline.DependencyLost, logline.DependencyRegained, logline.StoreReturned, logline.StoreSettled,
	logline.RowsWrittenAgain,
}

// Timeline returns the lines between two times, inclusive, that mark a change of a node's state or of its view of the
// system. A zero time means no bound.
func (l *Log) Timeline(from, to time.Time) []Line {
	if to.IsZero() && len(l.Lines) > 0 {
		to = l.Lines[len(l.Lines)-1].Time
	}
	return l.between(from, to, func(x Line) bool { return slices.Contains(timelineMessages, x.Message) })
}
