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

func longBody() string {
	body, _ := json.Marshal(map[string]any{"model": "brief-large", "prompt": longPrompt, "max_tokens": longTokens, "seed": longSeed, "stream": true})
	return string(body)
}

// longAnswer is the fault-free answer, which every faulty run must equal.
func longAnswer() string {
	tokens, _ := engine.Answer(backend.GenerateRequest{Model: "brief-large", Prompt: longPrompt, Seed: longSeed, MaxTokens: longTokens})
	return strings.Join(tokens, "")
}

// reading is a stream that is being read.
type reading struct {
	id     string
	text   strings.Builder
	lastID string
	done   bool // the end mark was read
}

// open sends a request and returns its reading and a function that reads on for up to n events, or to the end for 0.
func openStream(t *testing.T, req *http.Request, r *reading) (next func(n int), closeBody func()) {
	t.Helper()
	req.Header.Set("Authorization", "Bearer "+shopToken)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	r.id = res.Header.Get("X-Request-Id")
	lines := bufio.NewScanner(res.Body)
	next = func(n int) {
		for seen := 0; (n == 0 || seen < n) && lines.Scan(); {
			seen += r.line(lines.Text())
		}
	}
	return next, func() { _ = res.Body.Close() }
}

// line takes one line of the stream and returns 1 for an event with a token.
func (r *reading) line(line string) int {
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

func (c *Cluster) startLong(t *testing.T, node int, r *reading) (next func(n int), closeBody func()) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+c.CallerAddrs()[node]+"/v1/completions", strings.NewReader(longBody()))
	assert.NilError(t, err)
	return openStream(t, req, r)
}

func (c *Cluster) resume(t *testing.T, node int, r *reading) (next func(n int), closeBody func()) {
	t.Helper()
	req, err := http.NewRequest("GET", "http://"+c.CallerAddrs()[node]+"/v1/responses/"+r.id, nil)
	assert.NilError(t, err)
	req.Header.Set("Last-Event-ID", r.lastID)
	return openStream(t, req, r)
}

// busyServer returns the engine that runs a response.
func (c *Cluster) busyServer(t *testing.T) string {
	t.Helper()
	for name, e := range c.Standins.allEngines() {
		if e.Running() > 0 {
			return name
		}
	}
	t.Fatal("no engine is busy")
	return ""
}

// Guards against an accepted answer that is lost, cut or changed when its backend server goes: reclaimed with notice,
// crashed, or frozen with its connections open.
func TestAnswerSurvivesItsServer(t *testing.T) {
	c := startCluster(t)
	for name, fail := range map[string]func(server string){
		"reclaim": func(server string) { c.Standins.Platform.Cloud.Reclaim(time.Second, server) },
		"crash":   func(server string) { c.Standins.chosen(server)[server].Crash() },
		"silence": func(server string) { c.Standins.chosen(server)[server].Net().SilenceOpen() },
	} {
		t.Run(name, func(t *testing.T) {
			var r reading
			next, closeBody := c.startLong(t, 0, &r)
			defer closeBody()
			next(20)
			fail(c.busyServer(t))
			next(0)
			assert.Assert(t, r.done, "the stream ended without its end mark")
			assert.Equal(t, r.text.String(), longAnswer())
		})
	}
}

// Guards against an accepted answer that is lost when its home node dies: the caller resumes on another node and
// receives the rest, token by token.
func TestAnswerSurvivesItsHomeNode(t *testing.T) {
	c := startCluster(t)
	var r reading
	next, closeBody := c.startLong(t, 0, &r)
	next(30)
	c.kill("entry-1")
	next(0)
	closeBody()
	assert.Assert(t, !r.done)
	next, closeBody = c.resume(t, 2, &r)
	defer closeBody()
	next(0)
	assert.Assert(t, r.done)
	assert.Equal(t, r.text.String(), longAnswer())
}

// Guards against a drain that cuts off an open answer, and against new work on a leaving node.
func TestDrainFinishesOpenAnswersAndTakesNoNewWork(t *testing.T) {
	c := startCluster(t)
	var r reading
	next, closeBody := c.startLong(t, 0, &r)
	defer closeBody()
	next(10)
	c.nodes[0].cancel()
	c.awaitState(t, 0, "leaving")

	noFollow := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	res, err := noFollow.Post("http://"+c.CallerAddrs()[0]+"/v1/completions", "application/json", strings.NewReader(longBody()))
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusTemporaryRedirect)
	assert.Assert(t, !strings.Contains(res.Header.Get("Location"), c.CallerAddrs()[0]), "sent on to itself")

	for i := range c.nodes {
		answer, _, _ := c.do(t, step{node: i, method: "GET", path: "/v1/entries"})
		assert.Assert(t, !strings.Contains(answer, c.CallerAddrs()[0]), "node %d lists the leaving node: %s", i, answer)
	}
	next(0)
	assert.Assert(t, r.done)
	assert.Equal(t, r.text.String(), longAnswer())
	<-c.nodes[0].done
}

// Guards against an answer that is cut off when its node is reclaimed with less notice than the answer needs: another
// node continues it, and the caller reads on there.
func TestReclaimedNodeHandsOver(t *testing.T) {
	c := startCluster(t)
	var r reading
	next, closeBody := c.startLong(t, 1, &r)
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
	assert.Equal(t, r.text.String(), longAnswer())
}

// awaitState waits until every live node knows the state of a node.
func (c *Cluster) awaitState(t *testing.T, node int, state string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for i := range c.nodes {
		for !strings.EqualFold(c.nodes[i].node.MemberState(c.nodes[node].settings.Node), state) {
			assert.NilError(t, ctx.Err(), "node %d does not know within 2 s that node %d is %s", i, node, state)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against a booking whose answer was lost on the way: the service is asked for the outcome, so that the caller
// gets the answer of the one run.
func TestLostServiceAnswerIsFetched(t *testing.T) {
	c := startCluster(t)
	c.Standins.faultDrop(FaultRequest{DropPercent: 100})
	booking := step{node: 0, method: "POST", path: "/s/booking/bookings", token: shopToken,
		header: map[string]string{"Idempotency-Key": "lost"}, body: `{"board":1}`}
	answer, transcript, _ := c.do(t, booking)
	assert.Assert(t, strings.Contains(transcript, "200 code="), transcript)
	booking.node = 1
	again, _, _ := c.do(t, booking)
	assert.Equal(t, again, answer)
	assert.DeepEqual(t, c.Standins.Stats().Runs["booking"], map[string]int{"shop/lost": 1})
}

// Guards against a handover that loses the KV cache: the new home continues on the same server, and almost nothing is
// computed again.
func TestHandoverRecomputesNothing(t *testing.T) {
	c := startCluster(t)
	var r reading
	next, closeBody := c.startLong(t, 1, &r)
	defer closeBody()
	next(60)
	c.Standins.Platform.Cloud.Reclaim(2*time.Second, "entry-2")
	next(0)
	if !r.done {
		next, closeBody = c.resume(t, 0, &r)
		defer closeBody()
		next(0)
	}
	assert.Equal(t, r.text.String(), longAnswer())
	var recomputed, imports uint64
	for _, e := range c.Standins.allEngines() {
		recomputed += e.Stats().RecomputedTokens
		imports += e.Stats().KVImports
	}
	assert.Equal(t, imports, uint64(1))
	// What was generated between the export and the switch is generated again.
	assert.Assert(t, recomputed <= longTokens/10, "%d tokens were computed again", recomputed)
}
