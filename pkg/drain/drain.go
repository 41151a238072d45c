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
	// paceQuantile is the same for the time per token, which evens out over a stream.
	paceQuantile = 0.5
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
// In the first seconds, in which refusals would affect all callers of the node, a stream is accepted if it usually ends in
// time at its size, and any request that can be repeated or resumed if most of its route do. After them, a stream is
// accepted only if its deadline passes in time.
func (s Stop) Accept(r Request, d *Durations, now time.Time) bool {
	since := now.Sub(s.At)
	left := s.Work - since
	if r.Left <= left {
		return true
	}
	learning := since <= min(learnPeriod, time.Duration(learnShare*float64(s.Grace)))
	if r.Stream && !learning {
		return false
	}
	if usual, known := d.ofSize(r, now); known && learning {
		if !r.Repeat.MayRetry() {
			usual = time.Duration(margin * float64(usual))
		}
		return usual <= left
	}
	if learning && r.Repeat.MayRetry() {
		usual, known := d.quantile(r.Route, usualQuantile, now)
		return !known || usual <= left
	}
	longest, known := d.quantile(r.Route, 1, now)
	return known && time.Duration(margin*float64(longest)) <= left
}

// minPace is the smallest time per token that is told apart, in milliseconds.
const minPace = 1.0 / 64

// Durations records how long the requests of each route took, and for the streams of each service the times to the first
// event and from then on per token. Its methods may be called concurrently.
type Durations struct{ milliseconds, first, pace *recent.Histograms }

// NewDurations returns an empty record.
func NewDurations() *Durations {
	return &Durations{milliseconds: recent.New(1), first: recent.New(1), pace: recent.New(minPace)}
}

// Record adds the duration of a request that was served. first is the time to the first event of a stream.
func (d *Durations) Record(r Request, first, took time.Duration, now time.Time) {
	d.milliseconds.Record(r.Route, milliseconds(took), now)
	if r.Stream && r.Output > 0 {
		d.first.Record(r.Service, milliseconds(first), now)
		d.pace.Record(r.Service, milliseconds(took-first)/float64(r.Output), now)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ofSize returns the time in which most streams of the size of r end. ok is false if sizes or times are not known.
func (d *Durations) ofSize(r Request, now time.Time) (usual time.Duration, ok bool) {
	if !r.Stream || r.Output == 0 {
		return 0, false
	}
	first, known := d.first.Quantile(r.Service, usualQuantile, now)
	pace, paceKnown := d.pace.Quantile(r.Service, paceQuantile, now)
	return fromMilliseconds(first + pace*float64(r.Output)), known && paceKnown
}

// quantile returns the duration that a part q of the recent requests of a route did not exceed.
func (d *Durations) quantile(route string, q float64, now time.Time) (time.Duration, bool) {
	ms, ok := d.milliseconds.Quantile(route, q, now)
	return fromMilliseconds(ms), ok
}
