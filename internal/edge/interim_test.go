package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request, its handler or its connection that hangs because of a status from 100 to 199 that nobody asked
// for: each request ends at the timeout of its route, one with a switch of protocols at once, and a response that follows
// another one of these is delivered.
func TestInterimResponsesDoNotHang(t *testing.T) {
	t.Parallel() // but not its cases, which send many requests at once
	for _, kind := range []string{"book", "draft"} {
		for _, follows := range []bool{false, true} {
			t.Run(fmt.Sprint(kind, " followed ", follows), func(t *testing.T) { testInterimResponses(t, kind, follows) })
		}
	}
}

func testInterimResponses(t *testing.T, kind string, follows bool) {
	const timeout, slack = 1500 * time.Millisecond, time.Second // the race detector and other tests delay the end
	d := newDeployment(t)
	d.maxConns, d.grace = 500, 3*time.Second
	service, body := "desk", "booked"
	if kind == "draft" {
		service, body = "engine", events(1, 2)
	}
	for _, r := range d.routes {
		r["timeout_ms"], r["latency_goal_ms"] = timeout.Milliseconds(), 1400
	}
	d.configure()
	var open atomic.Int64
	for i := range 20 {
		d.script(fmt.Sprint(service, i), service, func(conn net.Conn, attempt string, _ int) bool {
			open.Add(1)
			defer open.Add(-1)
			status := strings.TrimPrefix(attempt, "status-")
			write(conn, "HTTP/1.1 "+status+" Text\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n")
			if follows {
				write(conn, signed(attempt)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
				return true
			}
			_, _ = conn.Read(make([]byte, 1)) // until the node closes the connection
			return false
		})
	}
	n := d.node()
	var calls sync.WaitGroup
	for status := 100; status < 200; status++ {
		calls.Go(func() {
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*timeout)
			defer cancel()
			got := n.do(t, call{ctx: ctx, path: fmt.Sprint("/", kind, "/", status), header: attemptHeader("status-" + strconv.Itoa(status))})
			took := time.Since(start)
			switch {
			case status == http.StatusSwitchingProtocols:
				assert.Check(t, got.status == http.StatusBadGateway && took < timeout, "%d: %+v after %v", status, got, took)
			case follows:
				assert.Check(t, got.status == http.StatusOK && got.body == body, "%d: %+v", status, got)
			default:
				assert.Check(t, got.status == http.StatusGatewayTimeout && took < timeout+slack, "%d: %+v after %v", status, got, took)
			}
		})
	}
	calls.Wait()
	if !follows {
		eventually(t, 2*time.Second, "connections to servers stay open", func() bool { return open.Load() == 0 })
	}
}
