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

// Guards against two servers that drain at the same moment and leave the sum of the digests as it was: no node then
// sees a change, and requests go on reaching both.
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

// Guards against a node that others hold for cut off from the store for good: it failed to read once, and since then they
// read before its turn comes.
func TestLostStoreIsTriedAgainOutOfTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &failingStore{changingStore: &changingStore{rows: map[string]platform.Row{}}}
		store.fails.Store(true)
		store.set("engine-1", serving.Ready)
		v := newTestView(store)
		v.turn = &storeTurn{position: func() int { return 7 }, place: func() int { return 7 }, lost: &atomic.Int32{}}
		v.beat = func() time.Duration { return beatInterval }
		go v.follow(ctx)
		time.Sleep(3 * time.Second)
		assert.Equal(t, v.turn.lost.Load(), int32(1))
		store.fails.Store(false)
		for range 50 { // another node reads
			time.Sleep(100 * time.Millisecond)
			v.mu.Lock()
			v.freshAt = time.Now()
			v.mu.Unlock()
		}
		assert.Equal(t, v.turn.lost.Load(), int32(0))
	})
}

// failingStore fails while it is told to.
type failingStore struct {
	*changingStore
	fails atomic.Bool
}

func (s *failingStore) Snapshot(ctx context.Context, table string) ([]platform.Row, uint64, error) {
	if s.fails.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	return s.changingStore.Snapshot(ctx, table)
}
