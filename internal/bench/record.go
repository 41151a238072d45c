package bench

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms cover 1 us to 10 min with 3 significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// maxExamples bounds the descriptions of faulty answers in a report.
const maxExamples = 20

// outcome is what became of one request.
type outcome struct {
	request    *request
	intended   time.Time
	id         string
	addr       string    // the entry node that accepted it
	server     string    // the service that ran it, if its answer says so
	sent       time.Time // of the accepted try
	firstToken time.Time
	lastToken  time.Time
	ended      time.Time
	tokens     []string
	finish     string
	received   int
	accepted   bool
	complete   bool
	exact      bool
	refusal    string // the last one
	problem    string
}

// note keeps the first problem.
func (o *outcome) note(problem string) {
	if o.problem == "" {
		o.problem = problem
	}
}

// check compares a stream with the expected answer, token by token.
func (o *outcome) check() {
	o.received = len(o.tokens)
	if !o.complete {
		o.note(fmt.Sprintf("incomplete: %d of %d tokens", len(o.tokens), len(o.request.want)))
		return
	}
	if i := firstDifference(o.tokens, o.request.want); i >= 0 {
		o.problem = fmt.Sprintf("token %d differs; %d tokens, want %d", i+1, len(o.tokens), len(o.request.want))
		return
	}
	if o.finish != o.request.finish {
		o.problem = fmt.Sprintf("finish reason %q, want %q", o.finish, o.request.finish)
		return
	}
	// A wrong event id would make a caller resume at the wrong token.
	o.exact = !strings.Contains(o.problem, "event id")
}

// firstDifference returns the index of the first difference, or -1.
func firstDifference(got, want []string) int {
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || got[i] != want[i] {
			return i
		}
	}
	return -1
}

// second is the work of one second of a run.
type second struct {
	Tokens   int `json:"tokens"`
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
}

type classRecord struct {
	requests, accepted, complete, exact int
	first, gaps                         *hdrhistogram.Histogram
}

// recorder collects what the callers see.
type recorder struct {
	mu        sync.Mutex
	started   time.Time
	classes   map[string]*classRecord
	refusals  map[string]int
	refusedMs map[string]*hdrhistogram.Histogram // time to a refusal of non-repeatable calls
	claims    []claim
	timeline  []second
	examples  []string
	accepts   []accepted
	received  int
	resumes   int
	redirects int
	resends   int
}

// accepted tells where a request was accepted and when that try was sent.
type accepted struct {
	addr, server string
	sent         time.Time
}

func newRecorder() *recorder {
	return &recorder{
		started:   time.Now(),
		classes:   map[string]*classRecord{},
		refusals:  map[string]int{},
		refusedMs: map[string]*hdrhistogram.Histogram{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMax, max(1, d.Microseconds())))
}

func (r *recorder) count(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

func (r *recorder) refusal(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[name]++
	r.at(time.Now()).Refused++
}

func (r *recorder) refusedIn(name string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.refusedMs[name]
	if h == nil {
		h = newHistogram()
		r.refusedMs[name] = h
	}
	record(h, took)
}

func (r *recorder) claim(c claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims = append(r.claims, c)
}

func (r *recorder) gap(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.class(class).gaps, d)
}

func (r *recorder) tokenAt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at(now).Tokens++
}

// at returns the second of a time; r.mu is held.
func (r *recorder) at(now time.Time) *second {
	i := int(now.Sub(r.started) / time.Second)
	for len(r.timeline) <= i {
		r.timeline = append(r.timeline, second{})
	}
	return &r.timeline[i]
}

// class returns the record of a class; r.mu is held.
func (r *recorder) class(name string) *classRecord {
	c := r.classes[name]
	if c == nil {
		c = &classRecord{first: newHistogram(), gaps: newHistogram()}
		r.classes[name] = c
	}
	return c
}

// finish records the end of a request.
func (r *recorder) finish(o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.class(o.request.class)
	c.requests++
	r.received += o.received
	if !o.firstToken.IsZero() {
		record(c.first, o.firstToken.Sub(o.intended))
	}
	if o.accepted {
		c.accepted++
		r.accepts = append(r.accepts, accepted{o.addr, o.server, o.sent})
	}
	if o.complete {
		c.complete++
		r.at(o.ended).Complete++
	}
	if o.exact {
		c.exact++
	}
	if o.accepted && !o.exact && len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf("%s %s %s: %s", o.request.class, o.id, o.request.key, o.problem))
	}
}
