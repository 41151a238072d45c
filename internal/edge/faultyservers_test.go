package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/platform/standin"
)

// scriptedServer answers requests with raw bytes.
type scriptedServer struct {
	mu   sync.Mutex
	runs []string // attempt ids
}

// script registers a server whose responses respond writes. It returns false to close the connection. number counts the
// requests on the connection.
func (d *deployment) script(id, service string, respond func(conn net.Conn, attempt string, number int) bool) *scriptedServer {
	s := &scriptedServer{}
	d.acceptor(id, service, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for number := 0; ; number++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			attempt := request.Header.Get("Pollenlug-Attempt-Id")
			s.mu.Lock()
			s.runs = append(s.runs, attempt)
			s.mu.Unlock()
			if !respond(conn, attempt, number) {
				return
			}
		}
	})
	return s
}

// acceptor registers a server that handles each connection with handle and closes it then.
func (d *deployment) acceptor(id, service string, handle func(conn net.Conn)) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	closed := standin.NewServer(id, 0)
	closed.Close()
	row := closed.Row(service, "domain-a", 8, "ready", 1)
	row["address"] = listener.Addr().String()
	d.store.Put("servers", id, row)
}

// count returns the number of requests with an attempt id.
func (s *scriptedServer) count(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, run := range s.runs {
		if run == attempt {
			n++
		}
	}
	return n
}

func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) } // the node may have closed the connection

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// signed returns the head of a response without an end.
func signed(attempt string) string { return strings.Replace(signedHead, "ATTEMPT", attempt, 1) }

// Guards against a refusal that a server writes once more on a kept connection: the caller would be told that a request has
// not run which is running, or another server would run it as well.
func TestRefusalThatIsRepeatedIsNotBelieved(t *testing.T) {
	for name, echo := range map[string]bool{"with the id of its request": true, "without an id": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.routes[0]["max_attempts"] = 3
			d.configure()
			// Each server refuses the first request on a connection, and then repeats that refusal for requests that it runs.
			var servers []*scriptedServer
			for i := range 2 {
				refusals := map[net.Conn]string{}
				var mu sync.Mutex
				servers = append(servers, d.script(fmt.Sprint("desk-", i), "desk", func(conn net.Conn, attempt string, number int) bool {
					mu.Lock()
					defer mu.Unlock()
					if number == 0 {
						refusals[conn] = "HTTP/1.1 503 Service Unavailable\r\nPollenlug-Not-Executed: 1\r\nContent-Length: 0\r\n"
						if echo {
							refusals[conn] += "Pollenlug-Attempt-Id: " + attempt + "\r\n"
						}
						refusals[conn] += "\r\n"
					}
					write(conn, refusals[conn])
					return true
				}))
			}
			n := d.node()
			assert.Equal(t, n.do(t, call{path: "/book/1", header: attemptHeader("refused")}).status, http.StatusServiceUnavailable)
			assert.Equal(t, n.do(t, call{path: "/book/2", header: attemptHeader("running")}).status, http.StatusBadGateway)
			ran := 0
			for _, s := range servers {
				ran += s.count("running")
			}
			assert.Equal(t, ran, 1)
		})
	}
}

// Guards against an error that is passed on as the continuation of a stream, and against ending the stream as if it were
// complete.
func TestStreamIsNotContinuedWithAnError(t *testing.T) {
	const text = "an error that is no event"
	sized := func(status, header string) func(string) string {
		return func(string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(text), text)
		}
	}
	for name, respond := range map[string]func(attempt string) string{
		"500":              sized("500 Internal Server Error", ""),
		"503 without mark": sized("503 Service Unavailable", ""),
		"signed 500": func(attempt string) string {
			return strings.Replace(signed(attempt), "200 OK", "500 Failed", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
		},
		"200 with a text": func(attempt string) string {
			return signed(attempt) + fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s\n\n", len(text)+2, text)
		},
		"200 with an event of the error": func(attempt string) string {
			event := "data: " + text + "\n\n"
			return signed(attempt) + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(event), event)
		},
		"head in the stream": func(attempt string) string {
			event := "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\n" + text + "\n\n"
			return signed(attempt) + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(event), event)
		},
		"channel closed after the head": func(attempt string) string {
			return signed(attempt) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			var started atomic.Bool
			for i := range 2 {
				d.script(fmt.Sprint("engine-", i), "engine", func(conn net.Conn, attempt string, _ int) bool {
					if started.Swap(true) {
						write(conn, respond(attempt))
						return false
					}
					write(conn, signed(attempt)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
					write(conn, fmt.Sprintf("%x\r\n%s\r\n", len(events(1, 2)), events(1, 2)))
					time.Sleep(50 * time.Millisecond)
					reset(conn)
					return false
				})
			}
			n := d.node()
			got := n.do(t, call{path: "/quote/1"})
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, events(1, 2))
			assert.Assert(t, got.err != nil, "the stream looks complete")
		})
	}
}

// Guards against responses that end with their connection, without a length or chunks: they are complete unless the
// connection is reset, or a stream ends inside an event or before the first one.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	for _, test := range []struct {
		name, path, body string
		reset, complete  bool
	}{
		{"plain", "/book/1", "all of it", false, true},
		{"plain, reset", "/book/1", "half of", true, false},
		{"stream", "/draft/1", events(1, 3), false, true},
		{"stream, reset", "/draft/1", events(1, 3), true, false},
		{"stream inside an event", "/draft/1", events(1, 2) + "id: 3\ndata: pie", false, false},
		{"stream at the end of a line", "/draft/1", events(1, 2) + "id: 3\ndata: piece 3\n", false, false},
		{"stream without events", "/draft/1", "", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			for _, service := range []string{"desk", "engine"} {
				d.script(service+"-1", service, func(conn net.Conn, attempt string, _ int) bool {
					write(conn, signed(attempt)+"Content-Type: text/event-stream\r\n\r\n"+test.body)
					time.Sleep(100 * time.Millisecond)
					if test.reset {
						reset(conn)
					}
					return false
				})
			}
			got := d.node().do(t, call{path: test.path})
			if test.complete {
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, test.body)
				return
			}
			assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)
		})
	}
}

// Guards against a stream that is cut off inside an event and is not resumed on another server.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	var started atomic.Bool
	for i := range 2 {
		d.script(fmt.Sprint("engine-", i), "engine", func(conn net.Conn, attempt string, _ int) bool {
			body := events(1, 2) + "id: 3\ndata: pie"
			if started.Swap(true) {
				body = events(3, 4)
			}
			write(conn, signed(attempt)+"Content-Type: text/event-stream\r\n\r\n"+body)
			return false
		})
	}
	got := d.node().do(t, call{path: "/quote/1"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 4))
}
