package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const readyLimit = 20 * time.Second

// TestMain runs the binary's own main when the test starts it as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv("POLLENLUG_TEST_PROCESS") == "1" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// start starts a command as a process; it is killed at the end of the test if it still runs.
func start(t *testing.T, args ...string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "POLLENLUG_TEST_PROCESS=1")
	cmd.Stderr = io.Discard
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd, bufio.NewScanner(out)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func writeJSON(t *testing.T, path string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

// deployment is a set of processes: one with all stand-ins and one per entry node.
type deployment struct {
	callers []string
	nodes   []*exec.Cmd
}

// deploy starts three entry nodes before one engine and one service, each in a process of its own.
func deploy(t *testing.T) *deployment {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, writeKeys(dir, []string{"n1", "n2", "n3"}))
	platform := freeAddr(t)
	var entries []map[string]any
	var settings []map[string]any
	d := &deployment{}
	for i := range 3 {
		name := fmt.Sprintf("n%d", i+1)
		caller, node := freeAddr(t), freeAddr(t)
		place := map[string]any{"node": name, "region": "north", "failure_domain": fmt.Sprintf("north-%d", i), "node_addr": node, "caller_addr": caller}
		entries = append(entries, place)
		full := map[string]any{"platform_url": "http://" + platform, "node_tls": map[string]any{
			"certificate": filepath.Join(dir, name+".pem"), "key": filepath.Join(dir, name+".key"), "authorities": filepath.Join(dir, "authority.pem")}}
		for key, value := range place {
			full[key] = value
		}
		settings = append(settings, full)
		d.callers = append(d.callers, caller)
	}
	writeJSON(t, filepath.Join(dir, "standin.json"), map[string]any{"seed": 1, "platform_addr": platform, "entries": entries,
		"servers": []map[string]any{
			{"name": "engine-1", "backend_group": "assistant", "kind": "MODEL_ENGINE", "region": "north", "failure_domain": "north-1", "addr": freeAddr(t), "models": []string{"quote-small"}},
			{"name": "booking-1", "backend_group": "booking", "kind": "PLAIN_SERVICE", "region": "north", "failure_domain": "north-1", "addr": freeAddr(t)},
		}})
	_, out := start(t, "standin", "--settings", filepath.Join(dir, "standin.json"))
	assert.Assert(t, out.Scan(), "the stand-ins did not start")
	for i, s := range settings {
		path := filepath.Join(dir, fmt.Sprintf("node%d.json", i))
		writeJSON(t, path, s)
		cmd, _ := start(t, "serve", "--settings", path)
		d.nodes = append(d.nodes, cmd)
	}
	for _, caller := range d.callers {
		awaitReady(t, caller)
	}
	return d
}

func awaitReady(t *testing.T, caller string) {
	t.Helper()
	deadline := time.Now().Add(readyLimit)
	for {
		res, err := http.Get("http://" + caller + "/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		assert.Assert(t, time.Now().Before(deadline), "%s is not ready", caller)
		time.Sleep(20 * time.Millisecond)
	}
}

func post(t *testing.T, addr, path, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+addr+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer shop-token")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(data)
}

// Guards against a path that works in one process only: settings files, certificates on disk, QUIC between processes,
// the kill of a node and the graceful exit of another.
func TestSeparateProcesses(t *testing.T) {
	d := deploy(t)
	status, answer := post(t, d.callers[0], "/v1/completions", "", `{"model":"quote-small","prompt":"Quote","max_tokens":3}`)
	assert.Equal(t, status, http.StatusOK, answer)
	status, first := post(t, d.callers[0], "/s/booking/bookings", "k", `{"board":1}`)
	assert.Equal(t, status, http.StatusOK, first)

	assert.NilError(t, d.nodes[0].Process.Kill())
	status, again := post(t, d.callers[1], "/s/booking/bookings", "k", `{"board":1}`)
	assert.Equal(t, status, http.StatusOK, again)
	assert.Equal(t, again, first, "the booking ran again")

	assert.NilError(t, d.nodes[1].Process.Signal(syscall.SIGTERM))
	assert.NilError(t, d.nodes[1].Wait(), "the node did not exit with code 0")
	status, answer = post(t, d.callers[2], "/v1/completions", "", `{"model":"quote-small","prompt":"Quote","max_tokens":3}`)
	assert.Equal(t, status, http.StatusOK, answer)
}

// Guards against a bad setting that starts a process or that does not name the field.
func TestBadSettingExitsWithOneLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	writeJSON(t, path, map[string]any{"node": "n1", "region": "north"})
	var stderr strings.Builder
	assert.Equal(t, Main([]string{"serve", "--settings", path}, io.Discard, &stderr), ExitUsage)
	assert.Equal(t, strings.Count(stderr.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(stderr.String(), "node.json: failure_domain: is missing"), stderr.String())
}
