package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

// exchange returns the result of a request to which a server responds with the given bytes.
func exchange(t *testing.T, response string) (*http.Response, error) {
	network := netfault.NewPipeNetwork()
	listener, err := network.Listen(addr)
	assert.NilError(t, err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(conn, response) // the client may have closed the connection
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/", nil)
	assert.NilError(t, err)
	resp, err := New(Options{Dial: network.Dial}).Do(req)
	if err == nil {
		Drain(resp.Body)
	}
	return resp, err
}

// Guards against a response of which any adapter takes an invalid status for one of the backend server.
func TestInvalidStatusIsAnError(t *testing.T) {
	for status := range 1000 {
		resp, err := exchange(t, fmt.Sprintf("HTTP/1.1 %03d Text\r\nContent-Length: 0\r\n\r\n", status))
		if status >= 200 && status <= 599 {
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, status)
			continue
		}
		assert.ErrorIs(t, err, backend.ErrInterrupted, "status %d", status)
	}
}
