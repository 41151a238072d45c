package transport

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Count is a number of messages and their size in bytes, including the length prefix but not QUIC's overhead.
type Count struct {
	Messages uint64
	Bytes    uint64
}

// Stats are totals since the transport was created.
type Stats struct {
	// Sent and Received count messages by kind, such as "gossip_push".
	Sent, Received map[string]Count
	// WireSent and WireReceived are bytes of QUIC packets on outgoing connections, including handshakes and
	// retransmissions but not UDP and IP headers.
	WireSent, WireReceived uint64
	// Dials counts started handshakes. Replaced counts connections taken out of use after a silence or a timeout.
	Dials, Replaced uint64
	// Dropped counts messages of Send that were not written.
	Dropped uint64
	// Outgoing and Incoming are the numbers of open connections.
	Outgoing, Incoming int
}

// counters accumulate the values of Stats. The lock is held only for a few additions or a copy.
type counters struct {
	mu             sync.Mutex
	sent, received map[string]Count
	totals         Stats
}

func newCounters() *counters {
	return &counters{sent: map[string]Count{}, received: map[string]Count{}}
}

func (c *counters) addSent(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[kind] = Count{c.sent[kind].Messages + 1, c.sent[kind].Bytes + uint64(bytes)}
}

func (c *counters) addReceived(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received[kind] = Count{c.received[kind].Messages + 1, c.received[kind].Bytes + uint64(bytes)}
}

func (c *counters) update(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.totals)
}

// addWire adds the bytes of a connection that has ended.
func (c *counters) addWire(s quic.ConnectionStats) {
	c.update(func(t *Stats) {
		t.WireSent += s.BytesSent
		t.WireReceived += s.BytesReceived
	})
}

func (c *counters) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.totals
	out.Sent = make(map[string]Count, len(c.sent))
	for kind, count := range c.sent {
		out.Sent[kind] = count
	}
	out.Received = make(map[string]Count, len(c.received))
	for kind, count := range c.received {
		out.Received[kind] = count
	}
	return out
}
