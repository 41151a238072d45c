package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/serving"
)

// crowding plays 20 s of calls of 60 ms to five servers of six slots, at half of what they can take, and returns the part of
// them that waited for longer than their own work while another server had at least three free slots, and the part that the
// first server got. A seventh of the calls fails on all servers, and all calls on the first one if broken is set.
func crowding(t *testing.T, broken bool) (crowded, first float64) {
	const servers, slots, rate, work = 5, 6, 250, 60 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	b := NewBoard("domain-0")
	var list []serving.Server
	for i := range servers {
		list = append(list, serving.Server{ID: string(rune('a' + i)), Service: "desk", Domain: "domain-0", Slots: slots})
	}
	b.SetServers(list)
	type call struct {
		ticket *Ticket
		endsAt time.Time
	}
	var open []call
	running := map[string]int{}
	calls := 0
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Second / rate) {
		rest := open[:0]
		for _, c := range open {
			if c.endsAt.After(now) {
				rest = append(rest, c)
				continue
			}
			running[c.ticket.Server.ID]--
			outcome := Served
			if random.IntN(7) == 0 || broken && c.ticket.Server.ID == "a" {
				outcome = Failed
			}
			c.ticket.End(outcome, c.endsAt)
		}
		open = rest
		ticket := b.PickPlain(Choice{Service: "desk"}, now)
		assert.Assert(t, ticket != nil)
		id := ticket.Server.ID
		least := slots
		for _, s := range list {
			least = min(least, running[s.ID])
		}
		if running[id] >= 2*slots && least <= slots-3 {
			crowded++
		}
		if id == "a" {
			first++
		}
		calls++
		running[id]++
		queued := time.Duration(max(0, running[id]-slots)) * work / slots
		open = append(open, call{ticket, now.Add(queued + time.Duration((0.5+random.Float64())*float64(work)))})
	}
	return crowded / float64(calls), first / float64(calls)
}

// TestFailuresOfAllServersDoNotCrowdOne guards against the choice of the server that has failed least lately while others
// are idle, when a part of the calls fails wherever it runs.
func TestFailuresOfAllServersDoNotCrowdOne(t *testing.T) {
	crowded, _ := crowding(t, false)
	assert.Assert(t, crowded < 0.01, "%.3f of the calls waited for longer than their work while another server was idle", crowded)
}

// TestServerThatFailsMoreThanOthersIsAvoided guards against failures that count for nothing: a server that fails all calls
// has the fewest in flight.
func TestServerThatFailsMoreThanOthersIsAvoided(t *testing.T) {
	_, first := crowding(t, true)
	assert.Assert(t, first < 0.05, "%.3f of the calls went to the server that fails all of them", first)
}
