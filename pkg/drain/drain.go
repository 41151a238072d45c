// Package drain decides which requests a stopping node still accepts.
//
// Load pattern: callers keep the address of a node for some seconds after its stop signal, and go on sending requests
// until the end of its grace period, some of which run for as long as the whole period. A request that is cut off at
// the end is lost, or may have run without an answer; one that is refused at once is served by another node. So a
// request is accepted only if it ends in time: because its deadline passes before, or because recent requests of its
// route have ended in less time. The second is no promise for a stream, of which a part has been sent when the time is
// over: recent streams say nothing about a longer one.
package drain

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/recent"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// margin times the longest recent duration of a route is the time that one of its requests is given.
	margin = 1.5
	// usualQuantile is the part of the recent requests whose durations count as usual.
	usualQuantile = 0.9
	// learnPeriod is how long after the stop signal callers send requests because they have not queried the directory
	// since. learnShare limits it to a part of the grace period.
	learnPeriod = 2500 * time.Millisecond
	learnShare  = 0.35
)

// Request is a request that reaches a stopping node.
type Request struct {
	Route, Service string
	Repeat         serving.RetryRule
	// Stream is set if the response is sent in parts, so that no error can replace it once it has begun.
	Stream bool
	// Output is the expected size of the response in tokens, or 0 if it is not known.
	Output int
	// Left is the time until the deadline of the request.
	Left time.Duration
}

// Stop is the stop of a node.
type Stop struct {
	// At is the time of the stop signal. All requests must have ended after Work, and the process after Grace.
	At          time.Time
	Work, Grace time.Duration
}

// Accept reports whether a stopping node accepts a request.
//
// In the first seconds, in which refusals would affect all callers of the node, a request that can be repeated or
// resumed is accepted if most requests of its size would end in time. After them, a stream is accepted only if its
// deadline passes in time.
func (s Stop) Accept(r Request, d *Durations, now time.Time) bool {
	since := now.Sub(s.At)
	left := s.Work - since
	if r.Left <= left {
		return true
	}
	learning := since <= min(learnPeriod, time.Duration(learnShare*float64(s.Grace)))
	switch {
	case learning && r.Repeat.MayRetry():
		usual, known := d.estimate(r, usualQuantile, now)
		return !known || usual <= left
	case r.Stream && !learning:
		return false
	}
	longest, known := d.estimate(r, 1, now)
	return known && time.Duration(margin*float64(longest)) <= left
}

// minPace is the smallest time per token that is told apart, in milliseconds.
const minPace = 1.0 / 64

// Durations records how long the requests of each route took, and how long the streams of each service took per token.
// Its methods may be called concurrently.
type Durations struct{ milliseconds, pace *recent.Histograms }

// NewDurations returns an empty record.
func NewDurations() *Durations {
	return &Durations{milliseconds: recent.New(1), pace: recent.New(minPace)}
}

// Record adds the duration of a request that was served.
func (d *Durations) Record(r Request, took time.Duration, now time.Time) {
	ms := float64(took) / float64(time.Millisecond)
	d.milliseconds.Record(r.Route, ms, now)
	if r.Stream && r.Output > 0 {
		d.pace.Record(r.Service, ms/float64(r.Output), now)
	}
}

// estimate returns the time that a part q of the recent streams of the size of r did not exceed, or of the recent requests
// of its route where sizes are not known.
func (d *Durations) estimate(r Request, q float64, now time.Time) (time.Duration, bool) {
	if r.Stream && r.Output > 0 {
		if pace, ok := d.pace.Quantile(r.Service, q, now); ok {
			return time.Duration(pace * float64(r.Output) * float64(time.Millisecond)), true
		}
	}
	ms, ok := d.milliseconds.Quantile(r.Route, q, now)
	return time.Duration(ms * float64(time.Millisecond)), ok
}
