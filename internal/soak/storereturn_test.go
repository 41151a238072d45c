package soak

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/platform/standin"
)

var returnSeedsFlag = flag.Int("soak.returnseeds", 1, "number of seeds of TestSoakStoreReturns, starting with soak.first")

const (
	// beatInterval is the time between two rows of a server.
	beatInterval = 500 * time.Millisecond
	// forgottenBound is how long after the last return and fault a key that was withdrawn, or a server that is draining,
	// may still be in use: two seconds until all is written again, and the bound of a change after that.
	forgottenBound = 5 * time.Second
)

// TestSoakStoreReturns plays returns of the store from copies among the other faults. Keys are withdrawn and servers
// drained around the copies.
func TestSoakStoreReturns(t *testing.T) {
	for i := range *returnSeedsFlag {
		seed := *firstFlag + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runReturnSeed(t, seed) })
	}
}

func runReturnSeed(t *testing.T, seed uint64) {
	env := newTestEnv(t, *nodesFlag, 3)
	s := startSoak(t, env, seed)
	stopBeats := make(chan struct{})
	go func() {
		for ticker := time.NewTicker(beatInterval); ; {
			select {
			case <-ticker.C:
				env.beat()
			case <-stopBeats:
				ticker.Stop()
				return
			}
		}
	}()
	f := &injector{env: env, rng: rand.New(rand.NewPCG(seed, 1))}
	f.kinds = append(f.allKinds(), fault{"store return", f.storeReturn}, fault{"store return", f.storeReturn}, fault{"withdrawn key", f.withdrawKey})
	f.run(*timeFlag)
	f.clearFaults()
	drained := env.drained()
	time.Sleep(forgottenBound)
	runs := map[string]int{}
	for _, i := range drained {
		runs[env.servers[i].ID] = len(env.servers[i].Runs())
	}
	s.finish(t, f)
	for _, i := range drained {
		assert.Equal(t, len(env.servers[i].Runs()), runs[env.servers[i].ID], "requests to %s, which is draining", env.servers[i].ID)
	}
	for _, n := range env.nodes {
		for _, key := range f.withdrawn {
			assert.Equal(t, s.callers.statusWithKey(t, n, key), http.StatusUnauthorized, "%s, withdrawn key %s", n.name, key)
		}
	}
	close(stopBeats)
}

// drained returns the indexes of the servers that are draining.
func (env *testEnv) drained() (out []int) {
	env.rowsMu.Lock()
	defer env.rowsMu.Unlock()
	for i, row := range env.rows {
		if row.state == "draining" {
			out = append(out, i)
		}
	}
	return out
}

// storeReturn makes the store return from a copy that is as old as the fault lasts. Then the operator and the servers
// write again what they had written.
func (f *injector) storeReturn(d time.Duration) {
	f.env.store.Copy()
	f.undoAfter(d, func() {
		f.env.store.SetFault(standin.Refuse)
		time.Sleep(150 * time.Millisecond)
		f.env.store.ReturnFromCopy()
		f.env.store.SetFault(standin.NoFault)
		time.Sleep(beatInterval)
		f.env.beat()
		f.configMu.Lock()
		defer f.configMu.Unlock()
		f.env.writeConfig()
	})
}

// withdrawKey adds a key to the configuration and withdraws it after d.
func (f *injector) withdrawKey(d time.Duration) {
	key := fmt.Sprintf("key-%d", len(f.withdrawn))
	f.withdrawn = append(f.withdrawn, key)
	f.setKeys([]string{key})
	f.undoAfter(d, func() { f.setKeys(nil) })
}

func (f *injector) setKeys(keys []string) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	f.env.keys = keys
	f.env.configure()
}

// statusWithKey returns the status of a request with an API key.
func (c *callers) statusWithKey(t *testing.T, n *process, key string) int {
	t.Helper()
	id := fmt.Sprintf("attempt-%d", c.ids.Add(1))
	req, err := http.NewRequest(http.MethodGet, "http://"+n.callerAddr+"/look/"+id, bytes.NewReader([]byte("body of "+id)))
	assert.NilError(t, err)
	req.Host = host
	req.Header.Set("Pollenlug-Attempt-Id", id)
	req.Header.Set("Pollenlug-Credential", key)
	resp, err := c.client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}
