package edge_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/platform/standin"
)

var (
	waveSeedsFlag = flag.Int("edge.waveseeds", 0, "number of further seeds of TestRequestsThatCrashAllServersOfAServiceAreRefused")
	waveFirstFlag = flag.Uint64("edge.wavefirst", 100, "first of these seeds")
)

// failedWaveSeeds have failed: two requests crashed the servers together, so that all crashes looked correlated, and then
// several nodes ran one of them at the same time.
var failedWaveSeeds = []uint64{16, 30, 49}

const (
	waveArrivals = 15 * time.Second
	// waveRowLag is how long the row of a crashed server stays.
	waveRowLag = 1500 * time.Millisecond
)

// crashWaves is a small service whose servers are all crashed, again and again, by a few requests.
type crashWaves struct {
	rng      *rand.Rand
	servers  int
	downtime time.Duration
	pause    time.Duration // between two requests of any kind
	requests []*crashingRequest
}

// crashingRequest is one of the requests that crash their servers.
type crashingRequest struct {
	target   string
	behavior standin.Behavior
	oneNode  bool          // all arrivals come through one node
	pause    time.Duration // of a caller before it sends a failed request again

	mu      sync.Mutex
	runs    []time.Time
	crashes []time.Time // of servers that were running it
}

// late returns the number of runs later than noticePeriod after crash number crashesToNotice.
func (c *crashingRequest) late() int {
	late := 0
	for _, at := range c.runs {
		if len(c.crashes) >= crashesToNotice && at.Sub(c.crashes[crashesToNotice-1]) > noticePeriod {
			late++
		}
	}
	return late
}

func (c *crashingRequest) String() string {
	return fmt.Sprintf("%s after %v and %d events, header %v, one node %v, pause %v", c.target, c.behavior.Gap, c.behavior.CrashAfter,
		c.behavior.HeaderFirst, c.oneNode, c.pause)
}

func newCrashWaves(seed uint64) *crashWaves {
	rng := rand.New(rand.NewPCG(seed, 29))
	w := &crashWaves{rng: rng, servers: 2 + rng.IntN(4), downtime: time.Duration(500+rng.IntN(3500)) * time.Millisecond,
		pause: time.Duration(10+rng.IntN(50)) * time.Millisecond}
	for i := range 1 + rng.IntN(3) {
		prefix := []string{"/look/", "/book/", "/draft/", "/quote/"}[rng.IntN(4)]
		c := &crashingRequest{target: fmt.Sprintf("%scrashing-%d", prefix, i), oneNode: rng.IntN(2) == 0,
			pause: time.Duration(rng.IntN(400)) * time.Millisecond}
		c.behavior = standin.Behavior{Crash: true, Gap: time.Duration(rng.IntN(150)) * time.Millisecond, HeaderFirst: rng.IntN(2) == 0}
		if strings.HasPrefix(prefix, "/draft") || prefix == "/quote/" {
			c.behavior.CrashAfter = rng.IntN(3)
		}
		w.requests = append(w.requests, c)
	}
	return w
}

// Guards against requests that crash all servers of their service again and again, since each wave takes the evidence
// with it. To run other seeds: go test ./internal/edge -run CrashAllServers -edge.waveseeds 50 -edge.wavefirst 100
func TestRequestsThatCrashAllServersOfAServiceAreRefused(t *testing.T) {
	seeds := slices.Clone(failedWaveSeeds)
	for i := range uint64(*waveSeedsFlag) {
		seeds = append(seeds, *waveFirstFlag+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			newCrashWaves(seed).play(t)
		})
	}
}

func (w *crashWaves) play(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	for i := range w.servers {
		w.serve(d, "desk", i, 0)
		w.serve(d, "engine", i, 8)
	}
	nodes := []*runningNode{d.node()}
	for range 7 {
		nodes = append(nodes, d.startNode(nodes[0].settings.PeerAddr))
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var quarantined, others atomic.Int64
	stop := time.Now().Add(waveArrivals)
	for i := 0; time.Now().Before(stop); i++ {
		target, pause := fmt.Sprintf("%s%d", []string{"/look/", "/book/", "/quote/"}[i%3], i), 100*time.Millisecond
		first, second := nodes[w.rng.IntN(len(nodes))], nodes[w.rng.IntN(len(nodes))]
		crashing := i%5 == 0
		if crashing {
			c := w.requests[w.rng.IntN(len(w.requests))]
			target, pause = c.target, c.pause
			if c.oneNode {
				first, second = nodes[0], nodes[0]
			}
		}
		wg.Go(func() {
			got := first.do(t, call{path: target, body: "body"})
			if got.status != http.StatusOK || got.err != nil {
				time.Sleep(pause)
				got = second.do(t, call{path: target, body: "body"})
			}
			if !crashing {
				others.Add(1)
				if got.header.Get("X-Pollenlug-Code") == "5003" {
					quarantined.Add(1)
				}
			}
		})
		time.Sleep(time.Duration(w.rng.ExpFloat64() * float64(w.pause)))
	}
	wg.Wait()
	t.Logf("%d servers, back after %v, a request every %v; %d of %d others quarantined", w.servers, w.downtime, w.pause, quarantined.Load(), others.Load())
	for _, c := range w.requests {
		late := c.late()
		t.Logf("%v: %d runs crashed %d servers, %d of them late", c, len(c.runs), len(c.crashes), late)
		assert.Check(t, late <= lateRunsAllowed, "%d of %d runs came too late", late, len(c.runs))
	}
}

// serve starts a server that crashes when it runs one of the requests, and comes back at the same address under another id.
func (w *crashWaves) serve(d *deployment, service string, i, events int) {
	domain := fmt.Sprintf("domain-%d", i)
	name := func(life int) string { return fmt.Sprintf("%s-%d-%d", service, i, life) }
	s := standin.NewServer(name(0), events)
	d.t.Cleanup(s.Close)
	d.store.Put("servers", name(0), s.Row(service, domain, 8, "ready", 1))
	life := 0
	running := map[*crashingRequest]bool{}
	var mu sync.Mutex
	s.SetBehavior(func(r *http.Request) standin.Behavior {
		mu.Lock()
		defer mu.Unlock()
		var c *crashingRequest
		for _, other := range w.requests {
			if r.URL.Path == other.target {
				c = other
			}
		}
		if c == nil {
			return standin.Behavior{Gap: 60 * time.Millisecond / time.Duration(max(events, 1))}
		}
		if r.Header.Get("Pollenlug-Expect-Instance") != name(life) {
			return standin.Behavior{}
		}
		c.mu.Lock()
		c.runs = append(c.runs, time.Now())
		c.mu.Unlock()
		if len(running) == 0 {
			old := name(life)
			crash := c.behavior.Gap * time.Duration(1+c.behavior.CrashAfter)
			time.AfterFunc(crash, func() {
				mu.Lock()
				defer mu.Unlock()
				for victim := range running {
					victim.mu.Lock()
					victim.crashes = append(victim.crashes, time.Now())
					victim.mu.Unlock()
				}
			})
			time.AfterFunc(crash+waveRowLag, func() { d.store.Delete("servers", old) })
			time.AfterFunc(crash+w.downtime, func() {
				mu.Lock()
				defer mu.Unlock()
				life++
				clear(running)
				s.Restart(name(life))
				d.store.Put("servers", name(life), s.Row(service, domain, 8, "ready", 1))
			})
		}
		running[c] = true
		return c.behavior
	})
}
