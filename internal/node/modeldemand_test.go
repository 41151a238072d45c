package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/example"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/fleet"
)

// Guards against a demand that always counts the longest possible responses, that omits other nodes, or that persists
// after a node has gone silent.
func TestModelDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		merged, faults := config.Merge(example.Files())
		assert.Equal(t, len(faults), 0)
		index := config.NewIndex(&pb.Snapshot{Merged: merged, FolderRevision: 1})
		local, remote := newModelDemand(), newModelDemand()
		for range 10 {
			local.countRequest("quote-small", 100)(40)
			remote.countRequest("quote-small", 40)
		}
		assert.Assert(t, local.endInterval(2*time.Second) != nil)
		remote.countRequest("not-configured-here", 900)
		local.setPeerDemand("there", remote.endInterval(2*time.Second), 3*time.Second)
		// Each node counts 10 requests for quote-small: on the local node the first with 100 tokens, all others with
		// 40.
		assert.DeepEqual(t, local.total(index), map[string]fleet.Demand{"quote-small": {TokensPerSecond: 430, RequestsPerSecond: 10}})
		time.Sleep(4 * time.Second)
		assert.DeepEqual(t, local.total(index), map[string]fleet.Demand{"quote-small": {TokensPerSecond: 230, RequestsPerSecond: 5}})
		assert.Assert(t, local.endInterval(2*time.Second) != nil) // the end of the demand is published once
		assert.Assert(t, local.endInterval(2*time.Second) == nil)
		assert.Equal(t, len(local.total(index)), 0)
	})
}
