package placement

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/serving"
)

// decisionsBefore is the digest of the decisions of replayDecisions made by the code without placement by cost and with the
// rule that only failures beyond the usual number count (it was aa9db3ea73e0dae1 without that rule).
const decisionsBefore = "57568a6db9377d26"

// Replays one seed of decisions for services whose servers report three figures or none. Guards against placement by cost
// that changes where deployments without shared machines send their requests, or what they expect of them.
func TestDecisionsWithoutSharedMachinesAreUnchanged(t *testing.T) {
	assert.Equal(t, replayDecisions(), decisionsBefore)
}

// replayDecisions returns a digest of the servers chosen and the times expected in a mix of engine and plain requests.
func replayDecisions() string {
	random := rand.New(rand.NewPCG(5, 6))
	b := NewBoard("domain-0")
	b.random = rand.New(rand.NewPCG(7, 8))
	var servers []serving.Server
	for i := range 30 {
		service := "engine"
		if i%3 == 0 {
			service = "desk"
		}
		servers = append(servers, serving.Server{ID: fmt.Sprint("s", i), Service: service, Slots: 6 + i%3, Domain: fmt.Sprint("domain-", i%4)})
	}
	b.SetServers(servers)
	now := time.Unix(1000, 0)
	digest := fnv.New64a()
	var open []*Ticket
	for i := range 4000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(2*time.Millisecond)))
		if i%50 == 0 {
			loads := map[string]Load{}
			for _, s := range servers {
				// Eighths are summed exactly in any order.
				loads[s.ID] = Load{Running: float64(random.IntN(6)), Prefill: float64(random.IntN(4000)), Failures: float64(random.IntN(10)) / 8}
			}
			b.SetPeer(fmt.Sprint("n", random.IntN(8)), loads, now)
			b.SetUnreported("engine", 2*random.Float64())
			b.SetUnreported("desk", 2*random.Float64())
		}
		var ticket *Ticket
		if random.IntN(2) == 0 {
			ticket = b.PickPlain(Choice{Service: "desk", Exclude: []string{"s3"}}, now)
		} else {
			size := 100 + random.IntN(4000)
			prompt := []serving.PromptPart{{ID: fmt.Sprint("p", random.IntN(40)), Tokens: size / 2}, {ID: fmt.Sprint(i), Tokens: size - size/2}}
			ticket = b.PickEngine(EngineRequest{Choice: Choice{Service: "engine"}, Prompt: prompt, PromptTokens: size}, now)
		}
		fmt.Fprintln(digest, ticket.Server.ID, ticket.Expected, ticket.Prefill())
		b.ObserveReply(ticket.Server, serving.Reply{HasLoad: true, Running: random.IntN(6), Waiting: random.IntN(3), Slots: 6}, now)
		open = append(open, ticket)
		if len(open) > 40 {
			n := random.IntN(len(open))
			open[n].FirstEvent(now)
			open[n].End([]Outcome{Served, Served, Served, Served, Refused, Failed, Abandoned}[random.IntN(7)], now)
			open = append(open[:n], open[n+1:]...)
		}
	}
	return fmt.Sprintf("%x", digest.Sum64())
}
