package bench

import (
	"fmt"
	"slices"
	"strings"
)

// ranStatus is what the response to one attempt of a non-repeatable call says about its execution: the value of `ran`,
// or ranDone if the service responded.
type ranStatus string

// Values of ranStatus.
const (
	ranNo         ranStatus = "no"
	ranYes        ranStatus = "yes"
	ranUnknown    ranStatus = "unknown"
	ranDone       ranStatus = "done"
	ranNoResponse ranStatus = ""
)

// callAttempt is one attempt of a non-repeatable call and the status that its caller received.
type callAttempt struct {
	idempotencyKey string
	userAgent      string // User-Agent of the attempt, which the run log contains
	ran            ranStatus
}

// checkRuns compares the statuses that callers received with the run log, which has the User-Agent of each run by
// "workspace/key". It returns a description of each key that ran more than once and of each wrong status. Status "no"
// is wrong when the attempt ran; "yes" and "done" are wrong when the key never ran.
func checkRuns(attempts []callAttempt, runs map[string][]string) (repeated, wrong []string) {
	runsByKey := map[string][]string{}
	for workspaceKey, userAgents := range runs {
		_, key, _ := strings.Cut(workspaceKey, "/")
		runsByKey[key] = append(runsByKey[key], userAgents...)
	}
	reported := map[string]bool{}
	for _, c := range attempts {
		userAgents := runsByKey[c.idempotencyKey]
		if len(userAgents) > 1 && !reported[c.idempotencyKey] {
			reported[c.idempotencyKey] = true
			repeated = append(repeated, fmt.Sprintf("%s ran %d times: %v", c.idempotencyKey, len(userAgents), userAgents))
		}
		switch {
		case c.ran == ranNo && slices.Contains(userAgents, c.userAgent):
			wrong = append(wrong, fmt.Sprintf("%s %s: status no, but this attempt ran", c.idempotencyKey, c.userAgent))
		case (c.ran == ranYes || c.ran == ranDone) && len(userAgents) == 0:
			wrong = append(wrong, fmt.Sprintf("%s %s: status %s, but the key never ran", c.idempotencyKey, c.userAgent, c.ran))
		}
	}
	return repeated, wrong
}
