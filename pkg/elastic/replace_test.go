package elastic

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestReplaceKeepsServersUntilOthersRun guards against a completed rollout after which all its on-demand servers are given
// up before any reclaimable one has booted: the plan alone orders 0 on-demand servers at once.
func TestReplaceKeepsServersUntilOthersRun(t *testing.T) {
	for _, plan := range []Counts{{Reclaimable: 29}, {Reclaimable: 12}, {Reclaimable: 20, Lasting: 3}, {Reclaimable: 1}} {
		running := Domain{Lasting: 29}
		steps := 0
		for ; running.Lasting != plan.Lasting || running.Reclaimable != plan.Reclaimable; steps++ {
			ordered := Replace(plan, running, 30)
			assert.Assert(t, steps < 8, "plan %+v is not reached, running %+v", plan, running)
			assert.Assert(t, ordered.Reclaimable+ordered.Lasting <= 30, "%+v", ordered)
			// On-demand servers stop at once, and reclaimable ones start after some seconds.
			running.Lasting = min(running.Lasting, ordered.Lasting)
			assert.Assert(t, running.Lasting+running.Reclaimable >= min(plan.Reclaimable+plan.Lasting, 15),
				"plan %+v: only %+v run", plan, running)
			running.Reclaimable = ordered.Reclaimable
		}
	}
	full := Counts{Reclaimable: 5, Lasting: 2}
	assert.Equal(t, Replace(full, Domain{Reclaimable: 5, Lasting: 4}, 30), full)
}
