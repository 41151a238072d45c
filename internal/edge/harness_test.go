package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pollenlug/pollenlug/internal/edge"
	"github.com/pollenlug/pollenlug/internal/explain"
	"github.com/pollenlug/pollenlug/internal/settings"
	"github.com/pollenlug/pollenlug/pkg/rollout"
	"github.com/pollenlug/pollenlug/platform"
	"github.com/pollenlug/pollenlug/platform/standin"
)

const host = "shop.example"

// deployment is a store, a duty API and some nodes on loopback.
type deployment struct {
	t             *testing.T
	store         *standin.Store
	duties        *standin.Duties
	storeAddr     string
	dutyAddr      string
	version       int
	routes        []map[string]any
	tenants       []map[string]any
	extraServices []map[string]any // added to the default services
	grace         time.Duration
	// retrySlack is the number of retries that are always allowed.
	retrySlack float64
	// memory is that of a node's machine in bytes, maxConns the number of connections that a server accepts.
	memory    int64
	maxConns  int
	logs      logBuffer
	logOutput io.Writer // replaces logs
	// rollout enables rollouts of versions.
	rollout rollout.Bounds
	// usageWindow is the length of a usage window. A window is reported for three times as long.
	usageWindow time.Duration
	// callerLimits are the configured limits on what callers send.
	callerLimits map[string]any
}

// logBuffer collects the log lines of all nodes.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(line)
}

// maxShownLogs limits how many bytes of the nodes' logs a failed test shows.
const maxShownLogs = 64 << 10

// tail returns the last log lines, at most n bytes.
func (b *logBuffer) tail(n int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.data.Bytes()[max(0, b.data.Len()-n):])
}

// read parses what the nodes have logged so far.
func (b *logBuffer) read(t *testing.T) *explain.Log {
	b.mu.Lock()
	defer b.mu.Unlock()
	log, err := explain.Read(bytes.NewReader(b.data.Bytes()))
	assert.NilError(t, err)
	assert.Equal(t, log.Unreadable, 0)
	return log
}

// runningNode is one running node of a deployment.
type runningNode struct {
	settings *edge.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, store: standin.NewStore(), duties: &standin.Duties{}, grace: 500 * time.Millisecond, retrySlack: 50, memory: 256 << 20, maxConns: 50, usageWindow: time.Second,
		callerLimits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last log lines of the nodes:\n%s", d.logs.tail(maxShownLogs))
		}
	})
	storeServer, dutyServer := standin.Listen(d.store), standin.Listen(d.duties)
	t.Cleanup(storeServer.Close)
	t.Cleanup(dutyServer.Close)
	d.storeAddr, d.dutyAddr = storeServer.Addr(), dutyServer.Addr()
	d.routes = []map[string]any{
		route("/book/", "non_idempotent", "desk", 1),
		route("/look/", "idempotent", "desk", 2),
		route("/quote/", "streaming", "engine", 3),
		route("/draft/", "streaming", "engine", 1),
	}
	d.routes[2]["resumable"] = true
	return d
}

func route(prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "hostname": host, "prefix": prefix, "route_kind": kind,
		"timeout_ms": 6000, "latency_goal_ms": 1000, "itl_target_ms": 100, "priority": 0, "service": service, "max_attempts": attempts}
}

// configure writes the next version of the configuration.
func (d *deployment) configure() int {
	d.version++
	services := []map[string]any{{"name": "desk", "health_path": "/h", "max_conns": d.maxConns},
		{"name": "engine", "health_path": "/h", "max_conns": d.maxConns, "engine_type": map[string]any{"slots": 8, "kv_capacity": 100000}}}
	services = append(services, d.extraServices...)
	d.store.Put("op", "config", map[string]any{"version": d.version, "routes": d.routes, "services": services, "tenants": d.tenants,
		"limits": d.callerLimits})
	return d.version
}

// serve starts a server and registers it.
func (d *deployment) serve(id, service string, events int) *standin.Server {
	s := standin.NewServer(id, events)
	d.t.Cleanup(s.Close)
	d.store.Put("servers", id, s.Row(service, "domain-a", 8, "ready", 1))
	return s
}

var nodeCount atomic.Int32

// node starts a node and waits until it is ready.
func (d *deployment) node(seeds ...string) *runningNode {
	n := d.startNode(seeds...)
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if status(d.t, n.settings.ReadyAddr, "/pollenlug/readyz") == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("node is not ready")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	time.Sleep(500 * time.Millisecond) // until the node has read the servers
	return n
}

func (d *deployment) startNode(seeds ...string) *runningNode {
	addrs := ports.Allocate(6)
	s := &edge.Settings{Node: fmt.Sprintf("node-%02d", nodeCount.Add(1)), Region: "r", FailureDomain: "domain-a",
		CallerAddr: addrs[0], ReadyAddr: addrs[1], DirectoryAddr: addrs[2], ControlAddr: addrs[3], PeerAddr: addrs[4], MetricsAddr: addrs[5],
		MemoryBytes: d.memory, Descriptors: 1000, Cores: 1, HeartbeatInterval: 500 * time.Millisecond, DrainBound: 2 * time.Second,
		Grace: d.grace, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: d.retrySlack, LeaseDuration: time.Second,
		UsageWindow: d.usageWindow, UsageDelay: 3 * d.usageWindow, DirectoryTTL: 5 * time.Second, StoreAddr: d.storeAddr, CloudAddr: d.dutyAddr,
		Rollout: d.rollout}
	assert.NilError(d.t, s.Check())
	logger := settings.Logger("info")
	logger.SetOutput(&d.logs)
	if d.logOutput != nil {
		logger.SetOutput(d.logOutput)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &runningNode{settings: s, stop: cancel, done: make(chan struct{})}
	node := platform.NewNode(s, logrus.NewEntry(logger).WithField("node", s.Node))
	go func() {
		defer close(n.done)
		if err := node.Run(ctx); err != nil {
			d.t.Error(err)
		}
	}()
	d.t.Cleanup(func() {
		cancel()
		<-n.done
	})
	return n
}

var ports = standin.NewPorts(15000 + os.Getpid()%10000)

func status(t *testing.T, addr, path string) int {
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// directory returns the addresses that a node gives to callers.
func directory(t *testing.T, n *runningNode) []string {
	resp, err := http.Get("http://" + n.settings.DirectoryAddr + "/pollenlug/resolve?name=" + host)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses
}

// call is one request of a caller.
type call struct {
	method, path, body string
	header             map[string]string
	ctx                context.Context
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
}

var attempts atomic.Int64

// do sends a request to a node on a new connection and reads the response.
func (n *runningNode) do(t *testing.T, c call) reply {
	t.Helper()
	resp, err := n.send(t, c)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// send sends a request to a node on a new connection and returns the response when its head has arrived.
func (n *runningNode) send(t *testing.T, c call) (*http.Response, error) {
	t.Helper()
	if c.ctx == nil {
		c.ctx = context.Background()
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(c.ctx, c.method, "http://"+n.settings.CallerAddr+"/", strings.NewReader(c.body))
	assert.NilError(t, err)
	req.URL.Opaque = c.path
	req.Host = host
	req.Header.Set("Pollenlug-Attempt-Id", fmt.Sprintf("attempt-%d", attempts.Add(1)))
	req.Header.Set("Pollenlug-Deadline-Ms", "5000")
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return client.Do(req)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(within), poll.WithDelay(10*time.Millisecond))
}

// events returns the events from..to of a complete stream.
func events(from, to int) string { return eventsApart(1, from, to) }

// eventsApart returns the events from..to of a complete stream whose ids are multiples of step.
func eventsApart(step, from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i*step, i)
	}
	return b.String()
}
