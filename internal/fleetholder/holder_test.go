package fleetholder

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/fleet"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// runFleetTest runs a test in virtual time with the fleet loops of one or two nodes.
func runFleetTest(t *testing.T, seed uint64, weightsRate uint32, nodes int, test func(env *testEnv, nodes []*testNode)) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, seed, weightsRate)
		env.addExample()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer env.cloud.Close()
		defer wg.Wait()
		defer cancel()
		var all []*testNode
		for _, name := range []string{"a", "b"}[:nodes] {
			all = append(all, env.start(name, ctx, &wg))
			time.Sleep(time.Second) // the first node becomes the holder
		}
		test(env, all)
	})
}

// Guards against an idle fleet that starts, stops, orders or writes anything.
func TestIdleFleetMakesNoCalls(t *testing.T) {
	runFleetTest(t, 1, 0, 1, func(env *testEnv, _ []*testNode) {
		time.Sleep(time.Minute)
		before := env.table.Counts()
		time.Sleep(2 * time.Hour)
		assert.Equal(t, len(env.calls()), 0, "%v", env.calls())
		// Only lease renewals, one every third of ten seconds.
		writes := env.table.Counts().RowWrites - before.RowWrites
		assert.Assert(t, writes < 2*3600/3, "%d row writes", writes)
	})
}

// Guards against a drained server that is stopped while it runs a request, including one sent late by a node that did
// not know of the drain, and against drained servers that are never stopped.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	runFleetTest(t, 1, 0, 2, func(env *testEnv, _ []*testNode) {
		time.Sleep(time.Minute)
		start := time.Now()
		for i := range 8 {
			id := env.liveInstances("assistant")[i].ID
			env.withLock(func() { env.servers[id].busyUntil = start.Add(time.Duration(i+1) * 40 * time.Second) })
		}
		env.configure(`{"backend_groups": [{"name": "assistant", "override": true, "kind": "MODEL_ENGINE", "instance_classes": ["gpu"], "min_servers": 4, "max_servers": 4}]}`)
		late := map[string]bool{}
		for range 40 * 60 {
			time.Sleep(time.Second)
			env.withLock(func() {
				for id, at := range env.announced {
					if since := time.Since(at); !late[id] && since >= 2*time.Second {
						late[id] = true
						env.servers[id].busyUntil = time.Now().Add(3 * time.Minute)
					}
				}
			})
		}
		assert.Equal(t, len(env.liveInstances("assistant")), 4)
		assert.Equal(t, env.countCalls("stop"), 4)
		assert.Equal(t, len(late), 4)
		for id := range late {
			s := env.server(id)
			assert.Assert(t, !s.stopped.Before(s.busyUntil), "%s stopped at %v, runs until %v", id, s.stopped, s.busyUntil)
			assert.Equal(t, s.role, "standby")
		}
	})
}

// Guards against a paused holder that acts when it resumes after its lease has expired, at each point where it can
// pause, and against a successor that starts a second instance for one decision.
func TestPausedHolderDoesNotAct(t *testing.T) {
	for _, point := range []string{"plan", "before row", "after row"} {
		runFleetTest(t, 1, 0, 2, func(env *testEnv, nodes []*testNode) {
			time.Sleep(time.Minute)
			nodes[0].pauseAt(point)
			env.cloud.Crash("assistant-0")
			env.cloud.Crash("assistant-5")
			time.Sleep(20 * time.Minute)
			tokens := map[string]bool{}
			for _, call := range env.calls() {
				assert.Equal(t, call.node, "b", "%s: node a acted after its pause", point)
				if call.kind == "start" {
					tokens[call.detail] = true
				}
			}
			assert.Equal(t, len(tokens), 2, "%s", point)
			assert.Equal(t, len(env.liveInstances("assistant")), 8)
			assert.Equal(t, env.countCalls("stop"), 0)
			assert.Assert(t, nodes[1].fleet.Status().Holder)
			assert.Assert(t, nodes[0].resumed(), "%s was not reached", point)
		})
	}
}

// Guards against a decision that is lost or executed twice when the holder fails between the write of the row and the
// cloud's response.
func TestSuccessorRepeatsStart(t *testing.T) {
	runFleetTest(t, 1, 0, 2, func(env *testEnv, nodes []*testNode) {
		time.Sleep(time.Minute)
		env.cloud.Crash("assistant-0")
		for env.countCalls("start") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		nodes[0].pause(time.Hour) // the start was sent, its result is never written
		time.Sleep(30 * time.Minute)
		assert.Equal(t, env.countCalls("start"), 2)
		assert.Equal(t, env.calls()[0].detail, env.calls()[1].detail)
		assert.Equal(t, env.calls()[1].node, "b")
		assert.Equal(t, len(env.liveInstances("assistant")), 8)
	})
}

// Guards against a successor that acts on a stale row, here the row before the last decision, whose instance is not
// listed yet.
func TestStaleRow(t *testing.T) {
	runFleetTest(t, 1, 0, 2, func(env *testEnv, nodes []*testNode) {
		time.Sleep(time.Minute)
		stale := false
		before, err := env.table.Get(t.Context(), tableName, rowKey)
		assert.NilError(t, err)
		env.withLock(func() {
			nodes[1].staleRow = func(row platform.Row) platform.Row {
				if stale {
					return before
				}
				return row
			}
		})
		env.cloud.Crash("assistant-5")
		for env.countCalls("start") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		env.withLock(func() { stale = true })
		nodes[0].pause(time.Hour)
		env.cloud.Crash("assistant-0")
		time.Sleep(time.Minute)
		assert.Equal(t, env.countCalls("start"), 1, "%v", env.calls())
		env.withLock(func() { stale = false })
		time.Sleep(10 * time.Minute)
		assert.Equal(t, len(env.liveInstances("assistant")), 8)
		tokens := map[string]bool{}
		for _, a := range env.calls() {
			if a.kind == "start" {
				tokens[a.detail] = true
			}
		}
		assert.Equal(t, len(tokens), 2, "%v", env.calls())
	})
}

// Guards against two nodes acting at the same time when responses of the table are lost, late or stale.
func TestLostTableResponses(t *testing.T) {
	for seed := range uint64(5) {
		runFleetTest(t, seed, 0, 2, func(env *testEnv, nodes []*testNode) {
			for _, n := range nodes {
				n.client.SetFaults(table.Faults{MaxLatency: 200 * time.Millisecond, LostPercent: 10, LatePercent: 10,
					MaxLate: 20 * time.Second, StalePercent: 30, MaxStale: 5 * time.Second})
			}
			for i := range 60 {
				time.Sleep(time.Minute)
				if live := env.liveInstances("assistant"); len(live) > 6 && i%2 == 0 {
					env.cloud.Crash(live[i%len(live)].ID)
				}
				if i%7 == 0 {
					nodes[i%2].pause(40 * time.Second)
				}
			}
			for _, n := range nodes {
				n.client.SetFaults(table.Faults{})
			}
			time.Sleep(10 * time.Minute)
			assert.Equal(t, len(env.liveInstances("assistant")), 8, "seed %d", seed)
			handovers := 0
			calls := env.calls()
			for i := 1; i < len(calls); i++ {
				last, next := calls[i-1], calls[i]
				if last.node != next.node {
					handovers++
					assert.Assert(t, next.at.Sub(last.at) >= 2*time.Second, "seed %d: %v after %v", seed, next, last)
				}
			}
			assert.Assert(t, handovers > 0, "seed %d: the lease never moved", seed)
		})
	}
}

// Guards against harm from an order that arrives after its holder has lost the lease, at a server that ignores fencing
// tokens; a server that checks them must refuse it.
func TestLateOrder(t *testing.T) {
	for _, checkFencing := range []bool{false, true} {
		runFleetTest(t, 1, 0, 2, func(env *testEnv, nodes []*testNode) {
			env.withLock(func() { env.checkFencing, nodes[0].orderDelay = checkFencing, 5*time.Minute })
			time.Sleep(time.Minute)
			env.configure(`{"models": [{"name": "new", "version": "1", "context_tokens": 8192, "backend_group": "assistant"}]}`)
			for env.countCalls("order") == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			nodes[0].pause(time.Minute) // its orders are in flight
			env.configure(`{"models": [{"name": "other", "version": "1", "context_tokens": 8192, "backend_group": "assistant", "min_servers_per_domain": 2}]}`)
			time.Sleep(8 * time.Minute)
			stale, late := 0, 0
			for _, i := range env.liveInstances("assistant") {
				s := env.server(i.ID)
				stale += s.staleOrders
				assert.Equal(t, s.role, "")
				for _, model := range []string{"brief-large", "quote-small", "other"} {
					assert.Assert(t, slices.Contains(s.models, model), "%s holds %v", i.ID, s.models)
				}
				if slices.Contains(s.models, "new") {
					late++
				}
			}
			assert.Equal(t, len(env.liveInstances("assistant")), 8)
			assert.Equal(t, env.countCalls("stop"), 0)
			assert.Assert(t, (stale > 0) == checkFencing && (late > 0) == !checkFencing, "%d refused, %d took effect", stale, late)
		})
	}
}

// Guards against loads beyond the rate of the weight store, and against small loads that overtake more urgent ones.
func TestLoadsWithinRate(t *testing.T) {
	const rate = 100 // MiB/s
	runFleetTest(t, 1, rate, 1, func(env *testEnv, _ []*testNode) {
		time.Sleep(time.Minute)
		env.withLock(func() {
			env.demand = map[string]fleet.Demand{"big": {TokensPerSecond: 500}, "tiny": {TokensPerSecond: 100}}
		})
		env.configure(`{"models": [
			{"name": "big", "version": "1", "context_tokens": 8192, "backend_group": "assistant", "weights_mib": 6000},
			{"name": "tiny", "version": "1", "context_tokens": 8192, "backend_group": "assistant", "weights_mib": 100, "min_servers_per_domain": 2}]}`)
		start, sizes := time.Now(), map[string]float64{"load_model big": 6000, "load_model tiny": 100}
		for range 30 * 60 {
			time.Sleep(time.Second)
			loaded := 0.0
			for _, a := range env.calls() {
				loaded += sizes[a.detail]
			}
			assert.Assert(t, loaded <= rate*time.Since(start).Seconds()+6000, "%.0f MiB", loaded)
		}
		var order []string
		for _, a := range env.calls() {
			order = append(order, strings.TrimPrefix(a.detail, "load_model "))
		}
		// In order: each model once, once per failure domain, min_servers_per_domain, then by share of the demand.
		assert.DeepEqual(t, order, []string{"big", "tiny", "big", "big", "big", "tiny", "tiny", "tiny", "tiny", "tiny", "tiny", "tiny", "big", "big", "big", "big"})
	})
}

// Guards against unlimited retries where starts are refused, and against a group that stays below its target size.
func TestRefusedStarts(t *testing.T) {
	runFleetTest(t, 1, 0, 1, func(env *testEnv, nodes []*testNode) {
		env.cloud.RefuseStarts("a", "", true)
		time.Sleep(time.Minute)
		env.cloud.Crash("assistant-0")
		env.cloud.Crash("assistant-4")
		time.Sleep(30 * time.Minute)
		assert.Equal(t, len(env.liveInstances("assistant")), 8)
		attempts := 0
		for _, a := range env.calls() {
			if strings.Contains(a.detail, "-gpu-a-") {
				attempts++
			}
		}
		assert.Assert(t, attempts > 0 && attempts <= 4, "%d attempts", attempts)
		assert.Equal(t, nodes[0].fleet.Metrics.Value("fleet_start_refusals", "place", "gpu/a"), int64(attempts))
	})
}

// Guards against a control loop that ends, or acts without a lease, while the table service refuses all calls.
func TestPlatformOutage(t *testing.T) {
	runFleetTest(t, 1, 0, 1, func(env *testEnv, nodes []*testNode) {
		time.Sleep(time.Minute)
		nodes[0].client.SetFaults(table.Faults{Outage: table.Refusing})
		env.cloud.Crash("assistant-0")
		time.Sleep(10 * time.Minute)
		assert.Equal(t, env.countCalls("start"), 0)
		assert.Assert(t, !nodes[0].fleet.Status().Holder)
		nodes[0].client.SetFaults(table.Faults{})
		time.Sleep(5 * time.Minute)
		assert.Equal(t, len(env.liveInstances("assistant")), 8)
	})
}
