package lease

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// TestMain fixes the seed of rapid, so that every run has the same result. The flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// pausedTable delays calls before and after they reach the table, to simulate a pause of the node's process.
type pausedTable struct {
	*table.Client
	mu    sync.Mutex
	until time.Time
}

func (p *pausedTable) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

func (p *pausedTable) wait() {
	p.mu.Lock()
	until := p.until
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (p *pausedTable) Get(ctx context.Context, table, key string) (platform.Row, error) {
	p.wait()
	defer p.wait()
	return p.Client.Get(ctx, table, key)
}

func (p *pausedTable) Commit(ctx context.Context, m []platform.Mutation) ([]uint64, error) {
	p.wait()
	defer p.wait()
	return p.Client.Commit(ctx, m)
}

func node(tab *table.Table, name string) (*Leases, *pausedTable) {
	store := &pausedTable{Client: tab.NewClient(name)}
	ids := 0
	id := func() string { ids++; return fmt.Sprint(ids) }
	return New(Options{Table: store, Node: name, ID: id}), store
}

// acquire acquires the lease and releases it at the end of the test, since virtual time stops once a test has returned.
func acquire(t *testing.T, l *Leases) *Held {
	t.Helper()
	h, err := l.Acquire(t.Context(), "plan")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = h.Release(context.Background()) })
	return h
}

func isValid(h *Held) bool { _, ok := h.Check(); return ok }

// Guards against a lease that is lost without a fault, and against a release after which the successor still waits for
// the whole duration.
func TestRenewAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(table.Options{})
		a, _ := node(tab, "a")
		b, _ := node(tab, "b")
		held := acquire(t, a)
		short, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		_, err := b.Acquire(short, "plan")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, isValid(held))
		assert.NilError(t, held.Release(t.Context()))
		assert.Assert(t, !isValid(held))
		start := time.Now()
		next := acquire(t, b)
		assert.Assert(t, time.Since(start) < DefaultMaxOrderTime+time.Second, "took %v", time.Since(start))
		first, _ := held.Check()
		second, ok := next.Check()
		assert.Assert(t, ok && second > first)
	})
}

// Guards against a holder that considers its lease valid after a pause, and against a successor that acquires the
// lease while an order of the holder may still run.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(table.Options{})
		a, store := node(tab, "a")
		b, _ := node(tab, "b")
		held := acquire(t, a)
		acquired := time.Now()
		store.pause(5 * time.Minute)
		next := acquire(t, b)
		waited := time.Since(acquired)
		assert.Assert(t, waited >= DefaultDuration+DefaultMaxOrderTime, "waited %v", waited)
		time.Sleep(5 * time.Minute)
		assert.Assert(t, !isValid(held))
		<-held.Done()
		assert.Assert(t, isValid(next))
	})
}

// Guards against a lease that is lost, or extended from too late a time, when only the responses to writes are lost.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(table.Options{})
		a, store := node(tab, "a")
		store.SetFaults(table.Faults{LostPercent: 100})
		held := acquire(t, a)
		time.Sleep(5 * time.Minute)
		assert.Assert(t, isValid(held))
		store.SetFaults(table.Faults{Outage: table.Refusing})
		time.Sleep(DefaultDuration)
		assert.Assert(t, !isValid(held), "the lease is still valid although its renewals failed for its whole duration")
		<-held.Done()
	})
}

// Guards against a lease that stays valid on a machine whose monotonic clock stopped during a suspension: the wall
// clock must end it.
func TestSuspendedMachine(t *testing.T) {
	now := time.Now()
	s := validity{start: now, duration: time.Second}
	assert.Assert(t, s.contains(now))
	assert.Assert(t, !s.contains(now.Round(0).Add(time.Minute)))
}

// Guards against a holder that acts after the store has returned from a copy, a successor that does not wait out a
// holder of the era before, and a fencing token that is granted again because the copy does not have it.
func TestReturnOfTheStore(t *testing.T) {
	for _, firstStart := range []bool{false, true} {
		t.Run(fmt.Sprintf("first start of the deployment: %v", firstStart), func(t *testing.T) { testReturnOfTheStore(t, firstStart) })
	}
}

func testReturnOfTheStore(t *testing.T, firstStart bool) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(table.Options{})
		a, store := node(tab, "a")
		b, _ := node(tab, "b")
		a.o.NoEarlierHolder, b.o.NoEarlierHolder = firstStart, firstStart
		// b has seen the store before, as a node that runs has.
		_, _, _ = b.read(t.Context(), "other")
		b.mayHaveHolder(b.era())
		held := acquire(t, a)
		last, _ := held.Check()
		for range 2 {
			time.Sleep(30 * time.Second)
			// The holder learns of the return later than its successor.
			store.SetFaults(table.Faults{Outage: table.Hanging})
			tab.ReturnFromCopy(time.Minute) // before the lease was acquired
			returned := time.Now()
			next := acquire(t, b)
			assert.Assert(t, !isValid(held), "two holders %v after the return", time.Since(returned))
			assert.Assert(t, time.Since(returned) >= DefaultDuration+DefaultMaxOrderTime, "waited %v", time.Since(returned))
			token, ok := next.Check()
			assert.Assert(t, ok && token > last, "token %d after %d", token, last)
			last = token
			store.SetFaults(table.Faults{})
			tab.ReturnFromCopy(time.Minute)
			_ = next.Release(context.Background()) // fails, since b does not know of the return yet
			held = acquire(t, a)
			token, ok = held.Check()
			assert.Assert(t, ok && token > last, "token %d after %d", token, last)
			last = token
		}
	})
}

// Guards against a write of a holder of the era before that replaces the row of its successor, because the number of the
// row version on which it depends has been given out again.
func TestLateWriteOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(table.Options{})
		a, store := node(tab, "a")
		b, _ := node(tab, "b")
		held := acquire(t, a)
		store.pause(time.Minute) // with a renewal under way
		tab.ReturnFromCopy(0)
		next := acquire(t, b)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, !isValid(held))
		assert.Assert(t, isValid(next), "the successor has lost the lease")
	})
}

// Guards against a write of a row that is absent only because the store has lost what an earlier holder wrote, and against
// one of a holder that has a successor.
func TestCommitNeedsTheRowOfTheLease(t *testing.T) {
	write := func(t *testing.T, h *Held, key string) error {
		_, err := h.Commit(t.Context(), []platform.Mutation{{Table: "final", Key: key, Value: []byte("1"), If: platform.Condition{Kind: platform.Absent}}})
		return err
	}
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(table.Options{})
		a, store := node(tab, "a")
		b, _ := node(tab, "b")
		first := acquire(t, a)
		assert.NilError(t, write(t, first, "k"))
		var conflict *platform.ConflictError
		assert.Assert(t, errors.As(write(t, first, "k"), &conflict))
		store.pause(time.Minute) // with a renewal under way
		next := acquire(t, b)
		assert.NilError(t, write(t, next, "other"))
		assert.ErrorIs(t, write(t, first, "late"), ErrRowChanged)
		time.Sleep(10 * time.Second) // less than since the lease was acquired
		tab.ReturnFromCopy(time.Minute)
		assert.ErrorIs(t, write(t, next, "other"), ErrRowChanged)
	})
}

// scheduleStep sets the store faults of one node, pauses it or makes the store return from a copy, and then lets time
// pass.
type scheduleStep struct {
	node, fault int
	duration    time.Duration
}

// storeFaults are the faults of the table service in schedules.
var storeFaults = []table.Faults{
	{MaxLatency: 20 * time.Millisecond},
	{MaxLatency: 20 * time.Millisecond, LostPercent: 40, StalePercent: 50, MaxStale: 8 * time.Second},
	{LatePercent: 50, MaxLate: 30 * time.Second, StalePercent: 30, MaxStale: 5 * time.Second},
	{MaxLatency: 3 * time.Second},
	{LostPercent: 60, LostHangs: true},
	{Outage: table.Refusing},
	{Outage: table.Hanging},
}

// Further faults of schedules: a pause of the node, and a return of the store from a copy.
var (
	pauseFault  = len(storeFaults)
	returnFault = len(storeFaults) + 1
)

// monitor records all leases that were granted and checks them against each other.
type monitor struct {
	mu      sync.Mutex
	held    []*Held
	highest uint64
	err     error
}

func (m *monitor) granted(h *Held) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, old := range m.held {
		if isValid(h) && isValid(old) {
			m.err = fmt.Errorf("%s and %s hold the lease at once", old.holder, h.holder)
		}
	}
	if isValid(h) && h.fencing <= m.highest {
		m.err = fmt.Errorf("fencing token %d granted after %d", h.fencing, m.highest)
	}
	m.highest = max(m.highest, h.fencing)
	m.held = append(m.held, h)
}

func (m *monitor) check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var holders []string
	for _, h := range m.held[max(0, len(m.held)-8):] {
		if isValid(h) {
			holders = append(holders, h.holder)
		}
	}
	if len(holders) > 1 {
		return fmt.Errorf("several holders at once: %v", holders)
	}
	return m.err
}

func (m *monitor) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

func (m *monitor) lastIsValid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held) > 0 && isValid(m.held[len(m.held)-1])
}

func runSchedule(seed uint64, steps []scheduleStep) (grants int, err error) {
	tab := table.New(table.Options{Seed: seed})
	ctx, cancel := context.WithCancel(context.Background())
	m := &monitor{}
	var stores []*pausedTable
	var wg sync.WaitGroup
	for i := range 3 {
		l, store := node(tab, fmt.Sprintf("node-%d", i))
		l.o.Duration = 4 * time.Second
		l.o.MaxOrderTime = time.Second
		stores = append(stores, store)
		wg.Go(func() {
			// Nodes act at distinct times, so that their order does not depend on the scheduler.
			time.Sleep(time.Duration(i) * 1_000_003 * time.Nanosecond)
			for n := 1; ; n++ {
				h, err := l.Acquire(ctx, "plan")
				if err != nil {
					return
				}
				m.granted(h)
				if n%2 == 0 && clock.Sleep(ctx, 5*time.Second) {
					_ = h.Release(ctx)
				}
				select {
				case <-h.Done():
				case <-ctx.Done():
					_ = h.Release(ctx)
					<-h.Done()
				}
			}
		})
	}
	for _, s := range steps {
		switch s.fault {
		case pauseFault:
			stores[s.node].pause(40 * time.Second)
		case returnFault:
			tab.ReturnFromCopy(s.duration)
		default:
			stores[s.node].SetFaults(storeFaults[s.fault])
		}
		for end := time.Now().Add(s.duration); err == nil && time.Now().Before(end); err = m.check() {
			time.Sleep(250 * time.Millisecond)
		}
	}
	for _, s := range stores {
		s.SetFaults(table.Faults{})
	}
	if err == nil {
		before := m.count()
		time.Sleep(3 * time.Minute)
		err = m.check()
		if err == nil && m.count() == before && !m.lastIsValid() {
			err = fmt.Errorf("no node holds the lease after the faults ended")
		}
	}
	cancel()
	wg.Wait()
	time.Sleep(time.Minute)
	return m.count(), err
}

// Guards against any order of store faults and pauses that gives the lease to two holders at once, or a fencing token
// that does not increase.
func TestRandomSchedules(t *testing.T) { testRandomSchedules(t, pauseFault) }

// Guards against the same when the store returns from copies as well.
func TestRandomSchedulesWithReturns(t *testing.T) { testRandomSchedules(t, returnFault) }

func testRandomSchedules(t *testing.T, lastFault int) {
	grants := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var steps []scheduleStep
		for range 20 {
			steps = append(steps, scheduleStep{
				node:     rapid.IntRange(0, 2).Draw(rt, "node"),
				fault:    rapid.IntRange(0, lastFault).Draw(rt, "fault"),
				duration: time.Duration(rapid.IntRange(1, 40).Draw(rt, "passes")) * time.Second,
			})
		}
		var n int
		var err error
		synctest.Test(t, func(*testing.T) { n, err = runSchedule(seed, steps) })
		if err != nil {
			rt.Fatalf("table seed %d: %v", seed, err)
		}
		grants += n
	})
	t.Logf("%d grants", grants)
	if !t.Failed() && grants < 500 {
		t.Errorf("only %d leases were granted, want at least 500", grants)
	}
}
