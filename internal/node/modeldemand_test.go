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

// Guards against a demand that counts the longest possible answers for ever, that misses other nodes, or that stays
// when a node falls silent.
func TestModelDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		merged, faults := config.Merge(example.Files())
		assert.Equal(t, len(faults), 0)
		index := config.NewIndex(&pb.Snapshot{Merged: merged, FolderRevision: 1})
		here, there := newModelDemand(), newModelDemand()
		for range 10 {
			here.request("quote-small", 100)(40)
			there.request("quote-small", 40)
		}
		assert.Assert(t, here.cut(2*time.Second) != nil)
		there.request("not-configured-here", 900)
		here.heard("there", there.cut(2*time.Second), 3*time.Second)
		// 100 tokens for the first answer, 40 for each other one.
		assert.DeepEqual(t, here.total(index), map[string]fleet.Demand{"quote-small": {TokensPerSecond: 430, RequestsPerSecond: 10}})
		time.Sleep(4 * time.Second)
		assert.DeepEqual(t, here.total(index), map[string]fleet.Demand{"quote-small": {TokensPerSecond: 230, RequestsPerSecond: 5}})
		assert.Assert(t, here.cut(2*time.Second) != nil) // the end of the demand is told once
		assert.Assert(t, here.cut(2*time.Second) == nil)
		assert.Equal(t, len(here.total(index)), 0)
	})
}
