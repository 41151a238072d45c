// Package callerguard keeps the connections of a listener within limits before net/http parses what arrives on them.
//
// It wraps the connections that an http.Server accepts. Package headerlimit decides; this package counts what is read,
// answers or closes refused connections, and reports them.
package callerguard

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/headerlimit"
)

const (
	// sweepInterval is how often connections are checked for timeouts.
	sweepInterval = 250 * time.Millisecond
	// logInterval is how often refused connections are logged at most.
	logInterval = time.Second
	// refusalWriteTimeout limits the time to write a refusal; it fits into the socket's buffer.
	refusalWriteTimeout = 200 * time.Millisecond
	// lingerTime and lingerBytes limit what is read and dropped after a refusal: closing a connection with unread data
	// resets it, and the client would not receive the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// memoryRetryAfter is the Retry-After time when headers use up their memory.
	memoryRetryAfter = 500 * time.Millisecond
)

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

// errRefused is the error of reads from a connection that was closed because of a request behind the one in progress.
var errRefused = errors.New("the client exceeds a limit")

// Options are the limits of a Guard and where it reports to.
type Options struct {
	// Limits returns the limits in force.
	Limits func() headerlimit.Limits
	// Budget limits the memory of headers. Guards may share it.
	Budget *headerlimit.Budget
	// Connections is the largest number of open connections.
	Connections int
	Metrics     *metrics.Set
	Log         *logrus.Entry
}

// Guard limits the connections of one listener.
type Guard struct {
	Options

	mu      sync.Mutex
	table   *headerlimit.Table
	refused map[headerlimit.Reason]int // since the last log line
}

// New returns a guard.
func New(o Options) *Guard {
	return &Guard{Options: o, table: headerlimit.NewTable(o.Connections, o.Budget), refused: map[headerlimit.Reason]int{}}
}

// Attach makes server report the ends of requests. It must serve a listener that Listener has returned.
func (g *Guard) Attach(server *http.Server) {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.requestEnded(time.Now())
		}
	}
}

// Listener returns a listener whose connections are limited. TLS must be below it.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(accepted, time.Now()); c != nil {
			return c, nil
		}
	}
}

// open wraps an accepted connection. It returns nil if the connection was refused.
func (g *Guard) open(accepted net.Conn, now time.Time) *conn {
	c := &conn{Conn: accepted, guard: g}
	g.mu.Lock()
	entry, replaced := g.table.Open(c, now)
	c.entry = entry
	g.mu.Unlock()
	if entry == nil {
		g.report(headerlimit.Connections, 1)
		g.closeConn(accepted)
		return nil
	}
	if replaced != nil {
		g.closeEntries(headerlimit.Connections, replaced)
	}
	return c
}

// closeEntries closes the connections of entries that the table has closed.
func (g *Guard) closeEntries(reason headerlimit.Reason, entries ...*headerlimit.Entry) {
	if len(entries) == 0 {
		return
	}
	if reason != headerlimit.None {
		g.report(reason, len(entries))
	}
	for _, e := range entries {
		g.closeConn(e.Owner.(*conn).Conn)
	}
}

// closeConn closes a connection without waiting for its client. A TLS connection would send a last message first.
func (g *Guard) closeConn(c net.Conn) {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	if err := c.Close(); err != nil {
		g.Log.WithError(err).Debug("closing connection failed")
	}
}

// report counts refused connections.
func (g *Guard) report(reason headerlimit.Reason, n int) {
	g.Metrics.Count("connections_refused", "reason", reason.String(), int64(n))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[reason] += n
}

// Run closes connections that exceed their timeouts, and logs refused ones, until ctx ends.
func Run(ctx context.Context, log *logrus.Entry, guards ...*Guard) {
	var logged time.Time
	for clock.Sleep(ctx, sweepInterval) {
		now := time.Now()
		for _, g := range guards {
			g.closeExpired(now)
		}
		if now.Sub(logged) < logInterval {
			continue
		}
		if fields := takeRefused(guards); len(fields) > 0 {
			logged = now
			log.WithFields(fields).Warning(logline.ConnectionsRefused)
		}
	}
}

func (g *Guard) closeExpired(now time.Time) {
	limits := g.Limits()
	g.mu.Lock()
	late := g.table.Expired(headerlimit.Reading, limits.HeaderTimeout, now)
	held := g.table.Expired(headerlimit.Receiving, limits.BodyTimeout, now)
	for _, e := range g.table.Overdue(headerlimit.Idle, limits.IdleTimeout, now) {
		// net/http closes an idle connection when its read fails. A read that has already returned waits in update for mu;
		// its request is served, as net/http resets the deadline before it reads on.
		if err := e.Owner.(*conn).SetReadDeadline(longAgo); err != nil {
			g.Log.WithError(err).Debug("setting read deadline of idle connection failed")
		}
	}
	g.mu.Unlock()
	g.closeEntries(headerlimit.HeaderTime, late...)
	g.closeEntries(headerlimit.BodyTime, held...)
}

// takeRefused returns and clears the counts of refused connections by reason.
func takeRefused(guards []*Guard) logrus.Fields {
	fields := logrus.Fields{}
	for _, g := range guards {
		g.mu.Lock()
		for reason, n := range g.refused {
			sum, _ := fields[reason.String()].(int)
			fields[reason.String()] = sum + n
		}
		clear(g.refused)
		g.mu.Unlock()
	}
	return fields
}

// conn is a limited connection. net/http uses it from one goroutine at a time, except for Close.
type conn struct {
	net.Conn
	guard   *Guard
	entry   *headerlimit.Entry
	scanner headerlimit.Scanner
	// ended is the number of requests that have ended.
	ended uint64
}

// Read implements net.Conn. Bytes that exceed a limit are not passed on.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	before := c.scanner.Headers
	reason := c.scanner.Scan(p[:n], c.guard.Limits())
	if reason == headerlimit.None {
		var closed bool
		if reason, closed = c.update(time.Now); closed {
			return 0, net.ErrClosed // a request must not run if its caller cannot be answered
		}
	}
	if reason != headerlimit.None {
		serving := c.isServing()
		if reason == headerlimit.Memory && before == c.ended && c.scanner.Headers == before+1 {
			serving = false // the only complete header is the one that is refused
		}
		return 0, c.refuse(reason, serving, p)
	}
	return n, err
}

// isServing reports whether a complete header has arrived whose request has not ended.
func (c *conn) isServing() bool { return c.scanner.Headers > c.ended }

// update reports the state after a read to the table, if it has changed there. closed means that the table has closed the
// connection, of which only the socket may still be open.
func (c *conn) update(now func() time.Time) (reason headerlimit.Reason, closed bool) {
	phase, cost := headerlimit.Reading, c.scanner.Cost()
	switch {
	case c.scanner.Headers == c.ended+1 && c.scanner.MidBody():
		phase = headerlimit.Receiving
	case c.isServing():
		phase = headerlimit.Serving
	case !c.scanner.MidHeader():
		phase = headerlimit.Idle // empty lines only
	}
	g := c.guard
	g.mu.Lock()
	if c.entry.IsClosed() {
		g.mu.Unlock()
		return headerlimit.None, true
	}
	var replaced []*headerlimit.Entry
	ok := true
	if cost > c.entry.Charged() {
		if c.entry.Phase() == headerlimit.Idle {
			g.table.Enter(c.entry, headerlimit.Reading, now()) // the header that has just begun is the newest one
		}
		replaced, ok = g.table.Charge(c.entry, cost)
	}
	// A new connection stays in the phase Reading from the time it was accepted.
	if c.entry.Phase() != phase && !c.entry.IsClosed() && (phase != headerlimit.Idle || c.ended > 0) {
		g.table.Enter(c.entry, phase, now())
	}
	g.mu.Unlock()
	g.closeEntries(headerlimit.Memory, replaced...)
	if !ok {
		return headerlimit.Memory, false
	}
	return headerlimit.None, false
}

// requestEnded is called after a response, if the connection stays open.
func (c *conn) requestEnded(now time.Time) {
	c.ended++
	if c.ended > c.scanner.Headers || c.ended == c.scanner.Headers && c.scanner.MidBody() {
		// net/http delimits this client's messages in another way. The next header would not be counted.
		c.guard.report(headerlimit.Framing, 1)
		c.guard.closeConn(c)
		return
	}
	if c.isServing() {
		return
	}
	c.scanner.Release()
	phase := headerlimit.Idle
	if c.scanner.MidHeader() {
		phase = headerlimit.Reading
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if !c.entry.IsClosed() {
		c.guard.table.Enter(c.entry, phase, now)
		// What is left of the cost is less than what was charged.
		_, _ = c.guard.table.Charge(c.entry, c.scanner.Cost())
	}
}

// refuse ends the connection and returns the error for net/http, which sends nothing after io.EOF. The client gets an
// answer unless it could be taken for that of another request: serving says whether there is one before what is refused.
// buffer is overwritten.
func (c *conn) refuse(reason headerlimit.Reason, serving bool, buffer []byte) error {
	c.guard.report(reason, 1)
	if serving {
		c.guard.closeConn(c)
		return errRefused
	}
	// net/http keeps what it has parsed until this returns, so the memory is still taken.
	c.sendRefusal(refusals[reason])
	c.linger(buffer)
	return io.EOF
}

// sendRefusal writes a response; the client may have disconnected.
func (c *conn) sendRefusal(response []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Conn.Write(response)
	_ = c.CloseWrite()
}

// linger reads and drops what the client still sends, for a short time.
func (c *conn) linger(buffer []byte) {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// SetLinger says how long Close sends what is left, in seconds; 0 resets the connection. It does nothing on connections
// without this option.
func (c *conn) SetLinger(seconds int) error {
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingerer.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the writing side, which net/http does after an error response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.table.Close(c.entry)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// refusals are the responses to refused headers.
var refusals = map[headerlimit.Reason][]byte{
	headerlimit.HeaderBytes: refusal(code.New(code.HeaderTooLarge, "the header is larger than the configuration allows")),
	headerlimit.HeaderLines: refusal(code.New(code.HeaderTooLarge, "the header has more lines than the configuration allows")),
	headerlimit.EmptyLines:  refusal(code.New(code.MalformedRequest, "empty lines instead of a request")),
	headerlimit.Memory:      refusal(code.New(code.QueueFull, "too much is kept in memory").WithRetryAfter(memoryRetryAfter)),
}

func refusal(e *code.Error) []byte {
	body, status := e.Body(), e.Code.Info().Status
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: application/json\r\nConnection: close\r\n" +
		"X-Pollenlug-Code: " + strconv.Itoa(int(e.Code)) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if e.RetryAfter > 0 {
		text += "Retry-After: " + strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	return append([]byte(text+"\r\n"), body...)
}
