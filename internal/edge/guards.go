package edge

import (
	"io"
	stdlog "log"
	"net"
	"strconv"
	"sync"
)

// bodyMemory limits the memory used by request bodies, in bytes.
type bodyMemory struct {
	mu        sync.Mutex
	available int64
}

// bodyMemoryShare is the fraction of the memory limit that request bodies may use.
const bodyMemoryShare = 0.25

func newBodyMemory(memory int64) *bodyMemory {
	return &bodyMemory{available: int64(bodyMemoryShare * float64(memory))}
}

func (m *bodyMemory) reserve(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.available {
		return false
	}
	m.available -= n
	return true
}

func (m *bodyMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.available += n
}

// discardLog returns a logger that drops net/http's messages on broken caller connections; each request has its own log
// line.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// withPort replaces the port of an address; an address without a port is returned unchanged.
func withPort(addr string, port int) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
