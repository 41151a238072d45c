package servicehttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// keptServer answers calls on kept connections with their paths. It writes extra before the answer to the second call on
// its first connection, and status instead of the answer to the path /own.
func keptServer(t *testing.T, status int, extra string) (addr string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for number := 0; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if first && number == 1 {
						_, _ = io.WriteString(conn, extra)
						time.Sleep(5 * time.Millisecond)
					}
					code := http.StatusOK
					if request.URL.Path == "/own" {
						code = status
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Text\r\nContent-Length: %d\r\n\r\n%s", code, len(request.URL.Path), request.URL.Path)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against bytes of no call, on a connection in use again, that are passed on as a promise that a call has not run,
// and against the call's own answer being taken for that of the next one. On a new connection a service may answer so.
func TestExtraBytesAreNotTheAnswer(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, interim := range []string{"", "HTTP/1.1 102 Processing\r\n\r\n"} {
			t.Run(fmt.Sprint(status, len(interim)), func(t *testing.T) {
				addr := keptServer(t, status, fmt.Sprintf("%sHTTP/1.1 %d Garbled\r\nContent-Length: 0\r\n\r\n", interim, status))
				client := New(Options{})
				defer client.Close()
				for i, path := range []string{"/1", "/2", "/3", "/4"} {
					resp, err := client.Call(t.Context(), addr, backend.CallRequest{Method: http.MethodPost, Path: path})
					if i == 1 {
						assert.ErrorIs(t, err, backend.ErrRefused, "%+v", resp)
						continue
					}
					assert.NilError(t, err)
					assert.Equal(t, string(resp.Body), path)
				}
				resp, err := client.Call(t.Context(), addr, backend.CallRequest{Method: http.MethodPost, Path: "/own", NewConnection: true})
				if status == http.StatusServiceUnavailable {
					assert.ErrorIs(t, err, backend.ErrRefused)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, resp.Status, status)
			})
		}
	}
}
