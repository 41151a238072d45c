package edge

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// Guards against a node that takes its own partition or pause for an outage of the store, and against an outage that is
// not recognized. The simple rule, the age of the last read, cannot tell them apart.
func TestOwnPartitionIsNoOutage(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	for name, test := range map[string]struct {
		lastRead, read float64
		heard          []float64
		want           bool
	}{
		"outage, others are heard":               {0, 5, []float64{0, 1, 2, 3, 4, 5}, true},
		"outage, no others":                      {0, 5, nil, true},
		"outage long after a partition":          {10, 15, []float64{0, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}, true},
		"partition, read before anyone is heard": {0, 5, []float64{-1, 0}, false},
		"partition, others are heard before":     {0, 5, []float64{-1, 0, 4.9, 4.95}, false},
		"reads by others":                        {4, 5, []float64{0, 1, 2, 3, 4, 5}, false},
	} {
		i := &isolation{}
		for _, s := range test.heard {
			i.heard(at(s))
		}
		assert.Equal(t, i.isOutage(at(test.lastRead), at(test.read)), test.want, name)
	}
}

// Guards against servers that have left and come back to connected nodes through one that was cut off meanwhile, whether
// or not that node knows that it was; and against a fetch of the whole view by each node because of them.
func TestKeptServersDoNotComeBack(t *testing.T) {
	for _, isolated := range []bool{true, false} {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprint(isolated, whole), func(t *testing.T) {
				store := &fakeStore{rows: map[string]platform.Row{}}
				for i := range 4 {
					store.set(fmt.Sprint("engine-", i), serving.Ready)
				}
				connected, cutOff := newTestView(store), newTestView(store)
				for _, v := range []*serverView{connected, cutOff} {
					v.readers = &readerSelection{lost: &atomic.Int32{}}
					assert.NilError(t, v.read(t.Context()))
				}
				now := time.Now()
				if isolated {
					cutOff.observePeer(connected.state(now), now.Add(-5*time.Second))
				}
				cutOff.freshAsOf = now.Add(-5 * time.Second)
				store.remove("engine-0")
				assert.NilError(t, connected.read(t.Context()))
				assert.Equal(t, len(connected.entries), 3)
				before := connected.version
				store.set("engine-3", serving.Draining)
				assert.NilError(t, cutOff.read(t.Context()))
				assert.Equal(t, cutOff.entries["engine-0"] == nil, isolated, "a cut-off node keeps a server that has left")

				assert.Assert(t, connected.observePeer(cutOff.state(now), now))
				since := before
				if whole {
					since = 0
				}
				view := cutOff.export(since, now)
				if !whole { // entries that a peer keeps are among its changes
					view = withEntry(view, cutOff)
				}
				assert.NilError(t, connected.merge(view, now))
				assert.Assert(t, connected.entries["engine-0"] == nil, "a server that has left came back")
				assert.Equal(t, connected.entries["engine-3"].server.State, serving.Draining)
				assert.Equal(t, connected.version, cutOff.version)
				assert.Assert(t, !connected.observePeer(cutOff.state(now), now) && !connected.incomplete, "another fetch")

				fresh := newTestView(nil)
				assert.NilError(t, fresh.merge(cutOff.export(0, now), now))
				assert.Equal(t, fresh.entries["engine-0"] == nil, isolated, "a new node knows nothing that contradicts")
			})
		}
	}
}

// withEntry adds the kept entry of engine-0 to changes without it.
func withEntry(view *pb.ServerView, from *serverView) *pb.ServerView {
	for _, e := range view.Entries {
		if e.Key == "engine-0" {
			return view
		}
	}
	for _, e := range from.export(0, time.Now()).Entries {
		if e.Key == "engine-0" {
			view.Entries = append(view.Entries, e)
		}
	}
	return view
}
