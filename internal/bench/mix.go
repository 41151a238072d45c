package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/pkg/backend"
)

// Names of the mixes.
const (
	Windwijzer = "windwijzer"
	Oleaje     = "oleaje"
)

// Kinds of requests.
const (
	kindStream        = iota // a streamed generation
	kindNonStreamed          // a non-streamed generation
	kindIdempotent           // an idempotent call
	kindNonRepeatable        // a non-repeatable call
)

const (
	defaultSmallModel = "quote-small"
	defaultLargeModel = "brief-large"
	serviceGroup      = "booking"
	// templatesPerWorkspace is the number of different long prefixes in each workspace.
	templatesPerWorkspace = 3
	// templateWords is the length of a prefix in words, about 6 KB.
	templateWords = 1000
)

// request is one request of a mix.
type request struct {
	kind             int
	class            string
	bearerToken      string
	method           string
	path             string
	body             []byte
	idempotencyKey   string
	engineRequest    backend.GenerateRequest // the equivalent request to an engine
	wantTokens       []string                // tokens of the expected response
	wantFinishReason string
}

// class is one class of requests in a mix, with its share in percent.
type class struct {
	name    string
	percent int
	build   func(*requestSource) request
}

var mixes = map[string][]class{
	Windwijzer: {
		{"brief", 40, func(s *requestSource) request { return s.longGeneration("brief", 120, 400) }},
		{"heritage-report", 20, func(s *requestSource) request { return s.longGeneration("heritage-report", 400, 1200) }},
		{"commission-lookup", 25, func(s *requestSource) request { return s.idempotentCall("commission-lookup", "/commissions?id=") }},
		{"commission-deposit", 15, func(s *requestSource) request { return s.nonRepeatableCall("commission-deposit", "/deposits") }},
	},
	Oleaje: {
		{"quote", 35, func(s *requestSource) request { return s.shortGeneration("quote", kindStream, 32, 96) }},
		{"ticket-tag", 20, func(s *requestSource) request { return s.shortGeneration("ticket-tag", kindNonStreamed, 4, 12) }},
		{"history-lookup", 25, func(s *requestSource) request { return s.idempotentCall("history-lookup", "/history?board=") }},
		{"booking", 12, func(s *requestSource) request { return s.nonRepeatableCall("booking", "/bookings") }},
		{"deposit", 8, func(s *requestSource) request { return s.nonRepeatableCall("deposit", "/deposits") }},
	},
}

// requestSource draws the requests of a mix. Requests depend only on the seed, except for the run ID in their keys.
type requestSource struct {
	rng            *rand.Rand
	classes        []class
	tokens         []string
	runID          string // makes the idempotency keys of two runs differ
	count          int
	responseTokens int // fixed length of streamed responses; 0 leaves it to the class
	smallModel     string
	largeModel     string
}

func newRequestSource(opts Options, runID string) (*requestSource, error) {
	classes, ok := mixes[opts.Mix]
	if !ok {
		return nil, fmt.Errorf("unknown mix %q: use %s or %s", opts.Mix, Windwijzer, Oleaje)
	}
	return &requestSource{
		rng:            rand.New(rand.NewPCG(opts.Seed, 2)),
		classes:        classes,
		tokens:         opts.Tokens,
		runID:          runID,
		responseTokens: opts.LongAnswers,
		smallModel:     defaultSmallModel,
		largeModel:     defaultLargeModel,
	}, nil
}

func (s *requestSource) next() request {
	s.count++
	roll := s.rng.IntN(100)
	for _, c := range s.classes {
		if roll -= c.percent; roll < 0 {
			return c.build(s)
		}
	}
	return s.classes[0].build(s)
}

// workspace draws a workspace; lower indexes are more frequent.
func (s *requestSource) workspace() int {
	return min(s.rng.IntN(len(s.tokens)), s.rng.IntN(len(s.tokens)))
}

func (s *requestSource) randomBetween(low, high int) int { return low + s.rng.IntN(high-low) }

// longGeneration returns a streamed generation with one of the long prompt prefixes of its workspace.
func (s *requestSource) longGeneration(name string, low, high int) request {
	workspace := s.workspace()
	template := s.rng.IntN(templatesPerWorkspace)
	prompt := fmt.Sprintf("%s\nNumber %d: write the %s.", promptPrefix(workspace, template), s.rng.IntN(1<<30), name)
	return s.generation(name, kindStream, s.largeModel, workspace, prompt, s.randomBetween(low, high))
}

func (s *requestSource) shortGeneration(name string, kind, low, high int) request {
	workspace := s.workspace()
	prompt := fmt.Sprintf("Workspace %d, %s: ding of %d mm near the fin box, board %d.", workspace, name, s.randomBetween(5, 90), s.rng.IntN(1<<30))
	return s.generation(name, kind, s.smallModel, workspace, prompt, s.randomBetween(low, high))
}

func (s *requestSource) generation(name string, kind int, model string, workspace int, prompt string, length int) request {
	if s.responseTokens > 0 && kind == kindStream {
		length = s.responseTokens
	}
	seed := s.rng.Uint64N(1 << 32)
	body, _ := json.Marshal(map[string]any{
		"model":      model,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
		"max_tokens": length,
		"seed":       seed,
		"stream":     kind == kindStream,
	})
	out := request{kind: kind, class: name, bearerToken: s.tokens[workspace], method: http.MethodPost, path: "/v1/chat/completions", body: body}
	base, adapter, _ := strings.Cut(model, ":")
	out.engineRequest = backend.GenerateRequest{
		Model:     base,
		Adapter:   adapter,
		Prompt:    "user: " + prompt + "\n",
		Seed:      seed,
		MaxTokens: uint32(length),
	}
	out.wantTokens, out.wantFinishReason = engine.ExpectedResponse(out.engineRequest)
	return out
}

func (s *requestSource) idempotentCall(name, path string) request {
	path = fmt.Sprintf("/s/%s%s%d", serviceGroup, path, s.rng.IntN(1000))
	return request{kind: kindIdempotent, class: name, bearerToken: s.tokens[s.workspace()], method: http.MethodGet, path: path}
}

func (s *requestSource) nonRepeatableCall(name, path string) request {
	body := fmt.Sprintf(`{"number":%d,"amount":%d}`, s.count, s.randomBetween(10, 900))
	return request{
		kind:           kindNonRepeatable,
		class:          name,
		bearerToken:    s.tokens[s.workspace()],
		method:         http.MethodPost,
		path:           "/s/" + serviceGroup + path,
		body:           []byte(body),
		idempotencyKey: fmt.Sprintf("%s-%d", s.runID, s.count),
	}
}

// promptPrefix returns the long prompt prefix of a template, which is the same in every run.
func promptPrefix(workspace, template int) string {
	rng := rand.New(rand.NewPCG(uint64(workspace), uint64(template)))
	words := []string{"copper", "vane", "bearing", "spire", "gilding", "north", "ridge", "rooster", "wrought", "iron", "survey", "parish"}
	var out strings.Builder
	fmt.Fprintf(&out, "Workspace %d, template %d.", workspace, template)
	for range templateWords {
		out.WriteByte(' ')
		out.WriteString(words[rng.IntN(len(words))])
	}
	return out.String()
}
