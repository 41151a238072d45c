package stall

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playCold sends requests, of which each takes a share of its time limit on any server, to a node without history, a few
// at the same time, two attempts each. It returns how many fail. decide tells whether an attempt is abandoned when its
// timer fires.
func playCold(decide func(f *Forecasts, a Attempt, waited time.Duration, now time.Time) bool, shares []float64, seed uint64) (failed int) {
	const requests, gap, step = 300, 30 * time.Millisecond, 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 3))
	type run struct {
		attempt           Attempt
		takes, timeout    time.Duration
		started, deadline time.Time
		timed, second     bool
	}
	f, now := NewForecasts(), time.Unix(1000, 0)
	var open []*run
	for sent := 0; sent < requests || len(open) > 0; now = now.Add(step) {
		if sent < requests && now.Sub(time.Unix(1000, 0)) >= time.Duration(sent)*gap {
			limit := 2500 * time.Millisecond
			r := &run{started: now, deadline: now.Add(limit), takes: time.Duration(shares[rng.IntN(len(shares))] * float64(limit))}
			r.attempt = Attempt{Service: "s", Expected: 40 * time.Millisecond, Target: time.Second, Left: limit}
			r.timeout, r.timed = f.Timeout(r.attempt, now)
			open, sent = append(open, r), sent+1
		}
		var still []*run
		for _, r := range open {
			waited := now.Sub(r.started)
			switch {
			case waited >= r.takes && !now.After(r.deadline):
				f.Record("s", r.attempt.Expected, waited, now)
				continue
			case now.After(r.deadline):
				failed++
				continue
			case r.timed && !r.second && waited >= r.timeout && decide(f, r.attempt, waited, now):
				f.Abandon("s", now)
				r.second, r.started = true, now
			}
			still = append(still, r)
		}
		open = still
	}
	return failed
}

// Guards against requests that fail on a node that has just started because their first attempt is abandoned when the
// second one no longer has the time. The simple rule abandons each attempt when its time is over.
func TestColdNodeAbandonsNoSoundAttempt(t *testing.T) {
	simple := func(*Forecasts, Attempt, time.Duration, time.Time) bool { return true }
	for seed := range uint64(5) {
		for _, shares := range [][]float64{{0.5}, {0.8}, {0.95}, {0.5, 0.8, 0.95}} {
			assert.Equal(t, playCold((*Forecasts).Stalled, shares, seed), 0, "shares %v, seed %d", shares, seed)
			if shares[0] > 0.5 {
				assert.Assert(t, playCold(simple, shares, seed) > 0, "shares %v, seed %d", shares, seed)
			}
		}
	}
}

// Guards against lost answers that are not noticed on a node that has just started although others are answered fast, and
// against completed attempts that count as usual while most are abandoned.
func TestColdNodeNoticesLostAnswers(t *testing.T) {
	f, now := NewForecasts(), time.Unix(1000, 0)
	a := Attempt{Service: "s", Expected: 40 * time.Millisecond, Target: time.Second, Left: 2500 * time.Millisecond}
	assert.Assert(t, !f.Stalled(a, 700*time.Millisecond, now), "nothing is known")
	f.Record("s", a.Expected, 100*time.Millisecond, now)
	assert.Assert(t, f.Stalled(a, 700*time.Millisecond, now))
	assert.Assert(t, !f.Stalled(a, 150*time.Millisecond, now), "not much slower than the completed one")
	assert.Assert(t, !f.Stalled(a, 1300*time.Millisecond, now), "too little time for another attempt")
	for range maxAbandoned {
		f.Abandon("s", now)
	}
	assert.Assert(t, !f.Stalled(a, 700*time.Millisecond, now), "most attempts are not as fast as the completed one")
	for range 8 {
		f.Record("s", a.Expected, 100*time.Millisecond, now)
	}
	assert.Assert(t, f.Stalled(a, 800*time.Millisecond, now), "the usual time is known")
}
