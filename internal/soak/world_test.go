package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/cli"
	"github.com/pollenlug/pollenlug/platform/standin"
)

const (
	processVariable = "POLLENLUG_SOAK_PROCESS"
	events          = 12
	host            = "soak.example"
	key             = "soak-key"
	lastingRoute    = "/new/"
)

// TestMain runs the program itself when the soak starts it as a process.
func TestMain(m *testing.M) {
	if os.Getenv(processVariable) == "1" {
		os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is one node; it is started again when it ends, like on the platform.
type process struct {
	name, settings     string
	caller, ready, dir string
	storeProxy         *proxy
	log                *os.File
	mu                 sync.Mutex
	cmd                *exec.Cmd
	ended              chan struct{}
}

// world is a deployment of processes with stand-ins around it.
type world struct {
	t         *testing.T
	store     *standin.Store
	duties    *standin.Duties
	ports     *standin.Ports
	nodes     []*process
	servers   []*standin.Server
	proxies   []*proxy // of the servers
	version   int
	withRoute bool
	ending    atomic.Bool
}

func newWorld(t *testing.T, nodes, services int) *world {
	w := &world{t: t, store: standin.NewStore(), duties: &standin.Duties{}, ports: standin.NewPorts(*portFlag)}
	store, duties := standin.Listen(w.store), standin.Listen(w.duties)
	t.Cleanup(store.Close)
	t.Cleanup(duties.Close)
	w.configure()
	for i := range 2 * services {
		w.addServer(i%2 == 0)
	}
	for i := range nodes {
		w.addNode(i, store.Addr(), duties.Addr())
	}
	return w
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	var routes []map[string]any
	for prefix, kind := range map[string]string{"/book/": "non_idempotent", "/look/": "idempotent", "/quote/": "streaming", lastingRoute: "idempotent"} {
		if prefix == lastingRoute && !w.withRoute {
			continue
		}
		service := "desk"
		if kind == "streaming" {
			service = "engine"
		}
		routes = append(routes, map[string]any{"name": prefix, "hostname": host, "prefix": prefix, "route_kind": kind, "timeout_ms": 5000,
			"latency_goal_ms": 1000, "itl_target_ms": 200, "service": service, "max_attempts": 3, "resumable": kind == "streaming"})
	}
	w.store.Put("op", "config", map[string]any{"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": "desk", "max_conns": 100}, {"name": "engine", "max_conns": 100,
			"engine_type": map[string]any{"slots": 16, "kv_capacity": 100000}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
		"tenants": []map[string]any{{"name": "guild", "api_keys": []string{key}, "unit": "token_count", "uncached_tokens": 10, "rate_per_s": 100000, "burst": 100000}}})
}

func (w *world) addServer(plain bool) {
	n, service := events, "engine"
	if plain {
		n, service = 0, "desk"
	}
	s := standin.NewServer(fmt.Sprintf("%s-%d", service, len(w.servers)), n)
	s.SetBehavior(func(*http.Request) standin.Behavior { return standin.Behavior{Gap: 10 * time.Millisecond} })
	w.t.Cleanup(s.Close)
	p := newProxy(w.t, s.Addr())
	w.servers, w.proxies = append(w.servers, s), append(w.proxies, p)
	w.register(len(w.servers)-1, "ready", 1)
}

func (w *world) register(i int, state string, sequence int) {
	service := "engine"
	if w.servers[i].Events == 0 {
		service = "desk"
	}
	row := w.servers[i].Row(service, "domain-a", 8, state, sequence)
	row["address"] = w.proxies[i].addr()
	w.store.Put("servers", w.servers[i].ID, row)
}

func (w *world) addNode(i int, store, duties string) {
	addrs := w.ports.Allocate(8)
	p := &process{name: fmt.Sprintf("node-%d", i), caller: addrs[0], ready: addrs[1], dir: addrs[3], storeProxy: newProxy(w.t, store),
		settings: filepath.Join(w.t.TempDir(), fmt.Sprintf("node-%d.json", i))}
	first := 0
	_, err := fmt.Sscanf(addrs[4], "127.0.0.1:%d", &first)
	assert.NilError(w.t, err)
	var seeds []string
	for _, other := range w.nodes {
		seeds = append(seeds, other.dir) // stale on purpose: the port is another one
	}
	boot := map[string]any{"node_name": p.name, "ip": "127.0.0.1", "zone": "domain-a", "region": "r",
		"listen":         map[string]string{"frontend": addrs[0], "ready": addrs[1], "control_plane": addrs[2], "registry": addrs[3]},
		"internal_ports": []int{first, first + 3}, "seed_nodes": seeds, "bootstrap": true,
		"limits": map[string]any{"cpu_quota": 1, "memory_mb": 256, "max_fds": 1000}, "heartbeat_ms": 500,
		"bounds": map[string]any{"drain_ms": 2000, "grace_s": 3, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 60, "quota_window_s": 8,
			"lease_ms": 1500, "usage_window_s": 2, "usage_delay_s": 6, "ttl_max_s": 5, "config_deadline_ms": 2000},
		"platform": map[string]string{"address": p.storeProxy.addr()}, "cloud_api": map[string]string{"address": duties}}
	data, err := json.Marshal(boot)
	assert.NilError(w.t, err)
	assert.NilError(w.t, os.WriteFile(p.settings, data, 0o600))
	p.log, err = os.Create(filepath.Join(w.t.ArtifactDir(), p.name+".log"))
	assert.NilError(w.t, err)
	w.nodes = append(w.nodes, p)
	w.start(p)
	w.t.Cleanup(func() {
		w.ending.Store(true)
		for ended := false; !ended; { // one may just have been started again
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			select {
			case <-p.current():
				ended = true
			case <-time.After(time.Second):
			}
		}
		_ = p.log.Close()
	})
}

// start starts the process and starts it again whenever it ends.
func (w *world) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(os.Args[0], "edge", "--settings", p.settings)
	cmd.Env = append(os.Environ(), processVariable+"=1")
	cmd.Stdout, cmd.Stderr = p.log, io.MultiWriter(p.log)
	assert.NilError(w.t, cmd.Start())
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // how a killed process ends does not matter
		time.Sleep(300 * time.Millisecond)
		if w.ending.Load() {
			close(ended)
			return
		}
		w.start(p)
	}()
}

func (p *process) current() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// signal sends a signal to the process of this node only.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The process may have ended by itself; it is started again then.
	_ = p.cmd.Process.Signal(s)
}
