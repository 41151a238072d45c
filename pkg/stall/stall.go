// Package stall decides how long an attempt may show nothing before its request is sent to another server.
//
// Load pattern: the answers of most servers are lost for a while, or some servers hang, while requests with short time
// limits arrive. A fixed time limit for the first sign of an answer is too long for requests whose time is nearly over by
// then, and too short for long prompts on loaded engines, where each needless second attempt adds load. So the time
// follows what was expected of the attempt, how wrong such forecasts were lately, the target of the route and the time
// that is left. A node that has just started has no such forecasts: requests that take most of their time limit would all
// be abandoned and begun anew too late, so an attempt then counts as stalled only beside completed ones that were much
// faster.
package stall

import (
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/recent"
)

const (
	// errorQuantile is the part of the recent attempts whose forecast errors count as usual.
	errorQuantile = 0.95
	// tolerance times the usual time is how long an attempt may take before it counts as stalled.
	tolerance = 2
	// defaultError is the assumed forecast error of a service without recent attempts, defaultTarget the target of a
	// route that has none.
	defaultError  = 4
	defaultTarget = 2 * time.Second
	// minExpected is the shortest time that forecasts are compared with; network delays dominate below.
	minExpected = 10 * time.Millisecond
	// earlyWindow is how long the first attempts of a service are remembered: as long as recent ones are at least.
	earlyWindow = 30 * time.Second
	// maxAbandoned is the number of abandoned attempts for each completed one beyond which the completed ones no longer
	// show what is usual. An abandoned attempt is a censored observation: it would have taken longer than it was given.
	// Lost answers of most servers abandon up to three of four attempts.
	maxAbandoned = 4
	// smallestError is the smallest ratio of measured to expected times that is told apart.
	smallestError = 1.0 / 64
)

// Forecasts records by how much forecasts of the first sign of an answer were wrong, by service. Its methods may be called
// concurrently.
type Forecasts struct {
	errors *recent.Histograms

	mu    sync.Mutex
	early map[string]*earlyAttempts // by service
}

// earlyAttempts counts the attempts of a service while there are too few for a forecast error.
type earlyAttempts struct {
	until                time.Time
	completed, abandoned int
	slowest              time.Duration // of those completed
}

// NewForecasts returns an empty record.
func NewForecasts() *Forecasts {
	return &Forecasts{errors: recent.New(smallestError), early: map[string]*earlyAttempts{}}
}

// Record adds an attempt whose first sign of an answer was expected after one time and came after another.
func (f *Forecasts) Record(service string, expected, took time.Duration, now time.Time) {
	f.errors.Record(service, float64(took)/float64(max(expected, minExpected)), now)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.earlyOf(service, now)
	e.completed++
	e.slowest = max(e.slowest, took)
}

// Abandon adds an attempt that was abandoned before its first sign of an answer.
func (f *Forecasts) Abandon(service string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.earlyOf(service, now).abandoned++
}

func (f *Forecasts) earlyOf(service string, now time.Time) *earlyAttempts {
	e := f.early[service]
	if e == nil || now.After(e.until) {
		e = &earlyAttempts{until: now.Add(earlyWindow)}
		f.early[service] = e
	}
	return e
}

// Stalled reports whether an attempt that has shown nothing for the given time may be abandoned. With few recent attempts
// that needs a completed one, much faster than that, and time for another attempt that takes as long as this one has.
func (f *Forecasts) Stalled(a Attempt, waited time.Duration, now time.Time) bool {
	if _, known := f.errors.Quantile(a.Service, errorQuantile, now); known {
		timeout, ok := f.Timeout(a, now) // more may be known than at the start of the attempt
		return ok && waited >= timeout
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.earlyOf(a.Service, now)
	return e.completed > 0 && e.abandoned < maxAbandoned*e.completed && waited >= tolerance*e.slowest && a.Left-waited >= waited
}

// Attempt is an attempt that is about to be made.
type Attempt struct {
	Service string
	// Expected is the forecast of the time to the first sign of an answer, Target the latency target of the route, or 0,
	// and Left the time until the deadline of the request.
	Expected, Target, Left time.Duration
}

// Timeout returns how long to wait for the first sign of an answer before another attempt. ok is false if another attempt
// would come too late to be answered.
func (f *Forecasts) Timeout(a Attempt, now time.Time) (timeout time.Duration, ok bool) {
	factor, known := f.errors.Quantile(a.Service, errorQuantile, now)
	if !known {
		factor = defaultError
	}
	usual := time.Duration(max(factor, 1) * float64(max(a.Expected, minExpected)))
	target := a.Target
	if target == 0 {
		target = defaultTarget
	}
	// A second attempt costs load, so it starts no earlier than it must to meet the target.
	timeout = max(tolerance*usual, target-tolerance*usual)
	if latest := a.Left - usual; timeout > latest {
		timeout = latest
	}
	return timeout, timeout >= usual
}
