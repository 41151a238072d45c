package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// slowLinkRate is the bandwidth of a slow machine's link, 10 Mbit/s, in bytes per second.
	slowLinkRate = 10_000_000 / 8
	// configBound is how long after its first read a configuration may take to be in force on all nodes.
	configBound = 3 * time.Second
)

// slowLink carries the bytes that one node sends, one after another.
type slowLink struct {
	mu     sync.Mutex
	freeAt time.Time
	sent   atomic.Int64
}

func (l *slowLink) send(n int) {
	l.sent.Add(int64(n))
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / slowLinkRate * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// slowConn sends through a link.
type slowConn struct {
	net.Conn
	link *slowLink
}

func (c *slowConn) Write(p []byte) (int, error) {
	const chunk = 4 << 10
	for done := 0; done < len(p); {
		n := min(chunk, len(p)-done)
		c.link.send(n)
		if _, err := c.Conn.Write(p[done : done+n]); err != nil {
			return done, err
		}
		done += n
	}
	return len(p), nil
}

// slowListener accepts connections whose responses go through a link.
type slowListener struct {
	net.Listener
	link *slowLink
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{conn, l.link}, nil
}

// sizedRecords decodes configurations that start with their version in a line.
type sizedRecords struct{ Records }

func (sizedRecords) Config(value []byte) (*serving.Config, error) {
	version := uint64(0)
	if _, err := fmt.Sscanf(string(value[:min(len(value), 20)]), "%d\n", &version); err != nil {
		return nil, err
	}
	return serving.NewConfig(version, nil, nil, nil, serving.Limits{}), nil
}

// configTable is a store that holds the configuration.
type configTable struct {
	Store
	value []byte
	reads atomic.Int64
	down  bool
}

func (s *configTable) Get(context.Context, string, string) (platform.Row, error) {
	if s.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	s.reads.Add(1)
	time.Sleep(10 * time.Millisecond)
	return platform.Row{Key: "config", Value: s.value, Version: 9}, nil
}

// largeConfig returns a configuration with many routes.
func largeConfig(version, routes int) []byte {
	rng := rand.New(rand.NewPCG(uint64(version), 1))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d\n", version)
	for range routes {
		fmt.Fprintf(&b, `{"name":"r%x","hostname":"deka30.example","prefix":"/%x/%x/","route_kind":"idempotent","timeout_ms":4000,`+
			`"latency_goal_ms":300,"priority":0,"service":"opdrachtbalie","max_attempts":2},`, rng.Uint32(), rng.Uint32(), rng.Uint32())
	}
	return b.Bytes()
}

// Replays a configuration of 600 KB that reaches 4 of 60 nodes behind links of 10 Mbit/s, from which the others learn of
// it at once. Guards against a distribution in which all nodes fetch it from the same few, none completes in time, and
// the repeated fetches saturate the links for good; seen on mix --seed 2042049525 of oleaje-ding-grown.
func TestLargeConfigurationReachesAllNodesOverSlowLinks(t *testing.T) {
	const nodes, readers, version = 60, 4, 2
	value := largeConfig(version, 3000)
	for _, name := range []string{"store reachable", "store lost", "store returned from a copy"} {
		t.Run(name, func(t *testing.T) {
			down := name == "store lost"
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			log := logrus.NewEntry(logger)
			store := &configTable{value: value, down: down}
			if name == "store returned from a copy" {
				store.value = largeConfig(version-1, 3000)
			}
			all, links := make([]*Node, nodes), make([]*slowLink, nodes)
			for i := range nodes {
				lost := &atomic.Int32{}
				if down {
					lost.Store(1)
				}
				config := &configView{store: store, records: sizedRecords{}, names: Names{ConfigKey: "config"}, log: log,
					onChange: func(*serving.Config) {}, onStoreChange: func() {}, readers: &readerSelection{lost: lost}}
				assert.NilError(t, config.accept([]byte("1\n"), "store"))
				all[i] = &Node{config: config, log: log, servers: &serverView{log: log}}
				all[i].fetcher = newFetcher(config, all[i].servers, log)
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				assert.NilError(t, err)
				links[i] = &slowLink{}
				server := &http.Server{Handler: all[i].controlHandler()}
				go func() { _ = server.Serve(&slowListener{listener, links[i]}) }()
				t.Cleanup(func() { _ = server.Close() })
				all[i].settings = &Settings{ControlAddr: listener.Addr().String()}
			}
			for _, n := range all[:readers] {
				assert.NilError(t, n.config.accept(value, "store"))
			}
			start := time.Now()
			rng := rand.New(rand.NewPCG(1, 2))
			missing := nodes
			for ; missing > 0 && time.Since(start) < configBound; time.Sleep(10 * time.Millisecond) {
				missing = 0
				for _, n := range all {
					if n.config.Version() < version {
						missing++
					}
					// Each node hears of a few others between two passes, of the readers at once.
					for range 2 {
						from := all[rng.IntN(nodes)]
						if time.Since(start) < 50*time.Millisecond {
							from = all[rng.IntN(readers)]
						}
						n.fetcher.handleHeartbeat(&pb.PeerBeat{Node: from.settings.ControlAddr, ControlAddr: from.settings.ControlAddr,
							ConfigVersion: from.config.Version(), ConfigBytes: from.config.size()}, time.Now())
					}
				}
			}
			sent := int64(0)
			for _, link := range links {
				sent += link.sent.Load()
			}
			t.Logf("%v, %d of %d nodes without it, %d KB sent between nodes, %d reads of the store", time.Since(start), missing, nodes, sent>>10, store.reads.Load())
			assert.Equal(t, missing, 0, "nodes without the configuration after %v", configBound)
		})
	}
}
