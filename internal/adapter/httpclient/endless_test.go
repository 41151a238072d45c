package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

// serveEndless answers the next connection with start and then repeats block until the client closes the connection. It
// returns the number of bytes that the client has read.
func serveEndless(listener net.Listener, start, block string) <-chan int {
	read := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			read <- 0
			return
		}
		defer conn.Close()
		if _, err := conn.Read(make([]byte, 1)); err != nil { // wait for the request
			read <- 0
			return
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }() // the rest of it
		n, err := io.WriteString(conn, start)
		for total := n; ; total += n {
			if err != nil {
				read <- total
				return
			}
			n, err = io.WriteString(conn, block)
		}
	}()
	return read
}

// Guards against a server in trouble whose head has no end: each such response would take memory of the node up to the
// large limit of net/http.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, test := range map[string]struct{ start, block string }{
		"no head":           {"", strings.Repeat("garbage ", 100)},
		"lines":             {"", strings.Repeat("garbage\r\n", 100)},
		"header field":      {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1000)},
		"header fields":     {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Field: value\r\n", 50)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 20)},
	} {
		t.Run(name, func(t *testing.T) {
			network := netfault.NewPipeNetwork()
			listener, err := network.Listen(addr)
			assert.NilError(t, err)
			read := serveEndless(listener, test.start, test.block)
			req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/", nil)
			assert.NilError(t, err)
			resp, err := New(Options{Dial: network.Dial}).Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.Assert(t, errors.Is(err, backend.ErrInterrupted), "%v", err)
			n := <-read
			assert.Assert(t, n <= 2*maxHeaderBytes, "%d bytes were read", n)
		})
	}
}
