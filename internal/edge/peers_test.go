package edge

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Guards against applying late heartbeats of an earlier incarnation, and against ignoring a node for good because its
// clock was set back before it restarted.
func TestHeartbeatsOfEarlierIncarnations(t *testing.T) {
	var received, restarted []int64
	p := &peers{self: "self", log: logrus.NewEntry(logrus.New()), nodes: map[string]*peerNode{}, maxNodesSeen: 1,
		received:   func(b *pb.PeerBeat, _ time.Time) { received = append(received, b.Started) },
		discovered: func(time.Time) {}, restarted: func(_ string, started int64) { restarted = append(restarted, started) }}
	now := time.Unix(1000, 0)
	receive := func(at int64) { p.handleHeartbeat(&pb.PeerBeat{Node: "a", PeerAddr: "10.0.0.1:1", Started: at}, now) }
	receive(100)
	receive(200)
	receive(100) // arrives late
	assert.DeepEqual(t, received, []int64{100, 200})
	assert.DeepEqual(t, restarted, []int64{100})
	now = now.Add(5 * time.Second)
	receive(150)
	assert.DeepEqual(t, received, []int64{100, 200, 150})
	assert.Equal(t, len(p.alive(now)), 1)
	assert.Equal(t, len(p.alive(now.Add(time.Minute))), 0)
}

// Guards against store calls that grow with the number of nodes, and against no node reading the store when the
// selected ones cannot reach it.
func TestFewNodesReadTheStore(t *testing.T) {
	const nodes = 60
	now := time.Now()
	countReaders := func(lost func(i int) bool) (readers int) {
		for self := range nodes {
			p := &peers{self: fmt.Sprintf("n-%02d", self), nodes: map[string]*peerNode{}, maxNodesSeen: nodes}
			p.readers = &readerSelection{readerRank: p.readerRank, nodeRank: p.nodeRank, lost: &atomic.Int32{}}
			if lost(self) {
				p.readers.lost.Add(1)
			}
			for i := range nodes {
				if name := fmt.Sprintf("n-%02d", i); i != self {
					p.nodes[name] = &peerNode{lastHeartbeat: &pb.PeerBeat{Node: name, StoreLost: lost(i)}, receivedAt: now}
				}
			}
			if p.readers.selected() && !lost(self) {
				readers++
			}
		}
		return readers
	}
	assert.Equal(t, countReaders(func(int) bool { return false }), maxStoreReaders)
	assert.Equal(t, countReaders(func(i int) bool { return i < 26 }), maxStoreReaders)
	assert.Equal(t, countReaders(func(i int) bool { return i < nodes-2 }), 2)
	alone := &peers{self: "n", nodes: map[string]*peerNode{}}
	alone.readers = &readerSelection{readerRank: alone.readerRank, nodeRank: alone.nodeRank, lost: &atomic.Int32{}}
	assert.Assert(t, alone.readers.selected())
}

// Guards against a node that long-polls for 20 s in its first call after an outage while the others still consider its
// store lost, and against all nodes retrying a failing store several times a second.
func TestStoreRecoveryIsDetectedPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lost := &atomic.Int32{}
		readers := &readerSelection{readerRank: func() int { return 30 }, nodeRank: func() int { return 30 }, lost: lost}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		dep := dependency{log: logrus.NewEntry(logger), lost: lost}
		var fails atomic.Bool
		fails.Store(true)
		var calls atomic.Int32
		var waits []time.Duration // read after the calls have ended
		go readers.watch(ctx, &dep, func(_ context.Context, since uint64, wait time.Duration) (uint64, error) {
			calls.Add(1)
			if fails.Load() {
				return since, platform.ErrUnavailable
			}
			waits = append(waits, wait)
			return 7, nil
		})
		time.Sleep(20 * time.Second)
		assert.Assert(t, calls.Load() < 25, "%d calls", calls.Load())
		assert.Equal(t, lost.Load(), int32(1))
		fails.Store(false)
		time.Sleep(2*otherRetryDelay + time.Second)
		assert.Equal(t, lost.Load(), int32(0))
		cancel()
		synctest.Wait()
		assert.DeepEqual(t, waits, []time.Duration{0})
	})
}

// Guards against heartbeats sent in one burst: in a large deployment they exceed what the link carries in that time,
// half of them are dropped, and usage counts, limits and loads become seconds old.
func TestHeartbeatsArePacedForSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, size, linkBytes = 86, 2500, 10e6 / 8
		start := time.Now()
		sent := 0.0
		p := &peers{write: func(data []byte, _ netip.AddrPort) {
			sent += float64(len(data))
			carried := time.Since(start).Seconds() * linkBytes
			assert.Assert(t, sent-carried <= paceBytes+size, "%.0f bytes queued on the link", sent-carried)
		}}
		var addrs []string
		for i := range nodes {
			addrs = append(addrs, fmt.Sprintf("10.0.0.%d:1", i+1))
		}
		p.pace(t.Context(), addrs, func(string) []byte { return make([]byte, size) })
		assert.Equal(t, sent, float64(nodes*size))
		assert.Assert(t, time.Since(start) < nodes*heartbeatIntervalPerNode, "it takes longer than the interval")
	})
}

// Guards against ages that are too low because sending a heartbeat to all nodes takes a fraction of a second. Nodes
// adopt and pass on the lowest age that they receive: a view then seems fresh permanently, no node reads the store, and
// drains go unnoticed for seconds.
func TestAgesGrowWhileABeatIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, sent := time.Now(), 0
		p := &peers{self: "self", nodes: map[string]*peerNode{}, maxNodesSeen: 86, log: logrus.NewEntry(logrus.New()),
			usageWindows: func(time.Time) []*pb.UsageWindow { return nil }}
		p.readers = &readerSelection{readerRank: p.readerRank, nodeRank: p.nodeRank, lost: &atomic.Int32{}}
		p.compose = func(time.Time) *pb.PeerBeat {
			return &pb.PeerBeat{Node: strings.Repeat("x", 2000), Servers: &pb.ServerViewState{Version: 1, AgeMs: 100}}
		}
		p.write = func(data []byte, _ netip.AddrPort) {
			sent++
			heartbeat := &pb.PeerBeat{}
			assert.NilError(t, proto.Unmarshal(data, heartbeat))
			passed := time.Since(start).Milliseconds()
			assert.Assert(t, int64(heartbeat.Servers.AgeMs) >= 100+passed, "%d ms after %d ms", heartbeat.Servers.AgeMs, passed)
		}
		for i := range 85 {
			p.nodes[fmt.Sprint(i)] = &peerNode{addr: fmt.Sprintf("10.0.0.%d:1", i+1), addedAt: start.Add(-time.Minute), rowVersion: 1}
		}
		p.send(t.Context())
		assert.Equal(t, sent, 85)
		assert.Assert(t, time.Since(start) > 100*time.Millisecond)
	})
}

// Guards against an urgent and a regular heartbeat that are sent at the same time and together saturate the link.
func TestUrgentUpdatesAndHeartbeatsShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 2500
		speed := float64(paceBytes) / pacePause.Seconds() // half the bandwidth of the slowest links; the rest is for requests
		start, sent := time.Now(), 0.0
		var mu sync.Mutex
		p := &peers{self: "self", nodes: map[string]*peerNode{}, maxNodesSeen: 86, log: logrus.NewEntry(logrus.New()),
			usageWindows: func(time.Time) []*pb.UsageWindow { return nil }}
		p.readers = &readerSelection{readerRank: p.readerRank, nodeRank: p.nodeRank, lost: &atomic.Int32{}}
		large := func(time.Time) *pb.PeerBeat { return &pb.PeerBeat{Node: strings.Repeat("x", size)} }
		p.compose, p.composeUrgent = large, large
		p.write = func(data []byte, _ netip.AddrPort) {
			mu.Lock()
			defer mu.Unlock()
			sent += float64(len(data))
			ahead := sent - time.Since(start).Seconds()*speed
			assert.Check(t, ahead <= 3*paceBytes, "%.0f bytes above the allowed rate", ahead)
		}
		for i := range 85 {
			p.nodes[fmt.Sprint(i)] = &peerNode{addr: fmt.Sprintf("10.0.0.%d:1", i+1), lastHeartbeat: &pb.PeerBeat{}, receivedAt: start}
		}
		var work sync.WaitGroup
		work.Go(func() { p.send(t.Context()) })
		time.Sleep(50 * time.Millisecond)
		work.Go(func() { p.sendUrgent(t.Context()) })
		work.Wait()
		assert.Assert(t, sent >= 2*85*size)
	})
}
