package servicehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/internal/standin/service"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

const addr = "service:1"

func start(t *testing.T, o service.Options) (*Client, *service.Service, func()) {
	network := netfault.NewPipeNetwork()
	o.Name = "desk"
	o.Listen = network.Listen
	s := service.New(o)
	assert.NilError(t, s.Listen(addr))
	client := New(Options{HTTP: httpclient.Options{Dial: network.Dial}})
	return client, s, func() {
		client.Close()
		s.Close()
	}
}

func call(method, key string) backend.CallRequest {
	return backend.CallRequest{Method: method, Path: "/bookings?day=3", Header: http.Header{"Idempotency-Key": {key}}, Body: []byte("deposit")}
}

// Guards against changing the key, body or path of a call that has hop-by-hop headers, and against changing the caller's
// copy of the header.
func TestCallReachesTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, s, stop := start(t, service.Options{})
		defer stop()
		req := call(http.MethodPost, "k")
		req.Header.Set("Connection", "close, X-Hop")
		req.Header.Set("X-Hop", "1")
		resp, err := client.Call(t.Context(), addr, req)
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusOK)
		var echo service.Echo
		assert.NilError(t, json.Unmarshal(resp.Body, &echo))
		assert.Equal(t, echo, service.Echo{Server: "desk", Key: "k", Path: "/bookings?day=3", Body: "deposit", Run: 1})
		assert.Equal(t, s.Runs().Count("k"), 1)

		outcome, err := client.Call(t.Context(), addr, backend.CallRequest{Method: http.MethodGet, Path: "/outcome?key=k"})
		assert.NilError(t, err)
		assert.Equal(t, string(outcome.Body), string(resp.Body))
		outcome, err = client.Call(t.Context(), addr, backend.CallRequest{Method: http.MethodGet, Path: "/outcome?key=other"})
		assert.NilError(t, err)
		assert.Equal(t, outcome.Status, http.StatusNotFound)
		assert.Equal(t, req.Header.Get("Idempotency-Key"), "k", "the caller's header was changed")
	})
}

// Guards against the automatic retries of net/http, which resends a request when a reused connection ends without a
// response and the request has an Idempotency-Key or a method that it considers idempotent. The call would run twice.
func TestCallIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions} {
		for _, body := range []string{"", "deposit"} {
			t.Run(method+" "+body, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					client, s, stop := start(t, service.Options{})
					defer stop()
					warm := call(http.MethodPost, "warm")
					_, err := client.Call(t.Context(), addr, warm)
					assert.NilError(t, err)
					synctest.Wait() // the connection is idle, so that the next call reuses it
					s.SetDrops(0, 1)
					req := call(method, "k")
					req.Body = []byte(body)
					_, err = client.Call(t.Context(), addr, req)
					assert.ErrorIs(t, err, backend.ErrInterrupted)
					assert.Assert(t, !errors.Is(err, backend.ErrUnreachable))
					assert.Equal(t, s.Runs().Count("k"), 1)
				})
			})
		}
	}
}

// Guards against ErrUnreachable for a call that ran, and against other classes for a call that cannot have been sent.
// Under seeded drops and crashes, no call that fails with ErrUnreachable or ErrRefused runs, and no call runs twice.
func TestErrorClassMatchesTheRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, s, stop := start(t, service.Options{Seed: 5, DropBefore: 0.2, DropAfter: 0.2, Delay: 10 * time.Millisecond})
		defer stop()
		seen := map[string]int{}
		for i := range 200 {
			key := fmt.Sprint(i)
			if i%10 == 0 {
				time.AfterFunc(5*time.Millisecond, s.Crash)
			}
			_, err := client.Call(t.Context(), addr, call(http.MethodPost, key))
			runs := s.Runs().Count(key)
			switch {
			case err == nil:
				assert.Equal(t, runs, 1)
				seen["ok"]++
			case errors.Is(err, backend.ErrUnreachable), errors.Is(err, backend.ErrRefused):
				assert.Equal(t, runs, 0)
				seen["not sent"]++
			default:
				assert.ErrorIs(t, err, backend.ErrInterrupted)
				assert.Assert(t, runs <= 1)
				seen[fmt.Sprint("interrupted with runs ", runs)]++
			}
			if i%10 == 2 {
				assert.NilError(t, s.Restart())
			}
		}
		for _, outcome := range []string{"ok", "not sent", "interrupted with runs 0", "interrupted with runs 1"} {
			assert.Assert(t, seen[outcome] > 0, "%s did not happen: %v", outcome, seen)
		}
		assert.Equal(t, len(s.Runs().Repeated()), 0)
		runs := s.Runs().All()
		assert.Assert(t, slices.IsSortedFunc(runs, func(a, b service.Run) int { return int(a.Number) - int(b.Number) }))
	})
}

// Guards against a call that hangs past its deadline on a frozen service, or that is reported as unsent although it may
// run.
func TestFrozenService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, s, stop := start(t, service.Options{})
		defer stop()
		s.Freeze()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := client.Call(ctx, addr, call(http.MethodPost, "k"))
		assert.ErrorIs(t, err, backend.ErrInterrupted)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		s.Unfreeze()
		_, err = client.Call(t.Context(), addr, call(http.MethodPost, "l"))
		assert.NilError(t, err)
	})
}

// Guards against returning a refusal as a response.
func TestRefusedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, s, stop := start(t, service.Options{MaxRunning: 1, Delay: time.Second})
		defer stop()
		first := make(chan error)
		go func() {
			_, err := client.Call(t.Context(), addr, call(http.MethodPost, "1"))
			first <- err
		}()
		time.Sleep(100 * time.Millisecond)
		load, err := client.Load(t.Context(), addr)
		assert.NilError(t, err)
		assert.Equal(t, load.Running, uint32(1))
		_, err = client.Call(t.Context(), addr, call(http.MethodPost, "2"))
		assert.ErrorIs(t, err, backend.ErrRefused)
		assert.NilError(t, <-first)
		assert.Equal(t, s.Runs().Count("2"), 0)
	})
}
