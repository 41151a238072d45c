package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fixed server timeout that disconnects a caller whose header still arrives within the configured
// time.
func TestHeaderMayTakeTheConfiguredTime(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.callerLimits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 8000, "idle_timeout_ms": 15000}
	d.configure()
	d.serve("desk-1", "desk", 0)
	n := d.node()
	conn, err := net.Dial("tcp", n.settings.CallerAddr)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nPollenlug-Attempt-Id: slow-%d\r\n", host, attempts.Add(1))
	assert.NilError(t, err)
	time.Sleep(5500 * time.Millisecond)
	_, err = fmt.Fprint(conn, "Content-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against callers that hold connections by sending a header or body slowly or not at all, and against closing
// connections that are still within their timeouts.
func TestSlowAndIdleCallers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.callerLimits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 600, "idle_timeout_ms": 1500}
	d.configure()
	d.serve("desk-1", "desk", 0)
	n := d.node()
	dial := func(text string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", n.settings.CallerAddr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = conn.Write([]byte(text))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		return conn, bufio.NewReader(conn)
	}
	request := func(deadline, length int, body string) string {
		return fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: %s\r\nPollenlug-Attempt-Id: slow-%d\r\nPollenlug-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			host, attempts.Add(1), deadline, length, body)
	}
	begin := time.Now()
	_, partial := dial("POST /book/1 HTTP/1.1\r\nHost:")
	_, err := partial.ReadByte()
	assert.Assert(t, err != nil, "connection with an incomplete header not closed")
	assert.Assert(t, time.Since(begin) < 2*time.Second, "header timeout not enforced")

	_, reader := dial(request(500, 100, "the first part"))
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)

	conn, reader := dial(request(5000, 3, "abc"))
	for range 2 {
		resp, err = http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		time.Sleep(1200 * time.Millisecond) // 80% of the idle timeout
		_, err = conn.Write([]byte(request(5000, 3, "abc")))
		assert.NilError(t, err)
	}
	_, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	time.Sleep(2200 * time.Millisecond)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = reader.Discard(1 << 20)
	assert.ErrorContains(t, err, "EOF", "an idle connection is kept")
}
