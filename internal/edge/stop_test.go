package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/platform/standin"
)

// Guards against requests that a stopping node accepts and then ends without an answer, or refuses as not run although
// they run.
func TestLateRequestsOfAStoppingNodeAreAnswered(t *testing.T) {
	for name, stop := range map[string]struct {
		grace, work time.Duration
		path        string
		warm        int // requests before the stop
		store       standin.Fault
	}{
		"non-repeatable":             {4 * time.Second, 1300 * time.Millisecond, "/book/", 0, standin.NoFault},
		"usual time known":           {4 * time.Second, 600 * time.Millisecond, "/book/", 20, standin.NoFault},
		"repeatable":                 {4 * time.Second, 1300 * time.Millisecond, "/look/", 0, standin.NoFault},
		"longer than the grace":      {2 * time.Second, 3 * time.Second, "/look/", 0, standin.NoFault},
		"usual time longer":          {time.Second, 1200 * time.Millisecond, "/look/", 20, standin.NoFault},
		"store without an answer":    {4 * time.Second, 1300 * time.Millisecond, "/book/", 0, standin.NoResponse},
		"store that refuses":         {2 * time.Second, 600 * time.Millisecond, "/book/", 20, standin.Refuse},
		"open when the signal comes": {2 * time.Second, 2200 * time.Millisecond, "/book/", 0, standin.NoFault},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.grace = stop.grace
			d.routes[1]["max_attempts"] = 1
			d.configure()
			s := d.serve("desk-1", "desk", 0)
			s.SetBehavior(always(standin.Behavior{Gap: stop.work}))
			n := d.node()
			var callers sync.WaitGroup
			var mu sync.Mutex
			replies := map[string]reply{}
			send := func() {
				id := fmt.Sprint("late-", attempts.Add(1))
				callers.Go(func() {
					got := n.do(t, call{path: stop.path + "1", header: map[string]string{"Pollenlug-Attempt-Id": id, "Pollenlug-Deadline-Ms": "2500"}})
					mu.Lock()
					defer mu.Unlock()
					replies[id] = got
				})
			}
			for range stop.warm {
				send()
			}
			callers.Wait()
			d.store.SetFault(stop.store)
			for range 5 {
				send()
			}
			time.Sleep(100 * time.Millisecond)
			n.stop()
			for start := time.Now(); time.Since(start) < stop.grace; time.Sleep(100 * time.Millisecond) {
				send()
			}
			<-n.done
			callers.Wait()
			served := 0
			for _, run := range s.Runs() {
				got := replies[run.Attempt]
				assert.NilError(t, got.err, "%s has run", run.Attempt)
				assert.Assert(t, got.status == http.StatusOK || got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout,
					"%s has run and got status %d", run.Attempt, got.status)
				if got.status == http.StatusOK {
					served++
				}
			}
			t.Logf("%d requests, %d have run, %d served", len(replies), len(s.Runs()), served)
		})
	}
}

// Guards against streams that a stopping node accepts late in its grace period because shorter ones ended in time, and
// then cuts off (review/2).
func TestStreamsOfAStoppingNodeAreWholeOrRefused(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.grace = 3 * time.Second
	d.configure()
	s := d.serve("engine-1", "engine", 60)
	var long atomic.Bool
	s.SetBehavior(func(*http.Request) standin.Behavior {
		if long.Load() {
			return standin.Behavior{Gap: 40 * time.Millisecond} // 2.4 s
		}
		return standin.Behavior{}
	})
	n := d.node()
	var callers sync.WaitGroup
	ask := func(tokens int) {
		callers.Go(func() {
			sent := time.Now()
			got := n.do(t, call{path: "/quote/1", header: map[string]string{"Pollenlug-Deadline-Ms": "5500",
				"Pollenlug-Token-Usage": fmt.Sprintf("10,%d", tokens), "Pollenlug-Prompt-Prefix": "0a:10"}})
			if got.status == http.StatusOK {
				assert.Check(t, got.err, "the stream sent at %v broke off after %d bytes", sent, len(got.body))
				assert.Check(t, is.Equal(got.body, events(1, 60)))
			}
		})
	}
	for range 20 {
		ask(10)
		callers.Wait()
	}
	long.Store(true)
	n.stop()
	time.Sleep(1200 * time.Millisecond) // past the time in which callers learn of the stop
	for range 10 {
		ask(600)
		time.Sleep(50 * time.Millisecond)
	}
	<-n.done
	callers.Wait()
}

// Guards against a node that exits, with time left, before the requests that it has cut off are logged.
func TestRequestsCutOffAtTheEndAreLogged(t *testing.T) {
	t.Parallel()
	const streams = 20
	d := newDeployment(t)
	d.grace = 2 * time.Second
	d.configure()
	for i := range 5 {
		d.serve(fmt.Sprint("engine-", i), "engine", 10000).SetBehavior(always(standin.Behavior{EventSize: 64 << 10}))
	}
	n := d.node()
	ids := map[string]bool{}
	for i := range streams {
		id := fmt.Sprint("cut-", i)
		// The caller reads nothing, so that the node waits in a write until it closes the connection.
		conn, err := net.Dial("tcp", n.settings.CallerAddr)
		assert.NilError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /quote/1 HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nPollenlug-Attempt-Id: %s\r\nPollenlug-Deadline-Ms: 5900\r\n\r\n", host, id)
		assert.NilError(t, err)
		ids[id] = true
	}
	time.Sleep(500 * time.Millisecond) // until the streams run
	stopped := time.Now()
	n.stop()
	<-n.done
	took := time.Since(stopped)
	for _, line := range d.logs.read(t).Lines {
		if id, ok := line.Fields[logline.Attempt].(string); ok {
			delete(ids, id)
		}
	}
	const timeToExit = 150 * time.Millisecond
	assert.Assert(t, len(ids) == 0 || took >= d.grace-timeToExit, "%d streams without a log line, the node took %v of %v", len(ids), took, d.grace)
}
