package devcluster

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/pkg/backend"
)

const (
	longPrompt = "Write the heritage report of the weather vane"
	longTokens = 240
	longSeed   = 11
)

func longRequestBody() string {
	body, _ := json.Marshal(map[string]any{"model": "brief-large", "prompt": longPrompt, "max_tokens": longTokens, "seed": longSeed, "stream": true})
	return string(body)
}

// longResponse returns the response of a run without faults. Every run with faults must return the same text.
func longResponse() string {
	tokens, _ := engine.ExpectedResponse(backend.GenerateRequest{Model: "brief-large", Prompt: longPrompt, Seed: longSeed, MaxTokens: longTokens})
	return strings.Join(tokens, "")
}

// receivedStream is what a caller has received of a streamed response.
type receivedStream struct {
	id     string
	text   strings.Builder
	lastID string
	done   bool // the end marker was received
}

// openStream sends a request and records the streamed response in r. The function next reads up to n more events, or
// to the end if n is 0.
func openStream(t *testing.T, req *http.Request, r *receivedStream) (next func(n int), closeBody func()) {
	t.Helper()
	req.Header.Set("Authorization", "Bearer "+shopToken)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	r.id = res.Header.Get("X-Request-Id")
	lines := bufio.NewScanner(res.Body)
	next = func(n int) {
		for seen := 0; (n == 0 || seen < n) && lines.Scan(); {
			seen += r.parseLine(lines.Text())
		}
	}
	return next, func() { _ = res.Body.Close() }
}

// parseLine parses one line of the stream and returns 1 for an event with a token, otherwise 0.
func (r *receivedStream) parseLine(line string) int {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		r.lastID = id
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return 0
	}
	if data == "[DONE]" {
		r.done = true
		return 0
	}
	var event struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
		return 0
	}
	r.text.WriteString(event.Choices[0].Text)
	return 1
}

func (c *Cluster) startLongStream(t *testing.T, node int, r *receivedStream) (next func(n int), closeBody func()) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+c.CallerAddrs()[node]+"/v1/completions", strings.NewReader(longRequestBody()))
	assert.NilError(t, err)
	return openStream(t, req, r)
}

func (c *Cluster) resume(t *testing.T, node int, r *receivedStream) (next func(n int), closeBody func()) {
	t.Helper()
	req, err := http.NewRequest("GET", "http://"+c.CallerAddrs()[node]+"/v1/responses/"+r.id, nil)
	assert.NilError(t, err)
	req.Header.Set("Last-Event-ID", r.lastID)
	return openStream(t, req, r)
}

// busyServer returns the name of an engine that is generating a response.
func (c *Cluster) busyServer(t *testing.T) string {
	t.Helper()
	for name, e := range c.Standins.allEngines() {
		if e.Running() > 0 {
			return name
		}
	}
	t.Fatal("no engine is running a request")
	return ""
}

// Guards against an accepted response that is lost, cut off or changed when its backend server fails: reclaimed with
// notice, crashed, or stalled with its connections open.
func TestResponseSurvivesServerFailure(t *testing.T) {
	c := startCluster(t)
	for name, fail := range map[string]func(server string){
		"reclaim": func(server string) { c.Standins.Platform.Cloud.Reclaim(time.Second, server) },
		"crash":   func(server string) { c.Standins.selectServers(server)[server].Crash() },
		"silence": func(server string) { c.Standins.selectServers(server)[server].Net().StallOpenConns() },
	} {
		t.Run(name, func(t *testing.T) {
			var r receivedStream
			next, closeBody := c.startLongStream(t, 0, &r)
			defer closeBody()
			next(20)
			fail(c.busyServer(t))
			next(0)
			assert.Assert(t, r.done, "the stream ended without its end marker")
			assert.Equal(t, r.text.String(), longResponse())
		})
	}
}

// Guards against an accepted response that is lost when its home node crashes: the caller resumes on another node and
// receives the remaining tokens.
func TestResponseSurvivesHomeNodeCrash(t *testing.T) {
	c := startCluster(t)
	var r receivedStream
	next, closeBody := c.startLongStream(t, 0, &r)
	next(30)
	c.kill("entry-1")
	next(0)
	closeBody()
	assert.Assert(t, !r.done)
	next, closeBody = c.resume(t, 2, &r)
	defer closeBody()
	next(0)
	assert.Assert(t, r.done)
	assert.Equal(t, r.text.String(), longResponse())
}

// Guards against a drain that cuts off an open response, and against new work on a leaving node.
func TestDrainFinishesOpenResponsesAndRefusesNewWork(t *testing.T) {
	c := startCluster(t)
	var r receivedStream
	next, closeBody := c.startLongStream(t, 0, &r)
	defer closeBody()
	next(10)
	c.nodes[0].cancel()
	c.awaitState(t, 0, "leaving")

	noFollow := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	res, err := noFollow.Post("http://"+c.CallerAddrs()[0]+"/v1/completions", "application/json", strings.NewReader(longRequestBody()))
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusTemporaryRedirect)
	assert.Assert(t, !strings.Contains(res.Header.Get("Location"), c.CallerAddrs()[0]), "sent on to itself")

	for i := range c.nodes {
		response, _, _ := c.do(t, testRequest{node: i, method: "GET", path: "/v1/entries"})
		assert.Assert(t, !strings.Contains(response, c.CallerAddrs()[0]), "node %d lists the leaving node: %s", i, response)
	}
	next(0)
	assert.Assert(t, r.done)
	assert.Equal(t, r.text.String(), longResponse())
	<-c.nodes[0].done
}

// Guards against a response that is cut off when its node is reclaimed with a shorter notice period than the response
// needs: another node takes the response over, and the caller resumes there.
func TestReclaimedNodeHandsOver(t *testing.T) {
	c := startCluster(t)
	var r receivedStream
	next, closeBody := c.startLongStream(t, 1, &r)
	next(10)
	c.Standins.Platform.Cloud.Reclaim(1500*time.Millisecond, "entry-2")
	next(0)
	closeBody()
	if !r.done {
		next, closeBody = c.resume(t, 0, &r)
		defer closeBody()
		next(0)
	}
	assert.Assert(t, r.done)
	assert.Equal(t, r.text.String(), longResponse())
}

// awaitState waits until every node sees a node in the given state.
func (c *Cluster) awaitState(t *testing.T, node int, state string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for i := range c.nodes {
		for !strings.EqualFold(c.nodes[i].node.MemberState(c.nodes[node].settings.Node), state) {
			assert.NilError(t, ctx.Err(), "node %d does not see within 2 s that node %d is %s", i, node, state)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against a booking whose response is lost between service and node: the node queries the service for the
// outcome, so that the caller gets the response of the only run.
func TestLostServiceResponseIsFetched(t *testing.T) {
	c := startCluster(t)
	c.Standins.faultDrop(FaultRequest{DropPercent: 100})
	booking := testRequest{node: 0, method: "POST", path: "/s/booking/bookings", token: shopToken,
		header: map[string]string{"Idempotency-Key": "lost"}, body: `{"board":1}`}
	response, transcript, _ := c.do(t, booking)
	assert.Assert(t, strings.Contains(transcript, "200 code="), transcript)
	booking.node = 1
	retryResponse, _, _ := c.do(t, booking)
	assert.Equal(t, retryResponse, response)
	assert.DeepEqual(t, c.Standins.Stats().Runs["booking"], map[string]int{"shop/lost": 1})
}

// Guards against a handover that loses the KV cache: the new home node continues with the cached tokens, and almost
// nothing is recomputed.
func TestHandoverKeepsKVCache(t *testing.T) {
	c := startCluster(t)
	var r receivedStream
	next, closeBody := c.startLongStream(t, 1, &r)
	defer closeBody()
	next(60)
	c.Standins.Platform.Cloud.Reclaim(2*time.Second, "entry-2")
	next(0)
	if !r.done {
		next, closeBody = c.resume(t, 0, &r)
		defer closeBody()
		next(0)
	}
	assert.Equal(t, r.text.String(), longResponse())
	var recomputed, imports uint64
	for _, e := range c.Standins.allEngines() {
		recomputed += e.Stats().RecomputedTokens
		imports += e.Stats().KVImports
	}
	assert.Equal(t, imports, uint64(1))
	// Tokens generated between the export and the switch are generated again.
	assert.Assert(t, recomputed <= longTokens/10, "%d tokens were recomputed", recomputed)
}
