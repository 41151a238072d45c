package untrusted

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	// The results of these tests must not be taken from the cache when the program changes.
	_ "github.com/pollenlug/pollenlug/internal/cli"
	"github.com/pollenlug/pollenlug/platform/standin"
)

const (
	host         = "shop.example"
	readyTimeout = 20 * time.Second
)

var (
	ports  = standin.NewPorts(25000 + os.Getpid()%5000)
	binary string // path of the program
)

// TestMain builds the program without the race detector, whose own memory would hide that of the program.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "pollenlug")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/pollenlug").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running process of the program.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	output bytes.Buffer
}

// start runs the program. descriptors, unless it is 0, limits those of the process.
func start(t *testing.T, descriptors uint64, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(binary, args...)}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if descriptors > 0 { // the shell sets the limit before the program reads it
		p.cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors), "sh", binary}, args...)...)
		p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	}
	assert.NilError(t, p.cmd.Start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait() // a killed process returns an error
		if out := p.output.String(); t.Failed() {
			t.Logf("output ends with: %s", out[max(0, len(out)-2000):])
		}
	})
	return p
}

// isAlive reports whether the process runs; one that has ended and was not waited for has no memory.
func (p *process) isAlive() bool { return unix.Kill(p.cmd.Process.Pid, 0) == nil && p.memoryPeak() > 0 }

// memoryPeak returns the largest resident size of the process, in bytes.
func (p *process) memoryPeak() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(p.t, err)
			return kib << 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	return len(entries)
}

// insecure accepts any certificate.
var insecure = &tls.Config{InsecureSkipVerify: true}

// target is an address of a process with an ordinary request to it.
type target struct {
	addr, method, path string
	header             map[string]string
	scheme             string // http if empty
}

// answers sends the ordinary request until it is answered as usual.
func (a target) answers(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: insecure}}
	scheme := "http"
	if a.scheme != "" {
		scheme = a.scheme
	}
	last := "no answer"
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequest(a.method, scheme+"://"+a.addr+a.path, nil)
		assert.NilError(t, err)
		req.Host = host
		for name, value := range a.header {
			req.Header.Set(name, value)
		}
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprint(resp.Status, " ", string(body))
	}
	t.Errorf("an ordinary request to %s%s is not answered: %s", a.addr, a.path, last)
}

// node is one process of the edge with a store and a server.
type node struct {
	*process
	targets map[string]target
}

const (
	edgeMemoryMB = 96
	// headerLimit is the configured size of a header.
	headerLimit = 16384
)

// startNode runs a node on a machine with edgeMemoryMB and this many descriptors.
func startNode(t *testing.T, descriptors int) *node {
	t.Helper()
	store := standin.NewStore()
	storeServer, duties := standin.Listen(store), standin.Listen(&standin.Duties{})
	server := standin.NewServer("desk-1", 0)
	t.Cleanup(func() { storeServer.Close(); duties.Close(); server.Close() })
	store.Put("servers", "desk-1", server.Row("desk", "z", 8, "ready", 1))
	store.Put("op", "config", map[string]any{"version": 1,
		"routes": []map[string]any{{"name": "book", "hostname": host, "prefix": "/book/", "route_kind": "non_idempotent",
			"timeout_ms": 6000, "latency_goal_ms": 1000, "service": "desk", "max_attempts": 1}},
		"services": []map[string]any{{"name": "desk", "health_path": "/h", "max_conns": 50}},
		"limits":   map[string]any{"max_header_bytes": headerLimit, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 10000}})
	addrs := ports.Allocate(6)
	first, err := strconv.Atoi(addrs[4][strings.LastIndexByte(addrs[4], ':')+1:])
	assert.NilError(t, err)
	settings := filepath.Join(t.TempDir(), "boot.json")
	writeJSON(t, settings, map[string]any{"node_name": "n", "ip": "127.0.0.1", "zone": "z", "seed_nodes": []string{}, "bootstrap": true,
		"listen":         map[string]string{"frontend": addrs[0], "ready": addrs[1], "control_plane": addrs[2], "registry": addrs[3]},
		"internal_ports": []int{first, first + 3}, "limits": map[string]any{"memory_mb": edgeMemoryMB, "max_fds": descriptors, "cpu_quota": 1}, "heartbeat_ms": 500,
		"bounds":   map[string]any{"drain_ms": 2000, "grace_s": 1, "retry_window_s": 10, "lease_ms": 3000, "usage_window_s": 5, "usage_delay_s": 10, "ttl_max_s": 5},
		"platform": map[string]string{"address": storeServer.Addr()}, "cloud_api": map[string]string{"address": duties.Addr()}})
	n := &node{process: start(t, uint64(descriptors), "edge", "--settings", settings), targets: map[string]target{
		"callers": {addr: addrs[0], method: http.MethodPost, path: "/book/1", header: map[string]string{"Pollenlug-Attempt-Id": "ordinary"}},
		"ready":   {addr: addrs[1], method: http.MethodGet, path: "/pollenlug/readyz"}, "control": {addr: addrs[2], method: http.MethodGet, path: "/peer/servers"},
		"registry": {addr: addrs[3], method: http.MethodGet, path: "/pollenlug/resolve?name=" + host}, "metrics": {addr: addrs[5], method: http.MethodGet, path: "/"}}}
	n.targets["callers"].answers(t)
	return n
}

// startEntryNode runs a node of the first front end without other nodes, with HTTPS towards clients if secure is set.
func startEntryNode(t *testing.T, secure bool) (*process, target) {
	t.Helper()
	dir, addrs := t.TempDir(), ports.Allocate(2)
	out, err := exec.Command(binary, "keys", "--dir", dir, "--nodes", "n1").CombinedOutput()
	assert.NilError(t, err, string(out))
	settings := filepath.Join(dir, "node.json")
	values := map[string]any{"node": "n1", "region": "north", "failure_domain": "north-1", "node_addr": addrs[0], "caller_addr": addrs[1],
		"platform_url": "http://127.0.0.1:1", "edge": map[string]any{"max_header_kib": 64, "header_timeout_ms": 3000},
		"node_tls": map[string]any{"certificate": filepath.Join(dir, "n1.pem"), "key": filepath.Join(dir, "n1.key"), "authorities": filepath.Join(dir, "authority.pem")}}
	a := target{addr: addrs[1], method: http.MethodGet, path: "/healthz"}
	if secure {
		values["caller_tls"] = map[string]any{"certificate": filepath.Join(dir, "n1.pem"), "key": filepath.Join(dir, "n1.key")}
		a.scheme = "https"
	}
	writeJSON(t, settings, values)
	p := start(t, 0, "serve", "--settings", settings)
	a.answers(t)
	return p, a
}

func writeJSON(t *testing.T, path string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}
