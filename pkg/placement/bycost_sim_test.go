package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/serving"
)

// The replays in this file run the Boards of many nodes against servers on shared machines: each has slots with a queue
// behind, and how long work takes on it changes every 300 ms. Nodes exchange loads and reports as internal/edge does.

// speedPeriod is how long the speed of a server stays as it is.
const speedPeriod = 300 * time.Millisecond

// sharedServer is a server whose work times are known in advance.
type sharedServer struct {
	serving.Server
	r *replay
	// workTimes holds the work time of each period of speedPeriod.
	workTimes []float64
	running   []*job
	queue     []*job
	served    int
}

type job struct {
	work  time.Duration
	end   time.Time // once it runs
	ended bool
	done  func()
}

func (s *sharedServer) workTime(at time.Time) float64 {
	return s.workTimes[int(at.Sub(simulationStart)/speedPeriod)%len(s.workTimes)]
}

// finish returns when work that starts at a time is done.
func (s *sharedServer) finish(at time.Time, work time.Duration) time.Time {
	for {
		end := simulationStart.Add((at.Sub(simulationStart)/speedPeriod + 1) * speedPeriod)
		possible := time.Duration(float64(end.Sub(at)) / s.workTime(at))
		if possible >= work {
			return at.Add(time.Duration(float64(work) * s.workTime(at)))
		}
		work -= possible
		at = end
	}
}

// peek returns when a job that arrives now would end if the speed stayed as it is.
func (s *sharedServer) peek(now time.Time, work time.Duration) time.Time {
	freeAt := make([]time.Time, s.Slots)
	for i := range freeAt {
		freeAt[i] = now
		if i < len(s.running) {
			freeAt[i] = s.running[i].end
		}
	}
	place := func(work time.Duration) time.Time {
		slot := 0
		for i := range freeAt {
			if freeAt[i].Before(freeAt[slot]) {
				slot = i
			}
		}
		freeAt[slot] = freeAt[slot].Add(time.Duration(float64(work) * s.workTime(now)))
		return freeAt[slot]
	}
	for _, j := range s.queue {
		place(j.work)
	}
	return place(work)
}

func (s *sharedServer) submit(work time.Duration, done func()) *job {
	j := &job{work: work, done: done}
	s.queue = append(s.queue, j)
	s.served++
	s.startNext()
	return j
}

func (s *sharedServer) startNext() {
	for len(s.queue) > 0 && len(s.running) < s.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, j)
		j.end = s.finish(s.r.now, j.work)
		s.r.after(j.end.Sub(s.r.now), func() {
			if !j.ended {
				s.remove(j)
				j.done()
			}
		})
	}
}

// remove ends a job that is done, or whose caller has disconnected.
func (s *sharedServer) remove(j *job) {
	j.ended = true
	isJob := func(o *job) bool { return o == j }
	s.running = slices.DeleteFunc(s.running, isJob)
	s.queue = slices.DeleteFunc(s.queue, isJob)
	s.startNext()
}

// reply is the load that the server reports in a response.
func (s *sharedServer) reply(now time.Time, withWorkTime bool) serving.Reply {
	r := serving.Reply{HasLoad: true, Slots: s.Slots, Running: len(s.running), Waiting: len(s.queue)}
	if withWorkTime {
		r.WorkTime = math.Round(100*s.workTime(now)) / 100
	}
	return r
}

var simulationStart = time.Unix(1000, 0)

// replay is one load pattern of plain calls.
type replay struct {
	simulation
	servers  []*sharedServer
	byCost   bool
	interval time.Duration
	times    []time.Duration
	// pick replaces the Boards if it is set.
	pick func(work time.Duration) int
	// repeatable calls try servers that were slow.
	repeatable bool
}

// newReplay returns servers with the given work times, of which each server has another one in each period.
func newReplay(nodes, servers, slots int, workTimes []float64, byCost bool) *replay {
	r := &replay{byCost: byCost, interval: max(minSimulatedInterval, time.Duration(nodes)*8*time.Millisecond)}
	r.rng, r.now = rand.New(rand.NewPCG(11, 12)), simulationStart
	var list []serving.Server
	for i := range servers {
		s := &sharedServer{r: r, Server: serving.Server{ID: fmt.Sprint("desk-", i), Service: "s", Slots: slots, Domain: "d"}}
		r.servers = append(r.servers, s)
		list = append(list, s.Server)
	}
	for range 200 {
		for i, at := range r.rng.Perm(servers) {
			r.servers[at].workTimes = append(r.servers[at].workTimes, workTimes[i%len(workTimes)])
		}
	}
	for i := range nodes {
		b := NewBoard("d")
		b.random = rand.New(rand.NewPCG(13, uint64(i)))
		b.SetServers(list)
		b.sharedMachines["s"] = byCost
		r.boards = append(r.boards, b)
	}
	return r
}

const minSimulatedInterval = 150 * time.Millisecond

// exchange makes each node send its loads at its own random times.
func (r *replay) exchange(rate float64, end time.Time) {
	for i, from := range r.boards {
		from.SetArrivals("s", rate*float64(len(r.boards)-1)/float64(len(r.boards)), r.interval)
		from.SetUnreported("s", rate*r.interval.Seconds()/float64(len(r.servers)))
		var send func()
		send = func() {
			loads, reports := from.OwnLoads(r.now), from.OwnReports(r.now)
			r.after(2*time.Millisecond, func() {
				for j, to := range r.boards {
					if i != j {
						to.SetPeer(fmt.Sprint(i), loads, r.now)
						for _, id := range slices.Sorted(maps.Keys(reports)) { // in a fixed order, so that replays repeat
							to.SetPeerReports(map[string]Report{id: reports[id]}, r.now)
						}
					}
				}
			})
			if r.now.Before(end) {
				r.after(r.interval*2/3+time.Duration(r.rng.Int64N(int64(r.interval*2/3))), send)
			}
		}
		r.after(time.Duration(r.rng.Int64N(int64(r.interval))), send)
	}
}

// offer sends calls with exponential gaps and skewed work at a rate for a time.
func (r *replay) offer(d time.Duration, rate float64, work func() time.Duration) {
	end := r.now.Add(d)
	r.exchange(rate, end)
	var next func()
	next = func() {
		if r.now.After(end) {
			return
		}
		r.call(work())
		r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	r.after(0, next)
	r.drainEvents()
}

func (r *replay) drainEvents() {
	for r.events.Len() > 0 {
		e := r.popEvent()
		r.now = e.at
		e.do()
	}
}

func (r *replay) call(work time.Duration) {
	start := r.now
	board := r.boards[r.rng.IntN(len(r.boards))]
	if r.pick != nil {
		r.servers[r.pick(work)].submit(work, func() { r.times = append(r.times, r.now.Sub(start)) })
		return
	}
	ticket := board.PickPlain(Choice{Service: "s", Route: "r", Repeatable: r.repeatable}, r.now)
	s := r.servers[slices.IndexFunc(r.servers, func(s *sharedServer) bool { return s.ID == ticket.Server.ID })]
	s.submit(work, func() {
		board.ObserveReply(ticket.Server, s.reply(r.now, r.byCost), r.now)
		ticket.End(Served, r.now)
		r.times = append(r.times, r.now.Sub(start))
	})
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := append([]time.Duration(nil), times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(float64(len(sorted)-1)*q)]
}

func lateShare(times []time.Duration, target time.Duration) float64 {
	late := 0
	for _, t := range times {
		if t > target {
			late++
		}
	}
	return float64(late) / float64(len(times))
}

// skewedWork is log-normal with a mean of 60 ms; the 99th percentile is about five times the mean.
func skewedWork(rng *rand.Rand) func() time.Duration {
	const sigma = 0.8
	return func() time.Duration {
		return time.Duration(60e6 * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
	}
}

// rules are compared by the replays. All but the first two choose with figures that no node has: the exact number of
// requests on each server, for the last rule also speeds and costs.
var rules = []string{"by cost", "today", "round robin", "least requests", "two choices", "all known"}

// rule returns the choice of one of these rules, or nil for those of the Boards. count returns the number of requests on a
// server, and less whether the second of two servers is better if all is known.
func (r *replay) rule(name string, count func(i int) int, less func(i, j int) bool) func() int {
	servers, turn := len(r.servers), 0
	best := func(better func(i, j int) bool) int {
		best := r.rng.IntN(servers)
		for i := range servers {
			if better(i, best) {
				best = i
			}
		}
		return best
	}
	fewer := func(i, j int) bool { return count(i) < count(j) }
	switch name {
	case "round robin":
		return func() int { turn++; return turn % servers }
	case "least requests":
		return func() int { return best(fewer) }
	case "two choices":
		return func() int {
			i, j := r.rng.IntN(servers), r.rng.IntN(servers)
			if fewer(j, i) {
				return j
			}
			return i
		}
	case "all known":
		return func() int { return best(less) }
	}
	return nil
}

// plainTimes replays one pattern of plain calls with each of the rules.
func plainTimes(t *testing.T, nodes, servers int, workTimes []float64, load float64) map[string][]time.Duration {
	const slots = 6
	capacity := 0.0
	for i := range servers {
		capacity += slots / workTimes[i%len(workTimes)] / 0.060
	}
	out := map[string][]time.Duration{}
	for _, name := range rules {
		r := newReplay(nodes, servers, slots, workTimes, name == "by cost")
		var work time.Duration
		pick := r.rule(name, func(i int) int { return len(r.servers[i].running) + len(r.servers[i].queue) },
			func(i, j int) bool { return r.servers[i].peek(r.now, work).Before(r.servers[j].peek(r.now, work)) })
		if pick != nil {
			r.pick = func(w time.Duration) int { work = w; return pick() }
		}
		length := 30 * time.Second
		if r.pick != nil {
			length = 8 * time.Second // only reported
		}
		r.offer(length, load*capacity, skewedWork(r.rng))
		out[name] = r.times
		t.Logf("%d nodes, %d servers, load %.2f, %s: p50 %v, p95 %v, p99 %v, late %.3f of %d", nodes, servers, load, name,
			quantile(r.times, 0.5), quantile(r.times, 0.95), quantile(r.times, 0.99), lateShare(r.times, 300*time.Millisecond), len(r.times))
	}
	return out
}

// Replays a server that becomes eight times slower for five seconds. Guards against one that keeps its work for over a second,
// or gets none two seconds after its recovery.
func TestServerThatBecomesSlowLosesAndRegainsWork(t *testing.T) {
	r := newReplay(26, 5, 6, []float64{1}, true)
	r.repeatable = true
	at := func(second int) int { return int(time.Duration(second) * time.Second / speedPeriod) }
	for i := at(5); i < at(10); i++ {
		r.servers[0].workTimes[i] = 8
	}
	count := map[int][2]int{}
	for _, second := range []int{6, 10, 12, 15} {
		r.after(time.Duration(second)*time.Second, func() {
			sum := 0
			for _, s := range r.servers {
				sum += s.served
			}
			count[second] = [2]int{r.servers[0].served, sum}
		})
	}
	r.offer(16*time.Second, 206, skewedWork(r.rng))
	share := func(from, to int) float64 {
		return float64(count[to][0]-count[from][0]) / float64(count[to][1]-count[from][1])
	}
	t.Logf("share of the slow server %.3f, after its recovery %.3f; late %.4f", share(6, 10), share(12, 15), lateShare(r.times, 300*time.Millisecond))
	assert.Assert(t, share(6, 10) < 0.2/4)
	assert.Assert(t, share(12, 15) > 0.2*0.7)
}

// Replays calls of many nodes to servers whose speeds change hands every 300 ms. Guards against calls that go to a slow server
// because its queue looks as short as others, and against all nodes choosing the same server at a time.
func TestPlainCallsAvoidSlowServers(t *testing.T) {
	late, p95 := map[string]float64{}, map[string]time.Duration{}
	for _, times := range []map[string][]time.Duration{plainTimes(t, 26, 6, []float64{1, 5, 2}, 0.8),
		plainTimes(t, 26, 5, []float64{1, 1, 2.5, 1, 1.5}, 0.6), plainTimes(t, 70, 4, []float64{1, 1, 2.5, 1.5}, 0.6)} {
		for rule := range times {
			late[rule] += lateShare(times[rule], 300*time.Millisecond)
			p95[rule] += quantile(times[rule], 0.95)
		}
		assert.Assert(t, quantile(times["by cost"], 0.5) < quantile(times["today"], 0.5))
	}
	assert.Assert(t, p95["by cost"] < p95["today"], "%v", p95)
	assert.Assert(t, late["by cost"] < 0.9*late["today"], "%v", late)
}
