package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bytes that belong to no request, and arrive on a connection in use again, being taken for the refusal or
// the error of a request that runs: the caller would send it again under another id. The server must also not be withheld
// because of what they say.
func TestExtraBytesAreNotTheResponse(t *testing.T) {
	for _, kind := range []string{"book", "draft"} {
		for _, status := range []int{408, 421, 429, 500, 503} {
			for name, extra := range map[string]string{"": "", "interim": "HTTP/1.1 100 Continue\r\n\r\n",
				"report": "Pollenlug-Not-Executed: 1\r\n", "pause": "Retry-After: 60\r\nServer-Leaving: 1\r\n"} {
				t.Run(fmt.Sprint(kind, status, name), func(t *testing.T) {
					t.Parallel()
					interim := ""
					if name == "interim" {
						interim, extra = extra, ""
					}
					testExtraBytes(t, kind, fmt.Sprintf("%sHTTP/1.1 %d Garbled\r\n%sContent-Length: 0\r\n\r\n", interim, status, extra))
				})
			}
		}
	}
}

func testExtraBytes(t *testing.T, kind, extra string) {
	d := newDeployment(t)
	d.configure()
	service, body := "desk", "booked"
	if kind == "draft" {
		service, body = "engine", events(1, 2)
	}
	var mu sync.Mutex
	garbled := ""
	s := d.script(service+"-1", service, func(conn net.Conn, attempt string, number int) bool {
		mu.Lock()
		if number == 1 && garbled == "" {
			garbled = attempt
			write(conn, extra)
		}
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		write(conn, signed(attempt)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
		return true
	})
	n := d.node()
	status := map[string]int{}
	for i := range 4 {
		attempt := fmt.Sprint("attempt-of-", kind, i)
		got := n.do(t, call{path: "/" + kind + "/1", header: attemptHeader(attempt)})
		status[attempt] = got.status
		assert.Equal(t, s.count(attempt), 1)
	}
	assert.Assert(t, garbled != "", "no connection was used twice")
	for attempt, got := range status {
		want := http.StatusOK
		if attempt == garbled {
			want = http.StatusBadGateway
		}
		assert.Equal(t, got, want, attempt)
	}
}

// Guards against a status that promises that a request has not run, passed on without the server's report, on any
// connection.
func TestUnprovenRefusalsAreNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for name, header := range map[string]string{"none": "", "id": "Pollenlug-Attempt-Id: ATTEMPT\r\n",
			"signed": "Pollenlug-Attempt-Id: ATTEMPT\r\nPollenlug-Server-Signature: s\r\n"} {
			t.Run(fmt.Sprint(status, name), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.configure()
				d.script("desk-1", "desk", func(conn net.Conn, attempt string, _ int) bool {
					write(conn, fmt.Sprintf("HTTP/1.1 %d Busy\r\n%sContent-Length: 2\r\n\r\nno", status, strings.Replace(header, "ATTEMPT", attempt, 1)))
					return true
				})
				n := d.node()
				assert.Equal(t, n.do(t, call{path: "/book/1"}).status, http.StatusBadGateway)
				assert.Equal(t, n.do(t, call{path: "/look/1"}).status, http.StatusBadGateway)
			})
		}
	}
}
