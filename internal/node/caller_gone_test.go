package node_test

import (
	"bytes"
	"log"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal, with a second header, that is written into the stream of a caller who has left, and is
// logged as an internal error.
func TestCallerThatLeavesGetsNoSecondHeader(t *testing.T) {
	var warnings bytes.Buffer // net/http tells of a second header in the standard log only
	old := log.Writer()
	log.SetOutput(&warnings)
	defer log.SetOutput(old)
	inCluster(t, clusterOptions{}, func(t *testing.T, c *cluster) {
		r := c.mustOpen(t, 0, longPrompt)
		r.read(20)
		assert.NilError(t, r.body.Close())
		time.Sleep(time.Second)
		metrics := newCaller(c).do(0, request{method: "GET", path: "/metrics"})
		assert.Assert(t, strings.Contains(metrics.body, `caller_gone`), metrics.body)
	})
	assert.Equal(t, warnings.String(), "")
}
