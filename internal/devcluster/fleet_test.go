package devcluster

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Guards against a fleet loop that is not connected to the cluster: an engine whose instance crashed must be replaced,
// and no other instance started or stopped, although the loop runs on three nodes.
func TestFleetReplacesEngine(t *testing.T) {
	c := startCluster(t)
	cloud := c.Standins.Platform.Cloud
	cloud.Crash("assistant-6")
	deadline := time.Now().Add(30 * time.Second)
	for {
		list, err := cloud.Instances(context.Background())
		assert.NilError(t, err)
		engines, started := 0, 0
		for _, i := range list {
			if i.BackendGroup == "assistant" && i.State == platform.Live {
				engines++
			}
			if strings.HasPrefix(i.ID, "i-") {
				started++
			}
		}
		assert.Assert(t, started <= 1, "%d instances were started", started)
		if engines == minServersPerGroup && started == 1 {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%d engines are live: %+v", engines, c.Node(0).Status())
		time.Sleep(100 * time.Millisecond)
	}
}
