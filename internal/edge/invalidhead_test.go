package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// respondWith sends a request of each kind for each response, which the servers write with the attempt's id and signature
// between start and end, and calls check with the caller's.
func respondWith(t *testing.T, starts, ends []string, check func(t *testing.T, start, end string, got reply)) {
	for kind, service := range map[string]string{"book": "desk", "look": "desk", "draft": "engine"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			var start, end string
			for i := range 3 {
				d.script(fmt.Sprint(service, "-", i), service, func(conn net.Conn, attempt string, _ int) bool {
					write(conn, start+"\r\nPollenlug-Server-Signature: signed\r\nPollenlug-Attempt-Id: "+attempt+"\r\n"+end)
					return false
				})
			}
			n := d.node()
			for i := range starts {
				for j := range ends {
					start, end = starts[i], ends[j]
					attempt := fmt.Sprint(kind, "-", i, "-", j)
					check(t, start, end, n.do(t, call{path: fmt.Sprint("/", kind, "/", attempt), header: attemptHeader(attempt)}))
				}
			}
		})
	}
}

// Guards against responses that are passed on although they have a status that no final response has, or a version of the
// protocol that the request does not have.
func TestInvalidStatusLineIsNotPassedOn(t *testing.T) {
	lines := []string{"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 +00 OK", "HTTP/1.1 +99 OK", "HTTP/1.1 020 OK",
		"HTTP/1.1 00 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2e2 OK", "HTTP/1.1 101 OK", "HTTP/1.1 600 OK", "HTTP/1.1 700 OK", "HTTP/1.1 999 OK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1200 OK", "HTTP 200 OK"}
	body := events(1, 2)
	ends := []string{fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), "\r\n" + body, "Content-Length: 0\r\n\r\n"}
	respondWith(t, lines, ends, func(t *testing.T, start, end string, got reply) {
		assert.Check(t, got.status == http.StatusBadGateway, "%q, %q: %d %q", start, end, got.status, got.body)
	})
}

// Guards against responses that are passed on although the name of a field in their head is invalid. Such a line may have
// been meant to say where the body ends.
func TestInvalidFieldNameIsNotPassedOn(t *testing.T) {
	body := events(1, 2)
	var ends []string
	for _, line := range []string{"X Broken: 1", "X-Broken : 1", "Content-Length : 42", "Content Length: 42", "Transfer-Encoding : chunked",
		"X\tBroken: 1", "X-Broken\t: 1", "X\x00Broken: 1", "X\x01: 1", "X\rBroken: 1", "X\x7f: 1", ": 1", "X-Broken",
		" X-Broken: 1", "\tX-Broken: 1", " Content-Length: 42", " : 1", " ", "\t"} {
		for _, lines := range []string{line + "\r\n", line + "\r\nX-Last: 1\r\n"} {
			ends = append(ends, "Content-Type: text/event-stream\r\n"+lines+"\r\n"+body, lines+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
		}
	}
	respondWith(t, []string{"HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found"}, ends, func(t *testing.T, start, end string, got reply) {
		assert.Check(t, got.status == http.StatusBadGateway, "%q, %q: %d %q %v", start, end, got.status, got.body, got.header)
	})
}

// Guards against chunk sizes that are passed on as part of a body: HTTP/1.0 has no chunks, so it is unknown whether the body
// has any.
func TestChunksOfOlderProtocolAreNotPassedOn(t *testing.T) {
	body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events(1, 2)), events(1, 2))
	var ends []string
	for _, line := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: identity", "Transfer-Encoding:"} {
		for _, length := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(body))} {
			ends = append(ends, line+"\r\n"+length+"\r\n"+body)
		}
	}
	respondWith(t, []string{"HTTP/1.0 200 OK", "HTTP/1.0 404 Not Found"}, ends, func(t *testing.T, start, end string, got reply) {
		assert.Check(t, got.status == http.StatusBadGateway, "%q, %q: %d %q", start, end, got.status, got.body)
	})
}
