package edge

import (
	"io"
	stdlog "log"
	"net"
	"strconv"
)

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
