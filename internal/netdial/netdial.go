// Package netdial opens TCP connections that detect an unresponsive peer.
//
// A connection can stop delivering packets for good while new ones work, because a device on the path has lost its
// state for the connection. Neither end receives a reset then; only keep-alive probes and a bound on unacknowledged
// data detect it.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle is the idle time before the first keep-alive probe and probeInterval the time between probes. probeCount
	// lost probes end the connection, so that a broken idle one is detected within about 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is TCP_USER_TIMEOUT: how long sent data may stay unacknowledged before the connection ends.
	userTimeout = 2500 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Dial returns a function, of the type of http.Transport.DialContext, that opens connections within the timeout.
func Dial(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext
}

// Listen opens an IPv4 TCP listener whose connections use the same bounds.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp4", addr)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return result
}
