package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/pollenlug/pollenlug/platform/standin"
)

func always(b standin.Behavior) func(*http.Request) standin.Behavior {
	return func(*http.Request) standin.Behavior { return b }
}

// onlyFirst returns b for the first request and the default behavior for the others.
func onlyFirst(b standin.Behavior) func(*http.Request) standin.Behavior {
	var done atomic.Bool
	return func(*http.Request) standin.Behavior {
		if done.Swap(true) {
			return standin.Behavior{}
		}
		return b
	}
}

// Guards against headers that are lost, rewritten or forged on the way, and against a normalized request target.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.tenants = []map[string]any{{"name": "guild", "api_keys": []string{"key-1"}, "unit": "token_count", "uncached_tokens": 1}}
	d.configure()
	s := d.serve("desk-1", "desk", 0)
	n := d.node()
	got := n.do(t, call{path: "/book//a/../b%2Fc?x=1&y=%20", body: "two boards", header: map[string]string{
		"Pollenlug-Credential": "key-1", "Pollenlug-Tenant": "forged", "Kv-From": "1.2.3.4:5/x", "Pollenlug-Pin-Ms": "9",
		"Pollenlug-Attempt-Id": "a-1", "X-Custom": "kept", "Pollenlug-Expect-Instance": "forged", "Connection": "X-Hop, Pollenlug-Attempt-Id", "X-Hop": "gone"}})
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "answer of desk-1 to a-1")
	assert.Equal(t, got.header.Get("Pollenlug-Server-Signature"), "signed-by-desk-1")
	runs := s.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Target, "/book//a/../b%2Fc?x=1&y=%20")
	assert.Equal(t, runs[0].Body, "two boards")
	assert.Equal(t, runs[0].Header.Get("Pollenlug-Tenant"), "guild")
	assert.Equal(t, runs[0].Header.Get("X-Custom"), "kept")
	for _, name := range []string{"Pollenlug-Credential", "Kv-From", "Pollenlug-Pin-Ms", "X-Hop"} {
		assert.Equal(t, runs[0].Header.Get(name), "", name)
	}
}

// Guards against running a booking again after its response was lost, and against reporting it as not run.
func TestLostAnswerOfNonRepeatableCallIsFinal(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	a, b := d.serve("desk-1", "desk", 0), d.serve("desk-2", "desk", 0)
	n := d.node()
	for _, s := range []*standin.Server{a, b} {
		s.SetBehavior(always(standin.Behavior{Lose: true}))
	}
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		got := n.do(t, call{method: method, path: "/book/1", header: map[string]string{"Idempotency-Key": "k"}})
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, got.header.Get("Retry-After"), "")
	}
	assert.Equal(t, len(a.Runs())+len(b.Runs()), 2, "two calls, each run once")
}

// Guards against implicit retries on reused connections: net/http repeats a GET by itself when a kept-alive connection
// breaks.
func TestKeptConnectionThatBreaksIsNotSentAgain(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	s := d.serve("desk-1", "desk", 0)
	n := d.node()
	assert.Equal(t, n.do(t, call{method: http.MethodGet, path: "/book/1"}).status, 200)
	s.SetBehavior(always(standin.Behavior{Lose: true}))
	got := n.do(t, call{method: http.MethodGet, path: "/book/2"})
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, len(s.Runs()), 2)
}

// Guards against a failed idempotent call although another server could respond.
func TestIdempotentCallGoesToAnotherServer(t *testing.T) {
	for name, b := range map[string]standin.Behavior{"answer lost": {Lose: true}, "server error": {Fail: true},
		"not run": {Reject: true}, "crossed answer": {Echo: "another"}, "unsigned": {Unsigned: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			bad := d.serve("desk-1", "desk", 0)
			bad.SetBehavior(always(b))
			good := d.serve("desk-2", "desk", 0)
			n := d.node()
			for range 8 {
				got := n.do(t, call{method: http.MethodGet, path: "/look/1"})
				assert.Equal(t, got.status, 200)
				assert.Assert(t, strings.HasPrefix(got.body, "answer of desk-2"), got.body)
			}
			assert.Equal(t, len(good.Runs()), 8)
		})
	}
}

// Guards against delivering a response that belongs to another request.
func TestCrossedAnswerIsNotDelivered(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	s := d.serve("desk-1", "desk", 0)
	s.SetBehavior(always(standin.Behavior{Echo: "another"}))
	n := d.node()
	got := n.do(t, call{path: "/book/1"})
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(got.body, "answer of"))
}

// Guards against reporting an unknown outcome if the request certainly did not run, in which case callers may retry.
func TestNotRunIsToldAsNotRun(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	s := d.serve("desk-1", "desk", 0)
	n := d.node()
	s.SetBehavior(always(standin.Behavior{Reject: true}))
	got := n.do(t, call{path: "/book/1"})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(s.Runs()), 0)
}

// Guards against reporting an unknown outcome if no server could be reached. The server is closed before the first
// request: on a kept-alive connection the request may be sent before the close is noticed, and the outcome is then
// unknown.
func TestUnreachableServerHasRunNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	s := d.serve("desk-1", "desk", 0)
	n := d.node()
	s.Close()
	got := n.do(t, call{path: "/book/1"})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(s.Runs()), 0)
}

// Guards against a stream that loses, repeats or merges events when its server breaks off in the middle of one.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	for name, b := range map[string]standin.Behavior{"cut": {CutAfter: 3}, "stalled": {StallAfter: 3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			one, two := d.serve("engine-1", "engine", 9), d.serve("engine-2", "engine", 9)
			n := d.node()
			breakFirst := onlyFirst(b)
			one.SetBehavior(breakFirst)
			two.SetBehavior(breakFirst)
			got := n.do(t, call{path: "/quote/1"})
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 9))
			assert.Equal(t, len(one.Runs())+len(two.Runs()), 2)
			for _, run := range append(one.Runs(), two.Runs()...) {
				if after := run.Header.Get("Last-Event-Id"); after != "" {
					assert.Equal(t, after, "3")
				}
			}
		})
	}
}

// Guards against failing a stream that may be retried on another server: incident inc-2d35, in which most engines
// answered part of their requests with an error.
func TestResumableStreamThatAServerFailsRunsElsewhere(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	bad := d.serve("engine-1", "engine", 9)
	bad.SetBehavior(always(standin.Behavior{Fail: true}))
	good := d.serve("engine-2", "engine", 9)
	n := d.node()
	for range 6 {
		got := n.do(t, call{path: "/quote/1"})
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, events(1, 9))
	}
	assert.Equal(t, len(good.Runs()), 6)
}

// Guards against leaving a server that is silent for a while for one that refuses the request, so that nobody answers it.
func TestSilentServerIsKeptWhileOthersAreFull(t *testing.T) {
	for path, service := range map[string]string{"/quote/1": "engine", "/look/1": "desk"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			pieces, body := 0, "answer of "
			if service == "engine" {
				pieces, body = 2, events(1, 2)
			}
			// The server that gets the request first is slow, the other one is full.
			var warm atomic.Bool
			var first atomic.Pointer[string]
			for _, id := range []string{service + "-1", service + "-2"} {
				d.serve(id, service, pieces).SetBehavior(func(*http.Request) standin.Behavior {
					if !warm.Load() {
						return standin.Behavior{}
					}
					first.CompareAndSwap(nil, &id)
					return standin.Behavior{Gap: 1700 * time.Millisecond, Reject: *first.Load() != id}
				})
			}
			n := d.node()
			assert.DeepEqual(t, n.statuses(t, 20, call{method: http.MethodGet, path: path}), map[int]int{200: 20})
			warm.Store(true)
			got := n.do(t, call{method: http.MethodGet, path: path})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, strings.HasPrefix(got.body, body), got.body)
		})
	}
}

// Guards against two servers that work on one stream for long: one that has been silent is left soon after another one has
// taken the request, also if that sends nothing for a while.
func TestSilentServerIsLeftForOneThatTakesTheRequest(t *testing.T) {
	t.Parallel()
	const overlap = 400 * time.Millisecond
	d := newDeployment(t)
	d.configure()
	var servers []*standin.Server
	var begun atomic.Int32
	for _, id := range []string{"engine-1", "engine-2"} {
		s := d.serve(id, "engine", 4)
		s.SetBehavior(func(*http.Request) standin.Behavior {
			if begun.Add(1) == 1 {
				return standin.Behavior{StallAfter: 2}
			}
			return standin.Behavior{Gap: overlap}
		})
		servers = append(servers, s)
	}
	n := d.node()
	got := n.do(t, call{path: "/quote/1"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 4))
	silent, next := servers[0].Runs(), servers[1].Runs()
	assert.Assert(t, len(silent) == 1 && len(next) == 1)
	if next[0].At.Before(silent[0].At) {
		silent, next = next, silent
	}
	assert.Equal(t, next[0].Header.Get("Last-Event-Id"), "2")
	eventually(t, time.Second, "the silent server has not been left", func() bool {
		runs := append(servers[0].Runs(), servers[1].Runs()...)
		return !runs[0].Left.IsZero() || !runs[1].Left.IsZero()
	})
	for _, s := range servers {
		if run := s.Runs()[0]; run.At.Equal(silent[0].At) {
			assert.Assert(t, run.Left.Sub(next[0].At) < overlap, "left %v after the other server began", run.Left.Sub(next[0].At))
		}
	}
}

// Guards against cutting off a stalled stream when the retry budget is exhausted: its server may still continue.
func TestStalledStreamWaitsWhenRetryBudgetIsExhausted(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.retrySlack = 0
	d.configure()
	for _, id := range []string{"engine-1", "engine-2"} {
		d.serve(id, "engine", 3).SetBehavior(always(standin.Behavior{Gap: 1400 * time.Millisecond}))
	}
	n := d.node()
	got := n.do(t, call{path: "/quote/1"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 3))
}

// Guards against an incomplete stream that looks complete, and against running a stream again that is not resumable.
func TestCutStreamThatMayNotResumeIsBrokenOff(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	one, two := d.serve("engine-1", "engine", 9), d.serve("engine-2", "engine", 9)
	n := d.node()
	one.SetBehavior(always(standin.Behavior{CutAfter: 3}))
	two.SetBehavior(always(standin.Behavior{CutAfter: 3}))
	got := n.do(t, call{path: "/draft/1"})
	assert.Assert(t, got.err != nil, "the stream must not end as if it were complete")
	assert.Assert(t, strings.HasPrefix(events(1, 3), got.body) || got.body == events(1, 3), got.body)
	assert.Equal(t, len(one.Runs())+len(two.Runs()), 1)
}

// Guards against servers that keep working for callers that have disconnected.
func TestCallerThatLeavesStopsTheServer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	s := d.serve("engine-1", "engine", 100)
	s.SetBehavior(always(standin.Behavior{Gap: 50 * time.Millisecond}))
	n := d.node()
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	resp, err := n.send(t, call{path: "/quote/1", ctx: ctx})
	assert.NilError(t, err)
	defer resp.Body.Close()
	first := make([]byte, len(events(1, 1)))
	_, err = io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	assert.Equal(t, string(first), events(1, 1))
	leave()
	eventually(t, 500*time.Millisecond, "the server still works", func() bool {
		runs := s.Runs()
		return len(runs) == 1 && !runs[0].Left.IsZero()
	})
}

// Guards against requests that exceed the route's timeout, and against the wrong status at its end.
func TestRouteTimeoutEndsTheRequest(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.routes[0]["timeout_ms"] = 300
	d.configure()
	s := d.serve("desk-1", "desk", 0)
	s.SetBehavior(always(standin.Behavior{Gap: 3 * time.Second}))
	n := d.node()
	start := time.Now()
	got := n.do(t, call{path: "/book/1"})
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(start) < 700*time.Millisecond)
}

// Guards against requests that exceed the configured limits.
func TestConfiguredRequestLimits(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	d.serve("desk-1", "desk", 0)
	n := d.node()
	assert.Equal(t, n.do(t, call{path: "/book/1", body: strings.Repeat("x", 1<<20+1)}).status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, n.do(t, call{path: "/book/1", header: map[string]string{"X-Long": strings.Repeat("x", 20000)}}).status,
		http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, n.do(t, call{path: "/nowhere/1"}).status, http.StatusNotFound)
}

// Guards against the answer to another request on a connection that is used again: a signed answer that does not name its
// request may be one of an earlier one.
func TestAnswerWithoutItsRequestIsNotDelivered(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	d.serve("desk-1", "desk", 0).SetBehavior(always(standin.Behavior{NoEcho: true}))
	got := d.node().do(t, call{path: "/book/1"})
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(got.body, "answer of"))
}

// Guards against a second copy of an answer, sent late, that reaches the next caller on the connection.
func TestSecondCopyOfAnAnswerIsNotDelivered(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	s := d.serve("desk-1", "desk", 0)
	n := d.node()
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond} {
		s.SetBehavior(always(standin.Behavior{RepeatAfter: delay + 1}))
		for i := range 20 {
			path := fmt.Sprintf("/look/%s-%d", delay, i)
			got := n.do(t, call{method: http.MethodGet, path: path})
			attempt := got.header.Get("Pollenlug-Attempt-Id")
			if got.status == 200 {
				assert.Equal(t, got.body, "answer of desk-1 to "+attempt)
			}
			time.Sleep(time.Duration(i%4) * delay / 2)
		}
	}
}

// Guards against a stream that is taken for alive because its server sends a byte now and then: it goes on at another
// server, or ends with the time of its request.
func TestTricklingStreamIsNotKeptAlive(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	trickling := standin.Behavior{StallAfter: 3, Trickle: 100 * time.Millisecond}
	one, two := d.serve("engine-1", "engine", 9), d.serve("engine-2", "engine", 9)
	n := d.node()
	trickleFirst := onlyFirst(trickling)
	one.SetBehavior(trickleFirst)
	two.SetBehavior(trickleFirst)
	got := n.do(t, call{path: "/quote/1"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 9))
	one.SetBehavior(always(trickling))
	two.SetBehavior(always(trickling))
	start := time.Now()
	got = n.do(t, call{path: "/draft/1", header: map[string]string{"Pollenlug-Deadline-Ms": "1500"}})
	assert.Assert(t, got.err != nil, "the stream must not end as if it were complete")
	assert.Assert(t, time.Since(start) < 2*time.Second, "took %v", time.Since(start))
}

// Guards against cutting off a stream that is slow but sound: its events come at a pace below the target of the route,
// and a retry would be allowed.
func TestSlowStreamIsDelivered(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	for _, id := range []string{"engine-1", "engine-2"} {
		d.serve(id, "engine", 6).SetBehavior(always(standin.Behavior{Gap: 700 * time.Millisecond}))
	}
	n := d.node()
	for _, path := range []string{"/quote/1", "/draft/1"} {
		got := n.do(t, call{path: path})
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 6), path)
	}
}

// Guards against lost answers that are noticed only when the time of the request is nearly over, although its route
// allows another attempt.
func TestLostAnswersAreRetriedInTime(t *testing.T) {
	for path, service := range map[string]string{"/quote/1": "engine", "/look/1": "desk"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			silent := d.script(service+"-1", service, func(net.Conn, string, int) bool {
				time.Sleep(3 * time.Second)
				return false
			})
			pieces := 0
			if service == "engine" {
				pieces = 9
			}
			d.serve(service+"-2", service, pieces)
			n := d.node()
			var callers sync.WaitGroup
			for range 12 { // at the same time, so that both servers get some
				callers.Go(func() {
					start := time.Now()
					got := n.do(t, call{path: path, header: map[string]string{"Pollenlug-Deadline-Ms": "2500"}})
					assert.Check(t, got.err == nil, "%v", got.err)
					assert.Check(t, is.Equal(got.status, http.StatusOK))
					assert.Check(t, time.Since(start) < time.Second, "later than the target of the route: %v", time.Since(start))
				})
			}
			callers.Wait()
			silent.mu.Lock()
			defer silent.mu.Unlock()
			assert.Assert(t, len(silent.runs) > 0, "no request met the silent server")
		})
	}
}
