package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers that look whole to the caller although their server stopped in the middle of them, in the head or
// in the body, and closed or reset the connection: each answer is cut after each of its bytes.
func TestCutAnswersDoNotLookWhole(t *testing.T) {
	const body, stream = "the answer", "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	signed := "Pollenlug-Server-Signature: signed\r\nPollenlug-Attempt-Id: ATTEMPT\r\n"
	for name, form := range map[string]struct{ path, head, body string }{
		"length":       {"/book/", "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 10\r\n\r\n", body},
		"chunks":       {"/book/", "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n", "a\r\n" + body + "\r\n0\r\n\r\n"},
		"interim":      {"/book/", "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 10\r\n\r\n", body},
		"line feeds":   {"/book/", strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+signed+"Content-Length: 10\r\n\r\n", "\r", ""), body},
		"no length":    {"/book/", "HTTP/1.0 200 OK\r\n" + signed + "\r\n", body},
		"stream":       {"/draft/", "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)},
		"older stream": {"/draft/", "HTTP/1.0 200 OK\r\n" + signed + "\r\n", stream},
	} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", resets), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.configure()
				length := 0
				respond := func(conn net.Conn, attempt string, _ int) bool {
					write(conn, strings.ReplaceAll(form.head+form.body, "ATTEMPT", attempt)[:length])
					if resets {
						reset(conn)
					}
					return false
				}
				d.script("desk-1", "desk", respond)
				d.script("engine-1", "engine", respond)
				n := d.node()
				const attempt = "cut-000"
				head := len(strings.ReplaceAll(form.head, "ATTEMPT", attempt))
				for length = range head + len(form.body) {
					endsWithConnection := length >= head && !resets && strings.HasPrefix(form.head, "HTTP/1.0")
					if endsWithConnection && (form.path == "/book/" || strings.HasSuffix(form.body[:length-head], "\n\n")) {
						continue // the end of the connection is the end of such an answer
					}
					got := n.do(t, call{path: fmt.Sprint(form.path, length), header: attemptHeader(fmt.Sprintf("cut-%03d", length))})
					assert.Assert(t, got.err != nil || got.status != http.StatusOK, "cut after %d of %d bytes of the head: %d %q", length, head, got.status, got.body)
				}
				if resets && strings.HasPrefix(form.head, "HTTP/1.0") {
					return
				}
				length = head + len(form.body)
				got := n.do(t, call{path: form.path + "whole", header: attemptHeader("cut-all")})
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, "the whole answer")
			})
		}
	}
}

// Guards against an answer that looks whole to a caller that uses HTTP/1.0, to which the end of the connection is the end of
// an answer without a length, although the server broke off.
func TestCutAnswersDoNotLookWholeToOlderCallers(t *testing.T) {
	part := events(1, 50000) // more than a node keeps, so that the caller gets the head
	for kind, service := range map[string]string{"book": "desk", "draft": "engine"} {
		for name, head := range map[string]string{"no length": "\r\n", "chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 2*len(part))} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.configure()
				delivered := make(chan struct{})
				d.script(service+"-1", service, func(conn net.Conn, attempt string, _ int) bool {
					write(conn, signed(attempt)+head+part)
					<-delivered
					reset(conn)
					return false
				})
				conn, err := net.Dial("tcp4", d.node().settings.CallerAddr)
				assert.NilError(t, err)
				defer conn.Close()
				write(conn, "POST /"+kind+"/1 HTTP/1.0\r\nHost: "+host+"\r\nPollenlug-Attempt-Id: older\r\nContent-Length: 0\r\n\r\n")
				reader := bufio.NewReader(conn)
				for line := ""; !strings.Contains(line, "piece 1"); {
					line, err = reader.ReadString('\n')
					assert.NilError(t, err)
				}
				close(delivered)
				got, err := io.ReadAll(reader)
				assert.Assert(t, err != nil, "complete with %d more bytes", len(got))
			})
		}
	}
}
