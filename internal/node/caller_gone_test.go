package node_test

import (
	"bytes"
	"log"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against writing a refusal, with a second header, into the stream of a caller that has disconnected, and
// logging it as an internal error.
func TestDisconnectedCallerGetsNoSecondHeader(t *testing.T) {
	var warnings bytes.Buffer // net/http reports a second header only in the standard log
	oldOutput := log.Writer()
	log.SetOutput(&warnings)
	defer log.SetOutput(oldOutput)
	runWithCluster(t, clusterOptions{}, func(t *testing.T, c *cluster) {
		r := c.mustOpen(t, 0, longPrompt)
		r.read(20)
		assert.NilError(t, r.body.Close())
		time.Sleep(time.Second)
		metrics := newCaller(c).do(0, request{method: "GET", path: "/metrics"})
		assert.Assert(t, strings.Contains(metrics.body, `caller_gone`), metrics.body)
	})
	assert.Equal(t, warnings.String(), "")
}
