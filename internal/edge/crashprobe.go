package edge

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// crashProbes is how often a server is dialed after a connection to it broke. The first probe may come before a
	// crashing process has closed its listener.
	crashProbes = 2
	// crashProbeInterval is the time before each probe; together the probes take less than crashLinger.
	crashProbeInterval = 150 * time.Millisecond
)

// crashProber dials servers whose connections broke, to notice crashes before the servers are back. The node's own
// requests are no substitute: it may have ejected the server, or rarely use it.
type crashProber struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// crashed is called with a server that refuses connections.
	crashed func(s serving.Server, now time.Time)
	log     *logrus.Entry

	mu sync.Mutex
	// remaining is the number of probes left for each server that is being probed.
	remaining map[string]int
}

// connLost starts probes of a server, or starts them over if some are under way.
func (p *crashProber) connLost(s serving.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, running := p.remaining[s.ID]
	p.remaining[s.ID] = crashProbes
	if !running {
		go p.run(s)
	}
}

func (p *crashProber) run(s serving.Server) {
	for p.next(s.ID) {
		clock.Sleep(context.Background(), crashProbeInterval)
		conn, err := p.dial(context.Background(), "tcp4", s.Address)
		switch {
		case err == nil:
			_ = conn.Close() // nothing was sent
		case errors.Is(err, syscall.ECONNREFUSED):
			p.crashed(s, time.Now())
			p.stop(s.ID)
			return
		default:
			// No sign of a crash: the network to the server may have failed.
			p.log.WithError(err).WithField(logline.Server, s.ID).Debug("probing a server failed")
		}
	}
}

// next takes one of the remaining probes; without one it ends the probing of the server.
func (p *crashProber) next(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remaining[server] == 0 {
		delete(p.remaining, server)
		return false
	}
	p.remaining[server]--
	return true
}

func (p *crashProber) stop(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.remaining, server)
}
