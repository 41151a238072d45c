package logline

import (
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/pkg/strike"
)

// StrikeFields returns the fields of a StrikeDecision line.
func StrikeFields(d strike.Decision) logrus.Fields {
	return logrus.Fields{Digest: d.Digest, Incident: d.Incident, Verdict: d.Verdict, Reason: d.Reason, Related: d.Related}
}
