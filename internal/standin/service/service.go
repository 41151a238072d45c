// Package service is a stand-in for a plain service. It counts the runs per Idempotency-Key, so that a test can see
// whether a call ran more than once, and never suppresses a repeated run itself.
//
//	ANY /...              runs the call: after the delay it answers 200 with the body and key of the request
//	GET /outcome?key=KEY  answer of the key's first run; 404 when the key never ran
//	GET /v1/load          backend.Load
//
// Status 503 means that the call was refused and did not run.
package service

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/backend"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 16 << 20

// Options configure a service. Zero values mean none.
type Options struct {
	Name string
	Seed uint64
	// Delay is how long a call runs.
	Delay time.Duration
	// MaxRunning bounds the calls that run; more are refused. 0 means no limit.
	MaxRunning int
	// DropAfter is the probability that the connection is closed without an answer after a call has run, DropBefore
	// that it is closed before the call runs.
	DropAfter  float64
	DropBefore float64
	// Runs is shared by the servers of one service, which then answer for each other's outcomes; nil means a log of
	// its own.
	Runs *RunLog
	// Listen opens listeners; nil means TCP.
	Listen netfault.ListenFunc
}

// FromSettings returns the options for a service of a stand-in process. The seed also decides the faults.
func FromSettings(server *pb.StandinServer, seed uint64) Options {
	return Options{Name: server.GetName(), Seed: seed, MaxRunning: int(server.GetMaxBatch())}
}

// Run is one run of a call.
type Run struct {
	Number uint64 `json:"number"` // order of all runs in the log
	Server string `json:"server"`
	Key    string `json:"key,omitempty"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body,omitempty"`
	// Caller is the User-Agent of the request. A load generator names its attempt there.
	Caller string `json:"caller,omitempty"`
}

// Echo is the answer to a call.
type Echo struct {
	Server string `json:"server"`
	Key    string `json:"key,omitempty"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
	Run    uint64 `json:"run"` // order of all runs in the log
}

// RunLog records runs like the database behind a service: a crash of a server does not lose it.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
	keys map[string][]int // indexes in runs
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog { return &RunLog{keys: map[string][]int{}} }

func (l *RunLog) add(r Run) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Number = uint64(len(l.runs) + 1)
	if r.Key != "" {
		l.keys[r.Key] = append(l.keys[r.Key], len(l.runs))
	}
	l.runs = append(l.runs, r)
	return r
}

// All returns all runs in their order.
func (l *RunLog) All() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Count returns how often calls with a key ran.
func (l *RunLog) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.keys[key])
}

// Repeated returns the keys that ran more than once, sorted.
func (l *RunLog) Repeated() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []string
	for key, runs := range l.keys {
		if len(runs) > 1 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// outcome returns the answer of the key's first run.
func (l *RunLog) outcome(key string) (Echo, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.keys[key]
	if len(runs) == 0 {
		return Echo{}, false
	}
	return echoOf(l.runs[runs[0]]), true
}

func echoOf(r Run) Echo { return Echo{r.Server, r.Key, r.Path, string(r.Body), r.Number} }

// Service is one server. It implements http.Handler; Listen serves it on an address of its own, which Crash closes.
type Service struct {
	options Options
	net     *netfault.Server
	runs    *RunLog

	lifecycle sync.Mutex // held for the whole of Crash and Restart; taken before mu

	mu         sync.Mutex
	dead       chan struct{} // closed by Crash
	crashed    bool
	frozen     chan struct{} // closed by Unfreeze; nil when not frozen
	random     *rand.Rand
	dropAfter  float64
	dropBefore float64
	running    int
	started    int64 // Unix milliseconds
}

// New returns a service.
func New(o Options) *Service {
	if o.Runs == nil {
		o.Runs = NewRunLog()
	}
	name := fnv.New64a()
	_, _ = name.Write([]byte(o.Name))
	s := &Service{
		options:    o,
		runs:       o.Runs,
		dead:       make(chan struct{}),
		random:     rand.New(rand.NewPCG(o.Seed, name.Sum64())),
		dropAfter:  o.DropAfter,
		dropBefore: o.DropBefore,
		started:    time.Now().UnixMilli(),
	}
	s.net = netfault.New(s, o.Listen)
	return s
}

// Listen serves the service at addr, an IP:port.
func (s *Service) Listen(addr string) error { return s.net.Listen(addr) }

// Net returns the server of Listen, for faults of its connections.
func (s *Service) Net() *netfault.Server { return s.net }

// Addr returns the address of Listen.
func (s *Service) Addr() string { return s.net.Addr() }

// Runs returns the record of runs.
func (s *Service) Runs() *RunLog { return s.runs }

// Close ends the service and its connections.
func (s *Service) Close() {
	s.Crash()
	s.net.Close()
}

// ServeHTTP implements http.Handler. While the service is crashed it aborts the connection.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dead := s.incarnation()
	if dead == nil || !s.waitUnfrozen(r.Context(), dead) {
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /outcome":
		outcome, ok := s.runs.outcome(r.URL.Query().Get("key"))
		if !ok {
			http.Error(w, "the key never ran", http.StatusNotFound)
			return
		}
		writeJSON(w, outcome)
	case "GET /v1/load":
		writeJSON(w, s.load())
	default:
		s.serveCall(w, r, dead)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request, dead <-chan struct{}) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	before, after, ok := s.begin()
	if !ok {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if before || !s.alive(dead) {
		panic(http.ErrAbortHandler)
	}
	// The run counts from here on, whatever becomes of the connection.
	run := s.runs.add(Run{
		Server: s.options.Name,
		Key:    r.Header.Get("Idempotency-Key"),
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Body:   body,
		Caller: r.UserAgent(),
	})
	if s.options.Delay > 0 {
		delay := time.NewTimer(s.options.Delay)
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-dead:
			panic(http.ErrAbortHandler)
		}
	}
	if after || !s.waitUnfrozen(r.Context(), dead) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, echoOf(run))
}

// begin admits a call and decides its faults.
func (s *Service) begin() (before, after, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.MaxRunning > 0 && s.running >= s.options.MaxRunning {
		return false, false, false
	}
	s.running++
	before = s.dropBefore > 0 && s.random.Float64() < s.dropBefore
	after = s.dropAfter > 0 && s.random.Float64() < s.dropAfter
	return before, after, true
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) load() backend.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backend.Load{Running: uint32(s.running), StartedUnixMillis: s.started}
}

// Crash closes all connections and refuses new ones until Restart. The run log is kept.
func (s *Service) Crash() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed = true
	s.unfreeze()
	close(s.dead)
	s.mu.Unlock()
	s.net.Crash()
}

// Restart starts a crashed service again. It returns an error when the address is taken.
func (s *Service) Restart() error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	if !s.crashed {
		s.mu.Unlock()
		return nil
	}
	s.crashed = false
	s.dead = make(chan struct{})
	s.started = max(time.Now().UnixMilli(), s.started+1)
	s.mu.Unlock()
	return s.net.Restart()
}

// Freeze stops all progress: connections stay open and nothing moves until Unfreeze or Crash.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil && !s.crashed {
		s.frozen = make(chan struct{})
		s.net.Freeze()
	}
}

// Unfreeze ends Freeze.
func (s *Service) Unfreeze() {
	s.mu.Lock()
	s.unfreeze()
	s.mu.Unlock()
	s.net.Unfreeze()
}

func (s *Service) unfreeze() {
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// SetDrops sets the probabilities of Options.DropBefore and Options.DropAfter.
func (s *Service) SetDrops(before, after float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropBefore = before
	s.dropAfter = after
}

// incarnation returns a channel that closes with the next crash, or nil while the service is crashed.
func (s *Service) incarnation() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil
	}
	return s.dead
}

func (s *Service) alive(dead <-chan struct{}) bool {
	select {
	case <-dead:
		return false
	default:
		return true
	}
}

// waitUnfrozen blocks while the service is frozen. It returns false when ctx or the incarnation ends.
func (s *Service) waitUnfrozen(ctx context.Context, dead <-chan struct{}) bool {
	for {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if frozen == nil {
			return true
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			return false
		case <-dead:
			return false
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller has gone when this fails
}

var _ http.Handler = (*Service)(nil)
