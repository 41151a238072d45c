package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bytes that belong to no request, and arrive on a connection in use again, being taken for the refusal or
// the error of a request that runs: the caller would send it again under another id. The server must also not be withheld
// because of what they say.
func TestExtraBytesAreNotTheResponse(t *testing.T) {
	for kind, service := range map[string]string{"book": "desk", "draft": "engine"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			body := events(1, 2)
			extra := map[string]string{} // by attempt, for the second request on a connection
			s := d.script(service+"-1", service, func(conn net.Conn, attempt string, number int) bool {
				if number > 0 {
					write(conn, extra[attempt])
					time.Sleep(10 * time.Millisecond)
				}
				write(conn, signed(attempt)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
				return true
			})
			n := d.node()
			for _, status := range []int{408, 421, 429, 500, 503} {
				for _, header := range []string{"", "Pollenlug-Not-Executed: 1\r\n", "Retry-After: 60\r\nServer-Leaving: 1\r\n"} {
					for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
						name := fmt.Sprintf("%d-%d-%d", status, len(header), len(interim))
						extra[name] = fmt.Sprintf("%sHTTP/1.1 %d Garbled\r\n%sContent-Length: 0\r\n\r\n", interim, status, header)
						for _, test := range []struct {
							attempt string
							want    int
						}{{name + "-before", 200}, {name, 502}, {name + "-after", 200}} {
							got := n.do(t, call{path: "/" + kind + "/" + test.attempt, header: attemptHeader(test.attempt)})
							assert.Check(t, got.status == test.want && s.count(test.attempt) == 1, "%s: %d", test.attempt, got.status)
						}
					}
				}
			}
		})
	}
}

// Guards against a status that promises that a request has not run, passed on without the server's report, on any
// connection.
func TestUnprovenRefusalsAreNotPassedOn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	headers := map[string]string{"none": "", "id": "Pollenlug-Attempt-Id: ATTEMPT\r\n",
		"signed": "Pollenlug-Attempt-Id: ATTEMPT\r\nPollenlug-Server-Signature: s\r\n"}
	d.script("desk-1", "desk", func(conn net.Conn, attempt string, _ int) bool {
		status, name, _ := strings.Cut(attempt, "-")
		name, _, _ = strings.Cut(name, "-")
		write(conn, fmt.Sprintf("HTTP/1.1 %s Busy\r\n%sContent-Length: 2\r\n\r\nno", status, strings.Replace(headers[name], "ATTEMPT", attempt, 1)))
		return false
	})
	n := d.node()
	for _, status := range []int{408, 429, 503} {
		for name := range headers {
			for _, path := range []string{"/book/", "/look/"} {
				attempt := fmt.Sprintf("%d-%s-%s", status, name, strings.Trim(path, "/"))
				got := n.do(t, call{path: path + attempt, header: attemptHeader(attempt)})
				assert.Check(t, got.status == http.StatusBadGateway, "%s: %d", attempt, got.status)
			}
		}
	}
}
