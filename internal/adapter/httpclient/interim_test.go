package httpclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

// Guards against a request of any adapter that does not end with its context, or keeps its connection, after a status from
// 100 to 199 that nobody asked for.
func TestInterimResponsesEndWithTheContext(t *testing.T) {
	for status := 100; status < 200; status++ {
		synctest.Test(t, func(t *testing.T) {
			network := netfault.NewPipeNetwork()
			l, err := network.Listen(addr)
			assert.NilError(t, err)
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Text\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", status)
				_, _ = io.Copy(io.Discard, c)
			}()
			client := New(Options{Dial: func(ctx context.Context, n, a string) (net.Conn, error) { return network.Dial(ctx, n, a) }})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			start := time.Now()
			err = send(ctx, client, true)
			assert.ErrorIs(t, err, backend.ErrInterrupted)
			if status == http.StatusSwitchingProtocols {
				assert.ErrorIs(t, err, ErrInvalidResponse)
				assert.Equal(t, time.Since(start), time.Duration(0))
			} else {
				assert.Equal(t, time.Since(start), time.Second)
			}
			<-closed
			assert.NilError(t, l.Close())
		})
	}
}
