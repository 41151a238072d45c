package rollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var seeds = flag.Int("rollout.seeds", 12, "seeds of each replayed rollout")

// day is a rollout that is replayed: the version's faults and what else happens.
type day struct {
	errors, slow                  bool
	oneRoute, underLoad, late     bool
	overload, lostDomain, restart bool
	plain                         bool // 4 servers, calls of 60 ms
}

func (d day) bad() bool { return d.errors || d.slow }

const (
	replayNodes    = 8
	replayDuration = 12 * time.Second
	replayStep     = 10 * time.Millisecond
	heartbeatDelay = 560 * time.Millisecond
	bootTime       = 600 * time.Millisecond
	storeDelay     = 100 * time.Millisecond
)

var replayBounds = Bounds{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}

type replayRoute struct {
	weight, failures float64
	typical          time.Duration
}

type replayNode struct {
	rollout  *Rollout
	gate     *Gate
	recorder *Recorder
	name     string
}

type replayEnd struct {
	at   time.Time
	done func(at time.Time)
}

// replay is one replayed rollout.
type replay struct {
	day
	random         *rand.Rand
	routes         []replayRoute
	servers        int
	rate           float64
	nodes          []*replayNode
	heartbeats     []replayEnd // in the order of their arrival
	responses      map[int64][]replayEnd
	load           []float64 // recent requests per second of each new server
	start          time.Time
	faultAt        time.Time // of overload, lost domain or restart
	total, exposed int
	badResponses   int
	fiftiethBad    time.Time
	lastSent       time.Time
	// decide chooses the version of a request; the plain rule of a test replaces it.
	decide func(n *replayNode, route uint32, now time.Time) (Version, int)
}

func newReplay(d day, seed uint64) *replay {
	r := &replay{day: d, random: rand.New(rand.NewPCG(seed, 7)), responses: map[int64][]replayEnd{}, start: time.Unix(1000, 0)}
	r.rate, r.servers = 250+350*r.random.Float64(), 60
	r.routes = []replayRoute{{0.23, 0.002, 500 * time.Millisecond}, {0.33, 0.002, 150 * time.Millisecond}, {0.44, 0.002, 300 * time.Millisecond}}
	if d.plain {
		r.rate, r.servers = 100+100*r.random.Float64(), 4
		r.routes = []replayRoute{{0.72, 0.002, 80 * time.Millisecond}, {0.28, 0.14, 80 * time.Millisecond}}
	}
	r.load = make([]float64, r.servers)
	latest := 10.0
	if d.restart { // later, the time that is left is not enough for a version that must be judged anew
		latest = 5.5
	}
	r.faultAt = r.start.Add(time.Duration((1 + (latest-1)*r.random.Float64()) * float64(time.Second)))
	r.decide = r.share
	r.startNodes(r.start, 1)
	return r
}

func (r *replay) startNodes(now time.Time, slack float64) {
	r.nodes, r.heartbeats = nil, nil
	for i := range replayNodes {
		n := &replayNode{name: fmt.Sprint(i, now), recorder: NewRecorder(), gate: NewGate(replayBounds, r.random.Float64(), slack/replayNodes),
			rollout: NewRollout(Order{Service: "s", To: "v2", Duration: replayDuration}, "v1", replayBounds, r.start)}
		r.nodes = append(r.nodes, n)
	}
}

func (r *replay) share(n *replayNode, route uint32, now time.Time) (Version, int) {
	canaries := min(n.rollout.Canaries(now), r.servers)
	if !n.rollout.Allows(n.gate, now) || r.random.Float64() >= n.rollout.RouteShare(route, now) {
		return Old, 0
	}
	return New, r.random.IntN(canaries)
}

// run replays the rollout and returns the outcome in the store and when it was written.
func (r *replay) run() (Phase, time.Duration) {
	restarted := time.Time{}
	written, writtenAt := Phase(0), time.Duration(0)
	for now := r.start; now.Before(r.start.Add(replayDuration)); now = now.Add(replayStep) {
		if r.restart && restarted.IsZero() && !now.Before(r.faultAt) {
			restarted = now
			r.startNodes(now, 0)
			for _, n := range r.nodes {
				n.rollout.Adopt(written, "", now)
			}
		}
		if restarted.IsZero() || now.Sub(restarted) > 800*time.Millisecond {
			r.arrive(now)
		}
		for _, e := range r.responses[now.UnixNano()] {
			e.done(now)
		}
		delete(r.responses, now.UnixNano())
		for len(r.heartbeats) > 0 && !r.heartbeats[0].at.After(now) {
			r.heartbeats[0].done(now)
			r.heartbeats = r.heartbeats[1:]
		}
		if elapsed := now.Sub(r.start); elapsed%(250*time.Millisecond) == 0 {
			r.decideAll(now)
		}
		holder := r.nodes[0].rollout
		if p := holder.Phase(); written == 0 && p.Decided() && now.Sub(holder.since) >= storeDelay {
			written, writtenAt = Reverted, now.Sub(r.start)
			if p == Completing {
				written = Completed
			}
		}
	}
	return written, writtenAt
}

func (r *replay) decideAll(now time.Time) {
	in := Input{Now: now, OldServers: r.servers, Streams: !r.plain}
	if !now.Before(r.start.Add(bootTime)) {
		in.NewServers, in.NewSince = r.servers, r.start.Add(bootTime)
	}
	for i, n := range r.nodes {
		n.rollout.SetServers(in)
		n.rollout.Judge.Set(n.name, n.recorder.Export(now))
		n.rollout.Observe(now)
		if i == 0 {
			n.rollout.Advance(in)
		}
		r.send(n, i == 0, now)
	}
}

// send sends a node's counts, and the phase of the holder or of a node that has stopped, to the others.
func (r *replay) send(from *replayNode, holder bool, now time.Time) {
	evidence, phase := from.recorder.Export(now), from.rollout.Phase()
	nodes := r.nodes
	r.heartbeats = append(r.heartbeats, replayEnd{now.Add(heartbeatDelay), func(at time.Time) {
		for _, n := range nodes {
			n.rollout.Judge.Set(from.name, evidence)
			if holder || phase == Reverting {
				n.rollout.Adopt(phase, "", at)
			}
		}
	}})
}

func (r *replay) arrive(now time.Time) {
	expected := r.rate * replayStep.Seconds() * r.overloaded(now, 2)
	for range int(expected) + map[bool]int{true: 1}[r.random.Float64() < expected-math.Floor(expected)] {
		n, route := r.nodes[r.random.IntN(len(r.nodes))], r.pickRoute()
		r.total++
		n.gate.Request()
		version, server := r.decide(n, uint32(route), now)
		if version == Old {
			server = r.random.IntN(r.servers)
		} else {
			r.exposed++
			n.gate.Sent()
			r.lastSent = now
			r.load[server] += 1
		}
		r.respond(n, Key{uint32(route), uint32(server % 4)}, version, server, now)
	}
	for i := range r.load {
		r.load[i] *= math.Exp(-replayStep.Seconds())
	}
}

func (r *replay) overloaded(now time.Time, factor float64) float64 {
	if since := now.Sub(r.faultAt); r.overload && since > 0 && since < 4*time.Second {
		return factor
	}
	return 1
}

func (r *replay) pickRoute() int {
	x := r.random.Float64()
	for i, route := range r.routes {
		if x -= route.weight; x < 0 {
			return i
		}
	}
	return 0
}

func (r *replay) respond(n *replayNode, k Key, v Version, server int, now time.Time) {
	route := r.routes[k.Route]
	elapsed := float64(route.typical) * math.Exp(0.5*r.random.NormFloat64()) * r.overloaded(now, 4)
	failed := r.random.Float64() < route.failures
	if since := now.Sub(r.faultAt); r.lostDomain && k.Domain == 1 && since > 0 && since < 2*time.Second {
		failed = failed || r.random.Float64() < 0.8
	}
	if v == New && r.bad() && r.random.Float64() < 0.5 && r.faulty(k, server, now) {
		if r.badResponses++; r.badResponses == 50 {
			r.fiftiethBad = now
		}
		if r.errors {
			failed = true
		} else {
			elapsed *= 8
		}
	}
	attempt := n.recorder.Begin(k, v, now)
	end := now.Add(time.Duration(elapsed)).Truncate(replayStep).Add(replayStep)
	r.responses[end.UnixNano()] = append(r.responses[end.UnixNano()], replayEnd{end, func(at time.Time) {
		if failed {
			n.recorder.Failed(attempt)
		} else {
			n.recorder.Answered(attempt, at.Sub(now))
		}
	}})
}

// faulty reports whether the fault of the version shows.
func (r *replay) faulty(k Key, server int, now time.Time) bool {
	switch {
	case r.oneRoute:
		return k.Route == uint32(len(r.routes)-1)
	case r.late:
		return now.Sub(r.start) > bootTime+2800*time.Millisecond
	case r.underLoad:
		return r.load[server] > 0.6*r.rate/float64(r.servers)
	}
	return true
}

// plainRule is the rule in place of this package's: a tenth of the requests goes to the new version on any server, a version
// is bad once a fifth of twenty of its responses have failed, and all requests move when half of the time is over.
type plainRule struct{ stopped bool }

func (p *plainRule) share(r *replay) func(*replayNode, uint32, time.Time) (Version, int) {
	return func(n *replayNode, _ uint32, now time.Time) (Version, int) {
		counts := Counts{}
		for _, pair := range n.recorder.ended {
			counts.add(&pair[New])
		}
		p.stopped = p.stopped || counts.Failed >= 4 && counts.Failed*5 > counts.Failed+counts.Answered()
		half := now.Sub(r.start) > replayDuration/2
		if p.stopped || now.Sub(r.start) < bootTime || !half && r.random.Float64() >= replayBounds.ExposureShare {
			return Old, 0
		}
		return New, r.random.IntN(r.servers)
	}
}

// Guards against replays that any rule passes.
func TestPlainRuleFailsTheReplays(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"good, lost domain", "slow", "errors under load"} {
		r := newReplay(replayDays[name], 1)
		plain := &plainRule{}
		r.decide = plain.share(r)
		r.run()
		within := float64(r.exposed) <= replayBounds.ExposureShare*float64(r.total)+replayBounds.ExposureSlack
		assert.Assert(t, plain.stopped != r.bad() || r.bad() && !within, "%s: stopped %v, %d of %d", name, plain.stopped, r.exposed, r.total)
	}
}

var replayDays = map[string]day{
	"good": {}, "good, plain": {plain: true}, "good, overload": {overload: true}, "good, overload, plain": {overload: true, plain: true},
	"good, lost domain": {lostDomain: true}, "good, lost domain, plain": {lostDomain: true, plain: true}, "good, restart": {restart: true},
	"errors": {errors: true}, "errors, plain": {errors: true, plain: true}, "errors, overload": {errors: true, overload: true}, "slow": {slow: true}, "slow, plain": {slow: true, plain: true},
	"errors under load": {errors: true, underLoad: true}, "slow under load": {slow: true, underLoad: true}, "errors under load, plain": {errors: true, underLoad: true, plain: true},
	"errors on one route": {errors: true, oneRoute: true}, "errors on one route, plain": {errors: true, oneRoute: true, plain: true},
	"slow on one route": {slow: true, oneRoute: true}, "errors, late": {errors: true, late: true}, "slow, late": {slow: true, late: true},
	"errors, late, plain": {errors: true, late: true, plain: true}, "errors, restart": {errors: true, restart: true},
}

// Guards against bad versions that get more requests than the bound or are not reverted, and against good ones that are
// not completed in time, because of what happens to both versions.
func TestVersionsAreJudgedRightWithinTheBound(t *testing.T) {
	t.Parallel()
	for name, d := range replayDays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			right, most := 0, 0.0
			for seed := range *seeds {
				r := newReplay(d, uint64(seed))
				outcome, at := r.run()
				if (outcome == Reverted) == d.bad() && outcome != 0 {
					right++
				} else {
					t.Logf("seed %d: %v at %v: %s; %+v", seed, outcome, at, r.nodes[0].rollout.Reason, r.nodes[0].rollout.Verdict())
				}
				if !d.bad() {
					continue
				}
				limit := replayBounds.ExposureShare*float64(r.total) + replayBounds.ExposureSlack
				most = max(most, float64(r.exposed)/limit)
				assert.Assert(t, float64(r.exposed) <= limit, "seed %d: %d of %d requests reached the bad version", seed, r.exposed, r.total)
				assert.Assert(t, r.fiftiethBad.IsZero() || r.lastSent.Sub(r.fiftiethBad) <= replayBounds.Rollback, "seed %d", seed)
			}
			t.Logf("%d of %d right, most exposure %.2f of the bound", right, *seeds, most)
			assert.Assert(t, float64(right) >= 0.99*float64(*seeds), "%d of %d", right, *seeds)
		})
	}
}

// Guards against orders that cannot be met and stay without an outcome, or are completed.
func TestOrdersThatCannotBeMetAreReverted(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for name, o := range map[string]struct {
		duration, age time.Duration
		servers       int
	}{"no server starts": {12 * time.Second, 0, 0}, "expired": {12 * time.Second, time.Hour, 4}, "too short": {time.Second, 0, 4}, "no requests": {12 * time.Second, 0, 4}} {
		start := now.Add(-o.age)
		r := NewRollout(Order{To: "v2", Duration: o.duration}, "v1", replayBounds, start)
		at := now
		for ; !r.Phase().Decided() && at.Before(now.Add(o.duration)); at = at.Add(250 * time.Millisecond) {
			in := Input{Now: at, OldServers: 4, NewServers: o.servers}
			if o.servers > 0 {
				in.NewSince = now
			}
			r.SetServers(in)
			r.Observe(at)
			r.Advance(in)
		}
		assert.Equal(t, r.Phase(), Reverting, name)
		assert.Assert(t, o.age > 0 || at.Before(r.Deadline()), name)
		assert.Assert(t, r.Reason != "", name)
	}
}
