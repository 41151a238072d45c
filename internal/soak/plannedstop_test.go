package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pollenlug/pollenlug/platform/standin"
)

var (
	stopSeedsFlag   = flag.Int("soak.stopseeds", 1, "number of seeds of TestSoakPlannedStops, starting with soak.first")
	stopTimeFlag    = flag.Duration("soak.stoptime", 20*time.Second, "duration of the stops of each seed of TestSoakPlannedStops")
	stopNodesFlag   = flag.Int("soak.stopnodes", 4, "number of nodes of TestSoakPlannedStops, each a process")
	stopCallersFlag = flag.Int("soak.stopcallers", 40, "number of callers of TestSoakPlannedStops")
)

const (
	stopGrace = 8 * time.Second
	// A stream that was sent at most lateAfter after the signal may be cut off once the last sixth of the grace has begun.
	lateAfter = 3 * time.Second
	lastSixth = stopGrace * 5 / 6
	// addressesKept is how long callers keep the addresses of nodes, which exceeds the time that the directory grants.
	addressesKept = 6 * time.Second
	tokenTime     = 35 * time.Millisecond
	// shortTokens and longTokens are the sizes of most streams and of one in longShare.
	shortTokens, longTokens, longShare = 10, 150, 8
)

// TestSoakPlannedStops stops nodes one after the other, as a rollout does, while callers go on using them, with open
// connections, until they are gone. There are no other disruptions, so a stream is whole or refused. Guards against
// streams that are accepted late in the grace and cut off (review/2). To run other seeds:
// go test ./internal/soak -run PlannedStops -soak.stopseeds 50 -soak.first 100
func TestSoakPlannedStops(t *testing.T) {
	for i := range *stopSeedsFlag {
		seed := *firstFlag + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runPlannedStops(t, seed) })
	}
}

func runPlannedStops(t *testing.T, seed uint64) {
	env := newTestEnvWith(t, *stopNodesFlag, 4, envOptions{graceSeconds: int(stopGrace / time.Second), timeoutMS: 12000})
	for _, s := range env.servers {
		s.SetBehavior(paceBySize)
	}
	ready := &callers{env: env, notRun: map[string]string{}, client: &http.Client{Timeout: 8 * time.Second}}
	ready.awaitServing(t, 10*time.Second)
	c := &streamCallers{env: env, signals: map[string][]time.Time{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for i := range *stopCallersFlag {
		running.Go(func() { c.run(ctx, rand.New(rand.NewPCG(seed, uint64(i+2)))) })
	}
	stops := c.stopNodes(rand.New(rand.NewPCG(seed, 1)), *stopTimeFlag)
	cancel()
	running.Wait()
	t.Logf("seed %d: %d stops, %d streams, %d whole, %d refused, %d cut off as allowed, %d lost", seed, stops, c.sent.Load(), c.whole.Load(),
		c.refused.Load(), c.cutAllowed.Load(), len(c.lost))
	for _, lost := range c.lost {
		t.Error(lost)
	}
}

// paceBySize makes a stream take tokenTime for each token that its caller asks for.
func paceBySize(r *http.Request) standin.Behavior {
	_, output, _ := strings.Cut(r.Header.Get("Pollenlug-Token-Usage"), ",")
	tokens, err := strconv.Atoi(output)
	if err != nil {
		return standin.Behavior{}
	}
	return standin.Behavior{Gap: time.Duration(tokens) * tokenTime / streamEvents}
}

// streamCallers send streams and record those that end without a whole answer.
type streamCallers struct {
	env                              *testEnv
	ids                              atomic.Int64
	sent, whole, refused, cutAllowed atomic.Int64
	mu                               sync.Mutex
	signals                          map[string][]time.Time // by the address of the node
	lost                             []string
}

// stopNodes stops nodes for d, each SIGTERM followed by a SIGKILL after the grace, and returns the number of stops when
// all have ended. Stops of several nodes overlap; some get further signals, and the configuration changes meanwhile.
func (c *streamCallers) stopNodes(rng *rand.Rand, d time.Duration) (stops int) {
	var ending sync.WaitGroup
	next := rng.IntN(len(c.env.nodes))
	for end := time.Now().Add(d); time.Now().Before(end); next++ {
		p := c.env.nodes[next%len(c.env.nodes)]
		stops++
		c.mu.Lock()
		c.signals[p.callerAddr] = append(c.signals[p.callerAddr], time.Now())
		c.mu.Unlock()
		p.signal(syscall.SIGTERM)
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		ending.Go(func() {
			time.Sleep(stopGrace)
			// An error means that the process has ended in time.
			_ = cmd.Process.Kill()
		})
		switch rng.IntN(4) {
		case 0:
			c.env.configure()
		case 1:
			p.signal(syscall.SIGHUP)
		case 2:
			p.signal(syscall.SIGTERM)
		}
		time.Sleep(time.Duration(1500+rng.IntN(2000)) * time.Millisecond)
	}
	ending.Wait()
	return stops
}

// run sends streams until ctx ends. Addresses that refuse are used on, until they are resolved again.
func (c *streamCallers) run(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	var addrs []string
	var resolved time.Time
	for ctx.Err() == nil {
		if time.Since(resolved) > addressesKept {
			if found := c.resolve(client, rng); len(found) > 0 {
				addrs, resolved = found, time.Now()
			}
		}
		if len(addrs) > 0 {
			tokens := shortTokens
			if rng.IntN(longShare) == 0 {
				tokens = longTokens
			}
			c.stream(client, addrs[rng.IntN(len(addrs))], tokens)
		}
		time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
	}
}

// resolve asks some node for the addresses of all.
func (c *streamCallers) resolve(client *http.Client, rng *rand.Rand) []string {
	n := c.env.nodes[rng.IntN(len(c.env.nodes))]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.registryAddr+"/pollenlug/resolve?name="+host, nil)
	if err != nil {
		return nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil // the node is being restarted
	}
	defer resp.Body.Close()
	var response struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return nil
	}
	return response.Addresses
}

// stream sends one request and checks its end.
func (c *streamCallers) stream(client *http.Client, addr string, tokens int) {
	id := fmt.Sprint("stream-", c.ids.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/quote/"+id, strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Host = host
	for name, value := range map[string]string{"Pollenlug-Attempt-Id": id, "Pollenlug-Deadline-Ms": "12000", "Pollenlug-Credential": apiKey,
		"Pollenlug-Token-Usage": fmt.Sprintf("10,%d", tokens), "Pollenlug-Prompt-Prefix": "0a:10"} {
		req.Header.Set(name, value)
	}
	sent := time.Now()
	c.sent.Add(1)
	resp, err := client.Do(req)
	if err != nil {
		c.ended(id, addr, tokens, sent, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK && err == nil:
		c.refused.Add(1)
	case err == nil && string(body) == expectedStream(1):
		c.whole.Add(1)
	case err == nil:
		err = fmt.Errorf("a response of %d bytes ended as whole", len(body))
		fallthrough
	default:
		c.ended(id, addr, tokens, sent, err)
	}
}

// ended records a stream that ended without a whole answer. It is not lost if no server ran it, or if it was sent early
// enough and its server was still at work in the last part of the grace.
func (c *streamCallers) ended(id, addr string, tokens int, sent time.Time, reason error) {
	ran := false
	for _, s := range c.env.servers {
		for _, run := range s.Runs() {
			ran = ran || run.Attempt == id
		}
	}
	if !ran {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var signal time.Time
	for _, at := range c.signals[addr] {
		if at.Before(now) {
			signal = at
		}
	}
	if sent.Sub(signal) <= lateAfter && now.Sub(signal) >= lastSixth && now.Sub(signal) < stopGrace+time.Second {
		c.cutAllowed.Add(1)
		return
	}
	c.lost = append(c.lost, fmt.Sprintf("%s of %d tokens at %s, sent %v after the signal, ended %v after it: %v", id, tokens, addr,
		sent.Sub(signal).Round(time.Millisecond), now.Sub(signal).Round(time.Millisecond), reason))
}
