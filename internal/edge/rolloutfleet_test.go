package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/rollout"
)

// TestNoServersAreOrderedWhileTwoVersionsRun guards against an unchanged order that is sent again during a rollout and takes
// away the servers of both versions, and against a rollout that keeps the fleet from following the load for long.
func TestNoServersAreOrderedWhileTwoVersionsRun(t *testing.T) {
	const day = 24 * time.Hour
	n := newRolloutNode(t, true, 4, 0)
	assert.Assert(t, !n.holdsFleet("desk", n.now))
	n.mu.Lock()
	n.learn(rollout.Order{Service: "desk", To: "v2", Duration: day, Version: 7}, "", n.now, n.now)
	n.mu.Unlock()
	assert.Assert(t, n.holdsFleet("desk", n.now), "the new servers start now")
	assert.Assert(t, !n.holdsFleet("desk", n.now.Add(maxServerStart)), "the version never starts")
	n.now = n.now.Add(2 * time.Second)
	n.servers(4, 4)
	assert.Assert(t, n.holdsFleet("desk", n.now.Add(maxFleetHold-time.Millisecond)))
	assert.Assert(t, !n.holdsFleet("desk", n.now.Add(maxFleetHold)), "the rollout lasts a day")
	n.now = n.now.Add(maxFleetHold + time.Second)
	n.mu.Lock()
	n.services["desk"].state.Adopt(rollout.Reverting, "test", n.now)
	n.mu.Unlock()
	assert.Assert(t, n.holdsFleet("desk", n.now.Add(time.Second)), "the new servers have not left yet")
	n.servers(4, 0)
	assert.Assert(t, !n.holdsFleet("desk", n.now.Add(time.Second)))
}

// TestVersionsWithoutOrderHoldTheFleet guards against orders between the start of the new servers and the moment at which
// the order of the rollout is known.
func TestVersionsWithoutOrderHoldTheFleet(t *testing.T) {
	n := newRolloutNode(t, true, 4, 0)
	n.servers(4, 6)
	assert.Assert(t, n.holdsFleet("desk", n.now) && !n.holdsFleet("desk", n.now.Add(maxFleetHold)))
}
