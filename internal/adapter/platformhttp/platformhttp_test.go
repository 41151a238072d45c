package platformhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/pollenlug/pollenlug/internal/standin/platform"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/platform/platformtest"
)

func serve(t *testing.T, handler http.Handler, timeouts Timeouts) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client, err := New(Options{BaseURL: server.URL, Timeouts: timeouts, Jitter: func() float64 { return 0.5 }})
	assert.NilError(t, err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

func newPlatform(t *testing.T) (*Client, *standin.Platform) {
	t.Helper()
	p := standin.New(standin.Options{
		Seed: 1,
		Cloud: standin.CloudOptions{
			Prices: []platform.Price{{InstanceClass: "gpu", FailureDomain: "a", PricePerHourMicros: 5}},
			Launch: func(context.Context, platform.Instance) (standin.Server, error) {
				return standin.Server{Addr: "127.0.0.1:1", Stop: func() {}}, nil
			},
		},
		WeightsMiBPerSecond: 1000,
	})
	t.Cleanup(p.Close)
	return serve(t, p, Timeouts{}), p
}

// Guards against an adapter that alters the platform's responses.
func TestContract(t *testing.T) {
	t.Run("table", func(t *testing.T) {
		platformtest.Table(t, func(t *testing.T) platform.Table { c, _ := newPlatform(t); return c.Table() })
	})
	t.Run("objects", func(t *testing.T) {
		platformtest.Objects(t, func(t *testing.T) platform.Objects { c, _ := newPlatform(t); return c.Objects() })
	})
	t.Run("folder", func(t *testing.T) {
		platformtest.Folder(t, func(t *testing.T) (platform.Folder, func(map[string][]byte)) {
			c, p := newPlatform(t)
			return c.Folder(), func(files map[string][]byte) { p.Folder.(*standin.MemFolder).Edit(files) }
		})
	})
	t.Run("cloud", func(t *testing.T) {
		platformtest.Cloud(t, func(t *testing.T) platformtest.CloudSetup {
			c, p := newPlatform(t)
			return platformtest.CloudSetup{
				Cloud: c.Cloud(), List: c.Instances(),
				Request:      platform.StartRequest{InstanceClass: "gpu", FailureDomain: "a"},
				Reclaim:      func(id string, notice time.Duration) { p.Cloud.Reclaim(notice, id) },
				RefuseStarts: func() { p.Cloud.RefuseStarts("a", "", true) },
			}
		})
	})
	t.Run("weights", func(t *testing.T) {
		platformtest.Weights(t, func(t *testing.T) platform.Weights { c, _ := newPlatform(t); return c.Weights() })
	})
}

var mutation = []platform.Mutation{{Table: "t", Key: "k", Value: []byte("v")}}

// drop reads the request and closes the connection without a response.
func drop(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func errorPage(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "unavailable", http.StatusServiceUnavailable)
}

func truncatedBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"versions": [1`)
}

// Guards against ErrUnavailable for a write that may have taken effect: callers then report that nothing ran.
func TestErrorClasses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{"drop": drop, "hang": hang, "error page": errorPage, "truncated body": truncatedBody} {
		t.Run(name, func(t *testing.T) {
			var commits atomic.Int64
			client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				commits.Add(1)
				handler(w, r)
			}), Timeouts{Table: 100 * time.Millisecond, Object: 100 * time.Millisecond})
			_, err := client.Table().Commit(t.Context(), mutation)
			assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
			assert.Equal(t, commits.Load(), int64(1), "a commit was retried")
			_, err = client.Table().Get(t.Context(), "t", "k")
			assert.ErrorIs(t, err, platform.ErrUnavailable)
			assert.Equal(t, commits.Load(), int64(1+maxAttempts))
			assert.ErrorIs(t, client.Objects().Put(t.Context(), "o", nil), platform.ErrOutcomeUnknown)
		})
	}
}

// Guards against ErrOutcomeUnknown when nothing was sent or the service itself states that the write had no effect. It
// would make callers read the row back.
func TestNoEffect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client, err := New(Options{BaseURL: "http://" + addr})
	assert.NilError(t, err)
	_, err = client.Table().Commit(t.Context(), mutation)
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	client, p := newPlatform(t)
	p.StoreOutage(table.Refusing)
	_, err = client.Table().Commit(t.Context(), mutation)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, p.Table.Counts().RowWrites, uint64(0))
}

// Guards against reporting a lost response as a refusal, and against a stand-in that does not perform a write whose
// response is lost.
func TestLostResponseOverHTTP(t *testing.T) {
	client, p := newPlatform(t)
	p.LoseResponses(100, true)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := client.Table().Commit(ctx, mutation)
	assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	p.ClearStoreFaults()
	row, err := client.Table().Get(t.Context(), "t", "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")
}

// Guards against reporting "no effect" because the last attempt was refused, although an earlier one may have had one.
func TestEarlierAttemptDecides(t *testing.T) {
	var calls atomic.Int64
	p := standin.New(standin.Options{})
	p.StoreOutage(table.Refusing)
	client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			drop(w, r)
		}
		p.ServeHTTP(w, r)
	}), Timeouts{})
	assert.ErrorIs(t, client.Objects().Put(t.Context(), "o", nil), platform.ErrOutcomeUnknown)
}

// Guards against reads that fail on the first broken connection, and against retries that multiply the load during an
// outage.
func TestRetryBudget(t *testing.T) {
	var calls atomic.Int64
	p := standin.New(standin.Options{})
	client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			drop(w, r)
		}
		p.ServeHTTP(w, r)
	}), Timeouts{})
	_, err := client.Table().Get(t.Context(), "t", "k")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	assert.Equal(t, calls.Load(), int64(2))

	p.StoreOutage(table.Refusing)
	const reads = 100
	for range reads {
		_, err := client.Table().Get(t.Context(), "t", "k")
		assert.ErrorIs(t, err, platform.ErrUnavailable)
	}
	retries := client.Retries()
	assert.Assert(t, retries >= 10 && retries <= 1+budgetBurst+reads*budgetPerCall, "%d retries", retries)
}

// Guards against a client that tries one unresponsive connection after another while new ones work.
func TestUnresponsiveConnections(t *testing.T) {
	const connections = 2
	p := standin.New(standin.Options{})
	var unresponsiveConns sync.Map // remote addresses of the connections that stop responding
	var barrier sync.WaitGroup
	barrier.Add(connections)
	var calls atomic.Int64
	client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, unresponsive := unresponsiveConns.Load(r.RemoteAddr); unresponsive {
			hang(w, r)
			return
		}
		if calls.Add(1) <= connections {
			unresponsiveConns.Store(r.RemoteAddr, true)
			barrier.Done()
			barrier.Wait()
		}
		p.ServeHTTP(w, r)
	}), Timeouts{Table: 500 * time.Millisecond})
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			_, err := client.Table().Get(t.Context(), "t", "k")
			assert.Check(t, errors.Is(err, platform.ErrNotFound), "%v", err)
		})
	}
	group.Wait()
	_, err := client.Table().Get(t.Context(), "t", "k")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	assert.Equal(t, client.Retries(), uint64(1), "the retry did not use a new connection")
}

// Guards against responses with an invalid head that are taken for those of the service.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 101 OK", "HTTP/1.1 600 Failed", "HTTP/2.0 200 OK",
		"HTTP/1.1 500 Failed\r\nX Broken: 1"} {
		c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, start+"\r\nContent-Length: 19\r\n\r\n{\"kind\":\"conflict\"}") // the client may have closed it
		}), Timeouts{})
		_, err := c.Table().Commit(t.Context(), nil)
		assert.ErrorIs(t, err, platform.ErrOutcomeUnknown, "%q", start)
	}
}
