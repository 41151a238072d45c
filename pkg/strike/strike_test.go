package strike

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// net runs the trackers of several nodes in virtual time with gossip of 300 ms; a tick is 50 ms.
type net struct {
	now     time.Time
	nodes   []*Tracker
	pending []message
}

type message struct {
	at     time.Time
	from   int
	change Change
}

func newNet(n int) *net {
	w := &net{now: time.UnixMilli(0)}
	for range n {
		w.nodes = append(w.nodes, New(Options{}))
	}
	return w
}

func (w *net) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		for i, node := range w.nodes {
			node.Tick(w.now)
			for _, c := range node.Changes() {
				w.pending = append(w.pending, message{w.now.Add(300 * time.Millisecond), i, c})
			}
		}
		kept := w.pending[:0]
		for _, m := range w.pending {
			if m.at.After(w.now) {
				kept = append(kept, m)
				continue
			}
			for i, node := range w.nodes {
				if i != m.from {
					node.Merge(m.change.Digest, m.change.Record, w.now)
				}
			}
		}
		w.pending = kept
	}
}

// crashed tells all nodes that a server went down.
func (w *net) crashed(c Crash) {
	for _, node := range w.nodes {
		node.Crashed(c, w.now)
	}
}

func (w *net) state(node int, digest string) State {
	s, _ := w.nodes[node].State(digest, w.now)
	return s
}

func began(t *testing.T, w *net, node int, server, digest string) *Run {
	t.Helper()
	r, ok := w.nodes[node].Began(server, digest, w.now)
	assert.Assert(t, ok, "%s on %s", digest, server)
	return r
}

// A caller that resends a poisonous request through all nodes must cost at most two servers, although each crash is
// noticed 200 ms after the connection broke. Innocents that ran beside it must be cleared by a run of their own.
func TestPoisonCostsTwoServers(t *testing.T) {
	w := newNet(8)
	lost := 0
	var innocents []string
	for resend := range 60 {
		node := resend % len(w.nodes)
		// The node retries on its own until the request is refused, then the caller resends through the next node.
		for attempt := 0; attempt < 50; attempt++ {
			state, wait := w.nodes[node].State("poison", w.now)
			if state == Quarantined {
				break
			}
			if state == Held {
				w.run(min(wait, time.Second))
				continue
			}
			server := fmt.Sprintf("s%d", lost)
			if state == Clear {
				for k := range 5 {
					name := fmt.Sprintf("innocent-%d-%d", lost, k)
					began(t, w, k%8, server, name)
					innocents = append(innocents, name)
				}
			}
			run := began(t, w, node, server, "poison")
			w.run(100 * time.Millisecond)
			run.Ended(Interrupted, w.now)
			w.run(200 * time.Millisecond)
			w.crashed(Crash{Server: server, Domain: "d0", Started: 1})
			lost++
		}
		assert.Equal(t, w.state(node, "poison"), Quarantined)
		w.run(50 * time.Millisecond)
	}
	assert.Equal(t, lost, 2)
	for i, name := range innocents {
		if w.state(0, name) == Clear {
			continue // cleared because the second crash looked like a wave from its side
		}
		run := began(t, w, i%8, "fresh", name)
		w.run(100 * time.Millisecond)
		run.Ended(Completed, w.now)
		w.run(time.Second)
		for node := range w.nodes {
			assert.Equal(t, w.state(node, name), Clear, name)
		}
	}
	assert.DeepEqual(t, w.nodes[5].Quarantines(w.now), []string{"poison"})
}

// Innocents that ran beside the poison must run alone until such a run succeeds, and then be clear on all nodes.
func TestInnocentIsClearedByIsolatedRun(t *testing.T) {
	w := newNet(3)
	began(t, w, 0, "s1", "poison")
	began(t, w, 1, "s1", "innocent")
	w.crashed(Crash{Server: "s1", Domain: "d0", Started: 1})
	w.run(4 * time.Second)
	for node := range w.nodes {
		assert.Equal(t, w.state(node, "innocent"), Isolate)
	}
	run := began(t, w, 2, "s2", "innocent")
	_, ok := w.nodes[2].Began("s3", "innocent", w.now)
	assert.Assert(t, !ok, "a request with a strike runs once at a time")
	run.Ended(Completed, w.now)
	w.run(time.Second)
	for node := range w.nodes {
		assert.Equal(t, w.state(node, "innocent"), Clear)
		assert.Equal(t, w.state(node, "poison"), Isolate)
	}
}

// A wave of reclaims must leave no strike, with notice or without, in one domain or in several.
func TestWaveStrikesNobody(t *testing.T) {
	for _, test := range []struct {
		name    string
		servers int
		domains int
		crash   Crash
	}{
		{"domain without notice", 5, 1, Crash{}},
		{"three domains, a server each", 3, 3, Crash{}},
		{"notice", 1, 1, Crash{HadNotice: true}},
		{"unreachable network", 1, 1, Crash{Unreachable: true}},
	} {
		w := newNet(4)
		var names []string
		var retried *Run
		for s := range test.servers {
			for k := range 6 {
				name := fmt.Sprintf("r%d-%d", s, k)
				run := began(t, w, k%4, fmt.Sprint("s", s), name)
				if name == "r0-0" {
					retried = run
				}
				names = append(names, name)
			}
		}
		// One request is retried from server to server while the wave goes on.
		for s := range test.servers {
			if s == 1 {
				retried.Ended(Interrupted, w.now)
				began(t, w, 0, "s1", "r0-0")
			}
			c := test.crash
			c.Server, c.Domain, c.Started = fmt.Sprint("s", s), fmt.Sprint("d", s%test.domains), 1
			w.crashed(c)
			w.run(300 * time.Millisecond)
		}
		w.run(6 * time.Second)
		for _, name := range names {
			for node := range w.nodes {
				assert.Equal(t, w.state(node, name), Clear, "%s: %s", test.name, name)
			}
		}
	}
}

// A notice that becomes known after the crash must withdraw the strikes.
func TestLateNotice(t *testing.T) {
	w := newNet(2)
	began(t, w, 0, "s1", "a")
	w.crashed(Crash{Server: "s1", Domain: "d0", Started: 1})
	assert.Equal(t, w.state(0, "a"), Isolate)
	w.run(time.Second)
	w.crashed(Crash{Server: "s1", Domain: "d0", Started: 1, HadNotice: true})
	w.run(time.Second)
	assert.Equal(t, w.state(0, "a"), Clear)
	assert.Equal(t, w.state(1, "a"), Clear)
}

// Nodes that hear the same records in different orders, and some of them twice, must agree.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	records := []Record{
		{Servers: []string{"s1#1"}}, {Servers: []string{"s1#1", "s2#1"}, Quarantined: true},
		{Servers: []string{"-s1#1"}}, {Servers: []string{"-s3#1", "s4#1"}}, {Servers: []string{"s3#1"}},
	}
	now := time.UnixMilli(0)
	want := Record{Servers: []string{"-s1#1", "-s3#1", "s2#1", "s4#1"}, Quarantined: true}
	for range 200 {
		tr := New(Options{})
		for range 2 {
			for _, i := range rng.Perm(len(records)) {
				tr.Merge("d", records[i], now)
			}
		}
		changes := tr.Changes()
		assert.Equal(t, len(changes), 1)
		assert.DeepEqual(t, changes[0].Record, want)
		assert.Assert(t, !tr.Merge("d", want, now))
		assert.Equal(t, len(tr.Changes()), 0, "an equal record is not published again")
	}
}

// A flood of strikes must not use more memory than configured, nor lift a quarantine; records must expire.
func TestBoundsAndExpiry(t *testing.T) {
	tr := New(Options{MaxRecords: 100})
	now := time.UnixMilli(0)
	tr.Merge("poison", Record{Servers: []string{"a#1", "b#1"}, Quarantined: true}, now)
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		tr.Merge(fmt.Sprint("d", i), Record{Servers: []string{"c#1"}}, now)
	}
	assert.Equal(t, len(tr.records), 100)
	assert.DeepEqual(t, tr.Quarantines(now), []string{"poison"})
	now = now.Add(defaultExpiry)
	tr.Tick(now)
	assert.Equal(t, len(tr.records)+len(tr.changed), 0)
}

// A request whose connection broke must be isolated, and held after the second time, before any crash is noticed; when
// no crash follows, it must be free again.
func TestInterruptedRunIsSuspect(t *testing.T) {
	w := newNet(1)
	for _, want := range []State{Isolate, Held} {
		began(t, w, 0, "s-"+want.String(), "a").Ended(Interrupted, w.now)
		assert.Equal(t, w.state(0, "a"), want)
	}
	w.run(defaultLinger)
	assert.Equal(t, w.state(0, "a"), Clear)
	assert.Equal(t, len(w.nodes[0].running)+len(w.nodes[0].interrupted), 0)
}
