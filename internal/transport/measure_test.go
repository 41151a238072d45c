package transport

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMeasureWire logs the cost of handshakes, messages and idle connections, for gossip.MessageOverhead and
// docs/measurements-gossip.md. With POLLENLUG_MEASURE=1 it runs at full size.
func TestMeasureWire(t *testing.T) {
	connections, messages, pause := 4, 20, time.Millisecond
	if os.Getenv("POLLENLUG_MEASURE") != "" {
		connections, messages, pause = 64, 300, 20*time.Millisecond
	}
	a := newAuthority(t)
	client := startNode(t, a, "client")
	var addrs []string
	var before, after runtime.MemStats
	for i := range connections {
		addrs = append(addrs, startNode(t, a, fmt.Sprintf("s%d", i)).Addr())
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	goroutines, cpu := runtime.NumGoroutine(), cpuTime()
	for _, addr := range addrs {
		_, err := client.Request(timeoutContext(t, 2*time.Second), addr, probe(1))
		assert.NilError(t, err)
	}
	t.Logf("handshake with one request: CPU of both ends %v", (cpuTime()-cpu)/time.Duration(connections))
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	s := client.Stats()
	t.Logf("handshake with one request: %d bytes sent, %d received (dialling side)",
		s.WireSent/uint64(connections), s.WireReceived/uint64(connections))
	t.Logf("open connection, both ends: %d KiB heap, %d goroutines", (after.HeapAlloc-before.HeapAlloc)/1024/uint64(connections),
		(runtime.NumGoroutine()-goroutines)/connections)

	for _, size := range []int{20, 500, 1000} {
		env := &pb.Envelope{Body: &pb.Envelope_GossipPush{GossipPush: &pb.GossipPush{Items: []*pb.GossipItem{{Value: make([]byte, size)}}}}}
		initial, cpu := client.Stats(), cpuTime()
		for range messages {
			client.Send(addrs[0], env)
			time.Sleep(pause)
		}
		time.Sleep(100 * time.Millisecond)
		s := client.Stats()
		payload := (s.Sent["gossip_push"].Bytes - initial.Sent["gossip_push"].Bytes) / uint64(messages)
		t.Logf("Send: %d bytes of envelope, %d bytes of QUIC sent and %d received per message, CPU of both ends %v", payload,
			(s.WireSent-initial.WireSent)/uint64(messages), (s.WireReceived-initial.WireReceived)/uint64(messages),
			(cpuTime()-cpu)/time.Duration(messages))
		assert.Equal(t, s.Dropped, uint64(0))
	}
}
