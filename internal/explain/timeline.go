package explain

import (
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
)

// beliefs are the messages of which a timeline consists: each changes what a node takes for true.
var beliefMessages = []string{
	logline.NodeStarted, logline.NodeDraining, logline.NodeStopped, logline.NodeHeard, logline.RequestsCutOff,
	logline.ConfigInForce, logline.ConfigRowBroken, logline.ServerChanged, logline.ServerGone, logline.ServersInDoubt,
	logline.CrashRecord, logline.DutiesAcquired, logline.DutiesEnded, logline.ServersOrdered, logline.OrderRefused,
	logline.UsageReported, logline.DependencyLost, logline.DependencyBack,
}

// Timeline returns what changed in the beliefs of the nodes between two times. A zero time does not bound.
func (l *Log) Timeline(from, to time.Time) []Line {
	if to.IsZero() && len(l.Lines) > 0 {
		to = l.Lines[len(l.Lines)-1].Time
	}
	return l.between(from, to, func(x Line) bool { return slices.Contains(beliefMessages, x.Message) })
}
