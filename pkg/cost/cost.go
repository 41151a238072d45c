// Package cost predicts how much work a request is for a backend server before it is sent, from what earlier requests of
// its route, workspace and service turned out to be.
//
// Load pattern: requests that look alike differ widely. Outputs have a long tail (the 99th percentile is 20 times the
// median), callers state lengths that are right at the median and wrong by a factor of 4 for some of them, and the rate at
// which servers work differs between deployments and changes within seconds. A fixed estimate sends long work to busy
// servers and holds back short work.
//
// A Model has no clock and no lock: its owner serializes the calls. Averages are over the last samples, so that a busy
// route adapts within seconds. Its memory is bounded by maxKeys entries of each kind.
package cost

import (
	"math"
	"time"
)

const (
	// maxKeys limits the routes, pairs of route and workspace, and services that are tracked, each. A deployment has 5 routes
	// and 16 workspaces; the limit is for thousands of routes.
	maxKeys = 8192
	// sampleWeight is the weight of a sample in an average once enough samples are there: it is renewed after 20 samples,
	// about a second of a service at one node.
	sampleWeight = 0.05
	// maxRatio bounds the ratio of a measured to a predicted cost that one sample may claim.
	maxRatio = 8

	// initialPrefillRate is the prefill rate in prompt tokens per second before any measurement. Engines publish 57 to 92 per
	// millisecond without decoding; running batches take some of that.
	initialPrefillRate = 50_000
	// initialEventTime is the time per output event before any measurement: 7 to 9 tokens of 3.1 ms.
	initialEventTime = 25 * time.Millisecond
	// initialEvents is the number of output events of a request of an unknown route, initialSpread the standard deviation of
	// its logarithm.
	initialEvents = 30
	initialSpread = 1.0
	// initialPrompt is the number of uncached prompt tokens before any request.
	initialPrompt = 3000
	// initialWork is the work of a plain request before any measurement.
	initialWork = 50 * time.Millisecond
	// initialHintSpread is the standard deviation of the logarithm of a hint's error before any measurement: a factor of 4.
	initialHintSpread = 1.4
	// minSpread is the smallest standard deviation that a prediction assumes.
	minSpread = 0.1
	// maxDeviations is by how many standard deviations of the history a hint may change a prediction, so that one of 10^9 tokens
	// does not make a server look full.
	maxDeviations = 3
	// priorSamples is the number of samples as which the estimate of a route counts for a workspace on it.
	priorSamples = 4
)

// average is a mean of recent samples with its variance.
type average struct {
	mean, variance float64
	samples        float64
}

// add records a sample. The first samples weigh more, so that the initial estimate is left soon.
func (a *average) add(value float64) {
	a.samples++
	weight := max(sampleWeight, 1/(a.samples+1))
	d := value - a.mean
	a.mean += weight * d
	a.variance = (1 - weight) * (a.variance + weight*d*d)
}

// Model holds what was learned at one node.
type Model struct {
	routes     map[string]*lengths
	workspaces map[routeWorkspace]*lengths
	services   map[string]*service
	work       map[string]*average
}

// lengths are the output lengths of a route, or of a workspace on it: the logarithm of the number of events, and that of
// its ratio to the caller's hint.
type lengths struct{ events, hint average }

type routeWorkspace struct{ route, workspace string }

// service holds the rates of a service's servers at their usual speed.
type service struct {
	prefill, event, events, prompt, work, bias average
	speed                                      speedErrors
}

// NewModel returns a Model without measurements.
func NewModel() *Model {
	return &Model{routes: map[string]*lengths{}, workspaces: map[routeWorkspace]*lengths{}, services: map[string]*service{},
		work: map[string]*average{}}
}

// entry returns the value of a key, added by make if it is missing. A full map loses an arbitrary other entry, which is
// learned again when it is used.
func entry[K comparable, V any](m map[K]*V, key K, initial func() *V) *V {
	v := m[key]
	if v != nil {
		return v
	}
	if len(m) >= maxKeys {
		for other := range m {
			delete(m, other)
			break
		}
	}
	v = initial()
	m[key] = v
	return v
}

func newLengths() *lengths {
	return &lengths{events: average{mean: math.Log(initialEvents), variance: initialSpread * initialSpread},
		hint: average{variance: initialHintSpread * initialHintSpread}}
}

func newService() *service {
	return &service{prefill: average{mean: math.Log(initialPrefillRate)}, event: average{mean: math.Log(initialEventTime.Seconds())},
		events: average{mean: initialEvents},
		prompt: average{mean: initialPrompt}, work: average{mean: initialWork.Seconds()}}
}

// Output describes what is known of the length of a request's output before it is sent.
type Output struct {
	Route, Workspace string
	// Hint is the caller's estimate in tokens and Limit the largest number of tokens that it accepts; 0 if it states none.
	Hint, Limit int
}

// Prediction is a predicted number of output events.
type Prediction struct {
	// Median is exceeded by half of such requests, Tail by a tenth.
	Median, Tail float64
	// Mean includes the tail.
	Mean float64
}

// tailQuantile is the normal quantile of Prediction.Tail.
const tailQuantile = 1.2816

// Output predicts the output events of a request. The history of the workspace on the route counts for more the longer it
// is; the hint counts for as much as hints of this workspace were right lately.
func (m *Model) Output(o Output) Prediction {
	mean, variance := m.history(o)
	lowest, highest := mean-maxDeviations*math.Sqrt(variance), mean+maxDeviations*math.Sqrt(variance)
	if hint := m.hint(o); hint != nil && o.Hint > 0 {
		hinted := math.Log(float64(o.Hint)) + hint.mean
		byHistory, byHint := 1/max(variance, minSpread*minSpread), 1/max(hint.variance, minSpread*minSpread)
		if hint.samples == 0 {
			byHint = 0 // events per token are not known yet
		}
		mean = (mean*byHistory + hinted*byHint) / (byHistory + byHint)
		mean = min(max(mean, lowest), highest)
		variance = 1 / (byHistory + byHint)
	}
	spread := math.Sqrt(min(variance, 4))
	return Prediction{Median: max(math.Exp(mean), 1), Tail: max(math.Exp(mean+tailQuantile*spread), 1),
		Mean: max(math.Exp(mean+spread*spread/2), 1)}
}

// history returns the mean and variance of the logarithm of the events of such requests.
func (m *Model) history(o Output) (mean, variance float64) {
	mean, variance = math.Log(initialEvents), initialSpread*initialSpread
	if r := m.routes[o.Route]; r != nil {
		mean, variance = r.events.mean, r.events.variance
	}
	if w := m.workspaces[routeWorkspace{o.Route, o.Workspace}]; w != nil {
		share := min(w.events.samples, 1/sampleWeight)
		share /= share + priorSamples
		between := share * (1 - share) * (w.events.mean - mean) * (w.events.mean - mean)
		mean, variance = mean+share*(w.events.mean-mean), share*w.events.variance+(1-share)*variance+between
	}
	return mean, variance
}

// hint returns the errors of hints of a workspace, or of all on the route while the workspace has sent too few.
func (m *Model) hint(o Output) *average {
	if w := m.workspaces[routeWorkspace{o.Route, o.Workspace}]; w != nil && w.hint.samples >= priorSamples {
		return &w.hint
	}
	if r := m.routes[o.Route]; r != nil {
		return &r.hint
	}
	return nil
}

// ObserveOutput records the number of events of a complete output. It returns the ratio of the number to the predicted
// median.
func (m *Model) ObserveOutput(o Output, events float64) (ratio float64) {
	events = max(events, 1)
	ratio = events / m.Output(o).Median
	logEvents := math.Log(events)
	for _, l := range [...]*lengths{entry(m.routes, o.Route, newLengths),
		entry(m.workspaces, routeWorkspace{o.Route, o.Workspace}, newLengths)} {
		l.events.add(logEvents)
		if o.Hint > 0 {
			l.hint.add(logEvents - math.Log(float64(o.Hint)))
		}
	}
	return ratio
}

// Rates are how fast the servers of a service work at their usual speed.
type Rates struct {
	// Prefill is in prompt tokens per second.
	Prefill float64
	// EventTime is the time between two output events of a stream in seconds, Events the mean number of them.
	EventTime, Events float64
	// Prompt is the mean number of uncached prompt tokens.
	Prompt float64
	// Work is the mean work of a plain request in seconds.
	Work float64
	// Bias is the usual logarithm of the ratio of measured to expected times; it is not 0 where times are skewed.
	Bias float64
}

// Rates returns the rates of a service.
func (m *Model) Rates(name string) Rates {
	s := m.services[name]
	if s == nil {
		return Rates{Prefill: initialPrefillRate, EventTime: initialEventTime.Seconds(), Events: initialEvents, Prompt: initialPrompt, Work: initialWork.Seconds()}
	}
	return Rates{Prefill: math.Exp(s.prefill.mean), EventTime: math.Exp(s.event.mean), Events: s.events.mean,
		Prompt: s.prompt.mean, Work: s.work.mean, Bias: s.bias.mean}
}

// ObserveFirstEvent corrects the prefill rate of a service: a first event was expected after some time, of which share was
// for prefill, and came after another time. Waiting for a slot says nothing about the rate.
func (m *Model) ObserveFirstEvent(name string, expected, measured time.Duration, share float64) {
	s := entry(m.services, name, newService)
	if expected <= 0 || measured <= 0 || share < minPrefillShare {
		return
	}
	ratio := clampLog(measured, expected)
	s.prefill.add(min(max(s.prefill.mean-ratio*share, math.Log(minPrefillRate)), math.Log(maxPrefillRate)))
}

const (
	// minPrefillShare is the share of prefill in the time to a first event from which on it says something about the rate.
	minPrefillShare = 0.3
	// minPrefillRate and maxPrefillRate bound what is learned, in tokens per second.
	minPrefillRate = 2_000
	maxPrefillRate = 1_000_000
)

// ObserveBias records the ratio of a measured to an expected time, from which the ratios of single servers are told apart.
func (m *Model) ObserveBias(name string, expected, measured time.Duration) (logRatio float64) {
	logRatio = clampLog(measured, expected)
	s := entry(m.services, name, newService)
	deviation := logRatio - s.bias.mean
	s.bias.add(logRatio)
	return deviation
}

// ObservePrompt records the uncached prompt tokens of a request.
func (m *Model) ObservePrompt(name string, uncached float64) {
	s := entry(m.services, name, newService)
	s.prompt.add(min(uncached, maxRatio*s.prompt.mean))
}

// ObserveEvents records the number of events of a complete stream.
func (m *Model) ObserveEvents(name string, events float64) {
	entry(m.services, name, newService).events.add(events)
}

// ObserveEventTime records the time between two events of a stream in seconds, at the usual speed. Its logarithm is
// averaged, because pauses with a prefill in between are several times as long.
func (m *Model) ObserveEventTime(name string, seconds float64) {
	s := entry(m.services, name, newService)
	if seconds > 0 {
		s.event.add(min(max(math.Log(seconds), s.event.mean-math.Log(maxRatio)), s.event.mean+math.Log(maxRatio)))
	}
}

// Work predicts the work of a plain request of a route in seconds, at the usual speed.
func (m *Model) Work(name, route string) float64 {
	if w := m.work[route]; w != nil {
		return w.mean
	}
	return m.Rates(name).Work
}

// ObserveWork records the work of a plain request in seconds, at the usual speed.
func (m *Model) ObserveWork(name, route string, work float64) {
	s := entry(m.services, name, newService)
	w := entry(m.work, route, func() *average { return &average{mean: s.work.mean} })
	w.add(min(max(work, minTime.Seconds()), maxRatio*w.mean))
	s.work.add(min(max(work, minTime.Seconds()), maxRatio*s.work.mean))
}

// minTime is the shortest time that is told apart; network delays dominate below.
const minTime = time.Millisecond

// clampLog returns the logarithm of the ratio of two times, at most that of maxRatio.
func clampLog(measured, expected time.Duration) float64 {
	r := math.Log(float64(max(measured, minTime)) / float64(max(expected, minTime)))
	return min(max(r, -math.Log(maxRatio)), math.Log(maxRatio))
}
