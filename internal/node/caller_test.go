package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/pkg/backend"
)

const (
	shopToken = "shop-token"
	// resumeInterval is the wait before each attempt to resume a stream on the next node, resumeTimeout the time in
	// which one must succeed.
	resumeInterval = 100 * time.Millisecond
	resumeTimeout  = 30 * time.Second
)

// caller is a client of the cluster: net/http over the in-memory network.
type caller struct {
	cluster *cluster
	client  *http.Client
}

func newCaller(c *cluster) *caller {
	return &caller{c, &http.Client{
		Transport:     &http.Transport{DialContext: c.network.Dial, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// request is one request of a caller.
type request struct {
	method, path, key, body string
	lastEventID             string
	timeout                 time.Duration // sent with the request; 0 means none
}

// response is the result of a request as the caller sees it.
type response struct {
	status   int
	code     string
	ran      string
	location string
	body     string
	err      error
}

// String returns the response as transcripts show it.
func (r response) String() string {
	switch {
	case r.err != nil:
		return "connection lost"
	case r.location != "":
		return fmt.Sprintf("%d code=%s sent on", r.status, r.code)
	case r.ran != "":
		return fmt.Sprintf("%d code=%s ran=%s", r.status, r.code, r.ran)
	default:
		return fmt.Sprintf("%d", r.status)
	}
}

func (c *caller) send(ctx context.Context, node int, r request) (*http.Response, error) {
	addr := c.cluster.nodes[node].settings.CallerAddr
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+addr+r.path, strings.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+shopToken)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.timeout > 0 {
		req.Header.Set("X-Pollenlug-Timeout-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	}
	if r.lastEventID != "" {
		req.Header.Set("Last-Event-ID", r.lastEventID)
	}
	return c.client.Do(req)
}

// do sends a request and reads the complete response.
func (c *caller) do(node int, r request) response {
	httpResponse, err := c.send(context.Background(), node, r)
	if err != nil {
		return response{err: err}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	out := response{status: httpResponse.StatusCode, code: httpResponse.Header.Get("X-Pollenlug-Code"), location: httpResponse.Header.Get("Location"), body: string(body), err: err}
	var refusal struct {
		Error struct{ Ran string }
	}
	if httpResponse.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &refusal) == nil {
		out.ran = refusal.Error.Ran
	}
	return out
}

func (c *caller) book(node int, key, body string) response { return c.bookWithin(node, key, body, 0) }

func (c *caller) bookWithin(node int, key, body string, timeout time.Duration) response {
	return c.do(node, request{method: "POST", path: "/s/booking/bookings", key: key, body: body, timeout: timeout})
}

func (c *caller) lookUp(node int) response {
	return c.do(node, request{method: "GET", path: "/s/booking/history?board=1"})
}

// prompt is a generation request. Its response is deterministic: expectedText is what every fault-free run returns.
type prompt struct {
	text   string
	tokens uint32
	seed   uint64
}

func (p prompt) body(stream bool) string {
	body, _ := json.Marshal(map[string]any{"model": "brief-large", "prompt": p.text, "max_tokens": p.tokens, "seed": p.seed, "stream": stream})
	return string(body)
}

func (p prompt) expectedText() string {
	expected, _ := engine.ExpectedResponse(backend.GenerateRequest{Model: "brief-large", Prompt: p.text, Seed: p.seed, MaxTokens: p.tokens})
	return strings.Join(expected, "")
}

// stream is a streamed response as one caller reads it.
type stream struct {
	caller      *caller
	node        int
	id          string
	lastEventID string
	text        strings.Builder
	tokens      int
	done        bool // [DONE] was read
	failure     string
	resumes     int
	body        io.ReadCloser
	lines       *bufio.Scanner
}

// open sends a prompt to a node. The returned response is nil unless the request was refused or failed.
func (c *caller) open(node int, p prompt) (*stream, *response) {
	s := &stream{caller: c, node: node}
	refused := s.connect(request{method: "POST", path: "/v1/completions", body: p.body(true)})
	return s, refused
}

func (s *stream) connect(r request) *response {
	if s.body != nil {
		_ = s.body.Close()
	}
	httpResponse, err := s.caller.send(context.Background(), s.node, r)
	if err != nil {
		return &response{err: err}
	}
	if httpResponse.StatusCode != http.StatusOK {
		_ = httpResponse.Body.Close()
		return &response{status: httpResponse.StatusCode, code: httpResponse.Header.Get("X-Pollenlug-Code"), location: httpResponse.Header.Get("Location")}
	}
	s.id, s.body, s.lines = httpResponse.Header.Get("X-Request-Id"), httpResponse.Body, bufio.NewScanner(httpResponse.Body)
	return nil
}

// read reads until n tokens have arrived in total, or to the end if n is 0. It returns false if the connection is lost.
func (s *stream) read(n int) bool {
	for !s.done && s.failure == "" && (n == 0 || s.tokens < n) {
		if !s.lines.Scan() {
			_ = s.body.Close()
			return false
		}
		s.parseLine(s.lines.Text())
	}
	if s.done || s.failure != "" {
		_ = s.body.Close()
	}
	return true
}

func (s *stream) parseLine(text string) {
	if id, ok := strings.CutPrefix(text, "id: "); ok {
		s.lastEventID = id
	}
	if text == "event: error" {
		s.failure = "error event"
	}
	data, ok := strings.CutPrefix(text, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		s.done = true
		return
	}
	var event struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 && event.Choices[0].Text != "" {
		s.text.WriteString(event.Choices[0].Text)
		s.tokens++
	}
}

// finish reads to the end. If the connection ends early, it resumes on the other nodes, as a real caller would.
func (s *stream) finish() error {
	lost := time.Time{}
	for !s.read(0) {
		if lost.IsZero() {
			lost = time.Now()
		}
		before := s.tokens
		if err := s.resume(lost.Add(resumeTimeout)); err != nil {
			return err
		}
		if s.tokens > before {
			lost = time.Time{}
		}
	}
	if s.failure != "" {
		return fmt.Errorf("%s: ended with an %s after %d tokens", s.id, s.failure, s.tokens)
	}
	return nil
}

func (s *stream) resume(deadline time.Time) error {
	refusals := map[string]bool{}
	for time.Now().Before(deadline) {
		time.Sleep(resumeInterval)
		s.node = (s.node + 1) % len(s.caller.cluster.nodes)
		refused := s.connect(request{method: "GET", path: "/v1/responses/" + s.id, lastEventID: s.lastEventID})
		if refused == nil {
			s.resumes++
			return nil
		}
		refusals[fmt.Sprintf("%s %v", s.caller.cluster.nodes[s.node].settings.Node, refused)] = true
	}
	return fmt.Errorf("%s: cannot be resumed after %d tokens: %v", s.id, s.tokens, sortedKeys(refusals))
}

// check compares a complete stream with the fault-free response.
func (s *stream) check(p prompt) error {
	if want := p.expectedText(); s.text.String() != want {
		return fmt.Errorf("%s: %d tokens that differ from the fault-free response of %d", s.id, s.tokens, p.tokens)
	}
	return nil
}
