package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/platform/standin"
)

var (
	seedFlag  = flag.Uint64("soak.seed", 0, "run this seed only")
	seedsFlag = flag.Int("soak.seeds", 2, "number of seeds to run, starting with soak.first")
	firstFlag = flag.Uint64("soak.first", 1, "first seed")
	timeFlag  = flag.Duration("soak.time", 6*time.Second, "duration of the fault injection of each seed")
	portFlag  = flag.Int("soak.port", 12000, "first port of the nodes; concurrent soaks need different ones")
	nodesFlag = flag.Int("soak.nodes", 3, "number of nodes, each a process")
)

// regressions are seeds that failed in the past, with the cause.
var regressions = map[uint64]string{}

// TestSoak runs seeds. To run others: go test ./internal/soak -soak.seeds 50 -soak.first 100
func TestSoak(t *testing.T) {
	seeds := map[uint64]string{}
	if *seedFlag != 0 {
		seeds[*seedFlag] = "from -soak.seed"
	} else {
		maps.Copy(seeds, regressions)
		for i := range *seedsFlag {
			seeds[*firstFlag+uint64(i)] = ""
		}
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	o := defaultOptions
	o.idStep = 1 + 2*int(seed%2)
	env := newTestEnvWith(t, *nodesFlag, 3, o)
	s := startSoak(t, env, seed)
	f := &injector{env: env, rng: rand.New(rand.NewPCG(seed, 1))}
	f.kinds = f.allKinds()
	f.run(*timeFlag)
	f.clearFaults()
	s.finish(t, f)
}

// soak is one run with callers that send requests all the time.
type soak struct {
	env     *testEnv
	seed    uint64
	callers *callers
	stop    context.CancelFunc
	running sync.WaitGroup
}

func startSoak(t *testing.T, env *testEnv, seed uint64) *soak {
	c := &callers{env: env, notRun: map[string]string{}, client: &http.Client{Timeout: 8 * time.Second,
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
	c.awaitServing(t, 10*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &soak{env: env, seed: seed, callers: c, stop: cancel}
	for i := range 8 {
		s.running.Go(func() { c.sendUntilDone(ctx, rand.New(rand.NewPCG(seed, uint64(i+2)))) })
	}
	return s
}

// finish waits until the deployment has recovered, ends the callers and checks what they got.
func (s *soak) finish(t *testing.T, f *injector) {
	s.env.withFinalRoute = true
	s.env.configure()
	s.callers.awaitServing(t, 12*time.Second)
	s.callers.awaitFinalRoute(t, 5*time.Second)
	s.stop()
	s.running.Wait()
	c := s.callers
	t.Logf("seed %d: %d requests, %d served, %d refused as not run, %d connection errors, faults %v", s.seed, c.sent.Load(), c.served.Load(), len(c.notRun), c.connErrors.Load(), f.counts)
	c.checkGuarantees(t)
}

// fault is one kind of fault.
type fault struct {
	name   string
	inject func(d time.Duration)
}

// injector injects random faults, which can overlap.
type injector struct {
	env          *testEnv
	rng          *rand.Rand
	kinds        []fault
	counts       map[string]int
	pendingUndos sync.WaitGroup
	// configMu guards the configuration of env where faults that end later change it.
	configMu sync.Mutex
	// withdrawn are the API keys that were withdrawn or will be.
	withdrawn []string
}

// allKinds returns the kinds of faults on any platform.
func (f *injector) allKinds() []fault {
	return []fault{{"kill", f.kill}, {"terminate", f.terminate}, {"pause", f.pause}, {"hangup", f.hangup}, {"store", f.storeFault},
		{"store link", f.storeLink}, {"server link", f.serverLink}, {"server", f.serverFault}, {"drain", f.drain}, {"configuration", f.configure}}
}

func (f *injector) run(d time.Duration) {
	f.counts = map[string]int{}
	for end := time.Now().Add(d); time.Now().Before(end); {
		kind := f.kinds[f.rng.IntN(len(f.kinds))]
		f.counts[kind.name]++
		kind.inject(time.Duration(200+f.rng.IntN(2000)) * time.Millisecond)
		time.Sleep(time.Duration(50+f.rng.IntN(450)) * time.Millisecond)
	}
}

// undoAfter ends a fault after a time, in the background.
func (f *injector) undoAfter(d time.Duration, undo func()) {
	f.pendingUndos.Go(func() {
		time.Sleep(d)
		undo()
	})
}

func (f *injector) node() *process { return f.env.nodes[f.rng.IntN(len(f.env.nodes))] }

func (f *injector) kill(time.Duration) { f.node().signal(syscall.SIGKILL) }

func (f *injector) terminate(time.Duration) { f.node().signal(syscall.SIGTERM) }

func (f *injector) hangup(time.Duration) { f.node().signal(syscall.SIGHUP) }

func (f *injector) pause(d time.Duration) {
	n := f.node()
	n.signal(syscall.SIGSTOP)
	f.undoAfter(d, func() { n.signal(syscall.SIGCONT) })
}

func (f *injector) storeFault(d time.Duration) {
	f.env.store.SetFault([]standin.Fault{standin.Refuse, standin.NoResponse, standin.LoseResponses}[f.rng.IntN(3)])
	if f.rng.IntN(2) == 0 {
		f.env.store.DropHistory()
	}
	f.undoAfter(d, func() { f.env.store.SetFault(standin.NoFault) })
}

func (f *injector) storeLink(d time.Duration) { f.link(f.node().storeProxy, d) }

func (f *injector) serverLink(d time.Duration) { f.link(f.env.links[f.rng.IntN(len(f.env.links))], d) }

func (f *injector) link(p *proxy, d time.Duration) {
	switch f.rng.IntN(5) {
	case 0:
		p.reset()
	case 1:
		p.stall()
	case 2:
		p.dropResponses.Store(true)
	case 3:
		p.delay.Store(int64(d / 8))
	case 4:
		p.refuse.Store(true)
	}
	f.undoAfter(d, p.clearFaults)
}

func (f *injector) serverFault(d time.Duration) {
	i := f.rng.IntN(len(f.env.servers))
	s, usual := f.env.servers[i], usualBehavior(i)
	b := []standin.Behavior{{Lose: true}, {Reject: true}, {Fail: true}, {Echo: "another"}, {Unsigned: true}, {CutAfter: 4}, {StallAfter: 3},
		{Gap: 300 * time.Millisecond}}[f.rng.IntN(8)]
	share := 1 + f.rng.IntN(3)
	var n atomic.Int64
	s.SetBehavior(func(*http.Request) standin.Behavior {
		if n.Add(1)%int64(share) == 0 {
			return b
		}
		return usual
	})
	f.undoAfter(d, func() {
		s.SetBehavior(func(*http.Request) standin.Behavior { return usual })
	})
}

// drain starts the planned removal of a server and adds a replacement.
func (f *injector) drain(time.Duration) {
	i := f.rng.IntN(len(f.env.servers))
	f.env.addServer(f.env.servers[i].Events == 0)
	f.env.drain(i)
}

func (f *injector) configure(time.Duration) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	f.env.configure()
}

func (f *injector) clearFaults() {
	f.pendingUndos.Wait()
	f.env.store.SetFault(standin.NoFault)
	for _, n := range f.env.nodes {
		n.storeProxy.clearFaults()
		n.signal(syscall.SIGCONT)
	}
	for _, p := range f.env.links {
		p.clearFaults()
	}
}

// callers send requests and record the responses that the guarantees cover.
type callers struct {
	env                      *testEnv
	client                   *http.Client
	ids                      atomic.Int64
	sent, served, connErrors atomic.Int64
	quarantined              atomic.Int64 // requests refused because of crashes
	mu                       sync.Mutex
	notRun                   map[string]string // path by attempt
	violations               []string
}

// sendUntilDone sends requests until ctx ends. It mostly keeps using an address until a request fails, as callers do.
func (c *callers) sendUntilDone(ctx context.Context, rng *rand.Rand) {
	addr := ""
	for ctx.Err() == nil {
		if addr == "" {
			addr = c.resolve(rng)
		}
		path := []string{"/book/", "/look/", "/quote/"}[rng.IntN(3)]
		if !c.request(addr, path) || rng.IntN(20) == 0 {
			addr = ""
		}
		time.Sleep(time.Duration(5+rng.IntN(30)) * time.Millisecond)
	}
}

func (c *callers) resolve(rng *rand.Rand) string {
	for range 3 {
		n := c.env.nodes[rng.IntN(len(c.env.nodes))]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.registryAddr+"/pollenlug/resolve?name="+host, nil)
		if err != nil {
			continue
		}
		resp, err := c.client.Do(req)
		if err != nil {
			continue
		}
		var response struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&response)
		_ = resp.Body.Close()
		if err == nil && len(response.Addresses) > 0 {
			return response.Addresses[rng.IntN(len(response.Addresses))]
		}
	}
	return ""
}

// request sends one request and checks its response. It returns false if the caller should use another address.
func (c *callers) request(addr, path string) bool {
	if addr == "" {
		return false
	}
	c.sent.Add(1)
	id := fmt.Sprintf("attempt-%d", c.ids.Add(1))
	method := http.MethodPost
	if path == "/look/" || path == finalRoute {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+addr+path+id, bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		return false
	}
	req.GetBody = nil
	req.Host = host
	for name, value := range map[string]string{"Pollenlug-Attempt-Id": id, "Pollenlug-Deadline-Ms": "4000", "Pollenlug-Credential": apiKey} {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.connErrors.Add(1)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.connErrors.Add(1)
		return false
	}
	c.checkResponse(id, path, resp, string(body))
	return resp.StatusCode == http.StatusOK
}

func (c *callers) checkResponse(id, path string, resp *http.Response, body string) {
	if resp.Header.Get("X-Pollenlug-Code") == codeQuarantined {
		c.quarantined.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		c.served.Add(1)
		signer := strings.TrimPrefix(resp.Header.Get("Pollenlug-Server-Signature"), "signed-by-")
		want := fmt.Sprintf("answer of %s to %s", signer, id)
		if path == "/quote/" {
			want = expectedStream(c.env.options.idStep)
		}
		if body != want || signer == "" {
			c.violations = append(c.violations, fmt.Sprintf("%s got %q signed by %q", id, body, signer))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.notRun[id] = path
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
	case http.StatusNotFound:
		if path != finalRoute { // a node may not have this route yet
			c.violations = append(c.violations, fmt.Sprintf("%s of %s got status 404", id, path))
		}
	default:
		c.violations = append(c.violations, fmt.Sprintf("%s of %s got status %d: %s", id, path, resp.StatusCode, body))
	}
}

func expectedStream(idStep int) string {
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i*max(1, idStep), i)
	}
	return b.String()
}

// checkGuarantees compares the responses that callers received with the runs on the servers. It also checks that every
// report of a usage window has the same counts and that the fencing tokens of reports never decrease.
func (c *callers) checkGuarantees(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, violation := range c.violations {
		t.Error(violation)
	}
	runs := map[string]int{}
	for _, s := range c.env.servers {
		for _, run := range s.Runs() {
			if run.Target == crashingPath {
				continue // all attempts have the same body
			}
			runs[run.Attempt]++
			if run.Body != "body of "+run.Attempt || run.Header.Get("Pollenlug-Tenant") != "guild" {
				t.Errorf("%s arrived as %q of %q", run.Attempt, run.Body, run.Header.Get("Pollenlug-Tenant"))
			}
			if strings.HasPrefix(run.Target, "/book/") && runs[run.Attempt] > 1 {
				t.Errorf("%s may run at most once, but ran again on %s", run.Attempt, s.ID)
			}
		}
	}
	for id, path := range c.notRun {
		if path == "/book/" && runs[id] > 0 {
			t.Errorf("%s was refused as not run, but ran", id)
		}
	}
	reported, fencing := map[int64]map[string]int64{}, uint64(0)
	for _, call := range c.env.duties.Calls() {
		if call.Path != "/usage" {
			continue
		}
		if before, ok := reported[call.Window]; ok && !maps.Equal(before, call.Counts) {
			t.Errorf("window %d reported as %v and %v", call.Window, before, call.Counts)
		}
		reported[call.Window] = call.Counts
		if call.Fencing < fencing {
			t.Errorf("fencing token decreased from %d to %d", fencing, call.Fencing)
		}
		fencing = call.Fencing
	}
}

// awaitServing waits until every node serves every kind of request.
func (c *callers) awaitServing(t *testing.T, timeout time.Duration) {
	t.Helper()
	for _, n := range c.env.nodes {
		for _, path := range []string{"/book/", "/look/", "/quote/"} {
			c.await(t, n, path, timeout)
		}
	}
}

// awaitFinalRoute waits until every node serves the route of the last configuration.
func (c *callers) awaitFinalRoute(t *testing.T, timeout time.Duration) {
	t.Helper()
	for _, n := range c.env.nodes {
		c.await(t, n, finalRoute, timeout)
	}
}

func (c *callers) await(t *testing.T, n *process, path string, timeout time.Duration) {
	t.Helper()
	for end := time.Now().Add(timeout); !c.probe(n, path); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s does not serve %s", n.name, path)
	}
}

// probe reports whether a node serves a request on path.
func (c *callers) probe(n *process, path string) bool {
	before := c.served.Load()
	return c.request(n.callerAddr, path) && c.served.Load() > before
}
