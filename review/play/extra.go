package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case: one of two workers is faulty for garbleTime and adds bytes to one in extraEvery of its answers.
const (
	extraEvery  = 34 // additional bytes after one of so many answers: a share of 0.029
	garbleTime  = 5 * time.Second
	calmTime    = 2 * time.Second // before and after
	clients     = 24
	workTime    = 60 * time.Millisecond
	deskTimeout = 2 * time.Second
	deskLimit   = 4 * time.Second
)

func deskConfig() map[string]any {
	return configOf([]map[string]any{{"name": "booking", "prefix": "/lohu930/", "route_kind": "non_idempotent", "timeout_ms": deskTimeout.Milliseconds(),
		"latency_goal_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1}},
		[]map[string]any{{"name": "desk", "max_conns": 110}})
}

// garbler decides which answers of the faulty worker are garbled.
type garbler struct {
	mu         sync.Mutex
	every      int
	from, till time.Time
	answers    int
	garbled    int
}

// newGarbler returns a garbler of one in so many answers, once it is started.
func newGarbler(every int) *garbler { return &garbler{every: every} }

// start sets the time in which answers are garbled.
func (g *garbler) start(from time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.from, g.till = from, from.Add(garbleTime)
}

func (g *garbler) garbles() bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.from) || now.After(g.till) {
		return false
	}
	g.answers++
	if g.answers%g.every != 0 {
		return false
	}
	g.garbled++
	return true
}

// playExtra plays a worker that sends additional bytes after some of its complete answers: they arrive late, where the
// next answer on the channel is due, and read like a refusal without an id.
func playExtra(r *record, trouble bool) (bool, error) {
	d, err := start(2, deskConfig())
	if err != nil {
		return false, err
	}
	defer d.stop()
	garble := newGarbler(extraEvery)
	var workers []*worker
	for i := range 2 {
		w, err := startWorker(d, r, fmt.Sprintf("i-7f3a91c%d", i+1), "desk")
		if err != nil {
			return false, err
		}
		faulty := trouble && i == 0
		w.before = func(x *exchange) {
			if x.state.extra {
				x.state.extra = false
				r.add("garbled %s: additional bytes before its answer", x.attempt)
				x.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(5 * time.Millisecond)
			}
		}
		w.handle = func(x *exchange) {
			time.Sleep(workTime)
			x.answer(w, "booked by "+w.id+" for "+x.attempt)
			x.state.extra = faulty && garble.garbles()
		}
		w.serve(d, 6)
		workers = append(workers, w)
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	begin := time.Now()
	garble.start(begin.Add(calmTime))
	answers := deskTraffic(d, r, clients, begin.Add(2*calmTime+garbleTime))
	ran, lied := 0, 0
	for _, a := range answers {
		run := false
		for _, w := range workers {
			_, ok := w.target(a.attempt)
			run = run || ok
		}
		if run {
			ran++
		}
		if run && refused(a.status) {
			lied++
			r.say("REFUSED: request %s was answered %d (signed %t) after %.3f s and has run", a.attempt, a.status, a.signed, a.took.Seconds())
		}
	}
	r.say("%d requests, %d of them ran; %d of %d answers of the faulty worker garbled; refused and run: %d", len(answers), ran,
		garble.garbled, garble.answers, lied)
	return lied > 0, nil
}

// deskTraffic sends bookings over kept channels of several clients to each node until a time. A client that gets a refusal
// sends the booking again, once, as another request on a new channel.
func deskTraffic(d *deployment, r *record, users int, until time.Time) []answer {
	var mu sync.Mutex
	var out []answer
	var work sync.WaitGroup
	for i := range users {
		node := d.nodes[i%len(d.nodes)]
		work.Go(func() {
			var c *channel
			booking, again := 0, false
			for time.Now().Before(until) {
				if c == nil {
					var err error
					if c, err = dial(node.frontend); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				if !again {
					booking++
				}
				a := c.do(r, call{method: http.MethodPost, target: fmt.Sprintf("/lohu930/%d-%d", i, booking), body: "deposit", limit: deskLimit})
				mu.Lock()
				out = append(out, a)
				mu.Unlock()
				again = refused(a.status) && !again
				if a.close || again {
					_ = c.conn.Close()
					c = nil
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	work.Wait()
	return out
}
