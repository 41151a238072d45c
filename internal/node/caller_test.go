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
	// resumePause is how long a caller waits before it resumes elsewhere, resumeLimit how long it tries.
	resumePause = 100 * time.Millisecond
	resumeLimit = 30 * time.Second
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

// request is one request of a session.
type request struct {
	method, path, key, body string
	lastEvent               string
	timeout                 time.Duration // what the caller states; 0 for nothing
}

// answer is what the caller saw.
type answer struct {
	status   int
	code     string
	ran      string
	location string
	body     string
	err      error
}

// String is the line of a transcript.
func (a answer) String() string {
	switch {
	case a.err != nil:
		return "connection lost"
	case a.location != "":
		return fmt.Sprintf("%d code=%s sent on", a.status, a.code)
	case a.ran != "":
		return fmt.Sprintf("%d code=%s ran=%s", a.status, a.code, a.ran)
	default:
		return fmt.Sprintf("%d", a.status)
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
	if r.lastEvent != "" {
		req.Header.Set("Last-Event-ID", r.lastEvent)
	}
	return c.client.Do(req)
}

// do sends a request and reads the whole answer.
func (c *caller) do(node int, r request) answer {
	res, err := c.send(context.Background(), node, r)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	out := answer{status: res.StatusCode, code: res.Header.Get("X-Pollenlug-Code"), location: res.Header.Get("Location"), body: string(body), err: err}
	var refusal struct {
		Error struct{ Ran string }
	}
	if res.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &refusal) == nil {
		out.ran = refusal.Error.Ran
	}
	return out
}

func (c *caller) book(node int, key, body string) answer { return c.bookWithin(node, key, body, 0) }

func (c *caller) bookWithin(node int, key, body string, timeout time.Duration) answer {
	return c.do(node, request{method: "POST", path: "/s/booking/bookings", key: key, body: body, timeout: timeout})
}

func (c *caller) look(node int) answer {
	return c.do(node, request{method: "GET", path: "/s/booking/history?board=1"})
}

// prompt is a request for a generation with the answer that every fault-free run gives.
type prompt struct {
	text   string
	tokens uint32
	seed   uint64
}

func (p prompt) body(stream bool) string {
	body, _ := json.Marshal(map[string]any{"model": "brief-large", "prompt": p.text, "max_tokens": p.tokens, "seed": p.seed, "stream": stream})
	return string(body)
}

func (p prompt) answer() string {
	tokens, _ := engine.Answer(backend.GenerateRequest{Model: "brief-large", Prompt: p.text, Seed: p.seed, MaxTokens: p.tokens})
	return strings.Join(tokens, "")
}

// stream is a streamed answer as one caller reads it.
type stream struct {
	caller  *caller
	node    int
	id      string
	lastID  string
	text    strings.Builder
	tokens  int
	done    bool // the end mark was read
	failure string
	resumes int
	body    io.ReadCloser
	lines   *bufio.Scanner
}

// open sends a prompt to a node. A refusal is returned as an answer.
func (c *caller) open(node int, p prompt) (*stream, *answer) {
	s := &stream{caller: c, node: node}
	refused := s.connect(request{method: "POST", path: "/v1/completions", body: p.body(true)})
	return s, refused
}

func (s *stream) connect(r request) *answer {
	if s.body != nil {
		_ = s.body.Close()
	}
	res, err := s.caller.send(context.Background(), s.node, r)
	if err != nil {
		return &answer{err: err}
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return &answer{status: res.StatusCode, code: res.Header.Get("X-Pollenlug-Code"), location: res.Header.Get("Location")}
	}
	s.id, s.body, s.lines = res.Header.Get("X-Request-Id"), res.Body, bufio.NewScanner(res.Body)
	return nil
}

// read reads until n tokens have arrived in all, or to the end for 0. It returns false when the connection ends early.
func (s *stream) read(n int) bool {
	for !s.done && s.failure == "" && (n == 0 || s.tokens < n) {
		if !s.lines.Scan() {
			_ = s.body.Close()
			return false
		}
		s.line(s.lines.Text())
	}
	if s.done || s.failure != "" {
		_ = s.body.Close()
	}
	return true
}

func (s *stream) line(line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		s.lastID = id
	}
	if line == "event: error" {
		s.failure = "error event"
	}
	data, ok := strings.CutPrefix(line, "data: ")
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

// finish reads to the end; when the connection ends early it resumes on the other nodes, as a caller would.
func (s *stream) finish() error {
	lost := time.Time{}
	for !s.read(0) {
		if lost.IsZero() {
			lost = time.Now()
		}
		before := s.tokens
		if err := s.resume(lost.Add(resumeLimit)); err != nil {
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

func (s *stream) resume(limit time.Time) error {
	refusals := map[string]bool{}
	for time.Now().Before(limit) {
		time.Sleep(resumePause)
		s.node = (s.node + 1) % len(s.caller.cluster.nodes)
		refused := s.connect(request{method: "GET", path: "/v1/responses/" + s.id, lastEvent: s.lastID})
		if refused == nil {
			s.resumes++
			return nil
		}
		refusals[fmt.Sprintf("%s %v", s.caller.cluster.nodes[s.node].settings.Node, refused)] = true
	}
	return fmt.Errorf("%s: cannot be resumed after %d tokens: %v", s.id, s.tokens, sortedKeys(refusals))
}

// check compares a complete stream with the fault-free answer.
func (s *stream) check(p prompt) error {
	if want := p.answer(); s.text.String() != want {
		return fmt.Errorf("%s: %d tokens that differ from the fault-free answer of %d", s.id, s.tokens, p.tokens)
	}
	return nil
}
