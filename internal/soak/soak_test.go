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
	seedFlag  = flag.Uint64("soak.seed", 0, "play this seed only")
	seedsFlag = flag.Int("soak.seeds", 2, "number of seeds to play, from soak.first on")
	firstFlag = flag.Uint64("soak.first", 1, "first seed")
	timeFlag  = flag.Duration("soak.time", 6*time.Second, "time with faults of each seed")
	portFlag  = flag.Int("soak.port", 12000, "first port of the nodes; soaks that run side by side need different ones")
	nodesFlag = flag.Int("soak.nodes", 3, "nodes, each a process")
)

// regressions are seeds that once failed, with their cause.
var regressions = map[uint64]string{}

// TestSoak plays seeds; go test ./internal/soak -soak.seeds 50 -soak.first 100 plays fresh ones by hand.
func TestSoak(t *testing.T) {
	seeds := map[uint64]string{}
	if *seedFlag != 0 {
		seeds[*seedFlag] = "by hand"
	} else {
		maps.Copy(seeds, regressions)
		for i := range *seedsFlag {
			seeds[*firstFlag+uint64(i)] = ""
		}
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { play(t, seed) })
	}
}

func play(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(t, *nodesFlag, 3)
	c := &callers{w: w, notRun: map[string]string{}, client: &http.Client{Timeout: 8 * time.Second,
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
	c.awaitServing(t, 10*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() { c.loop(ctx, rand.New(rand.NewPCG(seed, uint64(i+2)))) })
	}
	f := &faults{w: w, rng: rng}
	f.run(*timeFlag)
	f.heal()
	w.withRoute = true
	w.configure()
	c.awaitServing(t, 12*time.Second)
	c.awaitRoute(t, 5*time.Second)
	cancel()
	running.Wait()
	t.Logf("seed %d: %d requests, %d served, %d refused as not run, %d broken, faults %v", seed, c.sent.Load(), c.served.Load(), len(c.notRun), c.broken.Load(), f.counts)
	c.check(t)
}

// faults injects faults that overlap.
type faults struct {
	w      *world
	rng    *rand.Rand
	counts map[string]int
	wait   sync.WaitGroup
}

func (f *faults) run(d time.Duration) {
	f.counts = map[string]int{}
	kinds := []struct {
		name string
		do   func(time.Duration)
	}{{"kill", f.kill}, {"terminate", f.terminate}, {"pause", f.pause}, {"hangup", f.hangup}, {"store", f.storeFault},
		{"store link", f.storeLink}, {"server link", f.serverLink}, {"server", f.serverFault}, {"drain", f.drain}, {"configuration", f.configure}}
	for end := time.Now().Add(d); time.Now().Before(end); {
		kind := kinds[f.rng.IntN(len(kinds))]
		f.counts[kind.name]++
		kind.do(time.Duration(200+f.rng.IntN(2000)) * time.Millisecond)
		time.Sleep(time.Duration(50+f.rng.IntN(450)) * time.Millisecond)
	}
}

// later undoes a fault after a time.
func (f *faults) later(d time.Duration, undo func()) {
	f.wait.Go(func() {
		time.Sleep(d)
		undo()
	})
}

func (f *faults) node() *process { return f.w.nodes[f.rng.IntN(len(f.w.nodes))] }

func (f *faults) kill(time.Duration) { f.node().signal(syscall.SIGKILL) }

func (f *faults) terminate(time.Duration) { f.node().signal(syscall.SIGTERM) }

func (f *faults) hangup(time.Duration) { f.node().signal(syscall.SIGHUP) }

func (f *faults) pause(d time.Duration) {
	n := f.node()
	n.signal(syscall.SIGSTOP)
	f.later(d, func() { n.signal(syscall.SIGCONT) })
}

func (f *faults) storeFault(d time.Duration) {
	f.w.store.SetFault([]standin.Fault{standin.Refuse, standin.NoResponse, standin.LoseResponses}[f.rng.IntN(3)])
	if f.rng.IntN(2) == 0 {
		f.w.store.DropHistory()
	}
	f.later(d, func() { f.w.store.SetFault(standin.NoFault) })
}

func (f *faults) storeLink(d time.Duration) { f.link(f.node().storeProxy, d) }

func (f *faults) serverLink(d time.Duration) { f.link(f.w.proxies[f.rng.IntN(len(f.w.proxies))], d) }

func (f *faults) link(p *proxy, d time.Duration) {
	switch f.rng.IntN(5) {
	case 0:
		p.reset()
	case 1:
		p.silence()
	case 2:
		p.oneWay.Store(true)
	case 3:
		p.delay.Store(int64(d / 8))
	case 4:
		p.refuse.Store(true)
	}
	f.later(d, p.heal)
}

func (f *faults) serverFault(d time.Duration) {
	s := f.w.servers[f.rng.IntN(len(f.w.servers))]
	b := []standin.Behavior{{Lose: true}, {Reject: true}, {Fail: true}, {Echo: "another"}, {Unsigned: true}, {CutAfter: 4}, {StallAfter: 3},
		{Gap: 300 * time.Millisecond}}[f.rng.IntN(8)]
	share := 1 + f.rng.IntN(3)
	var n atomic.Int64
	s.SetBehavior(func(*http.Request) standin.Behavior {
		if n.Add(1)%int64(share) == 0 {
			return b
		}
		return standin.Behavior{Gap: 10 * time.Millisecond}
	})
	f.later(d, func() {
		s.SetBehavior(func(*http.Request) standin.Behavior { return standin.Behavior{Gap: 10 * time.Millisecond} })
	})
}

// drain takes a server out as planned; another one takes its place.
func (f *faults) drain(time.Duration) {
	i := f.rng.IntN(len(f.w.servers))
	f.w.addServer(f.w.servers[i].Events == 0)
	f.w.register(i, "draining", 2)
}

func (f *faults) configure(time.Duration) { f.w.configure() }

func (f *faults) heal() {
	f.wait.Wait()
	f.w.store.SetFault(standin.NoFault)
	for _, n := range f.w.nodes {
		n.storeProxy.heal()
		n.signal(syscall.SIGCONT)
	}
	for _, p := range f.w.proxies {
		p.heal()
	}
}

// callers send requests and note what they were promised.
type callers struct {
	w                    *world
	client               *http.Client
	ids                  atomic.Int64
	sent, served, broken atomic.Int64
	mu                   sync.Mutex
	notRun               map[string]string // by attempt: where
	wrong                []string
}

// loop keeps using an address until it fails, as callers do.
func (c *callers) loop(ctx context.Context, rng *rand.Rand) {
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
		n := c.w.nodes[rng.IntN(len(c.w.nodes))]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.dir+"/pollenlug/resolve?name="+host, nil)
		if err != nil {
			continue
		}
		resp, err := c.client.Do(req)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses[rng.IntN(len(answer.Addresses))]
		}
	}
	return ""
}

// request sends one request and checks its answer; false means that another address should be used.
func (c *callers) request(addr, path string) bool {
	if addr == "" {
		return false
	}
	c.sent.Add(1)
	id := fmt.Sprintf("attempt-%d", c.ids.Add(1))
	method := http.MethodPost
	if path == "/look/" || path == lastingRoute {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+addr+path+id, bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		return false
	}
	req.GetBody = nil
	req.Host = host
	for name, value := range map[string]string{"Pollenlug-Attempt-Id": id, "Pollenlug-Deadline-Ms": "4000", "Pollenlug-Credential": key} {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.broken.Add(1)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.broken.Add(1)
		return false
	}
	c.judge(id, path, resp, string(body))
	return resp.StatusCode == http.StatusOK
}

func (c *callers) judge(id, path string, resp *http.Response, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		c.served.Add(1)
		signer := strings.TrimPrefix(resp.Header.Get("Pollenlug-Server-Signature"), "signed-by-")
		want := fmt.Sprintf("answer of %s to %s", signer, id)
		if path == "/quote/" {
			want = stream()
		}
		if body != want || signer == "" {
			c.wrong = append(c.wrong, fmt.Sprintf("%s got %q signed by %q", id, body, signer))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.notRun[id] = path
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
	case http.StatusNotFound:
		if path != lastingRoute { // which a node may not know yet
			c.wrong = append(c.wrong, fmt.Sprintf("%s of %s got status 404", id, path))
		}
	default:
		c.wrong = append(c.wrong, fmt.Sprintf("%s of %s got status %d: %s", id, path, resp.StatusCode, body))
	}
}

func stream() string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// check compares what callers were told with what the servers ran.
func (c *callers) check(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, wrong := range c.wrong {
		t.Error(wrong)
	}
	runs := map[string]int{}
	for _, s := range c.w.servers {
		for _, run := range s.Runs() {
			runs[run.Attempt]++
			if run.Body != "body of "+run.Attempt || run.Header.Get("Pollenlug-Tenant") != "guild" {
				t.Errorf("%s arrived as %q of %q", run.Attempt, run.Body, run.Header.Get("Pollenlug-Tenant"))
			}
			if strings.HasPrefix(run.Target, "/book/") && runs[run.Attempt] > 1 {
				t.Errorf("%s may run once and ran again on %s", run.Attempt, s.ID)
			}
		}
	}
	for id, path := range c.notRun {
		if path == "/book/" && runs[id] > 0 {
			t.Errorf("%s was told not to have run and ran", id)
		}
	}
	reported, fencing := map[int64]map[string]int64{}, uint64(0)
	for _, call := range c.w.duties.Calls() {
		if call.Path != "/usage" {
			continue
		}
		if before, ok := reported[call.Window]; ok && !maps.Equal(before, call.Counts) {
			t.Errorf("window %d reported as %v and %v", call.Window, before, call.Counts)
		}
		reported[call.Window] = call.Counts
		if call.Fencing < fencing {
			t.Errorf("fencing number fell from %d to %d", fencing, call.Fencing)
		}
		fencing = call.Fencing
	}
}

// awaitServing waits until every node serves every kind of request.
func (c *callers) awaitServing(t *testing.T, within time.Duration) {
	t.Helper()
	for _, n := range c.w.nodes {
		for _, path := range []string{"/book/", "/look/", "/quote/"} {
			c.await(t, n, path, within)
		}
	}
}

// awaitRoute waits until every node serves the route of the last configuration.
func (c *callers) awaitRoute(t *testing.T, within time.Duration) {
	t.Helper()
	for _, n := range c.w.nodes {
		c.await(t, n, lastingRoute, within)
	}
}

func (c *callers) await(t *testing.T, n *process, path string, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); !c.probe(n, path); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s does not serve %s", n.name, path)
	}
}

// probe asks one node without counting a refusal of a node that is starting.
func (c *callers) probe(n *process, path string) bool {
	before := c.served.Load()
	return c.request(n.caller, path) && c.served.Load() > before
}
