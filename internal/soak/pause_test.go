package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that was paused and then acts on what it knew before: a key that was withdrawn meanwhile, and a
// server that has left.
func TestPausedNodeDoesNotUseWhatWasWithdrawnMeanwhile(t *testing.T) {
	const rounds, pause = 4, 3 * time.Second
	env := newTestEnv(t, 2, 2)
	c := &callers{env: env, notRun: map[string]string{}, client: &http.Client{Timeout: 8 * time.Second,
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
	c.awaitServing(t, 10*time.Second)
	f := &injector{env: env}
	n := env.nodes[0]
	for round := range rounds {
		f.setKeys([]string{"withdrawn"})
		for end := time.Now().Add(3 * time.Second); c.statusWithKey(t, n, "withdrawn") != http.StatusOK; time.Sleep(50 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "the key is not in force")
		}
		leaving := 0
		for env.servers[leaving].Events != 0 || env.rows[leaving].state == "draining" {
			leaving++
		}
		env.addServer(true)
		time.Sleep(time.Second)
		n.signal(syscall.SIGSTOP)
		f.setKeys(nil)
		env.drain(leaving)
		time.Sleep(pause)
		before := len(env.servers[leaving].Runs())
		// These requests wait in the sockets of the paused process.
		statuses := make(chan int, 8)
		for range cap(statuses) / 2 {
			go func() { statuses <- c.statusWithKey(t, n, "withdrawn") }()
			go func() { statuses <- c.statusWithKey(t, n, apiKey) }()
		}
		time.Sleep(100 * time.Millisecond)
		n.signal(syscall.SIGCONT)
		refused := 0
		for range cap(statuses) {
			switch status := <-statuses; status {
			case http.StatusUnauthorized, http.StatusServiceUnavailable:
				refused++
			case http.StatusOK:
			default:
				t.Errorf("round %d: status %d", round, status)
			}
		}
		assert.Assert(t, refused >= cap(statuses)/2, "round %d: %d of %d requests with the withdrawn key were refused", round, refused, cap(statuses)/2)
		assert.Equal(t, len(env.servers[leaving].Runs()), before, "round %d: requests to the server that has left", round)
	}
}
