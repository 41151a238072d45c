package edge

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/admission"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// admissionNode returns the parts of a node that admission uses, with one engine on which other nodes have put load, and
// one plain server.
func admissionNode(prefill, running float64, workTime float64) *Node {
	now := time.Now()
	n := &Node{outliers: limit.NewOutliers(ejectPercent, time.Now), board: placement.NewBoard("a"), settings: &Settings{Cores: 1}, metrics: metrics.NewSet(), config: &configView{},
		peers: &peers{log: logrus.NewEntry(logrus.New()), nodes: map[string]*peerNode{}, maxNodesSeen: 1}, admission: newAdmissionControl(256<<20, now)}
	n.rollouts = newRollouts(Options{Settings: n.settings, Metrics: n.metrics})
	servers := []serving.Server{{ID: "e", Service: "engine", State: serving.Ready, Slots: 8}, {ID: "d", Service: "desk", State: serving.Ready, Slots: 6}}
	n.board.SetServers(servers)
	n.board.SetPeer("other", map[string]placement.Load{"e": {Prefill: prefill, Running: running}, "d": {Running: running}}, now)
	for _, s := range servers {
		n.board.ObserveReply(s, serving.Reply{HasLoad: true, WorkTime: workTime}, now)
	}
	return n
}

func admissionCall(priority int, target, left time.Duration, engine bool) *request {
	now := time.Now()
	req := &request{arrived: now, deadline: now.Add(left), priority: priority, route: &serving.Route{LatencyTarget: target},
		service: &serving.Service{Name: "desk"}}
	req.PromptTokens, req.OutputTokens = 2000, 50
	if engine {
		req.service = &serving.Service{Name: "engine", Engine: &serving.Engine{Slots: 8}}
	}
	return req
}

// decideCall picks a server for a request and decides on it.
func decideCall(n *Node, req *request) (*placement.Ticket, *code.Error) {
	now := time.Now()
	ticket, refusal := n.pick(req, now)
	if refusal != nil {
		return nil, refusal
	}
	return n.admit(context.Background(), req, ticket, now)
}

// Guards against a change of what is refused, and of the retry times, where servers report no work time.
func TestOtherServicesKeepTheirAdmission(t *testing.T) {
	for _, prefill := range []float64{0, 20_000, 60_000, 120_000} {
		for priority := range 4 {
			for _, target := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
				for _, left := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second} {
					n := admissionNode(prefill, 0, 0)
					req := admissionCall(priority, target, left, true)
					now := time.Now()
					ticket, refusal := n.pick(req, now)
					assert.Assert(t, refusal == nil)
					expected := now.Sub(req.arrived) + ticket.Expected
					want := placement.Admit(expected, target, req.deadline.Sub(now), priority)
					_, refusal = n.admit(context.Background(), req, ticket, now)
					assert.Equal(t, refusal == nil, want.Admit)
					if refusal != nil {
						assert.Equal(t, refusal.Code, code.DeadlineUnreachable)
						assert.Equal(t, refusal.RetryAfter, want.RetryAfter)
					}
					assert.Equal(t, len(n.admission.snapshot()), 0)
				}
			}
		}
	}
	_, refusal := decideCall(admissionNode(0, 500, 0), admissionCall(2, 300*time.Millisecond, 100*time.Millisecond, false))
	assert.Assert(t, refusal == nil, "a plain request is refused")
}

// Guards against sending a plain request whose response is expected after its deadline, and against refusing others.
func TestPlainRequestIsRefusedBeyondItsDeadline(t *testing.T) {
	for running, served := range map[float64]bool{3: true, 6: true, 30: false} {
		ticket, refusal := decideCall(admissionNode(0, running, 1), admissionCall(2, 0, 200*time.Millisecond, false))
		assert.Equal(t, refusal == nil, served, "%.0f requests running: %v", running, refusal)
		if !served {
			assert.Equal(t, refusal.Code, code.DeadlineUnreachable)
			assert.Assert(t, ticket == nil)
		}
	}
}

// Guards against values out of range that crash a node or count as urgent.
func TestAdmissionOfInvalidRequests(t *testing.T) {
	for _, engine := range []bool{true, false} {
		n := admissionNode(30_000, 10, 1)
		for _, priority := range []int{-5, 0, 99} {
			for _, tokens := range []int{0, -7, 1e9, 1 << 62} {
				for _, left := range []time.Duration{-time.Second, 0, 1 << 62} {
					req := admissionCall(priority, time.Second, time.Minute, engine)
					req.deadline = time.Now().Add(left)
					req.PromptTokens, req.OutputTokens, req.ExpectedOutput = 100, tokens, tokens
					_, refusal := decideCall(n, req)
					assert.Assert(t, refusal == nil || refusal.RetryAfter >= 0)
				}
			}
		}
		assert.Assert(t, n.metrics.Snapshot("admission_invalid")["admission_invalid_total"] > 0)
	}
}

// Guards against work per admitted request that small machines cannot do: allocations beyond those of the pick.
func TestAdmittedRequestAllocatesNothing(t *testing.T) {
	n := admissionNode(0, 0, 1)
	req := admissionCall(0, time.Second, time.Minute, true)
	req.content.Digest = "0123456789abcdef"
	ticket, refusal := decideCall(n, req)
	assert.Assert(t, refusal == nil)
	allocations := testing.AllocsPerRun(1000, func() {
		req.admitted = false
		if _, refusal := n.admit(context.Background(), req, ticket, time.Now()); refusal != nil {
			t.Fatal(refusal)
		}
	})
	assert.Assert(t, allocations < 1, "%.1f allocations", allocations)
}

// Guards against reports that arrive as something else: shares over all nodes and returns to other nodes depend on them.
func TestAdmissionHeartbeat(t *testing.T) {
	now := time.Now()
	from, to := newAdmissionControl(1<<28, now), newAdmissionControl(1<<28, now)
	busy := admission.Request{Workspace: "w", Priority: 1, Cost: 0.5, Wait: 900 * time.Millisecond, Target: time.Second, Left: 20 * time.Second, Key: 7}
	quiet := busy
	quiet.Wait, quiet.Key = 0, 1
	g, other := from.service("engine").gate, to.service("engine").gate
	g.Decide(quiet, now)
	d := g.Decide(busy, now)
	assert.Assert(t, d.RetryAfter > 0)
	heartbeat := &pb.PeerBeat{Node: "n", Admission: from.export(now)}
	to.apply(heartbeat, func() map[string]float64 { return map[string]float64{"w": 1} }, now)
	now = now.Add(d.RetryAfter)
	busy.Wait = 700 * time.Millisecond // within the bound of a return only
	other.Decide(quiet, now)
	urgent := quiet
	urgent.Priority = 0
	other.Decide(urgent, now)
	assert.Equal(t, other.Decide(busy, now).Verdict, admission.Admit)
	report := peerReport(heartbeat.Admission[0], map[uint32]string{nameHash("w"): "w"})
	assert.Equal(t, len(report.Offers), 1)
	assert.Assert(t, math.Abs(report.Offers[0].PerSecond[1]-1/0.7) < 0.01, "%v", report)
}
