package bench

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms cover 1 µs to 10 min with 3 significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// maxExamples limits the descriptions of faulty responses in a report.
const maxExamples = 20

// outcome is the result of one request with all its retries and resumes.
type outcome struct {
	request        *request
	intendedAt     time.Time
	id             string
	addr           string    // the entry node that accepted it
	server         string    // the service stand-in that ran it, if the response names one
	sentAt         time.Time // of the accepted attempt
	firstTokenAt   time.Time
	lastTokenAt    time.Time
	endedAt        time.Time
	tokens         []string
	finishReason   string
	tokensReceived int
	accepted       bool
	complete       bool
	exact          bool
	lastRefusal    string // name of the last refusal
	problem        string
}

// noteProblem records the first problem and ignores later ones.
func (o *outcome) noteProblem(problem string) {
	if o.problem == "" {
		o.problem = problem
	}
}

// checkStream compares a stream with the expected response, token by token.
func (o *outcome) checkStream() {
	o.tokensReceived = len(o.tokens)
	if !o.complete {
		o.noteProblem(fmt.Sprintf("incomplete: %d of %d tokens", len(o.tokens), len(o.request.wantTokens)))
		return
	}
	if i := firstDifference(o.tokens, o.request.wantTokens); i >= 0 {
		o.problem = fmt.Sprintf("token %d differs; %d tokens, want %d", i+1, len(o.tokens), len(o.request.wantTokens))
		return
	}
	if o.finishReason != o.request.wantFinishReason {
		o.problem = fmt.Sprintf("finish reason %q, want %q", o.finishReason, o.request.wantFinishReason)
		return
	}
	// A wrong event ID would make a caller resume at the wrong token.
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

// second has the counts of one second of a run.
type second struct {
	Tokens   int `json:"tokens"`
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
}

type classRecord struct {
	requests, accepted, complete, exact int
	firstToken, tokenGaps               *hdrhistogram.Histogram
}

// recorder collects the results of all callers.
type recorder struct {
	mu               sync.Mutex
	startedAt        time.Time
	classes          map[string]*classRecord
	refusals         map[string]int
	refusalTimes     map[string]*hdrhistogram.Histogram // time to a refusal of non-repeatable calls
	callAttempts     []callAttempt
	timeline         []second
	examples         []string
	acceptedRequests []acceptedRequest
	tokensReceived   int
	resumes          int
	redirects        int
	resends          int
}

// acceptedRequest records where a request was accepted and when that attempt was sent.
type acceptedRequest struct {
	addr, server string
	sentAt       time.Time
}

func newRecorder() *recorder {
	return &recorder{
		startedAt:    time.Now(),
		classes:      map[string]*classRecord{},
		refusals:     map[string]int{},
		refusalTimes: map[string]*hdrhistogram.Histogram{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMax, max(1, d.Microseconds())))
}

func (r *recorder) increment(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

func (r *recorder) countRefusal(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[name]++
	r.secondAt(time.Now()).Refused++
}

func (r *recorder) recordRefusalTime(name string, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.refusalTimes[name]
	if h == nil {
		h = newHistogram()
		r.refusalTimes[name] = h
	}
	record(h, elapsed)
}

func (r *recorder) recordCallAttempt(c callAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callAttempts = append(r.callAttempts, c)
}

func (r *recorder) recordTokenGap(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.classRecord(class).tokenGaps, d)
}

func (r *recorder) countToken(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.secondAt(now).Tokens++
}

// secondAt returns the counts of the second that contains now. The caller holds r.mu.
func (r *recorder) secondAt(now time.Time) *second {
	i := int(now.Sub(r.startedAt) / time.Second)
	for len(r.timeline) <= i {
		r.timeline = append(r.timeline, second{})
	}
	return &r.timeline[i]
}

// classRecord returns the record of a class and creates it if needed. The caller holds r.mu.
func (r *recorder) classRecord(name string) *classRecord {
	c := r.classes[name]
	if c == nil {
		c = &classRecord{firstToken: newHistogram(), tokenGaps: newHistogram()}
		r.classes[name] = c
	}
	return c
}

// finish records the end of a request.
func (r *recorder) finish(o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classRecord(o.request.class)
	c.requests++
	r.tokensReceived += o.tokensReceived
	if !o.firstTokenAt.IsZero() {
		record(c.firstToken, o.firstTokenAt.Sub(o.intendedAt))
	}
	if o.accepted {
		c.accepted++
		r.acceptedRequests = append(r.acceptedRequests, acceptedRequest{o.addr, o.server, o.sentAt})
	}
	if o.complete {
		c.complete++
		r.secondAt(o.endedAt).Complete++
	}
	if o.exact {
		c.exact++
	}
	if o.accepted && !o.exact && len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf("%s %s %s: %s", o.request.class, o.id, o.request.idempotencyKey, o.problem))
	}
}
