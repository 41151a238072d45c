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
	kindStream = iota // a streamed generation
	kindWhole         // a generation that is answered as a whole
	kindLookup        // an idempotent call
	kindOnce          // a non-repeatable call
)

const (
	smallModel   = "quote-small"
	largeModel   = "brief-large"
	serviceGroup = "booking"
	// templatesPerWorkspace is the number of different long prefixes in each workspace.
	templatesPerWorkspace = 3
	// templateWords gives prefixes of about 6 KB.
	templateWords = 1000
)

// request is one request of a mix.
type request struct {
	kind   int
	class  string
	token  string
	method string
	path   string
	body   []byte
	key    string
	asked  backend.GenerateRequest // what an engine is asked for
	want   []string                // tokens of the expected answer
	finish string
}

// class is one class of requests in a mix, with its share in percent.
type class struct {
	name    string
	percent int
	build   func(*source) request
}

var mixes = map[string][]class{
	Windwijzer: {
		{"brief", 40, func(s *source) request { return s.long("brief", 120, 400) }},
		{"heritage-report", 20, func(s *source) request { return s.long("heritage-report", 400, 1200) }},
		{"commission-lookup", 25, func(s *source) request { return s.lookup("commission-lookup", "/commissions?id=") }},
		{"commission-deposit", 15, func(s *source) request { return s.once("commission-deposit", "/deposits") }},
	},
	Oleaje: {
		{"quote", 35, func(s *source) request { return s.short("quote", kindStream, 32, 96) }},
		{"ticket-tag", 20, func(s *source) request { return s.short("ticket-tag", kindWhole, 4, 12) }},
		{"history-lookup", 25, func(s *source) request { return s.lookup("history-lookup", "/history?board=") }},
		{"booking", 12, func(s *source) request { return s.once("booking", "/bookings") }},
		{"deposit", 8, func(s *source) request { return s.once("deposit", "/deposits") }},
	},
}

// source draws the requests of a mix. Requests depend on the seed only, except for the run id in their keys.
type source struct {
	random *rand.Rand
	mix    []class
	tokens []string
	run    string // keeps the keys of two runs apart
	count  int
	length int // fixed length of streamed answers; 0 leaves it to the class
	small  string
	large  string
}

func newSource(opts Options, run string) (*source, error) {
	mix, ok := mixes[opts.Mix]
	if !ok {
		return nil, fmt.Errorf("unknown mix %q: use %s or %s", opts.Mix, Windwijzer, Oleaje)
	}
	return &source{
		random: rand.New(rand.NewPCG(opts.Seed, 2)),
		mix:    mix,
		tokens: opts.Tokens,
		run:    run,
		length: opts.LongAnswers,
		small:  smallModel,
		large:  largeModel,
	}, nil
}

func (s *source) next() request {
	s.count++
	draw := s.random.IntN(100)
	for _, c := range s.mix {
		if draw -= c.percent; draw < 0 {
			return c.build(s)
		}
	}
	return s.mix[0].build(s)
}

// workspace chooses a workspace; the first ones are larger.
func (s *source) workspace() int {
	return min(s.random.IntN(len(s.tokens)), s.random.IntN(len(s.tokens)))
}

func (s *source) between(low, high int) int { return low + s.random.IntN(high-low) }

// long is a streamed generation after one of the long prefixes of its workspace.
func (s *source) long(name string, low, high int) request {
	w := s.workspace()
	template := s.random.IntN(templatesPerWorkspace)
	prompt := fmt.Sprintf("%s\nNumber %d: write the %s.", prefix(w, template), s.random.IntN(1<<30), name)
	return s.generation(name, kindStream, s.large, w, prompt, s.between(low, high))
}

func (s *source) short(name string, kind, low, high int) request {
	w := s.workspace()
	prompt := fmt.Sprintf("Workspace %d, %s: ding of %d mm near the fin box, board %d.", w, name, s.between(5, 90), s.random.IntN(1<<30))
	return s.generation(name, kind, s.small, w, prompt, s.between(low, high))
}

func (s *source) generation(name string, kind int, model string, workspace int, prompt string, length int) request {
	if s.length > 0 && kind == kindStream {
		length = s.length
	}
	seed := s.random.Uint64N(1 << 32)
	body, _ := json.Marshal(map[string]any{
		"model":      model,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
		"max_tokens": length,
		"seed":       seed,
		"stream":     kind == kindStream,
	})
	out := request{kind: kind, class: name, token: s.tokens[workspace], method: http.MethodPost, path: "/v1/chat/completions", body: body}
	base, adapter, _ := strings.Cut(model, ":")
	out.asked = backend.GenerateRequest{
		Model:     base,
		Adapter:   adapter,
		Prompt:    "user: " + prompt + "\n",
		Seed:      seed,
		MaxTokens: uint32(length),
	}
	out.want, out.finish = engine.ExpectedResponse(out.asked)
	return out
}

func (s *source) lookup(name, path string) request {
	path = fmt.Sprintf("/s/%s%s%d", serviceGroup, path, s.random.IntN(1000))
	return request{kind: kindLookup, class: name, token: s.tokens[s.workspace()], method: http.MethodGet, path: path}
}

func (s *source) once(name, path string) request {
	body := fmt.Sprintf(`{"number":%d,"amount":%d}`, s.count, s.between(10, 900))
	return request{
		kind:   kindOnce,
		class:  name,
		token:  s.tokens[s.workspace()],
		method: http.MethodPost,
		path:   "/s/" + serviceGroup + path,
		body:   []byte(body),
		key:    fmt.Sprintf("%s-%d", s.run, s.count),
	}
}

// prefix returns the long prefix of a template, the same in every run.
func prefix(workspace, template int) string {
	random := rand.New(rand.NewPCG(uint64(workspace), uint64(template)))
	words := []string{"copper", "vane", "bearing", "spire", "gilding", "north", "ridge", "rooster", "wrought", "iron", "survey", "parish"}
	var out strings.Builder
	fmt.Fprintf(&out, "Workspace %d, template %d.", workspace, template)
	for range templateWords {
		out.WriteByte(' ')
		out.WriteString(words[random.IntN(len(words))])
	}
	return out.String()
}
