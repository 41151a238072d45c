package headerlimit

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limits = Limits{HeaderBytes: 16384}

// Guards against costs and ends of headers that depend on how the bytes are split into packets.
func TestPiecesDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"POST / HTTP/1.1\r\n", "Host: a\r\n", "\r\n", "\n", "Content-Length: 5\r\n", "abcde",
			"transfer-encoding: Chunked\r\n", "5\r\n", "1;e=x\r\n", "0\r\n", "X: " + strings.Repeat("y", 9000) + "\r\n", "a:\r\n"})).Draw(t, "parts"), "")
		var whole, pieces Scanner
		reason := whole.Scan([]byte(text), limits)
		splitReason := None
		for rest := []byte(text); len(rest) > 0 && splitReason == None; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			splitReason = pieces.Scan(rest[:n], limits)
			rest = rest[n:]
		}
		assert.Equal(t, splitReason, reason)
		assert.Equal(t, pieces.Headers, whole.Headers)
		if reason == None {
			assert.Equal(t, pieces.Cost(), whole.Cost())
			assert.Equal(t, pieces.MidBody(), whole.MidBody())
		}
	})
}

// Guards against refusing a header inside the configured size, whatever its lines, and against passing larger ones.
func TestHeadersInsideTheLimitPass(t *testing.T) {
	const begin = "GET / HTTP/1.1\r\nHost: shop.example\r\n"
	for text, want := range map[string]Reason{
		begin + strings.Repeat("a:\r\n", limits.HeaderBytes/minLineBytes) + "\r\n": None,
		begin + "X: " + strings.Repeat("x", limits.HeaderBytes) + "\r\n\r\n":       None,
		begin + strings.Repeat("a:\r\n", limits.HeaderBytes/minLineBytes+20):       HeaderLines,
		begin + "X: " + strings.Repeat("x", limits.HeaderBytes+framingBytes):       HeaderBytes,
		strings.Repeat("\r\n", maxEmptyLines+1):                                    EmptyLines,
	} {
		assert.Equal(t, new(Scanner).Scan([]byte(text), limits), want, "%.60q", text)
	}
}

// Guards against a crowd that holds all connections and replaces each at once while ordinary clients, who send their
// header within 20 ms, are closed or not accepted. It fails if the newest connection is refused or replaced.
func TestCrowdDoesNotShutOutOrdinaryClients(t *testing.T) {
	table := NewTable(200, NewBudget(1<<20, nil))
	now := time.Unix(0, 0)
	var ordinary, serving []*Entry
	for i := range 5000 { // one connection per millisecond
		now = now.Add(time.Millisecond)
		opened, _ := table.Open(i, now)
		assert.Assert(t, opened != nil)
		if i%100 == 50 {
			ordinary = append(ordinary, opened)
		}
		if i%100 == 70 {
			e := ordinary[len(ordinary)-1]
			assert.Assert(t, !e.IsClosed(), "closed while its header is on its way")
			table.Enter(e, Serving, now)
			serving = append(serving, e)
		}
		assert.Assert(t, table.Count() <= 200)
	}
	for _, e := range serving {
		assert.Assert(t, !e.IsClosed(), "closed while it serves a request")
	}
}

// Guards against a crowd that sends headers without their bodies and so holds all connections until its requests time
// out. It fails if such connections count as serving a request.
func TestHeldBodiesDoNotShutOutOrdinaryClients(t *testing.T) {
	table := NewTable(10, NewBudget(1<<20, nil))
	now := time.Unix(0, 0)
	var crowd []*Entry
	for range 10 {
		now = now.Add(time.Millisecond)
		e, _ := table.Open(nil, now)
		table.Enter(e, Receiving, now)
		crowd = append(crowd, e)
	}
	table.Enter(crowd[0], Serving, now)
	opened, replaced := table.Open(nil, now)
	assert.Assert(t, opened != nil && replaced == crowd[1], "the longest wait for a body is not ended")
}

// Guards against headers over the budget, and against ending requests, earlier headers or ordinary headers for later
// large ones. It fails if any but the newest is closed, or if a small header needs the budget.
func TestNewestLargeHeadersAreClosed(t *testing.T) {
	const large = 300 << 10
	budget := NewBudget(1<<20, nil)
	table := NewTable(1000, budget)
	now := time.Unix(0, 0)
	open := func(cost int64) (*Entry, []*Entry, bool) {
		e, _ := table.Open(nil, now)
		replaced, ok := table.Charge(e, cost)
		return e, replaced, ok
	}
	var first []*Entry
	for range 3 {
		e, _, ok := open(large)
		assert.Assert(t, ok)
		first = append(first, e)
	}
	table.Enter(first[2], Serving, now)
	late, replaced, ok := open(large)
	assert.Assert(t, !ok && len(replaced) == 0, "a later header is accepted over the budget")
	table.Close(late)
	_, replaced, ok = open(freeCost)
	assert.Assert(t, ok && len(replaced) == 0, "a small header needs the budget")
	replaced, ok = table.Charge(first[0], 2*large)
	assert.Assert(t, ok && len(replaced) == 1 && replaced[0] == first[1], "the header begun last is not closed")
	assert.Assert(t, !first[2].IsClosed() && budget.Used() <= 1<<20)
	for _, e := range first {
		table.Close(e)
	}
	assert.Equal(t, budget.Used(), int64(0))
}

// TestBurstReplacesIdleConnections guards against ordinary clients that replace each other's new connections while idle ones
// fill the table.
func TestBurstReplacesIdleConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(100, NewBudget(1<<20, nil))
	for range 100 {
		e, _ := table.Open(nil, now)
		table.Enter(e, Idle, now)
	}
	now = now.Add(5 * time.Second)
	var burst []*Entry
	for range 50 {
		now = now.Add(time.Millisecond)
		e, replaced := table.Open(nil, now)
		assert.Assert(t, e != nil && replaced != nil && replaced.Owner == nil)
		burst = append(burst, e)
	}
	for _, e := range burst {
		assert.Assert(t, !e.IsClosed(), "a connection of the burst was replaced")
	}
	now = now.Add(headerGrace)
	_, replaced := table.Open(nil, now)
	assert.Equal(t, replaced, burst[0], "a connection without a header outlives an idle one")
}

// TestPaddedLengthInPiecesIsRefused guards against a body of unknown length that is taken for further headers: its connection
// would count as serving a request for good.
func TestPaddedLengthInPiecesIsRefused(t *testing.T) {
	limits := Limits{HeaderBytes: 16 << 10}
	var s Scanner
	assert.Equal(t, s.Scan([]byte("POST / HTTP/1.1\r\nContent-Le"), limits), None)
	assert.Equal(t, s.Scan([]byte("ngth:"+strings.Repeat(" ", 80)+"27\r\n"), limits), Framing)
	s = Scanner{}
	assert.Equal(t, s.Scan([]byte("POST / HTTP/1.1\r\nContent-La"), limits), None)
	assert.Equal(t, s.Scan([]byte("nguage:"+strings.Repeat(" ", 80)+"27\r\n"), limits), None)
}
