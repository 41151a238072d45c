package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/platform/standin"
)

func metricsOf(t *testing.T, n *runningNode) string {
	resp, err := http.Get("http://" + n.settings.MetricsAddr + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(text)
}

// Guards against calls of one node that go to a server of which another node knows that it is slow, and against idempotent
// calls that miss their target on a server that does not answer, while another one would.
func TestPlainCallsAvoidSlowServersOnSharedMachines(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	slow, fast := d.serve("desk-1", "desk", 0), d.serve("desk-2", "desk", 0)
	slow.SetBehavior(always(standin.Behavior{Load: "1,0,8,900"}))
	fast.SetBehavior(always(standin.Behavior{Load: "1,0,8,100"}))
	one := d.node()
	two := d.node(one.settings.ControlAddr)
	for i := range 8 {
		assert.Equal(t, one.do(t, call{path: fmt.Sprint("/book/", i)}).status, http.StatusOK)
	}
	for len(slow.Runs()) == 0 {
		assert.Equal(t, one.do(t, call{path: "/book/slow"}).status, http.StatusOK)
	}
	eventually(t, 5*time.Second, "the second node still sends to the slow server", func() bool {
		// The first node keeps the reports fresh.
		one.do(t, call{path: "/look/again"})
		before := len(slow.Runs())
		for i := range 5 {
			assert.Equal(t, two.do(t, call{path: fmt.Sprint("/look/", i)}).status, http.StatusOK)
		}
		return len(slow.Runs()) == before
	})

	slow.SetBehavior(always(standin.Behavior{Load: "1,0,8,100"}))
	fast.SetBehavior(always(standin.Behavior{Load: "1,0,8,100", Gap: 3 * time.Second}))
	seconds := func() bool {
		return strings.Contains(metricsOf(t, two), `pollenlug_retries_total{reason="second_server"} 1`)
	}
	assert.Assert(t, !seconds())
	started := time.Now()
	got := two.do(t, call{path: "/look/hangs", header: attemptHeader("hangs")})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.Contains(got.body, "desk-1"), got.body)
	assert.Assert(t, time.Since(started) < time.Second, "the target was missed: %v", time.Since(started))
	assert.Assert(t, seconds(), "the call was not sent to a second server")
	eventually(t, 2*time.Second, "the unused send goes on", func() bool {
		for _, r := range fast.Runs() {
			if r.Attempt == "hangs" && r.Left.IsZero() {
				return false
			}
		}
		return true
	})

	// What may run once is sent once.
	runs := len(slow.Runs())
	booked := two.do(t, call{path: "/book/hangs", header: attemptHeader("booked")})
	count := 0
	for _, s := range []*standin.Server{slow, fast} {
		for _, r := range s.Runs() {
			if r.Attempt == "booked" {
				count++
			}
		}
	}
	assert.Equal(t, booked.status, http.StatusOK)
	assert.Equal(t, count, 1, "%d runs before", runs)
}
