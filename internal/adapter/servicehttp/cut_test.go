package servicehttp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// Guards against answers that look whole although their server stopped in the middle of them and closed or reset the
// connection: each answer is cut after each of its bytes.
func TestCutAnswersAreErrors(t *testing.T) {
	const body = "the answer"
	for name, answer := range map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nX-Server: a\r\nContent-Length: 10\r\n\r\n" + body,
		"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n6\r\nanswer\r\n0\r\n\r\n",
		"line feeds":   "HTTP/1.1 200 OK\nX-Server: a\nContent-Length: 10\n\n" + body,
		"interim":      "HTTP/1.1 102 Processing\r\nX-Interim: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + body,
		"older":        "HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\n" + body,
		"no length":    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"empty answer": "HTTP/1.1 200 OK\r\nX-Server: a\r\nContent-Length: 0\r\n\r\n",
	} {
		headEnd := max(strings.LastIndex(answer, "\r\n\r\n"+body)+4, strings.Index(answer, "\n\n")+2)
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				for n := range len(answer) {
					if name == "no length" && n >= headEnd && !reset {
						break // the end of the connection is the end of such an answer
					}
					client := New(Options{})
					resp, err := client.Call(t.Context(), cutServer(t, answer[:n], reset), backend.CallRequest{Method: http.MethodPost, Path: "/"})
					assert.ErrorIs(t, err, backend.ErrInterrupted, "after %q: %+v", answer[:n], resp)
					client.Close()
				}
			})
		}
	}
}

// cutServer answers one request with the begin of an answer and ends the connection.
func cutServer(t *testing.T, begin string, reset bool) (addr string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		conn, err := listener.Accept()
		_ = listener.Close()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Error(err)
		}
		_, _ = conn.Write([]byte(begin)) // the client may have seen enough
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	return listener.Addr().String()
}

// Guards against an answer without a length that looks whole although its server reset the connection while the call was
// being written.
func TestAnswerThatIsResetDuringTheCallIsAnError(t *testing.T) {
	const calls = 20
	body := make([]byte, 8<<20) // more than the buffers of a connection hold
	client := New(Options{})
	defer client.Close()
	for i := range calls {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			conn, err := listener.Accept()
			_ = listener.Close()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // only makes the call block earlier
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				t.Error(err)
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\npart of an answer")) // the client may have given up
			time.Sleep(time.Duration(i) * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
		resp, err := client.Call(t.Context(), listener.Addr().String(), backend.CallRequest{Method: http.MethodPost, Path: "/", Body: body})
		assert.Check(t, errors.Is(err, backend.ErrInterrupted), "%d: %+v %v", i, resp, err)
	}
}
