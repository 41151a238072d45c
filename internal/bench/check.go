package bench

import (
	"fmt"
	"slices"
	"strings"
)

// told is what a caller was told about one try of a non-repeatable call: the value of `ran`, or toldDone after an
// answer of the service.
type told string

// Values of told.
const (
	toldNo      told = "no"
	toldYes     told = "yes"
	toldUnknown told = "unknown"
	toldDone    told = "done"
	toldNothing told = ""
)

// claim is one try of a non-repeatable call and what its caller was told.
type claim struct {
	key   string
	agent string // User-Agent of the try, which the run log shows
	told  told
}

// checkRuns compares what callers were told with the run log, which has the User-Agent of each run by
// "workspace/key". It returns the keys that ran more than once and a description of each wrong claim. A claim "no" is
// wrong when the try ran, "yes" and an answer are wrong when the key never ran.
func checkRuns(claims []claim, runs map[string][]string) (repeated, wrong []string) {
	byKey := map[string][]string{}
	for full, agents := range runs {
		_, key, _ := strings.Cut(full, "/")
		byKey[key] = append(byKey[key], agents...)
	}
	seen := map[string]bool{}
	for _, c := range claims {
		agents := byKey[c.key]
		if len(agents) > 1 && !seen[c.key] {
			seen[c.key] = true
			repeated = append(repeated, fmt.Sprintf("%s ran %d times: %v", c.key, len(agents), agents))
		}
		switch {
		case c.told == toldNo && slices.Contains(agents, c.agent):
			wrong = append(wrong, fmt.Sprintf("%s %s: told no, but this try ran", c.key, c.agent))
		case (c.told == toldYes || c.told == toldDone) && len(agents) == 0:
			wrong = append(wrong, fmt.Sprintf("%s %s: told %s, but the key never ran", c.key, c.agent, c.told))
		}
	}
	return repeated, wrong
}
