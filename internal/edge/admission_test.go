package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/platform/standin"
)

// waitingDeployment is a node with one engine on a shared machine, whose slots are taken so that requests wait.
type waitingDeployment struct {
	*deployment
	node   *runningNode
	engine *standin.Server
	// free ends the streams that take the slots.
	free func()
}

// waitingTarget is the latency target of the routes; requests wait for up to an eighth of it.
const waitingTarget = 16 * time.Second

func newWaitingDeployment(t *testing.T) *waitingDeployment {
	d := newDeployment(t)
	d.grace, d.maxConns = 8*time.Second, 400
	for _, r := range d.routes {
		r["latency_goal_ms"], r["timeout_ms"], r["itl_target_ms"] = waitingTarget.Milliseconds(), 60_000, 10_000
	}
	d.configure()
	w := &waitingDeployment{deployment: d, engine: d.serve("engine-1", "engine", 400)}
	w.engine.SetBehavior(always(standin.Behavior{Load: "1,0,8,100", Gap: 100 * time.Millisecond}))
	w.node = d.node()
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	t.Cleanup(func() { cancel(); streams.Wait() })
	w.free = cancel
	// The expected wait grows by 120 ms with each request beyond the slots. This many are beyond the bound, so that the
	// last of them wait and are rejected.
	for i := range 160 {
		streams.Go(func() { w.draft(ctx, fmt.Sprintf("/draft/fill-%d", i)) })
		if i == 0 {
			eventually(t, 3*time.Second, "the engine has not answered", func() bool { return len(w.engine.Runs()) == 1 })
			time.Sleep(200 * time.Millisecond) // until its first response has reported that it shares its machine
		}
		time.Sleep(2 * time.Millisecond)
	}
	eventually(t, 5*time.Second, "requests still wait", func() bool { return w.waiting() == 0 })
	return w
}

// draft sends one request and returns its status once the header of the response has arrived, and the error code.
func (w *waitingDeployment) draft(ctx context.Context, path string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.node.settings.CallerAddr+"/", nil)
	assert.Check(w.t, err)
	req.URL.Opaque, req.Host = path, host
	req.Header.Set("Pollenlug-Attempt-Id", path)
	req.Header.Set("Pollenlug-Deadline-Ms", "50000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(path, "/draft/fill") {
		_, _ = io.Copy(io.Discard, resp.Body) // until ctx ends
	}
	return resp.StatusCode, resp.Header.Get("X-Pollenlug-Code")
}

func (w *waitingDeployment) waiting() int {
	resp, err := http.Get("http://" + w.node.settings.MetricsAddr + "/metrics")
	assert.NilError(w.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(w.t, err)
	n := 0
	for line := range strings.SplitSeq(string(body), "\n") {
		if _, err := fmt.Sscanf(line, "pollenlug_admission_waiting %d", &n); err == nil {
			return n
		}
	}
	return 0
}

type waitingResult struct {
	status int
	code   string
	took   time.Duration
}

// wait sends requests until one of them waits and returns its result.
func (w *waitingDeployment) wait(ctx context.Context) <-chan waitingResult {
	done := make(chan waitingResult, 100)
	for i := range 100 {
		go func() {
			start := time.Now()
			status, code := w.draft(ctx, fmt.Sprintf("/draft/waits-%d", i))
			done <- waitingResult{status, code, time.Since(start)}
		}()
		time.Sleep(20 * time.Millisecond)
		if w.waiting() > 0 {
			return done
		}
		<-done // it was decided at once
	}
	w.t.Fatal("no request waits")
	return nil
}

func (w *waitingDeployment) ran(prefix string) int {
	n := 0
	for _, run := range w.engine.Runs() {
		if strings.HasPrefix(run.Target, prefix) {
			n++
		}
	}
	return n
}

// Guards against a request that waits although capacity has become free, and against one that is not logged as held.
func TestWaitingRequestIsSentWhenOthersEnd(t *testing.T) {
	w := newWaitingDeployment(t)
	result := w.wait(context.Background())
	w.free()
	got := <-result
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.took < waitingTarget/8, "took %v", got.took)
	eventually(t, 2*time.Second, "the line does not say how long it was held", func() bool {
		for _, line := range w.logs.read(t).Lines {
			if line.Fields[logline.Held] != nil && line.Fields[logline.Servers] != nil {
				return true
			}
		}
		return false
	})
}

// Guards against sending a request whose caller has disconnected while it waited.
func TestWaitingRequestOfGoneCallerIsNotSent(t *testing.T) {
	w := newWaitingDeployment(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result := w.wait(ctx)
	before := w.ran("/draft/waits")
	cancel()
	<-result
	eventually(t, 500*time.Millisecond, "the request still waits", func() bool { return w.waiting() == 0 })
	w.free()
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, w.ran("/draft/waits"), before)
}

// Guards against sending a request by a route that a new configuration has removed while it waited.
func TestWaitingRequestOfRemovedRouteIsRefused(t *testing.T) {
	w := newWaitingDeployment(t)
	result := w.wait(context.Background())
	before := w.ran("/draft/waits")
	w.routes = w.routes[:2]
	w.configure()
	got := <-result
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, w.ran("/draft/waits"), before)
}

// Guards against a stopping node that drops the requests that wait.
func TestWaitingRequestIsAnsweredWhenTheNodeStops(t *testing.T) {
	w := newWaitingDeployment(t)
	result := w.wait(context.Background())
	before := w.ran("/draft/waits")
	w.node.stop()
	got := <-result
	switch got.status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		assert.Equal(t, w.ran("/draft/waits"), before)
	default:
		t.Fatalf("status %d", got.status)
	}
	assert.Assert(t, got.took < 8*time.Second, "took %v", got.took)
}
