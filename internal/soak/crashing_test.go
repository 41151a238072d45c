package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/platform/standin"
)

var (
	crashSeedsFlag = flag.Int("soak.crashseeds", 2, "number of seeds of TestSoakCrashingRequest, starting with soak.first")
	crashTimeFlag  = flag.Duration("soak.crashtime", 15*time.Second, "duration of each seed of TestSoakCrashingRequest")
)

const (
	crashingPath = "/look/crashing"
	// The users accept lateRunsAllowed runs of a crashing request later than inTouch after its third crash, apart from
	// those sent by a node that was stopped, paused or started within inTouch.
	crashesToNotice = 3
	lateRunsAllowed = 3
	inTouch         = 3 * time.Second
	// A crashed server is back under another id after serverDowntime. Its row stays for rowLag.
	serverDowntime = 1500 * time.Millisecond
	rowLag         = 2 * time.Second
	serverCount    = 12
	// maxDown is how many servers may be down for other reasons at the same time.
	maxDown = 2
	// codeQuarantined is the result code of a refusal because of crashes.
	codeQuarantined = "5003"
)

// TestSoakCrashingRequest sends a request that crashes the servers it runs on through nodes that are killed, paused and
// terminated, while servers also crash for other reasons and the store fails. To run other seeds:
// go test ./internal/soak -run Crashing -soak.crashseeds 50 -soak.first 100
func TestSoakCrashingRequest(t *testing.T) {
	for i := range *crashSeedsFlag {
		seed := *firstFlag + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runCrashingSeed(t, seed) })
	}
}

func runCrashingSeed(t *testing.T, seed uint64) {
	w := newCrashWorld(t, seed)
	c := &callers{env: w.env, notRun: map[string]string{}, client: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableCompression: true}}}
	c.awaitServing(t, 10*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 6 {
		running.Go(func() { c.sendUntilDone(ctx, rand.New(rand.NewPCG(seed, uint64(i+2)))) })
	}
	interval := []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second}[seed%3]
	sendRNG := rand.New(rand.NewPCG(seed, 100))
	running.Go(func() { w.sendCrashing(ctx, sendRNG, interval) })
	w.injectFaults(*crashTimeFlag)
	cancel()
	running.Wait()
	w.pending.Wait()
	c.awaitServing(t, 12*time.Second)
	late := w.lateRuns()
	t.Logf("seed %d: every %v, %d runs of the crashing request, %d late, its answers by code %v; %d other requests, %d served; faults %v", seed, interval,
		len(w.runs), late, w.answers, c.sent.Load(), c.served.Load(), w.counts)
	assert.Assert(t, late <= lateRunsAllowed, "%d runs of the crashing request came too late", late)
	assert.Equal(t, c.quarantined.Load(), int64(0), "other requests were refused as quarantined")
	c.checkGuarantees(t)
}

// crashWorld is a deployment with a request that crashes its servers.
type crashWorld struct {
	env     *testEnv
	rng     *rand.Rand
	counts  map[string]int
	pending sync.WaitGroup // restarts of servers and ends of faults
	servers []*crashingServer

	mu   sync.Mutex
	down int // servers
	// sentTo is the node that each attempt of the crashing request was sent to, faultAt when a node last had a fault.
	sentTo  map[string]*process
	faultAt map[*process]time.Time
	runs    []crashingRun
	answers map[string]int // of the crashing request, by result code
}

// crashingServer is a server that crashes when it runs the request.
type crashingServer struct {
	*standin.Server
	service, domain string
	down            bool
}

type crashingRun struct {
	at      time.Time
	inTouch bool // the sending node had no fault within inTouch
}

func newCrashWorld(t *testing.T, seed uint64) *crashWorld {
	w := &crashWorld{env: newTestEnv(t, 4, 2), rng: rand.New(rand.NewPCG(seed, 1)), counts: map[string]int{},
		sentTo: map[string]*process{}, faultAt: map[*process]time.Time{}, answers: map[string]int{}}
	for _, p := range w.env.nodes {
		// The nodes start for the first time only once.
		data, err := os.ReadFile(p.settings)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(p.settings, bytes.Replace(data, []byte(`"bootstrap":true`), []byte(`"bootstrap":false`), 1), 0o600))
	}
	for i := range w.env.servers {
		w.env.store.Delete("servers", w.env.servers[i].ID) // they are behind proxies, which hide a crash
	}
	for i := range serverCount {
		w.addServer(i)
	}
	return w
}

// addServer adds a server. Every fourth one is an engine.
func (w *crashWorld) addServer(i int) {
	s := &crashingServer{service: "desk", domain: fmt.Sprintf("domain-%d", i%4)}
	events := 0
	if i%4 == 3 {
		s.service, s.domain, events = "engine", fmt.Sprintf("domain-%d", i/4), streamEvents
	}
	s.Server = standin.NewServer(fmt.Sprintf("%s-crashing-%d", s.service, i), events)
	w.env.t.Cleanup(s.Close)
	w.env.servers, w.servers = append(w.env.servers, s.Server), append(w.servers, s)
	w.register(s)
	s.SetBehavior(func(r *http.Request) standin.Behavior {
		if r.URL.Path != crashingPath {
			return standin.Behavior{Gap: 10 * time.Millisecond}
		}
		w.recordRun(r.Header.Get("Pollenlug-Attempt-Id"))
		w.restartLater(s, serverCount)
		return standin.Behavior{Crash: true}
	})
}

func (w *crashWorld) register(s *crashingServer) {
	id, _ := s.Process()
	w.env.store.Put("servers", id, s.Row(s.service, s.domain, 8, "ready", 1))
}

func (w *crashWorld) recordRun(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.runs = append(w.runs, crashingRun{now, now.Sub(w.faultAt[w.sentTo[attempt]]) > inTouch})
}

// restartLater starts a server that crashes now again as a new process with another id. It returns false if the server
// is down already, or if more than maxOthers others are.
func (w *crashWorld) restartLater(s *crashingServer, maxOthers int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.down || w.down > maxOthers {
		return false
	}
	s.down = true
	w.down++
	w.pending.Go(func() {
		old, born := s.Process()
		time.Sleep(serverDowntime)
		s.Restart(fmt.Sprintf("%s-%d", old, born))
		w.register(s)
		w.mu.Lock()
		s.down = false
		w.down--
		w.mu.Unlock()
		time.Sleep(rowLag - serverDowntime)
		w.env.store.Delete("servers", old)
	})
	return true
}

// sendCrashing sends the crashing request through random nodes without waiting for responses.
func (w *crashWorld) sendCrashing(ctx context.Context, rng *rand.Rand, interval time.Duration) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		node, attempt := w.env.nodes[rng.IntN(len(w.env.nodes))], fmt.Sprintf("crashing-%d", i)
		w.mu.Lock()
		w.sentTo[attempt] = node
		w.mu.Unlock()
		w.pending.Go(func() {
			req, err := http.NewRequest(http.MethodGet, "http://"+node.callerAddr+crashingPath, strings.NewReader("body of crashing"))
			if err != nil {
				return
			}
			req.Host = host
			for name, value := range map[string]string{"Pollenlug-Attempt-Id": attempt, "Pollenlug-Deadline-Ms": "4000", "Pollenlug-Credential": apiKey} {
				req.Header.Set(name, value)
			}
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			_ = resp.Body.Close()
			w.mu.Lock()
			defer w.mu.Unlock()
			w.answers[resp.Header.Get("X-Pollenlug-Code")]++
		})
		time.Sleep(interval)
	}
}

// injectFaults injects random faults, which can overlap.
func (w *crashWorld) injectFaults(d time.Duration) {
	kinds := []struct {
		name string
		do   func(time.Duration)
	}{{"kill", w.kill}, {"kill all", w.killAll}, {"terminate", w.terminate}, {"pause", w.pause}, {"store", w.storeFault},
		{"crash", w.crash}, {"crash", w.crash}, {"crash", w.crash}, {"crash", w.crash}}
	for end := time.Now().Add(d); time.Now().Before(end); {
		kind := kinds[w.rng.IntN(len(kinds))]
		w.counts[kind.name]++
		kind.do(time.Duration(200+w.rng.IntN(1500)) * time.Millisecond)
		time.Sleep(time.Duration(200+w.rng.IntN(1300)) * time.Millisecond)
	}
}

func (w *crashWorld) node() *process { return w.env.nodes[w.rng.IntN(len(w.env.nodes))] }

// signal sends a signal to a node and records the fault.
func (w *crashWorld) signal(n *process, s syscall.Signal) {
	w.mu.Lock()
	w.faultAt[n] = time.Now()
	w.mu.Unlock()
	n.signal(s)
}

func (w *crashWorld) kill(time.Duration) { w.signal(w.node(), syscall.SIGKILL) }

func (w *crashWorld) killAll(time.Duration) {
	for _, n := range w.env.nodes {
		w.signal(n, syscall.SIGKILL)
	}
}

func (w *crashWorld) terminate(time.Duration) { w.signal(w.node(), syscall.SIGTERM) }

func (w *crashWorld) pause(d time.Duration) {
	n := w.node()
	w.signal(n, syscall.SIGSTOP)
	w.pending.Go(func() {
		time.Sleep(d)
		w.signal(n, syscall.SIGCONT)
	})
}

func (w *crashWorld) storeFault(d time.Duration) {
	w.env.store.SetFault([]standin.Fault{standin.Refuse, standin.NoResponse, standin.LoseResponses}[w.rng.IntN(3)])
	w.pending.Go(func() {
		time.Sleep(d)
		w.env.store.SetFault(standin.NoFault)
	})
}

// crash crashes a server for a reason that no request has.
func (w *crashWorld) crash(time.Duration) {
	if s := w.servers[w.rng.IntN(len(w.servers))]; w.restartLater(s, maxDown-1) {
		s.Close()
	}
}

// lateRuns returns the number of runs later than inTouch after crash number crashesToNotice, by nodes in touch.
func (w *crashWorld) lateRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	for i, run := range w.runs {
		if i >= crashesToNotice && run.inTouch && run.at.Sub(w.runs[crashesToNotice-1].at) > inTouch {
			late++
		}
	}
	return late
}
