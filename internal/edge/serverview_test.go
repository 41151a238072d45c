package edge

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// Guards against two servers that drain at the same time and leave the sum of the digests unchanged: no node then sees
// the change, and requests still reach both.
func TestChangesOfTwoServersDoNotCancelOut(t *testing.T) {
	for i := range 40 {
		for j := range i {
			servers := []serving.Server{{ID: fmt.Sprintf("i-%d", i), Address: "10.0.0.1:1"}, {ID: fmt.Sprintf("i-%d", j), Address: "10.0.0.2:1"}}
			before := entryDigest(&servers[0]) + entryDigest(&servers[1])
			servers[0].State, servers[1].State = serving.Draining, serving.Draining
			assert.Assert(t, entryDigest(&servers[0])+entryDigest(&servers[1]) != before, "%d and %d", i, j)
		}
	}
}

// Guards against a node that its peers consider cut off from the store permanently: after its one failed read, they
// always read before a read by this node is due.
func TestFailedStoreReadIsRetriedBeforeItIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &failingStore{fakeStore: &fakeStore{rows: map[string]platform.Row{}}}
		store.fails.Store(true)
		store.set("engine-1", serving.Ready)
		v := newTestView(store)
		v.readers = &readerSelection{readerRank: func() int { return 7 }, nodeRank: func() int { return 7 }, lost: &atomic.Int32{}}
		v.heartbeatInterval = func() time.Duration { return minHeartbeatInterval }
		go v.watch(ctx)
		time.Sleep(3 * time.Second)
		assert.Equal(t, v.readers.lost.Load(), int32(1))
		store.fails.Store(false)
		for range 50 { // another node reads
			time.Sleep(100 * time.Millisecond)
			v.mu.Lock()
			v.freshAsOf = time.Now()
			v.mu.Unlock()
		}
		assert.Equal(t, v.readers.lost.Load(), int32(0))
	})
}

// failingStore fails snapshots while fails is set.
type failingStore struct {
	*fakeStore
	fails atomic.Bool
}

func (s *failingStore) Snapshot(ctx context.Context, table string) ([]platform.Row, uint64, error) {
	if s.fails.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	return s.fakeStore.Snapshot(ctx, table)
}
