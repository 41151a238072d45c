// Package service is a stand-in for a plain service. It counts the runs per Idempotency-Key, so that a test can detect
// a call that ran more than once. It never suppresses a repeated run itself.
//
//	ANY /...              runs the call: after the delay it returns 200 with the body and key of the request
//	GET /outcome?key=KEY  response of the key's first run; 404 if the key never ran
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
	// Delay is the running time of a call.
	Delay time.Duration
	// MaxRunning bounds the concurrent calls; more are refused. 0 means no limit.
	MaxRunning int
	// DropAfter is the probability that the connection is closed without a response after a call has run, DropBefore
	// that it is closed before the call runs.
	DropAfter  float64
	DropBefore float64
	// Runs is shared by the servers of one service, so that each can report the outcomes of all. If it is nil, the
	// server has a log of its own.
	Runs *RunLog
	// Listen opens listeners; nil means TCP.
	Listen netfault.ListenFunc
}

// FromSettings returns the options for a service of a stand-in process. The seed also determines the faults.
func FromSettings(server *pb.StandinServer, seed uint64) Options {
	return Options{Name: server.GetName(), Seed: seed, MaxRunning: int(server.GetMaxBatch())}
}

// Run is one run of a call.
type Run struct {
	Number uint64 `json:"number"` // position in the log, from 1
	Server string `json:"server"`
	Key    string `json:"key,omitempty"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body,omitempty"`
	// Caller is the User-Agent of the request, in which a load generator identifies its attempt.
	Caller string `json:"caller,omitempty"`
}

// Echo is the response to a call.
type Echo struct {
	Server string `json:"server"`
	Key    string `json:"key,omitempty"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
	Run    uint64 `json:"run"` // position in the log, from 1
}

// RunLog records the runs of a service. Like the database behind a service it survives a crash of a server.
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

// All returns all runs in order.
func (l *RunLog) All() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Count returns the number of runs with a key.
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

// firstOutcome returns the response of the key's first run, or false if there was none.
func (l *RunLog) firstOutcome(key string) (Echo, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.keys[key]
	if len(runs) == 0 {
		return Echo{}, false
	}
	return echoOf(l.runs[runs[0]]), true
}

func echoOf(r Run) Echo { return Echo{r.Server, r.Key, r.Path, string(r.Body), r.Number} }

// Service is one server of a service. It implements http.Handler; Listen serves it at its own address until Crash.
type Service struct {
	options Options
	net     *netfault.Server
	runs    *RunLog

	lifecycle sync.Mutex // held during Crash and Restart; acquired before mu

	mu          sync.Mutex
	crashSignal chan struct{} // closed by Crash
	crashed     bool
	frozen      chan struct{} // closed by Unfreeze or Crash; nil when not frozen
	random      *rand.Rand
	dropAfter   float64
	dropBefore  float64
	running     int
	started     int64 // Unix milliseconds
}

// New returns a service.
func New(o Options) *Service {
	if o.Runs == nil {
		o.Runs = NewRunLog()
	}
	name := fnv.New64a()
	_, _ = name.Write([]byte(o.Name))
	s := &Service{
		options:     o,
		runs:        o.Runs,
		crashSignal: make(chan struct{}),
		random:      rand.New(rand.NewPCG(o.Seed, name.Sum64())),
		dropAfter:   o.DropAfter,
		dropBefore:  o.DropBefore,
		started:     time.Now().UnixMilli(),
	}
	s.net = netfault.New(s, o.Listen)
	return s
}

// Listen serves the service at addr, an IP:port.
func (s *Service) Listen(addr string) error { return s.net.Listen(addr) }

// Net returns the server behind Listen, for injecting connection faults.
func (s *Service) Net() *netfault.Server { return s.net }

// Addr returns the address at which the service listens, or "" before Listen.
func (s *Service) Addr() string { return s.net.Addr() }

// Runs returns the log of runs.
func (s *Service) Runs() *RunLog { return s.runs }

// Close stops the service and closes its connections.
func (s *Service) Close() {
	s.Crash()
	s.net.Close()
}

// ServeHTTP implements http.Handler. While the service is crashed it aborts the connection.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	crashSignal := s.currentCrashSignal()
	if crashSignal == nil || !s.waitUnfrozen(r.Context(), crashSignal) {
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /outcome":
		outcome, ok := s.runs.firstOutcome(r.URL.Query().Get("key"))
		if !ok {
			http.Error(w, "the key never ran", http.StatusNotFound)
			return
		}
		writeJSON(w, outcome)
	case "GET /v1/load":
		writeJSON(w, s.load())
	default:
		s.serveCall(w, r, crashSignal)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request, crashSignal <-chan struct{}) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	dropBefore, dropAfter, ok := s.admit()
	if !ok {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	if dropBefore || !s.alive(crashSignal) {
		panic(http.ErrAbortHandler)
	}
	// From here on the run counts, even if the connection fails.
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
		case <-crashSignal:
			panic(http.ErrAbortHandler)
		}
	}
	if dropAfter || !s.waitUnfrozen(r.Context(), crashSignal) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, echoOf(run))
}

// admit counts a call as running and chooses its faults. ok is false if MaxRunning calls are already running.
func (s *Service) admit() (dropBefore, dropAfter, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.MaxRunning > 0 && s.running >= s.options.MaxRunning {
		return false, false, false
	}
	s.running++
	dropBefore = s.dropBefore > 0 && s.random.Float64() < s.dropBefore
	dropAfter = s.dropAfter > 0 && s.random.Float64() < s.dropAfter
	return dropBefore, dropAfter, true
}

func (s *Service) release() {
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
	close(s.crashSignal)
	s.mu.Unlock()
	s.net.Crash()
}

// Restart restarts a crashed service. It returns an error if the address is in use; for a service that is running it
// does nothing.
func (s *Service) Restart() error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	if !s.crashed {
		s.mu.Unlock()
		return nil
	}
	s.crashed = false
	s.crashSignal = make(chan struct{})
	s.started = max(time.Now().UnixMilli(), s.started+1)
	s.mu.Unlock()
	return s.net.Restart()
}

// Freeze stops all progress: connections stay open, but no data is sent or received until Unfreeze or Crash.
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
func (s *Service) SetDrops(dropBefore, dropAfter float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropBefore = dropBefore
	s.dropAfter = dropAfter
}

// currentCrashSignal returns a channel that is closed by the next crash, or nil while the service is crashed.
func (s *Service) currentCrashSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil
	}
	return s.crashSignal
}

func (s *Service) alive(crashSignal <-chan struct{}) bool {
	select {
	case <-crashSignal:
		return false
	default:
		return true
	}
}

// waitUnfrozen blocks while the service is frozen. It returns false if ctx ends or the service crashes.
func (s *Service) waitUnfrozen(ctx context.Context, crashSignal <-chan struct{}) bool {
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
		case <-crashSignal:
			return false
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}

var _ http.Handler = (*Service)(nil)
