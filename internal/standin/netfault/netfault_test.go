package netfault

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a restart during a crash that finds the address still in use or loses the new listener.
func TestConcurrentCrashAndRestart(t *testing.T) {
	s := New(http.NotFoundHandler(), nil)
	defer s.Close()
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	for range 200 {
		var wg sync.WaitGroup
		wg.Go(s.Crash)
		wg.Go(func() { assert.Check(t, s.Restart()) })
		wg.Wait()
		assert.NilError(t, s.Restart())
		c, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
}

// Guards against a crash that leaves connections open or a listener accepting, and a restart at another address.
func TestCrashClosesConnectionsAndListener(t *testing.T) {
	s := New(http.NotFoundHandler(), nil)
	defer s.Close()
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	addr := s.Addr()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	// A response to one request shows that the server has accepted the connection.
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 4096))
	assert.NilError(t, err)
	s.Crash()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !isTimeout(err), "%v", err)
	_, err = net.Dial("tcp", addr)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.NilError(t, s.Restart())
	assert.Equal(t, s.Addr(), addr)
	again, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
