package edge_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/rollout"
	"github.com/pollenlug/pollenlug/platform/standin"
)

// versions is a deployment with servers of two versions.
type versions struct {
	*deployment
	mu       sync.Mutex
	nodes    []*runningNode
	old, new []*standin.Server
	sent     atomic.Int64
	failed   atomic.Int64
	stop     chan struct{}
	callers  sync.WaitGroup
}

const rolloutTime = 10 * time.Second

// orderVersion starts three nodes under load, then servers of a second version, and orders it. behavior is that of the
// new servers.
func orderVersion(t *testing.T, behavior func(r *http.Request) standin.Behavior) *versions {
	v := &versions{deployment: newDeployment(t), stop: make(chan struct{})}
	v.rollout = rollout.Bounds{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}
	v.configure()
	start := func(version string, i int, behavior func(r *http.Request) standin.Behavior) *standin.Server {
		s := standin.NewServer(fmt.Sprint("desk-", version, "-", i), 0)
		t.Cleanup(s.Close)
		s.Version = version
		s.SetBehavior(behavior)
		v.store.Put("servers", s.ID, s.Row("desk", fmt.Sprint("domain-", i%2), 8, "ready", 1))
		return s
	}
	for i := range 4 {
		v.old = append(v.old, start("v1", i, always(standin.Behavior{Gap: 5 * time.Millisecond})))
	}
	for range 3 {
		v.nodes = append(v.nodes, v.node())
	}
	eventually(t, 3*time.Second, "the nodes do not know each other", func() bool { return len(directory(t, v.nodes[0])) == 3 })
	for range 12 {
		v.callers.Go(v.call)
	}
	t.Cleanup(v.stopCallers)
	for i := range 4 {
		v.new = append(v.new, start("v2", i, behavior))
	}
	time.Sleep(600 * time.Millisecond)
	v.store.Put("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": rolloutTime.Seconds()})
	return v
}

func (v *versions) stopCallers() {
	select {
	case <-v.stop:
	default:
		close(v.stop)
	}
	v.callers.Wait()
}

// call sends requests until the callers are stopped.
func (v *versions) call() {
	for {
		select {
		case <-v.stop:
			return
		case <-time.After(80 * time.Millisecond):
		}
		v.mu.Lock()
		n := v.nodes[rand.IntN(len(v.nodes))]
		v.mu.Unlock()
		path := "/book/1"
		if rand.IntN(2) == 0 {
			path = "/look/1"
		}
		v.sent.Add(1)
		if got := n.do(v.t, call{path: path}); got.status != http.StatusOK {
			v.failed.Add(1)
		}
	}
}

func (v *versions) runs(servers []*standin.Server) (n int) {
	for _, s := range servers {
		n += len(s.Runs())
	}
	return n
}

// states returns the states that were written.
func (v *versions) states() (states []string) {
	for _, value := range v.store.Writes("status", "rollout/desk") {
		var status struct{ State, To string }
		assert.NilError(v.t, json.Unmarshal(value, &status))
		assert.Equal(v.t, status.To, "v2")
		states = append(states, status.State)
	}
	return states
}

func (v *versions) awaitStates(within time.Duration, n int) {
	v.t.Helper()
	eventually(v.t, within, "the state is not written", func() bool { return len(v.states()) >= n })
}

// endHolder ends the node that holds the duties.
func (v *versions) endHolder() {
	holder := ""
	for _, line := range v.logs.read(v.t).Lines {
		if line.Message == logline.DutiesAcquired {
			holder = line.Node
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, n := range v.nodes {
		if n.settings.Node == holder {
			v.nodes = slices.Delete(v.nodes, i, i+1)
			n.stop()
			return
		}
	}
	v.t.Errorf("holder %q is unknown", holder)
}

// Guards against a good version that is not completed in time, also when the holder ends after its first write, against
// states that are written twice, and against requests to old servers shortly before they stop.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	t.Parallel()
	v := orderVersion(t, always(standin.Behavior{Gap: 5 * time.Millisecond}))
	ordered := time.Now()
	v.awaitStates(3*time.Second, 1)
	v.endHolder()
	v.awaitStates(rolloutTime, 2)
	assert.Assert(t, time.Since(ordered) < rolloutTime, "%v", time.Since(ordered))
	assert.DeepEqual(t, v.states(), []string{"in_progress", "completed"})
	completed := time.Now()
	for _, s := range v.old {
		for _, run := range s.Runs() {
			assert.Assert(t, completed.Sub(run.At) > 500*time.Millisecond, "an old server got a request %v before", completed.Sub(run.At))
		}
		s.Close()
	}
	v.failed.Store(0)
	time.Sleep(time.Second)
	v.stopCallers()
	assert.Equal(t, v.failed.Load(), int64(0), "after the old servers have stopped")
	assert.DeepEqual(t, v.states(), []string{"in_progress", "completed"})
}

// Guards against a bad version that gets more than the bound or is not reverted, also when the holder ends and the store
// is away meanwhile, and against one that gets requests later from a node that has just started.
func TestBadVersionIsRevertedWithinTheBound(t *testing.T) {
	for _, fault := range []string{"none", "holder ends", "store is away", "answers of the store are lost"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			v := orderVersion(t, func(*http.Request) standin.Behavior {
				return standin.Behavior{Fail: rand.IntN(2) == 0, Gap: 5 * time.Millisecond}
			})
			ordered := time.Now()
			v.awaitStates(3*time.Second, 1)
			switch fault {
			case "holder ends":
				v.endHolder()
			case "store is away":
				v.store.SetFault(standin.Refuse)
				time.AfterFunc(3*time.Second, func() { v.store.SetFault(standin.NoFault) })
			case "answers of the store are lost":
				v.store.SetFault(standin.LoseResponses)
				time.AfterFunc(4*time.Second, func() { v.store.SetFault(standin.NoFault) })
			}
			v.awaitStates(rolloutTime, 2)
			assert.Assert(t, time.Since(ordered) < rolloutTime)
			before := v.runs(v.new)
			restarted := v.node()
			v.mu.Lock()
			v.nodes = append(v.nodes, restarted)
			v.mu.Unlock()
			time.Sleep(time.Second)
			v.stopCallers()
			assert.Equal(t, v.runs(v.new), before, "requests after the revert")
			assert.Assert(t, before > 0)
			assert.Assert(t, float64(before) <= 0.1*float64(v.sent.Load())+50, "%d of %d requests", before, v.sent.Load())
			assert.DeepEqual(t, v.states(), []string{"in_progress", "reverted"})
		})
	}
}
