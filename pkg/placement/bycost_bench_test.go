package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/cost"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// largeBoard is the Board of a node that knows 640 engines and the loads of 95 other nodes.
func largeBoard(now time.Time) (*Board, *EngineRequest) {
	b := NewBoard("d")
	var servers []serving.Server
	for i := range 640 {
		servers = append(servers, serving.Server{ID: fmt.Sprint("engine-", i), Service: "s", Slots: 12, Domain: fmt.Sprint("d", i%6)})
	}
	b.SetServers(servers)
	b.sharedMachines["s"] = true
	b.SetArrivals("s", 2500, 760*time.Millisecond)
	for n := range 95 {
		loads, reports := map[string]Load{}, map[string]Report{}
		for i := range 40 {
			id := servers[(n*37+i*11)%len(servers)].ID
			loads[id] = Load{Running: 1, Prefill: 1000, Events: 20, Memory: 9000}
			reports[id] = Report{Running: 4, HasCounts: true, WorkTime: 1 + float64(i%3), Age: time.Duration(i) * 10 * time.Millisecond}
		}
		b.SetPeer(fmt.Sprint("n", n), loads, now)
		b.SetPeerReports(reports, now)
	}
	return b, &EngineRequest{Choice: Choice{Service: "s"}, PromptTokens: 12_000, CacheTokens: 450_873,
		Prompt: []serving.PromptPart{{ID: "shared", Tokens: 5382}, {ID: "own", Tokens: 6618}}, Output: cost.Output{Route: "r", Workspace: "w", Hint: 300, Limit: 500}}
}

// Guards against decisions that allocate memory for each candidate.
func TestDecisionsDoNotAllocate(t *testing.T) {
	now := time.Unix(1000, 0)
	b, request := largeBoard(now)
	assert.Equal(t, testing.AllocsPerRun(100, func() { b.chooseEngine(request, b.costs.Output(request.Output), now) }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { b.choosePlain(&request.Choice, now) }), 0.0)
}

func BenchmarkChooseEngine640(b *testing.B) {
	now := time.Unix(1000, 0)
	board, request := largeBoard(now)
	for b.Loop() {
		board.chooseEngine(request, board.costs.Output(request.Output), now)
	}
}

func BenchmarkChoosePlain640(b *testing.B) {
	now := time.Unix(1000, 0)
	board, request := largeBoard(now)
	for b.Loop() {
		board.choosePlain(&request.Choice, now)
	}
}
