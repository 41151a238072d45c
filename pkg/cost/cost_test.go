package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against predictions that keep to the past: a route whose outputs become ten times longer, and a service whose
// prefill becomes half as fast, are predicted within a quarter after 100 requests, a few seconds of one node.
func TestPredictionsFollowAChange(t *testing.T) {
	m := NewModel()
	random := rand.New(rand.NewPCG(1, 2))
	o := Output{Route: "r", Workspace: "w"}
	serve := func(events, rate float64) {
		for range 100 {
			m.ObserveOutput(o, events*math.Exp(0.2*random.NormFloat64()))
			expected := time.Duration(1000 / m.Rates("s").Prefill * float64(time.Second))
			m.ObserveFirstEvent("s", expected, time.Duration(1000/rate*float64(time.Second)), 1)
		}
	}
	for _, want := range []struct{ events, rate float64 }{{10, 92_000}, {100, 46_000}} {
		serve(want.events, want.rate)
		assert.Assert(t, math.Abs(m.Output(o).Median/want.events-1) < 0.25, "%v", m.Output(o))
		assert.Assert(t, math.Abs(m.Rates("s").Prefill/want.rate-1) < 0.25, "%v", m.Rates("s"))
	}
}

// Guards against a hint that counts for as much although the workspace's hints are wrong, against hints of which the unit is
// assumed, and against invalid ones.
func TestHintsCountForAsMuchAsTheyWereRight(t *testing.T) {
	m := NewModel()
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 400 {
		events := 30 * math.Exp(random.NormFloat64())
		m.ObserveOutput(Output{Route: "r", Workspace: "honest", Hint: int(9 * events)}, events)
		m.ObserveOutput(Output{Route: "r", Workspace: "wrong", Hint: int(9 * events * []float64{0.1, 10}[i%2])}, events)
	}
	median := func(workspace string, hint int) float64 {
		return m.Output(Output{Route: "r", Workspace: workspace, Hint: hint}).Median
	}
	assert.Assert(t, math.Abs(math.Log(median("honest", 9*300)/300)) < 0.2, "%v", median("honest", 9*300))
	assert.Assert(t, median("wrong", 9*300) < 150, "%v", median("wrong", 9*300))
	for _, hint := range []int{0, -5, 1_000_000_000} {
		got := median("wrong", hint)
		assert.Assert(t, got >= 1 && got < 1000 && !math.IsNaN(got), "%d: %v", hint, got)
	}
}

// Guards against memory that grows with the routes and workspaces that requests name.
func TestMemoryIsBounded(t *testing.T) {
	m := NewModel()
	for i := range 3 * maxKeys {
		name := fmt.Sprint(i)
		m.ObserveOutput(Output{Route: name, Workspace: name}, 10)
		m.ObserveWork(name, name, 0.05)
	}
	assert.Assert(t, len(m.routes) <= maxKeys && len(m.workspaces) <= maxKeys && len(m.services) <= maxKeys && len(m.work) <= maxKeys)
}
