package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/code"
)

// TestMain fixes the seed of rapid, so that every run has the same result. The flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// Dimensions of a random schedule.
const (
	scheduleNodes = 3
	scheduleKeys  = 12
	scheduleSteps = 40
	// The calls of a step start within a few ms of each other.
	callsPerStep = 4
)

// scheduledCall is one call of a schedule.
type scheduledCall struct {
	node, key int
	digest    byte
	timeout   time.Duration
	behaviour behaviour
}

// scheduleStep changes the faults of one node, starts calls and then lets time pass.
type scheduleStep struct {
	node     int
	fault    int
	calls    [callsPerStep]scheduledCall
	duration time.Duration
}

type schedule struct {
	seed      uint64
	queryable bool
	steps     []scheduleStep
}

func drawSchedule(t *rapid.T) schedule {
	sched := schedule{seed: rapid.Uint64().Draw(t, "seed"), queryable: rapid.Bool().Draw(t, "queryable")}
	for range scheduleSteps {
		s := scheduleStep{
			node:     rapid.IntRange(0, scheduleNodes-1).Draw(t, "node"),
			fault:    rapid.IntRange(0, len(storeFaults)+3).Draw(t, "fault"),
			duration: time.Duration(rapid.IntRange(1, 2000).Draw(t, "passes")) * time.Millisecond,
		}
		for i := range s.calls {
			s.calls[i] = drawCall(t)
		}
		sched.steps = append(sched.steps, s)
	}
	return sched
}

func drawCall(t *rapid.T) scheduledCall {
	c := scheduledCall{
		node: rapid.IntRange(0, scheduleNodes-1).Draw(t, "node"),
		key:  rapid.IntRange(0, scheduleKeys-1).Draw(t, "key"),
	}
	if rapid.IntRange(0, 9).Draw(t, "digest") == 0 {
		c.digest = 1
	}
	// No timeout ends at the same time as a group's wait or a retry's backoff, so that the order of events does not
	// depend on the scheduler.
	c.timeout = time.Duration(rapid.SampledFrom([]int{5_003, 50_007, 400_011, 60_000_013}).Draw(t, "timeout")) * time.Microsecond
	c.behaviour = rapid.SampledFrom([]behaviour{
		{}, {delay: time.Millisecond}, {delay: 300 * time.Millisecond}, {delay: 40 * time.Second},
		{unsent: true}, {unsent: true}, {lostCall: true}, {lostResponse: true},
	}).Draw(t, "behaviour")
	return c
}

// storeFaults are the faults of the table service in schedules. rapid draws the first ones most often.
var storeFaults = []table.Faults{
	{MinLatency: time.Millisecond, MaxLatency: 9 * time.Millisecond},
	{MinLatency: time.Millisecond, MaxLatency: 30 * time.Millisecond, LostPercent: 30, StalePercent: 50, MaxStale: 4 * time.Second},
	{MinLatency: time.Millisecond, MaxLatency: 9 * time.Millisecond, LatePercent: 40, MaxLate: 20 * time.Second, StalePercent: 30, MaxStale: 4 * time.Second},
	{MinLatency: time.Millisecond, MaxLatency: 600 * time.Millisecond},
	{MinLatency: time.Microsecond, MaxLatency: time.Millisecond, LostPercent: 40, LostHangs: true, LatePercent: 20, MaxLate: time.Minute},
	{Outage: table.Refusing},
	{Outage: table.Hanging},
}

// callInput and callOutput are the input and the output of one call in the history of a key.
type callInput struct{ digest byte }

type callOutput struct {
	code code.Code
	ran  code.Ran
	body string
}

// history records the calls of a run.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   map[string][]porcupine.Operation
	// violations are the guarantees that were broken.
	violations []string
	calls      int
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) == 0 {
		return nil
	}
	return fmt.Errorf("%q", h.violations)
}

// call makes one call and records it. The returned func checks again, at the end of the run, that a call with ran:"no"
// has not run.
func (h *history) call(c *cluster, n *testNode, key string, sc scheduledCall) (recheck func()) {
	ctx, cancel := context.WithTimeout(context.Background(), sc.timeout)
	defer cancel()
	start := h.clock.Add(1)
	out, ran, err := c.do(ctx, n, key, sc.digest, sc.behaviour)
	op := porcupine.Operation{Input: callInput{sc.digest}, Call: start, Return: h.clock.Add(1)}
	result := callOutput{body: string(out.Body), ran: code.RanYes}
	if err != nil {
		var e *code.Error
		if !errors.As(err, &e) {
			h.addViolation("%s: error without a code: %v", key, err)
			return func() {}
		}
		result = callOutput{code: e.Code, ran: e.Ran}
		if e.Ran == code.RanUnknown {
			// The call may still run until the end of the history.
			op.Return = math.MaxInt64
		}
	}
	op.Output = result
	h.mu.Lock()
	h.calls++
	op.ClientId = h.calls
	h.ops[key] = append(h.ops[key], op)
	h.mu.Unlock()
	recheck = func() {
		if result.ran == code.RanNo && ran() {
			h.addViolation("%s: a call that ran got %v with ran:no", key, result.code)
		}
	}
	recheck()
	return recheck
}

// keyState is the model state of one key: whether a call ran, with which digest, and its outcome if any caller got it.
type keyState struct {
	ran    bool
	digest byte
	body   string
}

// keyModel allows one run per key. A call with ran:"unknown" may or may not have run.
var keyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, in, out any) (next []any) {
		for _, s := range stepKey(state.(keyState), in.(callInput), out.(callOutput)) {
			next = append(next, s)
		}
		return next
	},
}).ToModel()

func stepKey(s keyState, in callInput, out callOutput) []keyState {
	after := keyState{ran: true, digest: in.digest, body: out.body}
	switch {
	case out.code == code.OK:
		if s.ran && (s.digest != in.digest || s.body != "" && s.body != out.body) {
			return nil
		}
		return []keyState{after}
	case out.code == code.IdempotencyKeyReused && s.ran && s.digest == in.digest:
		return nil
	case out.ran == code.RanUnknown && !s.ran:
		return []keyState{s, after}
	}
	return []keyState{s}
}

// runSchedule runs a schedule in virtual time and returns the first broken guarantee.
func runSchedule(sched schedule) (h *history, err error) {
	h = &history{ops: map[string][]porcupine.Operation{}}
	c := newCluster(sched.seed, scheduleNodes)
	c.service.queryable = sched.queryable
	live := append([]*testNode(nil), c.nodes...)
	for _, n := range live {
		n.store.SetFaults(storeFaults[0])
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var rechecks []func()
	for step, s := range sched.steps {
		applyFault(c, live, s)
		for i, sc := range s.calls {
			n := live[sc.node]
			wg.Go(func() {
				// The calls of a step start at distinct times, so that their order does not depend on the scheduler.
				time.Sleep(time.Duration(i)*1300*time.Microsecond + time.Duration(step*callsPerStep+i)*101*time.Nanosecond)
				recheck := h.call(c, n, fmt.Sprint("key-", sc.key), sc)
				mu.Lock()
				defer mu.Unlock()
				rechecks = append(rechecks, recheck)
			})
		}
		time.Sleep(s.duration)
		c.checkRuns(h)
		if err := h.err(); err != nil {
			return h, err
		}
	}
	wg.Wait()
	c.checkFinalState(h, live)
	for _, recheck := range rechecks {
		recheck()
	}
	c.endHangingCalls()
	return h, h.err()
}

// applyFault sets the store faults of a node, isolates it from its peers or reconnects it, pauses it, or replaces it
// with a new one.
func applyFault(c *cluster, live []*testNode, s scheduleStep) {
	n := live[s.node]
	switch nodeFault := s.fault - len(storeFaults); nodeFault {
	case 0:
		n.setFailure(false, true)
	case 1:
		n.setFailure(false, false)
	case 2:
		n.pause(3 * time.Minute)
	case 3:
		n.setFailure(true, true)
		n.store.SetFaults(table.Faults{Outage: table.Refusing})
		live[s.node] = c.startNode()
		live[s.node].store.SetFaults(storeFaults[0])
	default:
		n.store.SetFaults(storeFaults[s.fault])
	}
}

func (c *cluster) checkRuns(h *history) {
	for i := range scheduleKeys {
		key := fmt.Sprint("key-", i)
		if n := c.service.runsOf(key); n > 1 {
			h.addViolation("%s ran %d times", key, n)
		}
	}
}

// checkFinalState ends all faults, then checks that outcomes are stored and that no key without a lost call stays
// blocked.
func (c *cluster) checkFinalState(h *history, live []*testNode) {
	for _, n := range live {
		n.setFailure(false, false)
		n.store.SetFaults(storeFaults[0])
	}
	time.Sleep(2 * time.Minute)
	for _, n := range live {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		if err := n.Drain(ctx); err != nil {
			h.addViolation("drain after all faults ended: %v", err)
		}
		cancel()
	}
	for i := range scheduleKeys {
		key := fmt.Sprint("key-", i)
		for digest := range byte(2) {
			h.call(c, live[i%scheduleNodes], key, scheduledCall{digest: digest, timeout: time.Minute})
		}
	}
	c.checkRuns(h)
	for _, n := range live {
		_ = n.Drain(context.Background())
	}
	c.checkStored(h)
}

func (c *cluster) checkStored(h *history) {
	for i := range scheduleKeys {
		key := fmt.Sprint("key-", i)
		r, err := c.table.Get(context.Background(), TableName, rowKey("desk", key))
		var row pb.ClaimRow
		if err != nil || proto.Unmarshal(r.Value, &row) != nil {
			h.addViolation("%s has no row", key)
			continue
		}
		ran := string(c.service.outcomes[key].Body)
		switch row.State {
		case pb.ClaimRow_DONE:
			if string(row.Outcome.Body) != ran {
				h.addViolation("%s: stored %q, ran %q", key, row.Outcome.Body, ran)
			}
		case pb.ClaimRow_CANCELLED:
			h.addViolation("%s is cancelled after a resend without faults", key)
		}
	}
}

// Guards against any order of store faults, pauses, node deaths and lost calls that runs a key twice, reports ran:"no"
// for a call that ran, returns a wrong outcome or leaves a history that is not linearizable with a single run.
func TestRandomSchedules(t *testing.T) {
	calls, runs := 0, 0
	results := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		sched := drawSchedule(rt)
		var h *history
		var err error
		synctest.Test(t, func(*testing.T) { h, err = runSchedule(sched) })
		if err != nil {
			rt.Fatalf("table seed %d: %v", sched.seed, err)
		}
		for key, ops := range h.ops {
			if !porcupine.CheckOperations(keyModel, ops) {
				rt.Fatalf("table seed %d: the calls of %s are not linearizable: %+v", sched.seed, key, ops)
			}
			for _, op := range ops {
				out := op.Output.(callOutput)
				results[fmt.Sprintf("%v/%v", out.code, out.ran)]++
				if out.code == code.OK {
					runs++
				}
			}
		}
		calls += h.calls
	})
	t.Logf("%d calls, %d outcomes, results %v", calls, runs, results)
	if !t.Failed() && calls < 10_000 {
		t.Errorf("only %d calls were made, want at least 10000", calls)
	}
}
