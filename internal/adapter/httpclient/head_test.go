package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
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

// Guards against an invalid status that the adapters take for that of a server.
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

// Guards against a response whose head has a field with an invalid name; see RFC 9110 section 5.6.2.
func TestInvalidFieldNameIsAnError(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for c := range 256 {
		if c == ':' { // ends the name
			continue
		}
		for _, form := range []string{"X%sName: 1", "X-Name%s: 1"} {
			line := fmt.Sprintf(form, string([]byte{byte(c)}))
			_, err := exchange(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 0\r\n\r\n")
			if strings.IndexByte(token, byte(c)) >= 0 {
				assert.NilError(t, err, "%q", line)
			} else {
				assert.ErrorIs(t, err, backend.ErrInterrupted, "%q", line)
			}
		}
	}
}
