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

// Guards against beats of an earlier life that arrive late, and against a node that is never heard of again because its
// clock was set back before it restarted.
func TestBeatsOfEarlierLives(t *testing.T) {
	var heard, left []int64
	p := &peers{self: "self", log: logrus.NewEntry(logrus.New()), nodes: map[string]*peerNode{}, largest: 1,
		heard: func(b *pb.PeerBeat, _ time.Time) { heard = append(heard, b.Started) },
		left:  func(_ string, started int64) { left = append(left, started) }}
	now := time.Unix(1000, 0)
	beat := func(started int64) { p.take(&pb.PeerBeat{Node: "a", PeerAddr: "10.0.0.1:1", Started: started}, now) }
	beat(100)
	beat(200)
	beat(100) // late
	assert.DeepEqual(t, heard, []int64{100, 200})
	assert.DeepEqual(t, left, []int64{100})
	now = now.Add(5 * time.Second)
	beat(150)
	assert.DeepEqual(t, heard, []int64{100, 200, 150})
	assert.Equal(t, len(p.alive(now)), 1)
	assert.Equal(t, len(p.alive(now.Add(time.Minute))), 0)
}

// Guards against calls to the store that grow with the number of nodes, and against nobody reading when those whose turn
// it is have lost the store.
func TestFewNodesReadTheStore(t *testing.T) {
	const nodes = 60
	now := time.Now()
	reading := func(lost func(i int) bool) (readers int) {
		for self := range nodes {
			p := &peers{self: fmt.Sprintf("n-%02d", self), nodes: map[string]*peerNode{}, largest: nodes}
			p.turn = &storeTurn{position: p.position, place: p.place, lost: &atomic.Int32{}}
			if lost(self) {
				p.turn.lost.Add(1)
			}
			for i := range nodes {
				if name := fmt.Sprintf("n-%02d", i); i != self {
					p.nodes[name] = &peerNode{beat: &pb.PeerBeat{Node: name, StoreLost: lost(i)}, heardAt: now}
				}
			}
			if p.turn.reads() && !lost(self) {
				readers++
			}
		}
		return readers
	}
	assert.Equal(t, reading(func(int) bool { return false }), storeReaders)
	assert.Equal(t, reading(func(i int) bool { return i < 26 }), storeReaders)
	assert.Equal(t, reading(func(i int) bool { return i < nodes-2 }), 2)
	alone := &peers{self: "n", nodes: map[string]*peerNode{}}
	alone.turn = &storeTurn{position: alone.position, place: alone.place, lost: &atomic.Int32{}}
	assert.Assert(t, alone.turn.reads())
}

// Guards against a node that waits 20 s with its first call after an outage, while the others take the store for lost
// there, and against nodes that all ask a store that refuses several times a second.
func TestReturnOfTheStoreIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lost := &atomic.Int32{}
		turn := &storeTurn{position: func() int { return 30 }, place: func() int { return 30 }, lost: lost}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		link := dependency{log: logrus.NewEntry(logger), lost: lost}
		var fails atomic.Bool
		fails.Store(true)
		var calls atomic.Int32
		var waits []time.Duration // read when the calls have ended
		go turn.follow(ctx, &link, func(_ context.Context, since uint64, wait time.Duration) (uint64, error) {
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
		time.Sleep(2*storeProbe + time.Second)
		assert.Equal(t, lost.Load(), int32(0))
		cancel()
		synctest.Wait()
		assert.DeepEqual(t, waits, []time.Duration{0})
	})
}

// Guards against beats that a node sends all at once: in a large deployment they are more than its link carries for a part
// of a second, and half of them are dropped. Counts of usage, limits and loads were then seconds old.
func TestBeatsKeepToTheSpeedOfSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, size, linkBytes = 86, 2500, 10e6 / 8
		begin := time.Now()
		sent := 0.0
		p := &peers{write: func(data []byte, _ netip.AddrPort) {
			sent += float64(len(data))
			carried := time.Since(begin).Seconds() * linkBytes
			assert.Assert(t, sent-carried <= paceBytes+size, "%.0f bytes wait for the link", sent-carried)
		}}
		var addrs []string
		for i := range nodes {
			addrs = append(addrs, fmt.Sprintf("10.0.0.%d:1", i+1))
		}
		p.pace(t.Context(), addrs, func(string) []byte { return make([]byte, size) })
		assert.Equal(t, sent, float64(nodes*size))
		assert.Assert(t, time.Since(begin) < nodes*beatPerNode, "it takes longer than the interval")
	})
}

// Guards against ages that are too low because a beat is sent over a part of a second. Nodes pass on the youngest age that
// they hear: a view then seems fresh for good while no node reads the store, and drains are not seen for seconds.
func TestAgesGrowWhileABeatIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin, sent := time.Now(), 0
		p := &peers{self: "self", nodes: map[string]*peerNode{}, largest: 86, log: logrus.NewEntry(logrus.New()),
			usage: func(time.Time) []*pb.UsageWindow { return nil }}
		p.turn = &storeTurn{position: p.position, place: p.place, lost: &atomic.Int32{}}
		p.compose = func(time.Time) *pb.PeerBeat {
			return &pb.PeerBeat{Node: strings.Repeat("x", 2000), Servers: &pb.ServerViewState{Version: 1, AgeMs: 100}}
		}
		p.write = func(data []byte, _ netip.AddrPort) {
			sent++
			beat := &pb.PeerBeat{}
			assert.NilError(t, proto.Unmarshal(data, beat))
			passed := time.Since(begin).Milliseconds()
			assert.Assert(t, int64(beat.Servers.AgeMs) >= 100+passed, "%d ms after %d ms", beat.Servers.AgeMs, passed)
		}
		for i := range 85 {
			p.nodes[fmt.Sprint(i)] = &peerNode{addr: fmt.Sprintf("10.0.0.%d:1", i+1), since: begin.Add(-time.Minute), rowVersion: 1}
		}
		p.send(t.Context())
		assert.Equal(t, sent, 85)
		assert.Assert(t, time.Since(begin) > 100*time.Millisecond)
	})
}

// Guards against news and a beat that are sent at the same time and fill the link together.
func TestNewsAndBeatsShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 2500
		speed := float64(paceBytes) / pacePause.Seconds() // half of the slowest links; the rest is for requests
		begin, sent := time.Now(), 0.0
		var mu sync.Mutex
		p := &peers{self: "self", nodes: map[string]*peerNode{}, largest: 86, log: logrus.NewEntry(logrus.New()),
			usage: func(time.Time) []*pb.UsageWindow { return nil }}
		p.turn = &storeTurn{position: p.position, place: p.place, lost: &atomic.Int32{}}
		large := func(time.Time) *pb.PeerBeat { return &pb.PeerBeat{Node: strings.Repeat("x", size)} }
		p.compose, p.composeNews = large, large
		p.write = func(data []byte, _ netip.AddrPort) {
			mu.Lock()
			defer mu.Unlock()
			sent += float64(len(data))
			ahead := sent - time.Since(begin).Seconds()*speed
			assert.Check(t, ahead <= 3*paceBytes, "%.0f bytes too early", ahead)
		}
		for i := range 85 {
			p.nodes[fmt.Sprint(i)] = &peerNode{addr: fmt.Sprintf("10.0.0.%d:1", i+1), beat: &pb.PeerBeat{}, heardAt: begin}
		}
		var work sync.WaitGroup
		work.Go(func() { p.send(t.Context()) })
		time.Sleep(50 * time.Millisecond)
		work.Go(func() { p.sendNews(t.Context()) })
		work.Wait()
		assert.Assert(t, sent >= 2*85*size)
	})
}
