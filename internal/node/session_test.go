package node_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollenlug/pollenlug/internal/standin/table"
)

// transcript records what the callers in a scenario observe, without what may differ from run to run, such as names,
// ids and exact times.
type transcript struct {
	t     *testing.T
	lines strings.Builder
}

func (s *transcript) step(format string, args ...any) {
	fmt.Fprintf(&s.lines, "# "+format+"\n", args...)
}

func (s *transcript) observe(format string, args ...any) {
	fmt.Fprintf(&s.lines, "  "+format+"\n", args...)
}

// finishStream reads a stream to its end and records whether its tokens are the expected ones.
func (s *transcript) finishStream(name string, r *stream, p prompt) {
	if err := r.finish(); err != nil {
		s.observe("%s: LOST: %v", name, err)
		return
	}
	s.observe("%s: %d tokens, equal to the fault-free answer: %v, end mark: %v", name, r.tokens, r.check(p) == nil, r.done)
}

func (s *transcript) assert(name string) { golden.Assert(s.t, s.lines.String(), name+".golden") }

func (c *cluster) mustOpen(t *testing.T, node int, p prompt) *stream {
	t.Helper()
	r, refused := newCaller(c).open(node, p)
	assert.Assert(t, refused == nil, "refused: %v", refused)
	return r
}

// busyEngine returns the name of an engine that runs requests.
func (c *cluster) busyEngine(t *testing.T) string {
	t.Helper()
	for name, e := range c.engines {
		if e.Running() > 0 {
			return name
		}
	}
	t.Fatal("no engine runs a request")
	return ""
}

// domainOf returns the failure domain of a server, whose name ends in its number.
func domainOf(name string) string {
	var i int
	_, _ = fmt.Sscanf(name[strings.LastIndexByte(name, '-')+1:], "%d", &i)
	return domain(i)
}

var longPrompt = prompt{text: "Write the heritage report of the weather vane", tokens: 300, seed: 11}

// Guards against an accepted response that is lost, truncated or changed when its server, and then the whole failure
// domain of the next server, is reclaimed and the processes die before their notice period ends.
func TestReclaimScenario(t *testing.T) {
	runWithCluster(t, clusterOptions{}, func(t *testing.T, c *cluster) {
		s := &transcript{t: t}
		s.step("entry-1 accepts a stream of %d tokens", longPrompt.tokens)
		r := c.mustOpen(t, 0, longPrompt)
		s.observe("20 tokens arrive: %v", r.read(20))

		first := c.busyEngine(t)
		c.platform.Cloud.Reclaim(3*time.Second, first)
		s.step("its server gets 3 s of notice and dies after 1 s")
		time.AfterFunc(time.Second, c.engines[first].Crash)
		s.observe("120 tokens arrive: %v", r.read(120))

		second := c.busyEngine(t)
		s.observe("the stream runs elsewhere: %v", second != first)
		s.step("the failure domain of that server gets 3 s of notice; its servers die after 0.5 s")
		for _, name := range c.platform.Cloud.ReclaimDomain(domainOf(second), 3*time.Second, true) {
			if victim := c.server(name); !strings.HasPrefix(name, "entry") {
				time.AfterFunc(500*time.Millisecond, victim.Crash)
			}
		}
		s.finishStream("caller", r, longPrompt)
		s.assert("reclaims")
	})
}

// Guards against tokens of an old attempt in a response, and a response that reaches the wrong caller: the old servers
// and the old home node continue after a newer attempt has begun, and two callers send the same request.
func TestLateAndCrossedResponseScenario(t *testing.T) {
	runWithCluster(t, clusterOptions{}, func(t *testing.T, c *cluster) {
		s := &transcript{t: t}
		other := longPrompt
		other.seed, other.tokens = 12, 200
		s.step("two callers send the same prompt with different seeds to entry-1, a third the first one's request to entry-2")
		a, b, same := c.mustOpen(t, 0, longPrompt), c.mustOpen(t, 0, other), c.mustOpen(t, 1, longPrompt)
		s.observe("three responses: %v", a.id != b.id && b.id != same.id && a.id != same.id)
		s.observe("10 tokens each: %v %v %v", a.read(10), b.read(10), same.read(10))

		s.step("all busy servers freeze for 8 s, then go on with their old attempts")
		for name, e := range c.engines {
			if e.Running() > 0 {
				c.engines[name].Freeze()
				time.AfterFunc(8*time.Second, e.Unfreeze)
			}
		}
		s.observe("100 tokens each: %v %v %v", a.read(100), b.read(100), same.read(100))

		s.step("entry-1 pauses; its callers resume elsewhere; after 4 s it goes on as if it were still the home")
		c.nodes[0].process.pause()
		time.AfterFunc(4*time.Second, c.nodes[0].process.resume)
		a.node, b.node = 0, 0
		assert.NilError(t, a.resume(time.Now().Add(resumeTimeout)))
		assert.NilError(t, b.resume(time.Now().Add(resumeTimeout)))
		s.finishStream("first caller", a, longPrompt)
		s.finishStream("second caller", b, other)
		s.finishStream("third caller", same, longPrompt)

		time.Sleep(5 * time.Second)
		s.step("each resumes from the start on every node")
		for i, p := range []prompt{longPrompt, other} {
			for node := range c.nodes {
				again := &stream{caller: newCaller(c), node: node}
				refused := again.connect(request{method: "GET", path: "/v1/responses/" + []string{a.id, b.id}[i]})
				if refused != nil {
					s.observe("entry-%d: %v", node+1, refused)
					continue
				}
				s.finishStream(fmt.Sprintf("response %d on entry-%d", i+1, node+1), again, p)
			}
		}
		s.assert("late-and-crossed")
	})
}

// observeBooking records the response to a booking and how often its key has run.
func (s *transcript) observeBooking(c *cluster, name string, res response, key string) {
	s.observe("%s: %v, runs so far: %d", name, res, c.runs.Count("shop/"+key))
}

// Guards against ran:"no" for a call that runs later or whose key stays blocked, while the store loses responses,
// applies writes late, or is slow or down.
func TestNotRunScenario(t *testing.T) {
	runWithCluster(t, clusterOptions{}, func(t *testing.T, c *cluster) {
		s := &transcript{t: t}
		caller := newCaller(c)
		for _, f := range []struct {
			name, key string
			inject    func()
		}{
			{"the store loses all answers to writes", "lost", func() { c.platform.LoseResponses(100, false) }},
			{"the store loses all answers and does not even close the connection", "hang", func() { c.platform.LoseResponses(100, true) }},
			{"all writes take effect up to 2 s late", "late-a", func() { c.platform.LateWrites(100, 2*time.Second) }},
			{"all writes take effect up to 2 s late, another booking", "late-b", func() { c.platform.LateWrites(100, 2*time.Second) }},
			{"all writes take effect up to 10 s late", "later", func() { c.platform.LateWrites(100, 10*time.Second) }},
			{"the store refuses", "refuse", func() { c.platform.StoreOutage(table.Refusing) }},
			{"the store hangs", "silent", func() { c.platform.StoreOutage(table.Hanging) }},
			{"the store takes 2 s for each call", "slow", func() { c.platform.StoreSlow(2*time.Second, 2*time.Second) }},
		} {
			s.step("%s", f.name)
			f.inject()
			start := time.Now()
			first := caller.book(0, f.key, "deposit")
			s.observeBooking(c, "booking", first, f.key)
			s.observe("answered within 300 ms: %v", time.Since(start) <= 300*time.Millisecond)
			time.Sleep(5 * time.Second)
			s.observe("runs 5 s later: %d", c.runs.Count("shop/"+f.key))
			c.platform.ClearStoreFaults()
			time.Sleep(10 * time.Second)
			s.observe("runs 10 s after the store has recovered: %d", c.runs.Count("shop/"+f.key))
			s.observeBooking(c, "resend to another node", caller.book(1, f.key, "deposit"), f.key)
		}
		s.step("all writes take effect up to 10 s late, and the node that gave the booking up dies before the resend")
		c.platform.LateWrites(100, 10*time.Second)
		s.observeBooking(c, "booking", caller.book(3, "later", "deposit"), "later")
		s.observeBooking(c, "booking with a new key", caller.book(3, "given-up", "deposit"), "given-up")
		time.Sleep(5 * time.Second)
		c.platform.ClearStoreFaults()
		time.Sleep(15 * time.Second)
		c.nodes[3].kill()
		s.observeBooking(c, "resend to another node", caller.book(1, "given-up", "deposit"), "given-up")
		s.observe("keys that ran more than once: %v", c.runs.Repeated())
		s.assert("not-run")
	})
}

// awaitDispatched returns when the table has the claim row of a booking.
func (c *cluster) awaitDispatched(t *testing.T, key string) {
	t.Helper()
	for range 1000 {
		if _, err := c.platform.Table.Get(t.Context(), "claim", "shop/"+key); err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no row of " + key)
}

func (c *cluster) awaitRun(t *testing.T, key string) {
	t.Helper()
	for range 1000 {
		if c.runs.Count("shop/"+key) > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no run of " + key)
}

// Guards against a booking that runs twice: it is sent to two nodes at the same time, the node that holds the claim
// pauses before it sends the call, a node is killed before or after it has sent it, or responses are lost. In each case
// the booking is sent again.
func TestBookingScenario(t *testing.T) {
	runWithCluster(t, clusterOptions{ServiceDelay: time.Second}, func(t *testing.T, c *cluster) {
		s := &transcript{t: t}
		caller := newCaller(c)
		s.step("the same booking reaches two nodes at the same time")
		responses := make(chan response, 2)
		for node := range 2 {
			go func() { responses <- caller.book(node, "both", "deposit") }()
		}
		x, y := <-responses, <-responses
		if x.String() > y.String() {
			x, y = y, x
		}
		s.observeBooking(c, "one", x, "both")
		s.observeBooking(c, "the other", y, "both")
		s.observeBooking(c, "resend to a third node", caller.book(2, "both", "deposit"), "both")
		s.observeBooking(c, "resend with another body", caller.book(2, "both", "other"), "both")

		s.step("the holder pauses for 10 s between claim and send")
		c.platform.StoreSlow(20*time.Millisecond, 20*time.Millisecond)
		go func() { responses <- caller.book(0, "paused", "deposit") }()
		c.awaitDispatched(t, "paused")
		c.nodes[0].process.pause()
		s.observeBooking(c, "resend to another node", caller.book(1, "paused", "deposit"), "paused")
		time.Sleep(10 * time.Second)
		s.observe("runs during the pause: %d", c.runs.Count("shop/paused"))
		c.nodes[0].process.resume()
		s.observeBooking(c, "the holder's caller, after the pause", <-responses, "paused")
		time.Sleep(5 * time.Second)
		s.observeBooking(c, "resend to another node", caller.book(1, "paused", "deposit"), "paused")

		s.step("all services close the connection after the run")
		for _, v := range c.services {
			v.SetDrops(0, 1)
		}
		s.observeBooking(c, "booking", caller.book(2, "dropped", "deposit"), "dropped")
		for _, v := range c.services {
			v.SetDrops(0, 0)
		}
		s.observeBooking(c, "resend to another node", caller.book(1, "dropped", "deposit"), "dropped")

		s.step("the node is killed while the service runs the booking")
		go func() { responses <- caller.book(0, "killed", "deposit") }()
		c.awaitRun(t, "killed")
		c.nodes[0].kill()
		s.observeBooking(c, "caller of the killed node", <-responses, "killed")
		s.observeBooking(c, "resend to another node at once", caller.book(1, "killed", "deposit"), "killed")
		time.Sleep(10 * time.Second)
		s.observeBooking(c, "resend to another node 10 s later", caller.book(2, "killed", "deposit"), "killed")

		s.step("the node is killed between claim and send")
		go func() { responses <- caller.book(3, "unsent", "deposit") }()
		c.awaitDispatched(t, "unsent")
		c.nodes[3].kill()
		s.observeBooking(c, "caller of the killed node", <-responses, "unsent")
		time.Sleep(10 * time.Second)
		s.observeBooking(c, "resend to another node 10 s later", caller.book(1, "unsent", "deposit"), "unsent")
		s.observe("keys that ran more than once: %v", c.runs.Repeated())
		s.assert("bookings")
	})
}

// Guards against new requests on a leaving server or node later than 3 s after its notice.
func TestLeavingScenario(t *testing.T) {
	runWithCluster(t, clusterOptions{}, func(t *testing.T, c *cluster) {
		s := &transcript{t: t}
		const notice = 30 * time.Second
		s.step("engine-0, service-0 and entry-2 get 30 s of notice, under load on all nodes")
		stop := c.startLoad()
		time.Sleep(2 * time.Second)
		s.observe("engine-0 and service-0 have work: %v %v", c.engines["engine-0"].Stats().Runs > 0, c.serviceRuns("service-0") > 0)
		c.platform.Cloud.Reclaim(notice, "engine-0", "service-0", "entry-2")
		time.Sleep(1900 * time.Millisecond)
		s.step("1.9 s after the notice")
		s.observe("nodes that list entry-2: %v", c.nodesListing(1))
		time.Sleep(1100 * time.Millisecond)
		engineRuns, serviceRuns := c.engines["engine-0"].Stats().Runs, c.serviceRuns("service-0")
		s.step("3 s after the notice")
		caller := newCaller(c)
		s.observe("prompt to entry-2: %v", caller.do(1, request{method: "POST", path: "/v1/completions", body: longPrompt.body(false)}))
		s.observe("booking to entry-2: %v", caller.book(1, "left", "deposit"))
		s.observe("nodes that list entry-2: %v", c.nodesListing(1))
		time.Sleep(15 * time.Second)
		s.step("18 s after the notice")
		s.observe("new requests on engine-0: %d, on service-0: %d", c.engines["engine-0"].Stats().Runs-engineRuns, c.serviceRuns("service-0")-serviceRuns)
		served, failed := stop()
		s.observe("load went on: %v, failed answers: %v", served > 500, failed)
		s.assert("leaving")
	})
}

// nodesListing returns the names of the nodes whose entry list contains the given node.
func (c *cluster) nodesListing(node int) []string {
	var out []string
	for i, n := range c.nodes {
		entries := newCaller(c).do(i, request{method: "GET", path: "/v1/entries"})
		if strings.Contains(entries.body, c.nodes[node].settings.CallerAddr) {
			out = append(out, n.settings.Node)
		}
	}
	return out
}

func (c *cluster) serviceRuns(name string) int {
	n := 0
	for _, run := range c.runs.All() {
		if run.Server == name {
			n++
		}
	}
	return n
}

// startLoad sends lookups and short prompts to all nodes until stop, which returns the number of requests served and
// the distinct failures.
func (c *cluster) startLoad() (stop func() (served int, failed []string)) {
	quit := make(chan struct{})
	results := make(chan response)
	for node := range c.nodes {
		for kind := range 2 {
			go func() {
				caller := newCaller(c)
				for i := 0; ; i++ {
					var res response
					if kind == 0 {
						res = caller.lookUp(node)
					} else {
						p := prompt{text: fmt.Sprintf("note %d of %d", i, node), tokens: 5}
						res = caller.do(node, request{method: "POST", path: "/v1/completions", body: p.body(false)})
					}
					select {
					case results <- res:
					case <-quit:
						return
					}
					time.Sleep(37 * time.Millisecond)
				}
			}()
		}
	}
	sum := make(chan func() (int, []string))
	go func() {
		served, failed := 0, map[string]bool{}
		for {
			select {
			case res := <-results:
				if res.err == nil && res.status == 200 {
					served++
				} else if res.location == "" && res.err == nil {
					failed[res.String()] = true
				}
			case sum <- func() (int, []string) { return served, sortedKeys(failed) }:
				return
			}
		}
	}()
	return func() (int, []string) {
		close(quit)
		return (<-sum)()
	}
}

// Guards against a SIGTERM that cuts off requests in progress: a stream, a non-streamed response and a booking.
func TestDrainScenario(t *testing.T) {
	runWithCluster(t, clusterOptions{ServiceDelay: 2 * time.Second}, func(t *testing.T, c *cluster) {
		s := &transcript{t: t}
		caller := newCaller(c)
		ticketPrompt := prompt{text: "Tag this ticket", tokens: 150, seed: 3}
		s.step("entry-1 has a stream, a whole answer and a booking in progress")
		r := c.mustOpen(t, 0, longPrompt)
		nonStreamedResponses, bookingResponses := make(chan response, 1), make(chan response, 1)
		go func() {
			nonStreamedResponses <- caller.do(0, request{method: "POST", path: "/v1/completions", body: ticketPrompt.body(false)})
		}()
		go func() { bookingResponses <- caller.book(0, "drain", "deposit") }()
		r.read(20)
		s.step("SIGTERM")
		c.nodes[0].drain()
		time.Sleep(100 * time.Millisecond)
		s.observe("new stream: %v", caller.do(0, request{method: "POST", path: "/v1/completions", body: ticketPrompt.body(true)}))
		s.observe("new booking: %v", caller.book(0, "new", "deposit"))
		s.observeBooking(c, "booking in progress", <-bookingResponses, "drain")
		nonStreamed := <-nonStreamedResponses
		var body struct{ Choices []struct{ Text string } }
		complete := json.Unmarshal([]byte(nonStreamed.body), &body) == nil && body.Choices[0].Text == ticketPrompt.expectedText()
		s.observe("whole answer in progress: %v, equal to the fault-free answer: %v", nonStreamed, complete)
		s.observe("the process still runs: %v", !c.nodes[0].exited())
		s.finishStream("stream in progress", r, longPrompt)
		s.observe("the stream stayed on its connection: %v", r.resumes == 0)
		<-c.nodes[0].done
		s.observe("the process has ended, error: %v", c.nodes[0].err)
		s.assert("drain")
	})
}
