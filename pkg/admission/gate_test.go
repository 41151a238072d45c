package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a client that returns early to gain or to lose a place, and against requests that all get one time.
func TestEarlyReturnKeepsItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(now)
	r := Request{Cost: 0.1, Wait: 3 * time.Second, Own: 100 * time.Millisecond, Target: time.Second, Left: 30 * time.Second}
	for range 200 { // the rate of what is admitted
		quiet := r
		quiet.Wait = 0
		assert.Equal(t, g.Decide(quiet, now).Verdict, Admit)
		now = now.Add(10 * time.Millisecond)
	}
	times := map[time.Duration]bool{}
	for r.Key = 1; r.Key <= 10; r.Key++ {
		d := g.Decide(r, now)
		assert.Equal(t, d.Verdict, Reject)
		assert.Assert(t, d.RetryAfter > 0 && !times[d.RetryAfter])
		times[d.RetryAfter] = true
	}
	r.Key = 10
	first := g.Decide(r, now)
	now = now.Add(first.RetryAfter / 2)
	early := g.Decide(r, now)
	assert.Equal(t, early.Verdict, Reject)
	assert.Equal(t, early.RetryAfter, first.RetryAfter-first.RetryAfter/2)
	now = now.Add(early.RetryAfter)
	r.Wait = 600 * time.Millisecond // beyond the bound of a less urgent class
	r.Priority = 2
	assert.Equal(t, g.Decide(r, now).Verdict, Admit)
}

// Guards against a line in which a workspace with many requests or a less urgent class goes first.
func TestLineOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Line
	l.MaxBytes = 1 << 10
	push := func(workspace string, priority int, left time.Duration) {
		assert.Assert(t, l.Push(&Waiter{Workspace: workspace, Priority: priority, Cost: 1, Deadline: now.Add(left)}, 1))
	}
	push("a", 1, 1*time.Second)
	for range 4 {
		push("large", 0, 2*time.Second)
	}
	push("small", 0, 9*time.Second)
	push("small", 0, 3*time.Second)
	assert.Assert(t, !l.Push(&Waiter{Bytes: 2 << 10}, 1), "the line holds more bytes than it may")
	order := ""
	for w := l.Next(); w != nil; w = l.Next() {
		order += w.Workspace + w.Deadline.Sub(now).String() + " "
		l.Remove(w, true)
	}
	assert.Equal(t, order, "large2s small3s small9s large2s large2s large2s a1s ")
	assert.Equal(t, l.Len(), 0)
	assert.Equal(t, l.Ahead(3), 0.0)
}
