package edge

import (
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/rollout"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// rolloutNode is a node's part in rollouts without a network. Time is the test's.
type rolloutNode struct {
	*rollouts
	t    *testing.T
	now  time.Time
	lead bool
}

func newRolloutNode(t *testing.T, firstStart bool, old, fresh int) *rolloutNode {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n := &rolloutNode{t: t, now: time.Unix(10_000, 0)}
	n.rollouts = newRollouts(Options{Settings: &Settings{FirstStart: firstStart, Rollout: rollout.Bounds{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}},
		Metrics: metrics.NewSet(), Log: logrus.NewEntry(logger)})
	n.announce, n.leads = func() {}, func(time.Time) bool { return n.lead }
	n.isLeaving = func(serving.Server, time.Time) bool { return false }
	n.trafficPart, n.streams = func(string, time.Time) float64 { return 0.5 }, func(string) bool { return false }
	n.heartbeatInterval = func() time.Duration { return minHeartbeatInterval }
	n.servers(old, fresh)
	return n
}

func (n *rolloutNode) servers(old, fresh int) {
	var servers []serving.Server
	for version, count := range map[string]int{"v1": old, "v2": fresh} {
		for i := range count {
			servers = append(servers, serving.Server{ID: version + string(rune('a'+i)), Service: "desk", Version: version, Domain: "d"})
		}
	}
	n.setServers(servers, n.now)
}

// used returns the versions that many first requests may be sent to first.
func (n *rolloutNode) used() string {
	used := map[string]bool{}
	req := &request{service: &serving.Service{Name: "desk"}, route: &serving.Route{Name: "r"}}
	for range 2000 {
		choice := n.choices(req, true, n.now)[0]
		for _, server := range n.rollouts.services["desk"].servers {
			if choice == nil || choice(&server) {
				used[server.Version] = true
			}
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(used)), " ")
}

func (n *rolloutNode) hear(leads bool, phase rollout.Phase, order uint64) {
	n.handleHeartbeat(&pb.PeerBeat{Node: "other", NewsOnly: true, Rollouts: []*pb.RolloutState{{Service: "desk", To: "v2", From: "v1", Order: order,
		DurationMs: 12_000, AgeMs: 2_000, Phase: uint32(phase), Leads: leads}}}, n.now)
}

// Guards against a node that is cut off from the others and goes on sending requests to a version that they revert, or
// moves on by itself.
func TestNodeWithoutNewsReturnsToTheVersionInForce(t *testing.T) {
	t.Parallel()
	n := newRolloutNode(t, true, 4, 4)
	assert.Equal(t, n.used(), "v1", "without an order")
	n.hear(false, rollout.All, 7)
	assert.Equal(t, n.used(), "v1", "a node that does not lead decides nothing")
	n.hear(true, rollout.All, 7)
	assert.Equal(t, n.used(), "v2")
	n.now = n.now.Add(3100 * time.Millisecond)
	n.step(n.now)
	assert.Equal(t, n.used(), "v1", "without news")
	n.hear(true, rollout.All, 7)
	assert.Equal(t, n.used(), "v2", "with news again")
	n.hear(false, rollout.Reverting, 7)
	assert.Equal(t, n.used(), "v1", "any node may stop it")
	n.hear(true, rollout.All, 7)
	assert.Equal(t, n.used(), "v1", "late news of the time before")
	n.now = n.now.Add(time.Second)
	n.hear(true, rollout.Canary, 8)
	n.hear(true, rollout.All, 8)
	assert.Equal(t, n.used(), "v2", "a second order")
	n.hear(true, rollout.Reverting, 7)
	assert.Equal(t, n.used(), "v2", "late news of the first order")
}

// Guards against nodes that all restart during a rollout and then take the version with most servers for the one in force,
// begin the time limit anew, or repeat a rollout that has ended.
func TestRestartedNodesContinueFromTheStore(t *testing.T) {
	t.Parallel()
	for outcome, want := range map[RolloutOutcome]rollout.Phase{RolloutInProgress: rollout.Canary, RolloutCompleted: rollout.Completed, RolloutReverted: rollout.Reverted} {
		n := newRolloutNode(t, false, 2, 6)
		n.records = statusRecords{RolloutStatus{To: "v2", Outcome: outcome, OrderedAt: n.now.Add(-5 * time.Second)}}
		order := platform.Row{Key: "desk", Version: 20}
		n.applyRow(order, n.now)
		assert.Assert(t, n.rollouts.services["desk"].state == nil, "the order is used before its state is known")
		n.rollouts.loadStatus([]platform.Row{{Key: "desk", Version: 21}}, n.now)
		s := n.rollouts.services["desk"]
		assert.Equal(t, s.state.Phase(), want)
		assert.Equal(t, s.inForce, map[bool]string{true: "v2", false: "v1"}[outcome == RolloutCompleted])
		assert.Equal(t, s.state.Start, n.now.Add(-5*time.Second))
		// The store returns from a copy, which has the order, and the operator writes it again.
		for _, version := range []uint64{platform.MakeVersion(1, 15), platform.MakeVersion(1, 40)} {
			order.Version = version
			n.applyRow(order, n.now)
			assert.Equal(t, s.state.Phase(), want)
		}
		n.now = n.now.Add(returnSettleTime)
		order.Version = platform.MakeVersion(1, 41)
		n.applyRow(order, n.now)
		assert.Equal(t, s.state.Phase(), rollout.Canary, "ordered again in the same era")
	}
}

// statusRecords decodes any row to one order or status.
type statusRecords struct{ status RolloutStatus }

func (statusRecords) Config([]byte) (*serving.Config, error)            { return nil, nil }
func (statusRecords) Server(string, []byte) (serving.Server, error)     { return serving.Server{}, nil }
func (statusRecords) RolloutService(key string) (string, bool)          { return key, true }
func (statusRecords) RolloutKey(service string) string                  { return service }
func (r statusRecords) RolloutStatus([]byte) (RolloutStatus, error)     { return r.status, nil }
func (statusRecords) EncodeRolloutStatus(RolloutStatus) ([]byte, error) { return nil, nil }
func (statusRecords) RolloutOrder(key string, _ []byte) (rollout.Order, error) {
	return rollout.Order{Service: key, To: "v2", Duration: 12 * time.Second}, nil
}
