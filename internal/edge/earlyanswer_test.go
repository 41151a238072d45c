package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// earlyServer registers a server that responds to a request before it has read the body, of which it reads nothing.
func (d *deployment) earlyServer(id, service string, respond func(conn *net.TCPConn, attempt string)) {
	d.acceptor(id, service, func(raw net.Conn) {
		conn := raw.(*net.TCPConn)
		assert.Check(d.t, conn.SetReadBuffer(4<<10))
		if request, err := http.ReadRequest(bufio.NewReaderSize(conn, 1)); err == nil {
			respond(conn, request.Header.Get("Pollenlug-Attempt-Id"))
		}
	})
}

// upload is the size of a body, in bytes, that the buffers of a connection do not hold.
const upload = 8 << 20

// Guards against an answer without a length that looks complete to the caller although its server reset the connection:
// the error may reach the node in a read, or in a write of the upload.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const requests = 20
	body := strings.Repeat("x", upload)
	for name, part := range map[string]string{"small": events(1, 3), "large": events(1, 50000)} { // the caller has the head of a large one
		for kind, service := range map[string]string{"book": "desk", "look": "desk", "draft": "engine"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.callerLimits["max_body_bytes"] = upload
				d.configure()
				var pause atomic.Int64
				for i := range 2 {
					d.earlyServer(fmt.Sprint(service, "-", i), service, func(conn *net.TCPConn, attempt string) {
						write(conn, signed(attempt)+"Content-Type: text/event-stream\r\n\r\n"+part)
						time.Sleep(time.Duration(pause.Load()))
						reset(conn)
					})
				}
				n := d.node()
				for i := range requests {
					pause.Store(int64(time.Duration(i) * time.Millisecond))
					got := n.do(t, call{path: fmt.Sprint("/", kind, "/", i), body: body})
					assert.Check(t, got.err != nil || got.status != http.StatusOK, "%d: complete with %d of %d bytes", i, len(got.body), len(part))
				}
			})
		}
	}
}

// Guards against a complete answer that is lost because its request is still being written.
func TestAnswerBeforeTheEndOfTheUploadIsDelivered(t *testing.T) {
	body := strings.Repeat("x", upload)
	answer := events(1, 3)
	for name, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(answer)), "no length": "\r\n"} {
		for kind, service := range map[string]string{"book": "desk", "draft": "engine"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.callerLimits["max_body_bytes"] = upload
				d.configure()
				d.earlyServer(service+"-1", service, func(conn *net.TCPConn, attempt string) {
					write(conn, signed(attempt)+"Content-Type: text/event-stream\r\n"+head+answer)
					_ = conn.CloseWrite() // the node may have closed the connection
					time.Sleep(200 * time.Millisecond)
					_, _ = io.Copy(io.Discard, conn) // until the node closes the connection
				})
				n := d.node()
				for i := range 5 {
					got := n.do(t, call{path: fmt.Sprint("/", kind, "/", i), body: body})
					assert.Check(t, got.err == nil && got.status == http.StatusOK && got.body == answer, "%d: %d %q %v", i, got.status, got.body, got.err)
				}
			})
		}
	}
}
