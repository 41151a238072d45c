// Package bench puts a bounded load on a deployment and checks the guarantees given to callers.
//
// # Design
//
// The load is open-loop: the arrival times are drawn before the run from a seeded Poisson process, and latencies are
// measured from the intended start, so that a deployment that stalls cannot hide its delay (coordinated omission).
// Requests that arrive while the concurrency limit is reached are dropped and counted.
//
// Callers follow the client protocol: they query /v1/entries, cache the response for its TTL, follow redirects, resume
// interrupted streams on another entry node and retry non-repeatable calls with the same key. Each caller connects
// from its own loopback address, because an entry node orders the entries by the caller's address.
//
// The output of a stand-in engine depends only on the request, so every response is compared token by token. Calls are
// compared with the run log of the service stand-ins. Each attempt of a call identifies itself in User-Agent, so that
// a run can be attributed to the attempt that caused it.
package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options configures one load.
type Options struct {
	Entries  []string
	Tokens   []string
	Mix      string
	Rate     float64 // arrivals per second
	Duration time.Duration
	Seed     uint64
	// Fault is the address of the stand-ins' fault API; without it there are no run, token and cost figures.
	Fault string
	// MaxOpen limits the number of open requests; 0 means DefaultMaxOpen.
	MaxOpen int
	// Patience is the timeout of one request with all its retries; 0 means DefaultRequestTimeout.
	Patience time.Duration
	// LongAnswers is the length of streamed responses in tokens; 0 uses the lengths of the mix.
	LongAnswers int
	// Callers is the number of callers; 0 means defaultCallers.
	Callers int
}

// Defaults of Options.
const (
	DefaultMaxOpen        = 2000
	DefaultRequestTimeout = 3 * time.Minute
	defaultCallers        = 16
)

func (o *Options) setDefaults() {
	if o.MaxOpen == 0 {
		o.MaxOpen = DefaultMaxOpen
	}
	if o.Patience == 0 {
		o.Patience = DefaultRequestTimeout
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
}

// arrivalTimes returns the offsets of a Poisson process with the given rate per second, up to the duration.
func arrivalTimes(seed uint64, rate float64, duration time.Duration) []time.Duration {
	if rate <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var offsets []time.Duration
	for seconds := 0.0; ; {
		seconds += rng.ExpFloat64() / rate
		if seconds >= duration.Seconds() {
			return offsets
		}
		offsets = append(offsets, time.Duration(math.Round(seconds*float64(time.Second))))
	}
}
