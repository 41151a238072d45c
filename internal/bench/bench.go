// Package bench puts a bounded load on a deployment and checks the promises that callers get.
//
// # Design
//
// The load is open-loop: the arrival times are drawn before the run from a seeded Poisson process, and latencies count
// from the intended start, so that a deployment that stalls cannot hide its delay (coordinated omission). Requests
// that arrive while the concurrency bound is reached are dropped and counted.
//
// Callers behave as the interface describes: they ask /v1/entries, keep the answer for its ttl, follow redirects,
// resume broken streams on another entry node and resend non-repeatable calls with the same key. Each caller connects
// from its own loopback address, because an entry node orders the entries by the caller's address.
//
// The stand-in engines give an answer that depends on the request only, so every answer is compared token by token.
// Calls are compared with the run log of the service stand-ins. Each try of a call names itself in User-Agent, so that a
// run can be attributed to the try that caused it.
package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options configure one load.
type Options struct {
	Entries  []string
	Tokens   []string
	Mix      string
	Rate     float64 // arrivals per second
	Duration time.Duration
	Seed     uint64
	// Fault is the address of the stand-ins' fault API; without it there are no run, token and cost figures.
	Fault string
	// MaxOpen bounds the open requests; 0 means DefaultMaxOpen.
	MaxOpen int
	// Patience bounds one request with all its retries; 0 means DefaultPatience.
	Patience time.Duration
	// LongAnswers makes the answers of streams this many tokens long; 0 leaves them as the mix has them.
	LongAnswers int
	// Callers is the number of callers; 0 means defaultCallers.
	Callers int
}

// Defaults of Options.
const (
	DefaultMaxOpen  = 2000
	DefaultPatience = 3 * time.Minute
	defaultCallers  = 16
)

func (o *Options) setDefaults() {
	if o.MaxOpen == 0 {
		o.MaxOpen = DefaultMaxOpen
	}
	if o.Patience == 0 {
		o.Patience = DefaultPatience
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
}

// arrivals returns the offsets of a Poisson process with the given rate per second, up to the duration.
func arrivals(seed uint64, rate float64, duration time.Duration) []time.Duration {
	if rate <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var out []time.Duration
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= duration.Seconds() {
			return out
		}
		out = append(out, time.Duration(math.Round(at*float64(time.Second))))
	}
}
