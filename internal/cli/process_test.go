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

const readyTimeout = 20 * time.Second

// TestMain runs Main instead of the tests when startProcess has started the test binary.
func TestMain(m *testing.M) {
	if os.Getenv("POLLENLUG_TEST_PROCESS") == "1" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startProcess starts a command in a separate process, which is killed at the end of the test if it still runs.
func startProcess(t *testing.T, args ...string) (*exec.Cmd, *bufio.Scanner) {
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

// freeAddrs returns n different free addresses. The listeners stay open until all are drawn: the system may give the port
// of a closed one again.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	addrs := make([]string, n)
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		addrs[i] = l.Addr().String()
	}
	return addrs
}

// Guards against a process that is given the same address twice and ends with "address already in use".
func TestFreeAddrsAreDifferent(t *testing.T) {
	const draws, addrs = 1000, 9
	for range draws {
		seen := map[string]bool{}
		for _, addr := range freeAddrs(t, addrs) {
			assert.Assert(t, !seen[addr], "%s twice", addr)
			seen[addr] = true
		}
	}
}

func writeJSON(t *testing.T, path string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

// deployment has the caller addresses and processes of the entry nodes. One more process runs all stand-ins.
type deployment struct {
	callerAddrs []string
	nodes       []*exec.Cmd
}

// startDeployment starts three entry nodes, each in its own process, and one process with an engine and a service.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, writeKeys(dir, []string{"n1", "n2", "n3"}))
	addrs := freeAddrs(t, 9)
	platformAddr, engineAddr, bookingAddr, nodeAddrs := addrs[0], addrs[1], addrs[2], addrs[3:]
	var entries []map[string]any
	var settings []map[string]any
	d := &deployment{}
	for i := range 3 {
		name := fmt.Sprintf("n%d", i+1)
		callerAddr, nodeAddr := nodeAddrs[2*i], nodeAddrs[2*i+1]
		location := map[string]any{"node": name, "region": "north", "failure_domain": fmt.Sprintf("north-%d", i), "node_addr": nodeAddr, "caller_addr": callerAddr}
		entries = append(entries, location)
		nodeSettings := map[string]any{"platform_url": "http://" + platformAddr, "node_tls": map[string]any{
			"certificate": filepath.Join(dir, name+".pem"), "key": filepath.Join(dir, name+".key"), "authorities": filepath.Join(dir, "authority.pem")}}
		for key, value := range location {
			nodeSettings[key] = value
		}
		settings = append(settings, nodeSettings)
		d.callerAddrs = append(d.callerAddrs, callerAddr)
	}
	writeJSON(t, filepath.Join(dir, "standin.json"), map[string]any{"seed": 1, "platform_addr": platformAddr, "entries": entries,
		"servers": []map[string]any{
			{"name": "engine-1", "backend_group": "assistant", "kind": "MODEL_ENGINE", "region": "north", "failure_domain": "north-1", "addr": engineAddr, "models": []string{"quote-small"}},
			{"name": "booking-1", "backend_group": "booking", "kind": "PLAIN_SERVICE", "region": "north", "failure_domain": "north-1", "addr": bookingAddr},
		}})
	_, out := startProcess(t, "standin", "--settings", filepath.Join(dir, "standin.json"))
	assert.Assert(t, out.Scan(), "the stand-ins did not start")
	for i, s := range settings {
		path := filepath.Join(dir, fmt.Sprintf("node%d.json", i))
		writeJSON(t, path, s)
		cmd, _ := startProcess(t, "serve", "--settings", path)
		d.nodes = append(d.nodes, cmd)
	}
	for _, callerAddr := range d.callerAddrs {
		awaitReady(t, callerAddr)
	}
	return d
}

func awaitReady(t *testing.T, callerAddr string) {
	t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for {
		res, err := http.Get("http://" + callerAddr + "/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		assert.Assert(t, time.Now().Before(deadline), "%s is not ready", callerAddr)
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

// Guards against code that works only within a single process: settings files, certificates on disk, QUIC between
// processes, the kill of a node and the graceful exit of another.
func TestSeparateProcesses(t *testing.T) {
	d := startDeployment(t)
	status, body := post(t, d.callerAddrs[0], "/v1/completions", "", `{"model":"quote-small","prompt":"Quote","max_tokens":3}`)
	assert.Equal(t, status, http.StatusOK, body)
	status, firstBody := post(t, d.callerAddrs[0], "/s/booking/bookings", "k", `{"board":1}`)
	assert.Equal(t, status, http.StatusOK, firstBody)

	assert.NilError(t, d.nodes[0].Process.Kill())
	status, retriedBody := post(t, d.callerAddrs[1], "/s/booking/bookings", "k", `{"board":1}`)
	assert.Equal(t, status, http.StatusOK, retriedBody)
	assert.Equal(t, retriedBody, firstBody, "the booking ran again")

	assert.NilError(t, d.nodes[1].Process.Signal(syscall.SIGTERM))
	assert.NilError(t, d.nodes[1].Wait(), "the node did not exit with code 0")
	status, body = post(t, d.callerAddrs[2], "/v1/completions", "", `{"model":"quote-small","prompt":"Quote","max_tokens":3}`)
	assert.Equal(t, status, http.StatusOK, body)
}

// Guards against an invalid setting with which a process starts, or whose error does not name the field.
func TestInvalidSettingExitsWithOneLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	writeJSON(t, path, map[string]any{"node": "n1", "region": "north"})
	var stderr strings.Builder
	assert.Equal(t, Main([]string{"serve", "--settings", path}, io.Discard, &stderr), ExitUsage)
	assert.Equal(t, strings.Count(stderr.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(stderr.String(), "node.json: failure_domain: is missing"), stderr.String())
}
