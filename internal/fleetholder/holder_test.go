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

// inWorld runs a test in virtual time with the fleet loops of some nodes.
func inWorld(t *testing.T, seed uint64, weightsRate uint32, nodes int, test func(w *world, nodes []*testNode)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, weightsRate)
		w.addExample()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer w.cloud.Close()
		defer wg.Wait()
		defer cancel()
		var all []*testNode
		for _, name := range []string{"a", "b"}[:nodes] {
			all = append(all, w.start(name, ctx, &wg))
			time.Sleep(time.Second) // the first node becomes the holder
		}
		test(w, all)
	})
}

// Guards against a fleet at rest that starts, stops, orders or writes anything.
func TestRest(t *testing.T) {
	inWorld(t, 1, 0, 1, func(w *world, _ []*testNode) {
		time.Sleep(time.Minute)
		before := w.table.Counts()
		time.Sleep(2 * time.Hour)
		assert.Equal(t, len(w.calls()), 0, "%v", w.calls())
		// The lease alone: a renewal every third of ten seconds.
		writes := w.table.Counts().RowWrites - before.RowWrites
		assert.Assert(t, writes < 2*3600/3, "%d row writes", writes)
	})
}

// Guards against a server that is stopped while it runs a request, also one that came late from a node which had not
// heard of the drain; and against servers that stay.
func TestDrainCutsNothing(t *testing.T) {
	inWorld(t, 1, 0, 2, func(w *world, _ []*testNode) {
		time.Sleep(time.Minute)
		begun := time.Now()
		for i := range 8 {
			id := w.live("assistant")[i].ID
			w.locked(func() { w.servers[id].busyUntil = begun.Add(time.Duration(i+1) * 40 * time.Second) })
		}
		w.configure(`{"backend_groups": [{"name": "assistant", "override": true, "kind": "MODEL_ENGINE", "instance_classes": ["gpu"], "min_servers": 4, "max_servers": 4}]}`)
		late := map[string]bool{}
		for range 40 * 60 {
			time.Sleep(time.Second)
			w.locked(func() {
				for id, at := range w.announced {
					if since := time.Since(at); !late[id] && since >= 2*time.Second {
						late[id] = true
						w.servers[id].busyUntil = time.Now().Add(3 * time.Minute)
					}
				}
			})
		}
		assert.Equal(t, len(w.live("assistant")), 4)
		assert.Equal(t, w.count("stop"), 4)
		assert.Equal(t, len(late), 4)
		for id := range late {
			s := w.server(id)
			assert.Assert(t, !s.stopped.Before(s.busyUntil), "%s stopped at %v, runs until %v", id, s.stopped, s.busyUntil)
			assert.Equal(t, s.role, "standby")
		}
	})
}

// Guards against a holder that was paused and acts when it wakes past its lease, at each place where it can pause, and
// against a successor that starts a second instance for one decision.
func TestPausedHolder(t *testing.T) {
	for _, place := range []string{"plan", "before row", "after row"} {
		inWorld(t, 1, 0, 2, func(w *world, nodes []*testNode) {
			time.Sleep(time.Minute)
			nodes[0].pauseAt(place)
			w.cloud.Crash("assistant-0")
			w.cloud.Crash("assistant-5")
			time.Sleep(20 * time.Minute)
			tokens := map[string]bool{}
			for _, act := range w.calls() {
				assert.Equal(t, act.node, "b", "%s: a acts when it wakes", place)
				if act.kind == "start" {
					tokens[act.what] = true
				}
			}
			assert.Equal(t, len(tokens), 2, "%s", place)
			assert.Equal(t, len(w.live("assistant")), 8)
			assert.Equal(t, w.count("stop"), 0)
			assert.Assert(t, nodes[1].fleet.Status().Holder)
			assert.Assert(t, nodes[0].woken(), "%s was not reached", place)
		})
	}
}

// Guards against a decision that is lost or carried out twice when the holder dies between the write of the row and
// the answer of the cloud.
func TestSuccessorRepeatsStart(t *testing.T) {
	inWorld(t, 1, 0, 2, func(w *world, nodes []*testNode) {
		time.Sleep(time.Minute)
		w.cloud.Crash("assistant-0")
		for w.count("start") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		nodes[0].pause(time.Hour) // the start was sent, its answer is never written
		time.Sleep(30 * time.Minute)
		assert.Equal(t, w.count("start"), 2)
		assert.Equal(t, w.calls()[0].what, w.calls()[1].what)
		assert.Equal(t, w.calls()[1].node, "b")
		assert.Equal(t, len(w.live("assistant")), 8)
	})
}

// Guards against a successor that acts on an old row: here the one from before the last decision, whose instance is
// not in the list yet.
func TestStaleRow(t *testing.T) {
	inWorld(t, 1, 0, 2, func(w *world, nodes []*testNode) {
		time.Sleep(time.Minute)
		stale := false
		before, err := w.table.Get(t.Context(), tableName, rowKey)
		assert.NilError(t, err)
		w.locked(func() {
			nodes[1].staleRow = func(row platform.Row) platform.Row {
				if stale {
					return before
				}
				return row
			}
		})
		w.cloud.Crash("assistant-5")
		for w.count("start") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		w.locked(func() { stale = true })
		nodes[0].pause(time.Hour)
		w.cloud.Crash("assistant-0")
		time.Sleep(time.Minute)
		assert.Equal(t, w.count("start"), 1, "%v", w.calls())
		w.locked(func() { stale = false })
		time.Sleep(10 * time.Minute)
		assert.Equal(t, len(w.live("assistant")), 8)
		tokens := map[string]bool{}
		for _, a := range w.calls() {
			if a.kind == "start" {
				tokens[a.what] = true
			}
		}
		assert.Equal(t, len(tokens), 2, "%v", w.calls())
	})
}

// Guards against two nodes that act at a time when answers of the table are lost, late or refused.
func TestLostAnswers(t *testing.T) {
	for seed := range uint64(5) {
		inWorld(t, seed, 0, 2, func(w *world, nodes []*testNode) {
			for _, n := range nodes {
				n.client.SetFaults(table.Faults{MaxLatency: 200 * time.Millisecond, LostPercent: 10, LatePercent: 10,
					MaxLate: 20 * time.Second, StalePercent: 30, MaxStale: 5 * time.Second})
			}
			for i := range 60 {
				time.Sleep(time.Minute)
				if live := w.live("assistant"); len(live) > 6 && i%2 == 0 {
					w.cloud.Crash(live[i%len(live)].ID)
				}
				if i%7 == 0 {
					nodes[i%2].pause(40 * time.Second)
				}
			}
			for _, n := range nodes {
				n.client.SetFaults(table.Faults{})
			}
			time.Sleep(10 * time.Minute)
			assert.Equal(t, len(w.live("assistant")), 8, "seed %d", seed)
			switches := 0
			calls := w.calls()
			for i := 1; i < len(calls); i++ {
				last, next := calls[i-1], calls[i]
				if last.node != next.node {
					switches++
					assert.Assert(t, next.at.Sub(last.at) >= 2*time.Second, "seed %d: %v after %v", seed, next, last)
				}
			}
			assert.Assert(t, switches > 0, "seed %d: the lease never moved", seed)
		})
	}
}

// Guards against harm by an order that arrives after its holder has lost the lease, at a server that ignores fencing
// numbers; one that checks them refuses it.
func TestLateOrder(t *testing.T) {
	for _, checks := range []bool{false, true} {
		inWorld(t, 1, 0, 2, func(w *world, nodes []*testNode) {
			w.locked(func() { w.checks, nodes[0].late = checks, 5*time.Minute })
			time.Sleep(time.Minute)
			w.configure(`{"models": [{"name": "new", "version": "1", "context_tokens": 8192, "backend_group": "assistant"}]}`)
			for w.count("order") == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			nodes[0].pause(time.Minute) // its orders are on their way
			w.configure(`{"models": [{"name": "other", "version": "1", "context_tokens": 8192, "backend_group": "assistant", "min_servers_per_domain": 2}]}`)
			time.Sleep(8 * time.Minute)
			stale, late := 0, 0
			for _, i := range w.live("assistant") {
				s := w.server(i.ID)
				stale += s.stale
				assert.Equal(t, s.role, "")
				for _, model := range []string{"brief-large", "quote-small", "other"} {
					assert.Assert(t, slices.Contains(s.models, model), "%s holds %v", i.ID, s.models)
				}
				if slices.Contains(s.models, "new") {
					late++
				}
			}
			assert.Equal(t, len(w.live("assistant")), 8)
			assert.Equal(t, w.count("stop"), 0)
			assert.Assert(t, (stale > 0) == checks && (late > 0) == !checks, "%d refused, %d took effect", stale, late)
		})
	}
}

// Guards against loads beyond the rate of the weight store, and against small loads that overtake needed ones.
func TestLoadsWithinRate(t *testing.T) {
	const rate = 100 // MiB/s
	inWorld(t, 1, rate, 1, func(w *world, _ []*testNode) {
		time.Sleep(time.Minute)
		w.locked(func() {
			w.demand = map[string]fleet.Demand{"big": {TokensPerSecond: 500}, "tiny": {TokensPerSecond: 100}}
		})
		w.configure(`{"models": [
			{"name": "big", "version": "1", "context_tokens": 8192, "backend_group": "assistant", "weights_mib": 6000},
			{"name": "tiny", "version": "1", "context_tokens": 8192, "backend_group": "assistant", "weights_mib": 100, "min_servers_per_domain": 2}]}`)
		begun, sizes := time.Now(), map[string]float64{"load_model big": 6000, "load_model tiny": 100}
		for range 30 * 60 {
			time.Sleep(time.Second)
			loaded := 0.0
			for _, a := range w.calls() {
				loaded += sizes[a.what]
			}
			assert.Assert(t, loaded <= rate*time.Since(begun).Seconds()+6000, "%.0f MiB", loaded)
		}
		var order []string
		for _, a := range w.calls() {
			order = append(order, strings.TrimPrefix(a.what, "load_model "))
		}
		// Each model once, once in each failure domain, min_servers_per_domain, the share of the demand.
		assert.DeepEqual(t, order, []string{"big", "tiny", "big", "big", "big", "tiny", "tiny", "tiny", "tiny", "tiny", "tiny", "tiny", "big", "big", "big", "big"})
	})
}

// Guards against a place that refuses starts and is asked again and again, and against a group that stays short.
func TestRefusedStarts(t *testing.T) {
	inWorld(t, 1, 0, 1, func(w *world, nodes []*testNode) {
		w.cloud.RefuseStarts("a", "", true)
		time.Sleep(time.Minute)
		w.cloud.Crash("assistant-0")
		w.cloud.Crash("assistant-4")
		time.Sleep(30 * time.Minute)
		assert.Equal(t, len(w.live("assistant")), 8)
		asked := 0
		for _, a := range w.calls() {
			if strings.Contains(a.what, "-gpu-a-") {
				asked++
			}
		}
		assert.Assert(t, asked > 0 && asked <= 4, "asked %d times", asked)
		assert.Equal(t, nodes[0].fleet.Metrics.Value("fleet_start_refusals", "place", "gpu/a"), int64(asked))
	})
}

// Guards against a loop that ends, or acts on nothing, while the cloud API is down.
func TestPlatformOutage(t *testing.T) {
	inWorld(t, 1, 0, 1, func(w *world, nodes []*testNode) {
		time.Sleep(time.Minute)
		nodes[0].client.SetFaults(table.Faults{Outage: table.Refusing})
		w.cloud.Crash("assistant-0")
		time.Sleep(10 * time.Minute)
		assert.Equal(t, w.count("start"), 0)
		assert.Assert(t, !nodes[0].fleet.Status().Holder)
		nodes[0].client.SetFaults(table.Faults{})
		time.Sleep(5 * time.Minute)
		assert.Equal(t, len(w.live("assistant")), 8)
	})
}
