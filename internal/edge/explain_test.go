package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/explain"
	"github.com/pollenlug/pollenlug/platform/standin"
)

// explained returns the explanation of the only attempt with this id.
func explained(t *testing.T, d *deployment, id string) explain.Attempt {
	t.Helper()
	attempts := d.logs.read(t).Request(id)
	assert.Equal(t, len(attempts), 1)
	return attempts[0]
}

func attemptHeader(id string) map[string]string { return map[string]string{"Pollenlug-Attempt-Id": id} }

// Guards against failed requests whose cause cannot be found in the nodes' logs: a booking whose server was lost, a
// stream cut by a server that failed for all nodes, and a refusal that no configured limit caused.
func TestFailureCausesAreFoundInTheLogs(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	desk, engine := d.serve("desk-1", "desk", 0), d.serve("engine-1", "engine", 6)
	one, two := d.node(), d.node()

	desk.SetBehavior(always(standin.Behavior{Lose: true}))
	got := one.do(t, call{path: "/book/1", header: attemptHeader("booking")})
	assert.Equal(t, got.status, http.StatusBadGateway)
	d.store.Delete("servers", "desk-1")
	eventually(t, 3*time.Second, "the server is still known", func() bool {
		return strings.Contains(explained(t, d, "booking").Cause, "its row vanished")
	})

	engine.SetBehavior(always(standin.Behavior{CutAfter: 2}))
	for _, c := range []struct {
		n  *runningNode
		id string
	}{{two, "stream-2"}, {one, "stream-1"}} {
		assert.Assert(t, c.n.do(t, call{path: "/draft/1", header: attemptHeader(c.id)}).err != nil)
	}
	eventually(t, time.Second, "the nodes have not logged the streams", func() bool {
		log := d.logs.read(t)
		return len(log.Request("stream-1")) == 1 && len(log.Request("stream-2")) == 1
	})
	cut := explained(t, d, "stream-1")
	assert.Equal(t, cut.Outcome, "broken_off")
	assert.Assert(t, strings.Contains(cut.Cause, "engine-1") && strings.Contains(cut.Cause, "not this node"), cut.Cause)

	engine.SetBehavior(always(standin.Behavior{}))
	header := attemptHeader("refused")
	header["Pollenlug-Deadline-Ms"] = "20" // less than an idle engine needs
	assert.Equal(t, one.do(t, call{path: "/draft/2", header: header}).status, http.StatusServiceUnavailable)
	refused := explained(t, d, "refused")
	assert.Equal(t, refused.Outcome, "deadline_unreachable")
	assert.Assert(t, strings.Contains(refused.Cause, "the caller left") && strings.Contains(refused.Cause, "no server was tried"), refused.Cause)

	assert.Equal(t, len(d.logs.read(t).Request("never sent")), 0)
}
