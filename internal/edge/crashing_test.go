package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/platform/standin"
)

const (
	// crashingPath is the target of a request that crashes each server that runs it.
	crashingPath = "/look/crashing"
	// serverDowntime is how long a crashed server refuses connections, rowLag how long its row stays after the crash.
	serverDowntime = 1200 * time.Millisecond
	rowLag         = 2 * time.Second
	// After crashesToNotice crashes and another noticePeriod, at most lateRunsAllowed more runs of the request are
	// accepted; see BUDGET in the users' rules.
	crashesToNotice = 3
	noticePeriod    = 3 * time.Second
	lateRunsAllowed = 3
)

// crashes records the runs of a request that crashes its servers.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

// late returns the number of runs later than noticePeriod after crash number crashesToNotice, and of all runs.
func (c *crashes) late() (late, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, at := range c.at {
		if i >= crashesToNotice && at.Sub(c.at[crashesToNotice-1]) > noticePeriod {
			late++
		}
	}
	return late, len(c.at)
}

// serveCrashing starts desk servers that crash when they run a request for crashingPath, and come back under another
// id.
func (d *deployment) serveCrashing(servers, domains int) *crashes {
	record := &crashes{}
	for i := range servers {
		domain := fmt.Sprintf("domain-%d", i%domains)
		name := func(life int) string { return fmt.Sprintf("desk-%d-%d", i, life) }
		s := standin.NewServer(name(0), 0)
		d.t.Cleanup(s.Close)
		d.store.Put("servers", name(0), s.Row("desk", domain, 8, "ready", 1))
		life := 0
		s.SetBehavior(func(r *http.Request) standin.Behavior {
			if r.URL.Path != crashingPath || r.Header.Get("Pollenlug-Expect-Instance") != name(life) {
				return standin.Behavior{}
			}
			record.mu.Lock()
			defer record.mu.Unlock()
			record.at = append(record.at, time.Now())
			old := name(life)
			life++
			next := name(life)
			time.AfterFunc(rowLag, func() { d.store.Delete("servers", old) })
			time.AfterFunc(serverDowntime, func() {
				s.Restart(next)
				d.store.Put("servers", next, s.Row("desk", domain, 8, "ready", 1))
			})
			return standin.Behavior{Crash: true}
		})
	}
	return record
}

// Guards against a crash that no node notices, because the node whose connection broke sends nothing more to the server:
// the request that caused it then gets no strike and crashes one server after the other.
func TestRequestThatCrashesServersIsRefusedWithoutOtherTraffic(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	record := d.serveCrashing(8, 4)
	nodes := []*runningNode{d.node()}
	for range 3 {
		nodes = append(nodes, d.node(nodes[0].settings.PeerAddr))
	}
	for i := range 24 {
		nodes[i%len(nodes)].do(t, call{method: http.MethodGet, path: crashingPath})
		time.Sleep(500 * time.Millisecond)
	}
	late, total := record.late()
	t.Logf("%d runs, %d of them late", total, late)
	assert.Assert(t, late <= lateRunsAllowed, "%d of %d runs came too late", late, total)
	for _, n := range nodes {
		got := n.do(t, call{method: http.MethodGet, path: crashingPath})
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		got = n.do(t, call{method: http.MethodGet, path: "/look/other"})
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, strings.HasPrefix(got.body, "answer of desk-"), got.body)
	}
}

// Guards against a quarantine that ends when all nodes restart at the same time, and against rows that outlive it.
func TestQuarantineSurvivesTheLossOfAllNodes(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	record := d.serveCrashing(8, 4)
	n := d.node()
	refused := func(n *runningNode) bool {
		return n.do(t, call{method: http.MethodGet, path: crashingPath}).status == http.StatusServiceUnavailable
	}
	eventually(t, 10*time.Second, "the request is not refused", func() bool { return refused(n) })
	n.do(t, call{method: http.MethodGet, path: crashingPath, header: attemptHeader("refused")})
	cause := explained(t, d, "refused").Cause
	assert.Assert(t, strings.Contains(cause, "was running on 2 servers that crashed: desk-"), cause)
	time.Sleep(time.Second) // until the row is written
	n.stop()
	<-n.done
	_, before := record.late()
	restarted := d.node()
	assert.Assert(t, refused(restarted))
	_, after := record.late()
	assert.Equal(t, after, before)
}

// Guards against a strike for a request that a crashed server refused a connection and that never ran there: two of them
// quarantine a request that has crashed nothing.
func TestRefusedConnectionGivesNoStrike(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	var crashed []*standin.Server
	for i := range 4 {
		crashed = append(crashed, d.serve(fmt.Sprint("desk-", i), "desk", 0))
	}
	d.serve("desk-alive", "desk", 0)
	n := d.node()
	for _, s := range crashed {
		s.Close()
	}
	for i := range 6 {
		assert.Equal(t, n.do(t, call{method: http.MethodGet, path: fmt.Sprint("/look/", i)}).status, http.StatusOK)
	}
	time.Sleep(time.Second) // several intervals of the crash detector
	for _, line := range d.logs.read(t).Lines {
		assert.Assert(t, line.Message != logline.CrashRecord, "%v", line.Fields)
	}
}

// Guards against refusing a request whose servers crashed in a wave, while the decision on its strikes is pending.
func TestRequestHitByCrashWaveWaitsForTheDecision(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	var mu sync.Mutex
	crashesLeft := map[string]int{"/look/a": 2, "/look/b": 1}
	for i := range 5 {
		d.serve(fmt.Sprint("desk-", i), "desk", 0).SetBehavior(func(r *http.Request) standin.Behavior {
			mu.Lock()
			defer mu.Unlock()
			crashesLeft[r.URL.Path]--
			return standin.Behavior{Crash: crashesLeft[r.URL.Path] >= 0}
		})
	}
	n := d.node()
	assert.Equal(t, n.do(t, call{method: http.MethodGet, path: "/look/b"}).status, http.StatusOK)
	assert.Equal(t, n.do(t, call{method: http.MethodGet, path: "/look/a"}).status, http.StatusBadGateway)
	assert.Equal(t, n.do(t, call{method: http.MethodGet, path: "/look/a"}).status, http.StatusOK)
}

// Guards against a strike that is withdrawn because a server answered the request with an error, which a failing server
// may do without running it.
func TestErrorResponseWithdrawsNoStrike(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	var mu sync.Mutex
	behaviors := []standin.Behavior{{Crash: true}, {Fail: true}, {Crash: true}}
	for i := range 5 {
		d.serve(fmt.Sprint("desk-", i), "desk", 0).SetBehavior(func(*http.Request) standin.Behavior {
			mu.Lock()
			defer mu.Unlock()
			if len(behaviors) == 0 {
				return standin.Behavior{}
			}
			next := behaviors[0]
			behaviors = behaviors[1:]
			return next
		})
	}
	n := d.node()
	for _, status := range []int{http.StatusBadGateway, http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable} {
		assert.Equal(t, n.do(t, call{path: "/book/1"}).status, status)
		time.Sleep(time.Second) // until a crash has been noticed
	}
}

// Guards against a quarantine that ends when the caller's workspace uses another of its keys.
func TestQuarantineHoldsForAllKeysOfTheWorkspace(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.tenants = []map[string]any{{"name": "guild", "api_keys": []string{"key-1", "key-2"}}}
	d.configure()
	record := d.serveCrashing(8, 4)
	n := d.node()
	status := func(key string) int {
		return n.do(t, call{method: http.MethodGet, path: crashingPath, header: map[string]string{"Pollenlug-Credential": key}}).status
	}
	eventually(t, 10*time.Second, "the request is not refused", func() bool { return status("key-1") == http.StatusServiceUnavailable })
	_, before := record.late()
	assert.Equal(t, status("key-2"), http.StatusServiceUnavailable)
	_, after := record.late()
	assert.Equal(t, after, before)
}

// Guards against a strike that is withdrawn because the first part of a large response arrived before its server crashed.
func TestCrashInTheMiddleOfALargeResponseCounts(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	for i := range 4 {
		d.serve(fmt.Sprint("desk-", i), "desk", 0).SetBehavior(func(*http.Request) standin.Behavior {
			return standin.Behavior{Crash: true, HeaderFirst: true, BodySize: 2 << 20}
		})
	}
	n := d.node()
	for range 2 {
		got := n.do(t, call{path: "/book/1"})
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.err != nil, "a response that broke off was passed on as complete")
		time.Sleep(2 * time.Second) // until the crash has been noticed and decided
	}
	assert.Equal(t, n.do(t, call{path: "/book/1"}).status, http.StatusServiceUnavailable)
}

// Guards against a request that crashes one server after the other because its callers leave just before each crash.
func TestRequestWhoseCallersLeaveBeforeTheCrashIsRefused(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	for i := range 4 {
		d.serve(fmt.Sprint("desk-", i), "desk", 0).SetBehavior(func(r *http.Request) standin.Behavior {
			return standin.Behavior{Crash: r.URL.Path == crashingPath, Gap: 100 * time.Millisecond}
		})
	}
	n := d.node()
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		got := n.do(t, call{method: http.MethodGet, path: crashingPath, ctx: ctx})
		cancel()
		assert.Assert(t, got.err != nil)
		time.Sleep(100 * time.Millisecond)
		// Other traffic runs into the crashed server: concurrent requests are spread over all servers.
		var others sync.WaitGroup
		for i := range 8 {
			others.Go(func() { n.do(t, call{method: http.MethodGet, path: fmt.Sprint("/look/", i)}) })
		}
		others.Wait()
		time.Sleep(4 * time.Second) // until the crash is decided, without another one near
	}
	assert.Equal(t, n.do(t, call{method: http.MethodGet, path: crashingPath}).status, http.StatusServiceUnavailable)
}
