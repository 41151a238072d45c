package placement

import (
	"math"
	"time"

	"github.com/pollenlug/pollenlug/pkg/cost"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// maxCompared is the number of servers compared for one request besides those that may have its prompt cached: more
	// change the expected time by less than its error.
	maxCompared = 16
	// maxOptions is the largest number of servers compared.
	maxOptions = maxCompared + len(assumedCacheHits)
	// maxSteps limits the steps in which unseen requests are distributed.
	maxSteps = 16
	// minVariance is the variance of the number of requests on a server of which only own ones are known.
	minVariance = 0.3
)

// option is a server to which a request could be sent. Times are in seconds.
type option struct {
	server *server
	// fixed is the expected time of the request on an idle server, queue how long the work ahead takes, without waiting for a
	// slot, and penalty what is added in comparisons. While a request waits for a slot the work ahead is done.
	fixed, queue, penalty float64
	// busy is the expected number of requests there, variance that of the part that is only estimated.
	busy, variance float64
	slots          float64
	// round is the time for which a request occupies a slot, each the time that one more request sent there adds.
	round, each float64
	uncached    float64
	workTime    float64
	// holdsPrompt is set if the server is expected to have parts of the prompt cached.
	holdsPrompt bool
}

// expected returns the expected time if other nodes have sent extra requests to the server that this node has not seen.
func (o *option) expected(extra float64) float64 {
	queue := o.queue + o.each*extra
	if o.slots > 0 {
		queue = max(queue, o.round/o.slots*expectedExcess(o.busy+extra+1-o.slots, o.variance+extra))
	}
	return o.fixed + queue
}

// expectedExcess is the mean of the positive part of a normal variable: the expected number of requests that wait, of which
// the number is known only roughly.
func expectedExcess(mean, variance float64) float64 {
	if variance <= 0 {
		return max(mean, 0)
	}
	deviation := math.Sqrt(variance)
	z := mean / deviation
	switch {
	case z > 4:
		return mean
	case z < -4:
		return 0
	}
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return deviation*density + mean*0.5*math.Erfc(-z/math.Sqrt2)
}

// choose selects a server. unseen is the number of requests that other nodes have sent to these servers since the loads
// were reported; position, uniform in [0, 1), is the place of this request among them.
//
// Load pattern: some 26 to 95 nodes with loads that are up to 1.2 s old choose at the same time. If all took the server with
// the least expected time, it would be overrun until the next reports, and then the next one. The unseen requests are
// therefore thought of as sent one after the other to where each has the least expected time, and the request takes the
// server of a random one of them. So the requests of all nodes together level the expected times. A server that is expected to
// have the prompt cached takes no part in this: the unseen requests have other prompts, cached on other servers.
func choose(options []option, unseen, position float64) (index int, extra float64) {
	steps := min(max(int(math.Ceil(unseen)), 1), maxSteps)
	each := unseen / float64(steps)
	var extras, scores [maxOptions]float64
	for i := range options {
		scores[i] = options[i].expected(0) + options[i].penalty
	}
	for step := int(position * float64(steps)); ; step-- {
		best := 0
		for i := range options {
			if scores[i] < scores[best] {
				best = i
			}
		}
		if step <= 0 || options[best].holdsPrompt {
			return best, extras[best]
		}
		extras[best] += each
		scores[best] = options[best].expected(extras[best]) + options[best].penalty
	}
}

// canTake reports whether a server may get a request.
func (b *Board) canTake(c *Choice, s *server, now time.Time) bool {
	if s.State != serving.Ready || contains(c.Exclude, s.ID) || c.Eligible != nil && !c.Eligible(&s.Server) {
		return false
	}
	if len(b.withheld) > 0 {
		if withheld, _ := b.isWithheld(&s.Server, now); withheld {
			return false
		}
	}
	return true
}

// compared puts servers that can take a request into b.options, without any of their figures: preferred ones, and up to
// maxCompared of the others beginning at a random one. Servers that are not allowed are used only when no other is left.
func (b *Board) compared(c *Choice, preferred *[len(assumedCacheHits)]*server, now time.Time) []option {
	group := b.groups[c.Service]
	if len(group) == 0 {
		return nil
	}
	start := b.random.IntN(len(group))
	for _, onlyAllowed := range [...]bool{true, false} {
		n := 0
		for _, s := range preferred {
			if s != nil && (!onlyAllowed || c.Allowed == nil || c.Allowed(s.ID)) {
				b.options[n] = option{server: s}
				n++
			}
		}
		limit := n + maxCompared
		for i := 0; i < len(group) && n < limit; i++ {
			s := group[(start+i)%len(group)]
			if s == preferred[0] || s == preferred[1] || !b.canTake(c, s, now) || onlyAllowed && c.Allowed != nil && !c.Allowed(s.ID) {
				continue
			}
			b.options[n] = option{server: s}
			n++
		}
		if n > 0 {
			return b.options[:n]
		}
	}
	return nil
}

// unseen returns the number of requests that other nodes have sent to one server since they reported their loads and that are
// still there, if each occupies it for a time in seconds.
func (b *Board) unseen(service string, freshness, seconds float64) float64 {
	servers := float64(max(len(b.groups[service]), 1))
	return b.arrivals[service].perSecond / servers * seconds * (1 - freshness)
}

// costTicket is the part of a Ticket that serves placement by cost.
type costTicket struct {
	engine bool
	route  string
	output cost.Output
	// whole is set if all events of the output are expected from this server.
	whole bool
	// events and memory are what is still counted in the server's load.
	events, memory float64
	seen           float64 // events received
	// expected is the expected time before it is corrected by how wrong these times usually are.
	expected time.Duration
	// pauses is the number of pauses between events since pausesFrom.
	pauses       int
	pausesFrom   time.Time
	workTime     float64 // that was assumed
	prefillShare float64 // of the expected time
	predicted    float64 // cost in server-seconds
	measured     float64 // cost in server-seconds; 0 unless the request was served
}

// maxCorrection bounds the correction of expected times, as a logarithm.
const maxCorrection = 0.7

// corrected returns the time that half of the requests with an expected time take.
func (b *Board) corrected(service string, expected time.Duration) time.Duration {
	bias := b.costs.Rates(service).Bias
	return time.Duration(float64(expected) * math.Exp(min(max(bias, -maxCorrection), maxCorrection)))
}

// Cost returns the predicted cost of the request in server-seconds at the usual speed: the part of a server's time that it
// takes, where a server that is full serves as many requests at a time as it has slots. It is 0 for services that are not
// on shared machines.
func (t *Ticket) Cost() float64 {
	if t.byCost == nil {
		return 0
	}
	return t.byCost.predicted
}

// MeasuredCost returns what the request has cost, in the same unit, or 0 unless it was served.
func (t *Ticket) MeasuredCost() float64 {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.byCost == nil {
		return 0
	}
	return t.byCost.measured
}

// minPauseSpan is the shortest time over which pauses between events are measured: a busy node reads several events at once
// after some that it was late for.
const minPauseSpan = 50 * time.Millisecond

// Events records output events of the server.
func (t *Ticket) Events(n int, now time.Time) {
	if t.byCost == nil || n <= 0 {
		return
	}
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.ended {
		return
	}
	c := t.byCost
	if c.seen == 0 {
		c.pausesFrom = now
	} else {
		c.pauses += n
	}
	if span := now.Sub(c.pausesFrom); span >= minPauseSpan {
		t.board.observePause(t.server, span/time.Duration(c.pauses), now)
		c.pausesFrom, c.pauses = now, 0
	}
	c.seen += float64(n)
	done := min(float64(n), c.events)
	c.events -= done
	t.server.own.Events = max(0, t.server.own.Events-done)
}

// firstEventByCost learns from the time of the first event.
func (t *Ticket) firstEventByCost(now time.Time) {
	c := t.byCost
	if c == nil {
		return
	}
	elapsed := now.Sub(t.startedAt)
	t.server.answered(true, now)
	t.board.costs.ObserveFirstEvent(t.Server.Service, c.expected, elapsed, c.prefillShare)
	t.server.addEvidence(t.board.costs.ObserveBias(t.Server.Service, c.expected, elapsed), now)
}

// endByCost releases what the request has reserved and learns from its outcome.
func (t *Ticket) endByCost(outcome Outcome, now time.Time) {
	c := t.byCost
	if c == nil {
		return
	}
	s := t.server
	s.own.Events, s.own.Memory = max(0, s.own.Events-c.events), max(0, s.own.Memory-c.memory)
	if !t.hadFirstEvent {
		s.answered(outcome != Abandoned, now)
	}
	if outcome != Served {
		return
	}
	if !c.engine {
		elapsed := now.Sub(t.startedAt)
		c.measured = t.plainWork(elapsed, now) / float64(max(t.Server.Slots, 1))
		s.addEvidence(t.board.costs.ObserveBias(t.Server.Service, c.expected, elapsed), now)
		return
	}
	if c.seen == 0 {
		return
	}
	t.board.costs.ObserveEvents(t.Server.Service, c.seen)
	c.measured = t.board.engineCost(t.Server, t.prefill, c.seen)
	if c.whole {
		t.board.costs.ObserveOutput(c.output, c.seen)
	}
}

// plainWork returns the work of a served call in seconds at the usual speed. It is learned from calls that hardly waited: the
// server's report, which has just arrived, shows its speed and no queue.
func (t *Ticket) plainWork(elapsed time.Duration, now time.Time) float64 {
	s, c := t.server, t.byCost
	if now.Sub(s.shared.reportedAt) < maxReferenceAge {
		work := elapsed.Seconds() / ((c.workTime + s.shared.reported) / 2)
		if s.report.Waiting == 0 {
			t.board.costs.ObserveWork(t.Server.Service, c.route, work)
		}
		return work
	}
	return elapsed.Seconds() / c.workTime
}

// engineCost is the cost of a request in server-seconds.
func (b *Board) engineCost(s serving.Server, uncached, events float64) float64 {
	rates := b.costs.Rates(s.Service)
	return (uncached+attention(uncached))/rates.Prefill + events*rates.EventTime/float64(max(s.Slots, 1))
}
