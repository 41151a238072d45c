package httpclient

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// endedConn is a connection whose reads return io.EOF. Its writes block until the write deadline is set, if blocks is set,
// and return err.
type endedConn struct {
	net.Conn
	deadline chan struct{}
	blocks   bool
	err      error
}

// Read implements net.Conn.
func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c *endedConn) Write([]byte) (int, error) {
	if c.blocks {
		select {
		case <-c.deadline:
		case <-time.After(time.Minute):
		}
	}
	return 0, c.err
}

// SetWriteDeadline implements net.Conn.
func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// Guards against a reset that looks like the end of a response, because the system has reported it to a write of the same
// connection, and against a write that hides the end of a response.
func TestEndOfBrokenConnectionIsAnError(t *testing.T) {
	for _, test := range []struct{ write, read error }{
		{nil, io.EOF},
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{os.ErrDeadlineExceeded, io.EOF},
		{syscall.EPIPE, io.EOF},
	} {
		for _, inProgress := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c := &conn{Conn: &endedConn{deadline: make(chan struct{}), blocks: inProgress, err: test.write}}
				go func() { _, _ = c.Write([]byte("x")) }() // the error is that of the fake
				synctest.Wait()
				_, err := c.Read(make([]byte, 1))
				assert.ErrorIs(t, err, test.read, "write in progress: %v", inProgress)
			})
		}
	}
}
