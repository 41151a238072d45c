package claim

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// withTwoNodes runs a test in virtual time with a cluster of two nodes.
func withTwoNodes(t *testing.T, f func(t *testing.T, c *cluster, a, b *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 2)
		defer c.endHangingCalls()
		f(t, c, c.nodes[0], c.nodes[1])
	})
}

// Guards against a resend that runs the call again, on the same node or another, before or after the row is DONE.
func TestResendGetsStoredOutcome(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		first, _, err := c.do(t.Context(), a, "k", 1, behaviour{})
		assert.NilError(t, err)
		for _, n := range []*testNode{a, b, a, b} {
			out, _, err := c.do(t.Context(), n, "k", 1, behaviour{})
			assert.NilError(t, err)
			assert.DeepEqual(t, out, first)
			time.Sleep(DefaultKeep)
		}
		assert.Equal(t, c.service.runsOf("k"), 1)
		assert.Equal(t, c.storedRow(t, "k").State, pb.ClaimRow_DONE)
		assert.Equal(t, string(c.storedRow(t, "k").Outcome.Body), string(first.Body))
	})
}

// Guards against a key that returns the outcome of another request.
func TestOtherDigestIsRefused(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		_, _, err := c.do(t.Context(), a, "k", 1, behaviour{})
		assert.NilError(t, err)
		for _, n := range []*testNode{a, b} {
			_, _, err = c.do(t.Context(), n, "k", 2, behaviour{})
			assertError(t, err, code.IdempotencyKeyReused, code.RanNo)
		}
		assert.Equal(t, c.service.runsOf("k"), 1)
	})
}

// Guards against a claim that is treated as failed, or a call that is sent twice, when only the response to the
// claim's write was lost.
func TestLostAnswer(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, _ *testNode) {
		a.store.SetFaults(table.Faults{LostPercent: 100})
		_, _, err := c.do(t.Context(), a, "k", 1, behaviour{})
		assert.NilError(t, err)
		assert.Equal(t, c.service.runsOf("k"), 1)
		assert.NilError(t, a.Drain(t.Context()))
		assert.Equal(t, c.storedRow(t, "k").State, pb.ClaimRow_DONE)
	})
}

// Guards against treating a stale "not found" as proof that a write whose response was lost did not take effect.
func TestLostAnswerAndStaleReads(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		a.store.SetFaults(table.Faults{LostPercent: 100, StalePercent: 100, MaxStale: 30 * time.Second})
		_, ran, err := c.do(t.Context(), a, "k", 1, behaviour{})
		if err != nil {
			assertError(t, err, code.ClaimStoreUnavailable, code.RanNo)
			assert.Assert(t, !ran())
		}
		a.store.SetFaults(table.Faults{})
		assert.NilError(t, a.Drain(t.Context()))
		_, _, err = c.do(t.Context(), b, "k", 1, behaviour{})
		assert.NilError(t, err)
		assert.Equal(t, c.service.runsOf("k"), 1)
	})
}

// Guards against a refusal that takes longer than the store timeout during an outage, and against a row of the refused
// attempt that blocks the key later.
func TestStoreDown(t *testing.T) {
	for _, outage := range []table.Outage{table.Refusing, table.Hanging} {
		withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
			a.store.SetFaults(table.Faults{Outage: outage})
			start := time.Now()
			_, ran, err := c.do(t.Context(), a, "k", 1, behaviour{})
			assertError(t, err, code.ClaimStoreUnavailable, code.RanNo)
			assert.Assert(t, time.Since(start) <= DefaultStoreTimeout, "took %v", time.Since(start))
			time.Sleep(time.Minute)
			assert.Assert(t, !ran())
			a.store.SetFaults(table.Faults{})
			assert.NilError(t, a.Drain(t.Context()))
			_, _, err = c.do(t.Context(), b, "k", 1, behaviour{})
			assert.NilError(t, err)
			assert.Equal(t, c.service.runsOf("k"), 1)
		})
	}
}

// Guards against a claim that takes effect after its caller got ran:"no": the attempt must neither run nor block the
// key, whether the resend arrives before or after the write takes effect.
func TestLateWriteAfterNotRun(t *testing.T) {
	for _, resendAfter := range []time.Duration{0, time.Minute} {
		withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
			a.store.SetFaults(table.Faults{LatePercent: 100, MaxLate: 30 * time.Second})
			_, ran, err := c.do(t.Context(), a, "k", 1, behaviour{})
			assertError(t, err, code.ClaimStoreUnavailable, code.RanNo)
			a.store.SetFaults(table.Faults{Outage: table.Hanging}) // the cancellation cannot be written
			time.Sleep(resendAfter)
			if resendAfter > 0 {
				assert.Equal(t, c.storedRow(t, "k").State, pb.ClaimRow_DISPATCHED, "the late write has not taken effect")
			}
			out, _, err := c.do(t.Context(), b, "k", 1, behaviour{})
			assert.NilError(t, err)
			time.Sleep(time.Minute)
			a.store.SetFaults(table.Faults{})
			assert.NilError(t, a.Drain(t.Context()))
			assert.Assert(t, !ran())
			assert.Equal(t, c.service.runsOf("k"), 1)
			assert.Equal(t, string(c.storedRow(t, "k").Outcome.Body), string(out.Body))
		})
	}
}

// pausingTable moves a node's clock ahead after the first commit, as a pause of the process would.
type pausingTable struct {
	platform.Table
	once  sync.Once
	pause func()
}

func (p *pausingTable) Commit(ctx context.Context, m []platform.Mutation) ([]uint64, error) {
	versions, err := p.Table.Commit(ctx, m)
	p.once.Do(p.pause)
	return versions, err
}

// Guards against an attempt that is sent minutes after its claim because no timer fired while the process was paused.
func TestHolderPausedBeforeSend(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		a.group.table = &pausingTable{Table: a.store, pause: func() { a.pause(5 * time.Minute) }}
		_, ran, err := c.do(t.Context(), a, "k", 1, behaviour{})
		assertError(t, err, code.ClaimStoreUnavailable, code.RanNo)
		assert.Assert(t, !ran())
		_, _, err = c.do(t.Context(), b, "k", 1, behaviour{})
		assert.NilError(t, err)
		assert.NilError(t, a.Drain(t.Context()))
		assert.Equal(t, c.service.runsOf("k"), 1)
	})
}

// Guards against a second run while the holder waits for the response, whether its peers can query it or not.
func TestHolderIsolatedBeforeResponse(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		outcomes := make(chan Outcome)
		go func() {
			out, _, err := c.do(t.Context(), a, "k", 1, behaviour{delay: 2 * time.Minute})
			assert.Check(t, err)
			outcomes <- out
		}()
		time.Sleep(time.Minute)
		_, _, err := c.do(t.Context(), b, "k", 1, behaviour{})
		assertError(t, err, code.CallInProgress, code.RanUnknown)
		a.setFailure(false, true)
		_, _, err = c.do(t.Context(), b, "k", 1, behaviour{})
		assertError(t, err, code.OutcomeUnknown, code.RanUnknown)
		first := <-outcomes
		time.Sleep(time.Second)
		out, _, err := c.do(t.Context(), b, "k", 1, behaviour{})
		assert.NilError(t, err)
		assert.DeepEqual(t, out, first)
		assert.Equal(t, c.service.runsOf("k"), 1)
	})
}

// Guards against two runs when two callers on each of two nodes use the same key at once.
func TestSameKeyAtOnce(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		var wg sync.WaitGroup
		errs := make([]error, 4)
		for i, n := range []*testNode{a, b, a, b} {
			wg.Go(func() {
				_, _, errs[i] = c.do(t.Context(), n, "k", 1, behaviour{delay: time.Second})
			})
		}
		wg.Wait()
		successes := 0
		for _, err := range errs {
			if err == nil {
				successes++
				continue
			}
			assertError(t, err, code.CallInProgress, code.RanUnknown)
		}
		assert.Equal(t, successes, 2, "both callers of the winning node get the outcome")
		assert.Equal(t, c.service.runsOf("k"), 1)
	})
}

// Guards against a second run, or ran:"no", after the holder died with the call dispatched. Only a positive reply of
// the service may resolve the unknown outcome.
func TestNodeDeathAfterDispatch(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		go func() { _, _, _ = c.do(t.Context(), a, "k", 1, behaviour{delay: time.Second}) }()
		time.Sleep(1500 * time.Millisecond)
		a.setFailure(true, false)
		a.store.SetFaults(table.Faults{Outage: table.Hanging})
		_, _, err := c.do(t.Context(), b, "k", 1, behaviour{})
		assertError(t, err, code.OutcomeUnknown, code.RanUnknown)
		c.service.queryable = true
		out, _, err := c.do(t.Context(), b, "k", 1, behaviour{})
		assert.NilError(t, err)
		assert.Equal(t, string(out.Body), "1/k/1")
		assert.NilError(t, b.Drain(t.Context()))
		assert.Equal(t, c.storedRow(t, "k").State, pb.ClaimRow_DONE)
		assert.Equal(t, c.service.runsOf("k"), 1)
	})
}

// Guards against ran:"no" after a send whose response was lost, and against using a negative reply of the service
// although the call may still arrive.
func TestUnknownAfterSend(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		c.service.queryable = true
		_, _, err := c.do(t.Context(), a, "lost", 1, behaviour{lostCall: true})
		assertError(t, err, code.OutcomeUnknown, code.RanUnknown)
		for _, n := range []*testNode{a, b} {
			_, _, err = c.do(t.Context(), n, "lost", 1, behaviour{})
			assertError(t, err, code.OutcomeUnknown, code.RanUnknown)
		}
		assert.Equal(t, c.service.runsOf("lost"), 0)
		_, _, err = c.do(t.Context(), a, "answer", 1, behaviour{lostResponse: true})
		assert.NilError(t, err, "the service knows the outcome")
	})
}

// Guards against a key that stays blocked after a call that was not sent, also for a request with another digest.
func TestNothingSent(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		_, _, err := c.do(t.Context(), a, "k", 1, behaviour{unsent: true})
		assertError(t, err, code.NoBackendServer, code.RanNo)
		assert.NilError(t, a.Drain(t.Context()))
		assert.Equal(t, c.storedRow(t, "k").State, pb.ClaimRow_CANCELLED)
		_, _, err = c.do(t.Context(), b, "k", 2, behaviour{})
		assert.NilError(t, err)
		assert.Equal(t, c.service.runsOf("k"), 1)
	})
}

// Guards against losing an outcome because the store was down when the call ended.
func TestOutcomeIsStoredAfterOutage(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		go func() {
			time.Sleep(500 * time.Millisecond)
			a.store.SetFaults(table.Faults{Outage: table.Refusing})
		}()
		_, _, err := c.do(t.Context(), a, "k", 1, behaviour{delay: time.Second})
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		assert.Equal(t, c.storedRow(t, "k").State, pb.ClaimRow_DISPATCHED)
		_, _, err = c.do(t.Context(), b, "k", 1, behaviour{})
		assert.NilError(t, err, "the holder answers from memory")
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, a.Drain(short), context.DeadlineExceeded)
		a.store.SetFaults(table.Faults{})
		assert.NilError(t, a.Drain(t.Context()))
		assert.Equal(t, c.storedRow(t, "k").State, pb.ClaimRow_DONE)
	})
}

// Guards against a send after the caller got ran:"no" because its deadline passed before the send.
func TestCallerLeavesBeforeSend(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		a.store.SetFaults(table.Faults{MinLatency: 100 * time.Millisecond, MaxLatency: 100 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, ran, err := c.do(ctx, a, "k", 1, behaviour{})
		assertError(t, err, code.DeadlineExceeded, code.RanNo)
		assert.NilError(t, a.Drain(t.Context()))
		assert.Assert(t, !ran())
		assert.Equal(t, c.storedRow(t, "k").State, pb.ClaimRow_CANCELLED)
		_, _, err = c.do(t.Context(), b, "k", 1, behaviour{})
		assert.NilError(t, err)
	})
}

// Guards against an unbounded number of background writes during a long outage.
func TestOpenCallsAreBounded(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, _ *testNode) {
		a.o.MaxOpen = 10
		a.store.SetFaults(table.Faults{Outage: table.Hanging})
		for i := range 30 {
			_, _, err := c.do(t.Context(), a, fmt.Sprint(i), 1, behaviour{})
			assertError(t, err, code.ClaimStoreUnavailable, code.RanNo)
			assert.Assert(t, a.Stats().Background <= 10)
		}
		synctest.Wait() // a call returns before its cancellation write has started
		assert.Equal(t, a.Stats().Background, 10)
		a.store.SetFaults(table.Faults{})
		assert.NilError(t, a.Drain(t.Context()))
		assert.Equal(t, a.Stats(), Stats{})
	})
}

// Guards against a call that is refused below MaxOpen because an attempt is counted twice while it turns into a
// background write.
func TestAttemptTurnsIntoOneBackgroundWrite(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, _ *testNode) {
		a.store.SetFaults(table.Faults{Outage: table.Hanging})
		done := make(chan error, 1)
		go func() {
			_, _, err := c.do(t.Context(), a, "k", 1, behaviour{})
			done <- err
		}()
		time.Sleep(a.o.StoreTimeout / 2) // the claim is sent
		a.group.mu.Lock()                // blocks the background write at its start
		assertError(t, <-done, code.ClaimStoreUnavailable, code.RanNo)
		for a.Stats().Background == 0 {
			runtime.Gosched()
		}
		open := a.Stats().Open
		a.group.mu.Unlock()
		assert.Equal(t, open, 1)
		a.store.SetFaults(table.Faults{})
		assert.NilError(t, a.Drain(t.Context()))
	})
}

// Guards against rows that remain after their retention, and against a purge that deletes a row before its expiry.
func TestPurge(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		purge := func(n *testNode) (deleted int) {
			for range 5 {
				d, err := n.Purge(t.Context(), 10)
				assert.NilError(t, err)
				deleted += d
			}
			return deleted
		}
		for i := range 25 {
			_, _, err := c.do(t.Context(), a, fmt.Sprint(i), 1, behaviour{})
			assert.NilError(t, err)
		}
		time.Sleep(DefaultRetention)
		assert.Equal(t, purge(a)+purge(b), 0)
		time.Sleep(expirySlack + time.Minute)
		_, _, err := c.do(t.Context(), b, "0", 2, behaviour{})
		assert.NilError(t, err, "an expired row may be replaced")
		assert.Equal(t, purge(a)+purge(b), 24)
	})
}

// Guards against a group whose writes all fail because one of them conflicts, and against more than one transaction
// per group.
func TestGroupedWrites(t *testing.T) {
	withTwoNodes(t, func(t *testing.T, c *cluster, a, b *testNode) {
		_, _, err := c.do(t.Context(), b, "3", 9, behaviour{})
		assert.NilError(t, err)
		assert.NilError(t, b.Drain(t.Context()))
		before := c.table.Counts()
		var wg sync.WaitGroup
		errs := make([]error, 20)
		for i := range errs {
			wg.Go(func() { _, _, errs[i] = c.do(t.Context(), a, fmt.Sprint(i), 1, behaviour{}) })
		}
		wg.Wait()
		assertError(t, errs[3], code.IdempotencyKeyReused, code.RanNo)
		errs[3] = nil
		assert.NilError(t, errors.Join(errs...))
		assert.NilError(t, a.Drain(t.Context()))
		after := c.table.Counts()
		assert.Equal(t, after.RowWrites-before.RowWrites, uint64(38), "two row writes per call")
		// The claims with the conflicting row, the claims without it, the outcomes, and the check of the conflicting row,
		// which may share a transaction with outcomes.
		assert.Assert(t, after.Commits-before.Commits <= 4, "%d commits", after.Commits-before.Commits)
	})
}

// Guards against a call that runs again because the table service has returned from a copy without its row: one that is
// done, and one that is running when the service returns.
func TestCallDoesNotRunAgainAfterAReturnOfTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(1, 3)
		for _, n := range c.nodes {
			go n.Run(ctx)
		}
		holder, other := c.nodes[0], c.nodes[1]
		want, _, err := c.do(ctx, holder, "done", 1, behaviour{})
		assert.NilError(t, err)
		go func() { _, _, _ = c.do(ctx, holder, "running", 1, behaviour{delay: 4 * time.Second}) }()
		time.Sleep(2 * time.Second)
		c.table.ReturnFromCopy(30 * time.Second)
		for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, key := range []string{"done", "running"} {
				_, _, err := c.do(ctx, other, key, 1, behaviour{})
				var e *code.Error
				if errors.As(err, &e) {
					assert.Assert(t, e.Ran != code.RanNo || e.RetryAfter > 0, "%s: %v", key, err)
				}
				assert.Assert(t, c.service.runsOf(key) <= 1, "%s has run again", key)
			}
		}
		got, _, err := c.do(ctx, other, "done", 1, behaviour{})
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		_, _, err = c.do(ctx, other, "running", 1, behaviour{})
		assert.NilError(t, err)
		assert.Equal(t, c.service.runsOf("running"), 1)
		// Calls that are new are claimed again.
		_, _, err = c.do(ctx, other, "new", 1, behaviour{})
		assert.NilError(t, err)
		cancel()
		c.endHangingCalls()
	})
}
