package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

// checkCacheAccounting checks that the counters of the cache agree with its blocks.
func checkCacheAccounting(t *testing.T, e *Engine) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, unusedTokens, unused := 0, 0, 0
	for _, b := range e.cache.blocks {
		tokens += b.tokens
		assert.Assert(t, b.users >= 0)
		assert.Equal(t, b.element != nil, b.users == 0)
		if b.users == 0 {
			unusedTokens += b.tokens
			unused++
		}
	}
	privateTokens := 0
	for _, s := range e.running {
		privateTokens += s.privateTokens
	}
	for _, kv := range e.imports {
		privateTokens += kv.Tokens
	}
	assert.Equal(t, e.cache.tokens, tokens)
	assert.Equal(t, e.cache.unusedTokens, unusedTokens)
	assert.Equal(t, e.cache.unused.Len(), unused)
	assert.Equal(t, e.cache.privateTokens, privateTokens)
	if len(e.running) == 0 {
		assert.Equal(t, unusedTokens, tokens)
		assert.Assert(t, tokens+privateTokens <= e.options.CacheTokens)
	}
}

// Guards against cache memory that leaks or is counted twice when requests share prefixes, wait, are cancelled in any
// state or arrive with an imported KV cache. With a leak an engine ends up admitting one request at a time.
func TestCacheMemoryAccounting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Models: []string{"m"}, CacheTokens: 3000, MaxBatch: 8})
		defer e.Close()
		random := rand.New(rand.NewPCG(11, 11))
		prompts := make([]string, 6)
		for i := range prompts {
			prompts[i] = strings.Repeat("base ", 100+50*(i%3)) + strings.Repeat(fmt.Sprint("w", i, " "), 100*i)
		}
		var wg sync.WaitGroup
		for i := range 300 {
			req := backend.GenerateRequest{ID: fmt.Sprint(i), Model: "m", Prompt: prompts[random.IntN(len(prompts))], MaxTokens: 1 + random.Uint32N(100)}
			if i%5 == 0 {
				kv := exportedKV{ID: req.ID, Digest: responseFor(&req).digest, Tokens: 100}
				if e.importKV(req.ID, kv) == nil && i%10 == 0 {
					req.KVFrom = req.ID
				}
			}
			s, err := e.submit(req)
			assert.NilError(t, err)
			timeout := time.Duration(1+random.IntN(3000)) * time.Millisecond
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				for !s.finished.Load() && ctx.Err() == nil {
					select {
					case <-s.notify:
					case <-ctx.Done():
					}
				}
				e.cancel(s)
			})
			time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			checkCacheAccounting(t, e)
		}
		wg.Wait()
		checkCacheAccounting(t, e)
		stats := e.Stats()
		assert.Assert(t, stats.Cancelled > 0 && stats.CachedTokens > 0 && stats.KVImports > 0)
		time.Sleep(2 * importLifetime)
		assert.NilError(t, e.importKV("last", exportedKV{Tokens: 3000}), "expired imports still occupy memory")
	})
}

// Guards against a moved request that waits for memory that its own imported KV cache occupies.
func TestImportedKVCacheIsNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Models: []string{"m"}, CacheTokens: 1000})
		defer e.Close()
		first := backend.GenerateRequest{ID: "1", Model: "m", Prompt: strings.Repeat("abc ", 450), MaxTokens: 60}
		_, err := e.submit(first)
		assert.NilError(t, err)
		moved := backend.GenerateRequest{ID: "2", Model: "m", Prompt: strings.Repeat("xyz ", 450), MaxTokens: 60, KVFrom: "2"}
		assert.NilError(t, e.importKV("2", exportedKV{ID: "2", Digest: responseFor(&moved).digest, Tokens: 450}))
		_, err = e.submit(moved)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		e.mu.Lock()
		defer e.mu.Unlock()
		assert.Equal(t, len(e.running), 2)
	})
}

// Guards against a handler that keeps writing while the engine is frozen, or does not continue after Unfreeze.
func TestFreezeStopsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Models: []string{"m"}})
		defer e.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		body := `{"id":"1","model":"m","prompt":"p","max_tokens":100}`
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.ServeHTTP(w, httptest.NewRequestWithContext(ctx, "POST", "/v1/generate", strings.NewReader(body)))
		}()
		time.Sleep(100 * time.Millisecond)
		e.Freeze()
		time.Sleep(50 * time.Millisecond)
		frozen := e.Stats()
		time.Sleep(time.Minute)
		assert.Equal(t, e.Stats(), frozen)
		assert.Assert(t, frozen.ServedTokens > 0 && frozen.ServedTokens < 100)
		e.Unfreeze()
		<-done
		assert.Equal(t, e.Stats().ServedTokens, uint64(100))
	})
}

// Guards against responses that depend on anything but model, adapter, prompt, seed and length limit, or that ignore
// one of them.
func TestResponseDependsOnTheRequestOnly(t *testing.T) {
	base := backend.GenerateRequest{ID: "1", Attempt: 1, Model: "m", Adapter: "a", Prompt: "p", Seed: 1, MaxTokens: 50}
	tokens, finish := ExpectedResponse(base)
	assert.Equal(t, finish, "length")
	assert.Equal(t, len(tokens), 50)
	same := base
	same.ID, same.Attempt, same.Priority, same.Resume, same.KVFrom = "2", 2, 3, tokens[:5], "1"
	again, _ := ExpectedResponse(same)
	assert.DeepEqual(t, again, tokens)
	for _, change := range []func(*backend.GenerateRequest){
		func(r *backend.GenerateRequest) { r.Model = "n" },
		func(r *backend.GenerateRequest) { r.Adapter = "b" },
		func(r *backend.GenerateRequest) { r.Prompt = "q" },
		func(r *backend.GenerateRequest) { r.Seed = 2 },
	} {
		other := base
		change(&other)
		different, _ := ExpectedResponse(other)
		assert.Assert(t, strings.Join(different, "") != strings.Join(tokens, ""))
	}
	base.MaxTokens = 0
	full, finish := ExpectedResponse(base)
	assert.Equal(t, finish, "stop")
	assert.DeepEqual(t, full[:50], tokens)
}
