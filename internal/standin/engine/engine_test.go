package engine_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/enginehttp"
	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

// fleet is a set of engines on an in-process network, so that they run in virtual time. Engine i has the address
// "engine-i:1".
type fleet struct {
	t       *testing.T
	engines []*engine.Engine
	client  *enginehttp.Client
}

func newFleet(t *testing.T, count int, options engine.Options) *fleet {
	network := netfault.NewPipeNetwork()
	f := &fleet{t: t, client: enginehttp.New(enginehttp.Options{HTTP: httpclient.Options{Dial: network.Dial}})}
	if options.Models == nil {
		options.Models = []string{"m", "m:a"}
	}
	options.Listen = network.Listen
	for i := range count {
		options.Name = fmt.Sprintf("engine-%d:1", i)
		e := engine.New(options)
		assert.NilError(t, e.Listen(options.Name))
		f.engines = append(f.engines, e)
	}
	return f
}

func (f *fleet) close() {
	for _, e := range f.engines {
		e.Close()
	}
	f.client.Close()
}

// generate returns all tokens received and checks that their offsets have neither gaps nor duplicates. If crashAfter
// is not 0, the engine crashes after that many tokens.
func (f *fleet) generate(ctx context.Context, server int, req backend.GenerateRequest, crashAfter int) ([]string, *backend.Usage, error) {
	var tokens []string
	var usage *backend.Usage
	err := f.client.Generate(ctx, fmt.Sprintf("engine-%d:1", server), req, func(c backend.Chunk) error {
		assert.Equal(f.t, int(c.Offset), len(req.Resume)+len(tokens))
		tokens = append(tokens, c.Tokens...)
		usage = c.Usage
		if crashAfter > 0 && len(tokens) == crashAfter {
			f.engines[server].Crash()
		}
		return nil
	})
	return tokens, usage, err
}

func repeatWord(n int, word string) string { return strings.TrimSpace(strings.Repeat(word+" ", n)) }

// Guards against a response that changes when another engine continues it after a crash.
func TestContinuationOnAnotherEngineIsIdentical(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, engine.Options{Seed: 1})
		defer f.close()
		random := rand.New(rand.NewPCG(7, 7))
		for i := range 20 {
			req := backend.GenerateRequest{ID: fmt.Sprint(i), Attempt: 1, Model: "m", Adapter: "a", Prompt: repeatWord(50+i, "reef"), Seed: uint64(i), MaxTokens: 100}
			want, _ := engine.ExpectedResponse(req)
			first, _, err := f.generate(t.Context(), i%2, req, 1+random.IntN(len(want)-1))
			assert.ErrorIs(t, err, backend.ErrInterrupted)
			assert.NilError(t, f.engines[i%2].Restart())
			req.Attempt = 2
			req.Resume = first
			rest, usage, err := f.generate(t.Context(), 1-i%2, req, 0)
			assert.NilError(t, err)
			assert.DeepEqual(t, append(first, rest...), want)
			assert.Equal(t, int(usage.GeneratedTokens), len(rest))
			assert.Equal(t, int(usage.PrefilledTokens+usage.CachedTokens), engine.CountTokens(req.Prompt)+len(first))
		}
	})
}

// Guards against a batch slot that stays occupied after its client has disconnected.
func TestCancelFreesTheBatchSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, engine.Options{MaxBatch: 1})
		defer f.close()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, _, err := f.generate(ctx, 0, backend.GenerateRequest{ID: "1", Model: "m", Prompt: "a"}, 0)
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		load, err := f.client.Load(t.Context(), "engine-0:1")
		assert.NilError(t, err)
		assert.Equal(t, load.Running, uint32(1))
		cancel()
		err = <-done
		assert.ErrorIs(t, err, context.Canceled)
		assert.ErrorIs(t, err, backend.ErrInterrupted)
		_, _, err = f.generate(t.Context(), 0, backend.GenerateRequest{ID: "2", Model: "m", Prompt: "b", MaxTokens: 5}, 0)
		assert.NilError(t, err)
		assert.Equal(t, f.engines[0].Stats().Cancelled, uint64(1))
	})
}

// Guards against waiting requests that start before others of a higher priority.
func TestWaitingRequestsRunByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, engine.Options{MaxBatch: 1})
		defer f.close()
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		for i, priority := range []uint32{0, 0, 2, 1, 2} {
			wg.Go(func() {
				id := fmt.Sprint(i)
				_, _, err := f.generate(t.Context(), 0, backend.GenerateRequest{ID: id, Model: "m", Prompt: id, Priority: priority, MaxTokens: 20}, 0)
				assert.Check(t, err)
				mu.Lock()
				order = append(order, id)
				mu.Unlock()
			})
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		assert.DeepEqual(t, order, []string{"0", "2", "4", "3", "1"})
	})
}

// Guards against a cache that exceeds its limit, evicts the wrong prefixes or sends no events for evicted blocks.
func TestCacheEvictsTheLeastRecentlyUsedPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, engine.Options{CacheTokens: 500, CacheEventDelay: time.Second})
		defer f.close()
		run := func(word string) backend.Usage {
			// 256 words of 4 bytes are 4 blocks of 64 tokens (a word and its space take 4 bytes).
			_, usage, err := f.generate(t.Context(), 0, backend.GenerateRequest{ID: word, Model: "m", Prompt: strings.Repeat(word+" ", 256)[:1024], MaxTokens: 1}, 0)
			assert.NilError(t, err)
			return *usage
		}
		assert.Equal(t, run("aaa").CachedTokens, uint32(0))
		assert.Equal(t, run("aaa").CachedTokens, uint32(256))
		events, err := f.client.CacheEvents(t.Context(), "engine-0:1", 0)
		assert.NilError(t, err)
		assert.Equal(t, len(events), 0, "an event is visible before its delay")
		run("bbb")
		assert.Equal(t, run("bbb").CachedTokens, uint32(256))
		// As many of the first blocks of "aaa" stay as fit.
		assert.Equal(t, run("aaa").CachedTokens, uint32(192))
		time.Sleep(2 * time.Second)
		events, err = f.client.CacheEvents(t.Context(), "engine-0:1", 0)
		assert.NilError(t, err)
		cached := map[uint64]bool{}
		for _, event := range events {
			if event.Removed {
				delete(cached, event.Block)
			} else {
				cached[event.Block] = true
			}
		}
		for _, h := range backend.PrefixBlocks(nil, "m", "", strings.Repeat("aaa ", 256)[:1024]) {
			assert.Assert(t, cached[h], "the events do not show a cached block")
		}
		assert.Assert(t, len(cached)*64 <= 500, "%d blocks exceed the memory", len(cached))
	})
}

// Guards against cache events that all arrive although some must be lost, and against a loss that depends on anything
// but the seed.
func TestLostCacheEventsLeaveGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, engine.Options{Seed: 3, CacheEventLoss: 0.5})
		defer f.close()
		_, _, err := f.generate(t.Context(), 0, backend.GenerateRequest{ID: "1", Model: "m", Prompt: repeatWord(4000, "tide"), MaxTokens: 1}, 0)
		assert.NilError(t, err)
		events, err := f.client.CacheEvents(t.Context(), "engine-0:1", 0)
		assert.NilError(t, err)
		gap := false
		for i, event := range events {
			gap = gap || event.Sequence != uint64(i+1)
		}
		assert.Assert(t, gap)
		assert.Equal(t, len(events), 41) // of 78 blocks, with this seed
	})
}

// Guards against a moved stream that is prefilled again although its KV cache was imported.
func TestImportedKVCacheIsNotRecomputed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, engine.Options{Tracker: engine.NewRecomputeTracker()})
		defer f.close()
		req := backend.GenerateRequest{ID: "r", Attempt: 1, Model: "m", Prompt: repeatWord(1000, "keel"), MaxTokens: 60}
		want, _ := engine.ExpectedResponse(req)
		var kv []byte
		errMoved := errors.New("moved")
		err := f.client.Generate(t.Context(), "engine-0:1", req, func(c backend.Chunk) error {
			req.Resume = append(req.Resume, c.Tokens...)
			if len(req.Resume) < 30 {
				return nil
			}
			var err error
			kv, err = f.client.ExportKV(t.Context(), "engine-0:1", "r")
			assert.NilError(t, err)
			return errMoved
		})
		assert.ErrorIs(t, err, errMoved)
		assert.NilError(t, f.client.ImportKV(t.Context(), "engine-1:1", "r", kv))
		req.Attempt = 2
		req.KVFrom = "r"
		rest, usage, err := f.generate(t.Context(), 1, req, 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, append(req.Resume, rest...), want)
		assert.Equal(t, usage.PrefilledTokens, uint32(0))
		assert.Equal(t, f.engines[1].Stats().RecomputedTokens, uint64(0))
	})
}

// Guards against recomputed tokens that are not counted.
func TestRecomputedTokensAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, engine.Options{Tracker: engine.NewRecomputeTracker()})
		defer f.close()
		req := backend.GenerateRequest{ID: "r", Attempt: 1, Model: "m", Prompt: repeatWord(100, "keel"), MaxTokens: 60}
		first, _, err := f.generate(t.Context(), 0, req, 40)
		assert.ErrorIs(t, err, backend.ErrInterrupted)
		generated := f.engines[0].Stats().GeneratedTokens
		assert.Assert(t, generated >= uint64(len(first)))
		req.Attempt = 2
		req.Resume = first[:10] // the progress after the tenth token was lost
		_, _, err = f.generate(t.Context(), 1, req, 0)
		assert.NilError(t, err)
		assert.Equal(t, f.engines[1].Stats().RecomputedTokens, 100+generated)
	})
}

// Guards against an engine that checks fencing tokens but executes orders of an earlier lease holder, and against a
// check by an engine that should make none.
func TestStaleFencingTokens(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, engine.Options{ChecksFencing: checks})
			defer f.close()
			unload := backend.Order{Kind: backend.Unload, Model: "m", Fencing: 4}
			for range 2 { // orders are idempotent
				assert.NilError(t, f.client.Order(t.Context(), "engine-0:1", backend.Order{Kind: backend.LoadModel, Model: "n", Fencing: 5}))
			}
			err := f.client.Order(t.Context(), "engine-0:1", unload)
			load, loadErr := f.client.Load(t.Context(), "engine-0:1")
			assert.NilError(t, loadErr)
			_, _, runErr := f.generate(t.Context(), 0, backend.GenerateRequest{ID: "1", Model: "m", Prompt: "p", MaxTokens: 1}, 0)
			if checks {
				assert.ErrorIs(t, err, backend.ErrStaleFencing)
				assert.DeepEqual(t, load.Models, []string{"m", "n"})
				assert.NilError(t, runErr)
			} else {
				assert.NilError(t, err)
				assert.DeepEqual(t, load.Models, []string{"n"})
				assert.ErrorIs(t, runErr, backend.ErrRefused)
			}
		})
	}
}

// Guards against a poison request that does not crash the engine, a crash that does not interrupt other requests, and
// an engine that does not restart.
func TestPoisonCrashesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, engine.Options{RestartAfter: time.Second})
		defer f.close()
		f.engines[0].SetPoison("hemlock")
		before, err := f.client.Load(t.Context(), "engine-0:1")
		assert.NilError(t, err)
		other := make(chan error)
		go func() {
			_, _, err := f.generate(t.Context(), 0, backend.GenerateRequest{ID: "1", Model: "m", Prompt: "a"}, 0)
			other <- err
		}()
		time.Sleep(50 * time.Millisecond)
		_, _, err = f.generate(t.Context(), 0, backend.GenerateRequest{ID: "2", Model: "m", Prompt: "some hemlock"}, 0)
		assert.ErrorIs(t, err, backend.ErrInterrupted)
		assert.ErrorIs(t, <-other, backend.ErrInterrupted)
		_, err = f.client.Load(t.Context(), "engine-0:1")
		assert.ErrorIs(t, err, backend.ErrUnreachable)
		time.Sleep(2 * time.Second)
		after, err := f.client.Load(t.Context(), "engine-0:1")
		assert.NilError(t, err)
		assert.Assert(t, after.StartedUnixMillis > before.StartedUnixMillis)
	})
}

// Guards against load reports without the delay that those of real engines have.
func TestLoadReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, engine.Options{LoadLag: time.Second})
		defer f.close()
		time.Sleep(3 * time.Second)
		var wg sync.WaitGroup
		wg.Go(func() {
			_, _, err := f.generate(t.Context(), 0, backend.GenerateRequest{ID: "1", Model: "m", Prompt: "a", Seed: 4}, 0)
			assert.Check(t, err)
		})
		time.Sleep(500 * time.Millisecond)
		load, err := f.client.Load(t.Context(), "engine-0:1")
		assert.NilError(t, err)
		assert.Equal(t, load.Running, uint32(0))
		time.Sleep(time.Second)
		load, err = f.client.Load(t.Context(), "engine-0:1")
		assert.NilError(t, err)
		assert.Equal(t, load.Running, uint32(1))
		wg.Wait()
		time.Sleep(3 * time.Second)
		load, err = f.client.Load(t.Context(), "engine-0:1")
		assert.NilError(t, err)
		assert.Equal(t, load.Running, uint32(0))
	})
}
