package route

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

type fixture struct {
	*Router
	now     time.Time
	servers []Server
}

func newFixture(n int, opts Options) *fixture {
	f := &fixture{now: time.UnixMilli(1_000_000)}
	opts.Now = func() time.Time { return f.now }
	opts.Region, opts.FailureDomain = "west", "west-0"
	f.servers = newServers(n, f.now)
	for i := range f.servers {
		f.servers[i].Load = backend.Load{StepMicros: 15000}
		f.servers[i].PricePerHourMicros = 1_000_000
		f.servers[i].Reclaimable = false
	}
	f.Router = New(opts)
	f.SetServers(f.servers)
	return f
}

func (f *fixture) pick(t *testing.T, req Request) Pick {
	t.Helper()
	req.Group, req.Model = "engines", "base"
	p, err := f.Pick(&req)
	assert.NilError(t, err)
	return p
}

func (f *fixture) updateServers(edit func([]Server)) {
	f.servers = append([]Server(nil), f.servers...)
	edit(f.servers)
	f.SetServers(f.servers)
}

// A leaving or excluded server must not get requests. A suspect server gets them only when no healthy one is left, and
// one without the model only after that.
func TestOnlyEligibleServers(t *testing.T) {
	for _, policy := range []Policy{CostAware, RoundRobin, LeastLoaded, PrefixOnly} {
		f := newFixture(40, Options{Policy: policy})
		f.updateServers(func(s []Server) {
			for i := range s {
				s[i].Leaving = i >= 4
			}
			s[2].Suspect = true
			s[3].Models = nil
		})
		for range 200 {
			p := f.pick(t, Request{Exclude: []string{"worker-000"}})
			assert.Equal(t, p.Server.ID, "worker-001", string(policy))
			p.Done(Result{})
		}
		p := f.pick(t, Request{Exclude: []string{"worker-000", "worker-001"}})
		assert.Equal(t, p.Server.ID, "worker-002", string(policy))
		p = f.pick(t, Request{Exclude: []string{"worker-000", "worker-001", "worker-002"}})
		assert.Equal(t, p.Server.ID, "worker-003", string(policy))
		f.updateServers(func(s []Server) {
			for i := range s {
				s[i].Leaving = true
			}
		})
		_, err := f.Pick(&Request{Group: "engines"})
		assert.ErrorContains(t, err, "no_backend_server")
	}
}

// Replacing the server list or repeating Done must not lose or double in-flight counts.
func TestInFlightSurvivesServerChange(t *testing.T) {
	f := newFixture(2, Options{})
	p := f.pick(t, Request{PromptTokens: 100})
	st := p.state
	f.updateServers(func(s []Server) { s[0].Suspect = true })
	assert.Equal(t, st.inflight.Load(), int32(1))
	assert.Equal(t, st.unreported.Load(), int32(1))
	p.Done(Result{})
	p.Done(Result{})
	assert.Equal(t, st.inflight.Load(), int32(0))
	assert.Equal(t, st.unreported.Load(), int32(0))
}

// Requests sent after a load report was made, but before it arrives, must still count once it arrives.
func TestReportLagIsCorrected(t *testing.T) {
	f := newFixture(1, Options{})
	f.now = f.now.Add(time.Second)
	first := f.pick(t, Request{PromptTokens: 100})
	reportAt := f.now.Add(100 * time.Millisecond)
	f.now = f.now.Add(300 * time.Millisecond)
	f.pick(t, Request{PromptTokens: 70})
	st := first.state
	f.SetLoad("worker-000", backend.Load{Running: 1, PrefillTokens: 100}, reportAt)
	assert.Equal(t, st.queued.Load(), int32(1))
	assert.Equal(t, st.unreported.Load(), int32(1), "only the second request is newer than the report")
	first.Done(Result{})
	assert.Equal(t, st.unreported.Load(), int32(0))
	f.SetLoad("worker-000", backend.Load{Running: 9}, reportAt.Add(-time.Second))
	assert.Equal(t, st.queued.Load(), int32(1), "an older report must not replace a newer one")
}

// A shared prefix stays on one server until that server would miss the latency target; then a second one gets it.
func TestHotPrefixIsCopied(t *testing.T) {
	f := newFixture(40, Options{})
	shared := newBlocks(3, 40)
	req := Request{Blocks: shared, PromptTokens: 2600, OutputTokens: 100}
	first := f.pick(t, req)
	f.now = f.now.Add(time.Second)
	first.Done(Result{})
	for range 10 {
		p := f.pick(t, req)
		assert.Equal(t, p.Server.ID, first.Server.ID)
		p.Done(Result{})
	}
	f.now = f.now.Add(time.Second)
	f.SetLoad(first.Server.ID, backend.Load{Running: 32, Waiting: 10, PrefillTokens: 20000, StepMicros: 30000}, f.now)
	second := f.pick(t, req)
	assert.Assert(t, second.Server.ID != first.Server.ID)
	second.Done(Result{})
	f.now = f.now.Add(time.Second)
	third := f.pick(t, req)
	assert.Equal(t, third.Server.ID, second.Server.ID)
}

// Hints must not survive a restart, and must have half weight from a large gap in the cache events until a resync.
func TestCacheEventsGapAndRestart(t *testing.T) {
	f := newFixture(1, Options{})
	blocks := newBlocks(5, 3)
	req := Request{Blocks: blocks, PromptTokens: 700}
	add := func(seq, block uint64) []backend.CacheEvent {
		return []backend.CacheEvent{{Sequence: seq, Block: block}}
	}
	f.ObserveCache("worker-000", add(5, blocks[0]))
	f.ObserveCache("worker-000", add(6, blocks[1]))
	expected := func() uint32 {
		c := chooser{router: f.Router, snap: f.snap.Load(), req: &req, targets: f.targets.Load()}
		c.findPrefix()
		return uint32(c.cachedTokens(0))
	}
	assert.Equal(t, expected(), uint32(400))
	f.ObserveCache("worker-000", add(6, blocks[2]))
	assert.Equal(t, expected(), uint32(400), "a repeated event is ignored")
	f.ObserveCache("worker-000", add(7+maxEventGap, 1))
	assert.Assert(t, !f.NeedsCacheResync("worker-000"), "a few missing events concern a few blocks of thousands")
	f.ObserveCache("worker-000", add(9+2*maxEventGap, 1))
	assert.Assert(t, f.NeedsCacheResync("worker-000"))
	assert.Equal(t, expected(), uint32(200))
	f.ResyncCache("worker-000", add(99, blocks[0]))
	assert.Assert(t, !f.NeedsCacheResync("worker-000"))
	assert.Equal(t, expected(), uint32(200))
	f.ObserveCache("worker-000", []backend.CacheEvent{{Sequence: 100, Block: blocks[0], Removed: true}})
	assert.Equal(t, expected(), uint32(0))
	f.ObserveCache("worker-000", add(101, blocks[0]))
	f.SetLoad("worker-000", backend.Load{StartedUnixMillis: 1}, f.now.Add(time.Second))
	f.SetLoad("worker-000", backend.Load{StartedUnixMillis: 2}, f.now.Add(2*time.Second))
	assert.Equal(t, expected(), uint32(0))
}

// While a failure domain is being reclaimed, long requests must avoid its reclaimable servers although they are cheaper.
func TestReclaimedDomainIsAvoided(t *testing.T) {
	f := newFixture(8, Options{RecomputeWeight: 100})
	cheapInDomain1 := func(s []Server) {
		for i := range s {
			s[i].Reclaimable = true
			if s[i].FailureDomain == "west-1" {
				s[i].PricePerHourMicros = 100_000
			}
		}
	}
	f.updateServers(cheapInDomain1)
	p := f.pick(t, Request{PromptTokens: 1000, OutputTokens: 1000})
	assert.Equal(t, p.Server.FailureDomain, "west-1")
	f.updateServers(func(s []Server) { s[1].Leaving = true })
	for range 20 {
		p := f.pick(t, Request{PromptTokens: 1000, OutputTokens: 1000})
		assert.Assert(t, p.Server.FailureDomain != "west-1")
	}
}

// An isolated request must run alone: no other request may be sent to its server until it ends.
func TestIsolation(t *testing.T) {
	f := newFixture(3, Options{})
	busy := f.pick(t, Request{})
	alone := f.pick(t, Request{Isolate: true})
	assert.Assert(t, alone.Alone)
	assert.Assert(t, alone.Server.ID != busy.Server.ID)
	for range 50 {
		p := f.pick(t, Request{})
		assert.Assert(t, p.Server.ID != alone.Server.ID)
	}
	second := f.pick(t, Request{Isolate: true})
	assert.Assert(t, second.Server.ID != alone.Server.ID)
	alone.Done(Result{Outcome: Failed})
	third := f.pick(t, Request{Isolate: true})
	assert.Equal(t, third.Server.ID, alone.Server.ID)
}

// The indexed depths must be the same for every prompt length, or shared prefixes are not found.
func TestIndexedDepths(t *testing.T) {
	last := 0
	for i := range 200 {
		depth := indexedDepth(i)
		assert.Assert(t, depth > last)
		assert.Equal(t, indexedDepths(depth), i+1)
		assert.Equal(t, indexedDepths(depth-1), i)
		last = depth
	}
}

// Concurrent use must leave all counters at zero, and a choice must not allocate.
func TestConcurrentPicks(t *testing.T) {
	r := New(Options{Region: "west"})
	servers := newServers(40, time.Now())
	r.SetServers(servers)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for k := range 500 {
				req := Request{Model: "base", Group: "engines", Blocks: newBlocks(uint64(k%7), 30), PromptTokens: 2000, Isolate: k%50 == 0}
				p, err := r.Pick(&req)
				if err != nil {
					continue
				}
				if g == 0 && k%20 == 0 {
					r.SetServers(servers)
				}
				p.Done(Result{FirstToken: time.Millisecond})
			}
		})
	}
	wg.Wait()
	for _, st := range r.states {
		assert.Equal(t, st.inflight.Load(), int32(0))
		assert.Equal(t, st.isolated.Load(), int32(0))
	}
	req := Request{Model: "base", Group: "engines", Blocks: newBlocks(1, 64), PromptTokens: 4000}
	allocs := testing.AllocsPerRun(100, func() {
		p, _ := r.Pick(&req)
		p.Done(Result{})
	})
	assert.Equal(t, allocs, 0.0)
}
