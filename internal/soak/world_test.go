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
	processEnvVar = "POLLENLUG_SOAK_PROCESS"
	streamEvents  = 12
	host          = "soak.example"
	apiKey        = "soak-key"
	finalRoute    = "/new/"
)

// TestMain runs the program instead of the tests in the processes that the soak starts.
func TestMain(m *testing.M) {
	if os.Getenv(processEnvVar) == "1" {
		os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is one node. It is restarted when it ends, as the platform does.
type process struct {
	name, settings                      string
	callerAddr, readyAddr, registryAddr string
	storeProxy                          *proxy
	restartSettings                     []byte
	log                                 *os.File
	mu                                  sync.Mutex
	cmd                                 *exec.Cmd
	exited                              chan struct{}
}

// testEnv is a deployment of node processes with the stand-ins that they use.
type testEnv struct {
	t              *testing.T
	store          *standin.Store
	duties         *standin.Duties
	ports          *standin.Ports
	nodes          []*process
	servers        []*standin.Server
	links          []*proxy // to the servers
	version        int
	withFinalRoute bool
	stopping       atomic.Bool
	options        envOptions

	// rowsMu guards rows, and servers and links where a server is added.
	rowsMu sync.Mutex
	rows   []serverRow // of servers
	// keys are the API keys besides apiKey that the configuration has.
	keys []string
}

// serverRow is what a server last wrote about itself.
type serverRow struct {
	state    string
	sequence int
}

// envOptions are what differs between the soaks.
type envOptions struct {
	// graceSeconds is the time between SIGTERM and SIGKILL, timeoutMS that of the routes.
	graceSeconds, timeoutMS int
	// idStep is the difference between the ids of successive events, 1 if it is 0.
	idStep int
}

var defaultOptions = envOptions{graceSeconds: 3, timeoutMS: 5000}

func newTestEnv(t *testing.T, nodes, services int) *testEnv {
	return newTestEnvWith(t, nodes, services, defaultOptions)
}

func newTestEnvWith(t *testing.T, nodes, services int, o envOptions) *testEnv {
	env := &testEnv{t: t, options: o, store: standin.NewStore(), duties: &standin.Duties{}, ports: standin.NewPorts(*portFlag)}
	store, duties := standin.Listen(env.store), standin.Listen(env.duties)
	t.Cleanup(store.Close)
	t.Cleanup(duties.Close)
	env.configure()
	for i := range 2 * services {
		env.addServer(i%2 == 0)
	}
	for i := range nodes {
		env.addNode(i, store.Addr(), duties.Addr())
	}
	return env
}

// configure writes the next version of the configuration.
func (env *testEnv) configure() {
	env.version++
	env.writeConfig()
}

func (env *testEnv) writeConfig() {
	var routes []map[string]any
	for prefix, kind := range map[string]string{"/book/": "non_idempotent", "/look/": "idempotent", "/quote/": "streaming", finalRoute: "idempotent"} {
		if prefix == finalRoute && !env.withFinalRoute {
			continue
		}
		service := "desk"
		if kind == "streaming" {
			service = "engine"
		}
		routes = append(routes, map[string]any{"name": prefix, "hostname": host, "prefix": prefix, "route_kind": kind, "timeout_ms": env.options.timeoutMS,
			"latency_goal_ms": 1000, "itl_target_ms": 200, "service": service, "max_attempts": 3, "resumable": kind == "streaming"})
	}
	env.store.Put("op", "config", map[string]any{"version": env.version, "routes": routes,
		"services": []map[string]any{{"name": "desk", "max_conns": 100}, {"name": "engine", "max_conns": 100,
			"engine_type": map[string]any{"slots": 16, "kv_capacity": 100000}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
		"tenants": []map[string]any{{"name": "guild", "api_keys": append([]string{apiKey}, env.keys...), "unit": "token_count", "uncached_tokens": 10, "rate_per_s": 100000, "burst": 100000}}})
}

func (env *testEnv) addServer(plain bool) {
	n, service := streamEvents, "engine"
	if plain {
		n, service = 0, "desk"
	}
	s := standin.NewServer(fmt.Sprintf("%s-%d", service, len(env.servers)), n)
	s.IDStep = env.options.idStep
	usual := usualBehavior(len(env.servers))
	s.SetBehavior(func(*http.Request) standin.Behavior { return usual })
	env.t.Cleanup(s.Close)
	p := newProxy(env.t, s.Addr())
	env.rowsMu.Lock()
	env.servers, env.links = append(env.servers, s), append(env.links, p)
	env.rowsMu.Unlock()
	env.register(len(env.servers)-1, "ready", 1)
}

// usualBehavior is that of a server without a fault. Some servers begin streams again that are to be resumed.
func usualBehavior(i int) standin.Behavior {
	return standin.Behavior{Gap: 10 * time.Millisecond, Restart: i%3 == 0}
}

func (env *testEnv) register(i int, state string, sequence int) {
	env.rowsMu.Lock()
	defer env.rowsMu.Unlock()
	for len(env.rows) <= i {
		env.rows = append(env.rows, serverRow{})
	}
	env.rows[i] = serverRow{state, sequence}
	env.writeRow(i)
}

// drain makes a server write that it is draining.
func (env *testEnv) drain(i int) {
	env.rowsMu.Lock()
	defer env.rowsMu.Unlock()
	env.rows[i] = serverRow{"draining", env.rows[i].sequence + 1}
	env.writeRow(i)
}

// beat makes all servers write their rows again. The caller must not hold rowsMu.
func (env *testEnv) beat() {
	env.rowsMu.Lock()
	defer env.rowsMu.Unlock()
	for i := range env.rows {
		env.rows[i].sequence++
		env.writeRow(i)
	}
}

// writeRow writes the row of a server. The caller must hold rowsMu.
func (env *testEnv) writeRow(i int) {
	state, sequence := env.rows[i].state, env.rows[i].sequence
	service := "engine"
	if env.servers[i].Events == 0 {
		service = "desk"
	}
	row := env.servers[i].Row(service, "domain-a", 8, state, sequence)
	row["address"] = env.links[i].addr()
	env.store.Put("servers", env.servers[i].ID, row)
}

func (env *testEnv) addNode(i int, store, duties string) {
	addrs := env.ports.Allocate(8)
	p := &process{name: fmt.Sprintf("node-%d", i), callerAddr: addrs[0], readyAddr: addrs[1], registryAddr: addrs[3], storeProxy: newProxy(env.t, store),
		settings: filepath.Join(env.t.TempDir(), fmt.Sprintf("node-%d.json", i))}
	first := 0
	_, err := fmt.Sscanf(addrs[4], "127.0.0.1:%d", &first)
	assert.NilError(env.t, err)
	var seeds []string
	for _, other := range env.nodes {
		seeds = append(seeds, other.registryAddr) // deliberately stale: nothing serves the control plane at the registry port
	}
	boot := map[string]any{"node_name": p.name, "ip": "127.0.0.1", "zone": "domain-a", "region": "r",
		"listen":         map[string]string{"frontend": addrs[0], "ready": addrs[1], "control_plane": addrs[2], "registry": addrs[3]},
		"internal_ports": []int{first, first + 3}, "seed_nodes": seeds, "bootstrap": true,
		"limits": map[string]any{"cpu_quota": 1, "memory_mb": 256, "max_fds": 1000}, "heartbeat_ms": 500,
		"bounds": map[string]any{"drain_ms": 2000, "grace_s": env.options.graceSeconds, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 60, "quota_window_s": 8,
			"lease_ms": 1500, "usage_window_s": 2, "usage_delay_s": 6, "ttl_max_s": 5, "config_deadline_ms": 2000},
		"platform": map[string]string{"address": p.storeProxy.addr()}, "cloud_api": map[string]string{"address": duties}}
	data, err := json.Marshal(boot)
	assert.NilError(env.t, err)
	assert.NilError(env.t, os.WriteFile(p.settings, data, 0o600))
	boot["bootstrap"] = false
	p.restartSettings, err = json.Marshal(boot)
	assert.NilError(env.t, err)
	p.log, err = os.Create(filepath.Join(env.t.ArtifactDir(), p.name+".log"))
	assert.NilError(env.t, err)
	env.nodes = append(env.nodes, p)
	env.start(p)
	env.t.Cleanup(func() {
		env.stopping.Store(true)
		for ended := false; !ended; { // a process may have been restarted meanwhile
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			select {
			case <-p.exitSignal():
				ended = true
			case <-time.After(time.Second):
			}
		}
		_ = p.log.Close()
	})
}

// start starts the process and restarts it whenever it ends.
func (env *testEnv) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(os.Args[0], "edge", "--settings", p.settings)
	cmd.Env = append(os.Environ(), processEnvVar+"=1")
	cmd.Stdout, cmd.Stderr = p.log, io.MultiWriter(p.log)
	assert.NilError(env.t, cmd.Start())
	ended := make(chan struct{})
	p.cmd, p.exited = cmd, ended
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		time.Sleep(300 * time.Millisecond)
		// Only the first start is one of the whole deployment.
		if err := os.WriteFile(p.settings, p.restartSettings, 0o600); err != nil {
			env.t.Error(err)
		}
		if env.stopping.Load() {
			close(ended)
			return
		}
		env.start(p)
	}()
}

func (p *process) exitSignal() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// signal sends a signal to the process of this node.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An error means that the process has ended; it is restarted then.
	_ = p.cmd.Process.Signal(s)
}
