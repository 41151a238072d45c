package logline

import (
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/pkg/strike"
)

// StrikeLine returns the message and the fields of a decision's line.
func StrikeLine(d strike.Decision) (message string, fields logrus.Fields) {
	if d.Part != "" {
		return PartDecision, logrus.Fields{Part: d.Part, Incident: d.Incident, Verdict: d.Verdict, Reason: d.Reason, Related: d.Related}
	}
	return StrikeDecision, logrus.Fields{Digest: d.Digest, Incident: d.Incident, Verdict: d.Verdict, Reason: d.Reason, Related: d.Related}
}
