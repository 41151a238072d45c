package edge

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/serving"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// crashTick is how often the guard decides on crashes.
	crashTick = 250 * time.Millisecond
	// crashWindow, crashDelay and crashExpiry are the times of strike.Options for a deployment whose nodes hear of each
	// other within a second and whose servers are back a few seconds after a crash.
	crashWindow = 3 * time.Second
	crashDelay  = 1200 * time.Millisecond
	crashLinger = 1500 * time.Millisecond
	crashExpiry = 2 * time.Minute
	crashMax    = 512
	// crashKept bounds the records that are told to other nodes. New ones are told for crashNew, several beats; the others
	// for crashTurn each in turn, at least a beat, for nodes that have started since.
	crashKept = 16
	crashNew  = 2 * time.Second
	crashTurn = 3 * time.Second
)

// crashGuard finds requests that crash the servers they run on; see package strike.
type crashGuard struct {
	tracker *strike.Tracker
	log     *logrus.Entry

	mu      sync.Mutex
	servers map[string]serving.Server
	// records are those to tell the other nodes, newest last.
	records []toldCrash
	// logged has the last record that was logged of each digest; a record is told again without a change while peers lack
	// a part of it.
	logged map[string]strike.Record
}

// toldCrash is a record and when it last changed or a peer lacked a part of it.
type toldCrash struct {
	strike.Change
	at time.Time
}

func newCrashGuard(log *logrus.Entry) *crashGuard {
	return &crashGuard{log: log, servers: map[string]serving.Server{}, logged: map[string]strike.Record{}, tracker: strike.New(strike.Options{Window: crashWindow,
		Delay: crashDelay, Linger: crashLinger, Expiry: crashExpiry, MaxRecords: crashMax})}
}

func (g *crashGuard) run(ctx context.Context) {
	for clock.Sleep(ctx, crashTick) {
		g.tracker.Tick(time.Now())
		g.collect(time.Now())
	}
}

// collect remembers new records for the beats.
func (g *crashGuard) collect(now time.Time) {
	changes := g.tracker.Changes()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range changes {
		g.logChange(c)
		for i, old := range g.records {
			if old.Digest == c.Digest {
				g.records = append(g.records[:i], g.records[i+1:]...)
				break
			}
		}
		g.records = append(g.records, toldCrash{c, now})
	}
	if over := len(g.records) - crashKept; over > 0 {
		g.records = append([]toldCrash(nil), g.records[over:]...)
	}
}

func (g *crashGuard) logChange(c strike.Change) {
	before, ok := g.logged[c.Digest]
	if ok && before.Quarantined == c.Record.Quarantined && slices.Equal(before.Servers, c.Record.Servers) {
		return
	}
	if len(g.logged) >= crashMax {
		clear(g.logged)
	}
	g.logged[c.Digest] = c.Record
	g.log.WithFields(logrus.Fields{"digest": c.Digest, logline.Servers: c.Record.Servers, "quarantined": c.Record.Quarantined}).
		Info(logline.CrashRecord)
}

// export returns the records for one beat.
func (g *crashGuard) export(now time.Time) []*pb.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*pb.CrashRecord
	for i, c := range g.records {
		if now.Sub(c.at) < crashNew || int(now.UnixNano()/int64(crashTurn))%len(g.records) == i {
			out = append(out, &pb.CrashRecord{Digest: c.Digest, Servers: c.Record.Servers, Quarantined: c.Record.Quarantined})
		}
	}
	return out
}

func (g *crashGuard) heard(records []*pb.CrashRecord, now time.Time) {
	for _, r := range records {
		g.tracker.Merge(r.Digest, strike.Record{Servers: r.Servers, Quarantined: r.Quarantined}, now)
	}
}

// serversChanged takes a server that has started anew under its id for crashed. A row that vanishes is no sign of a crash:
// some servers leave without a word and go on serving for a while.
func (g *crashGuard) serversChanged(servers []serving.Server, now time.Time) {
	g.mu.Lock()
	next := make(map[string]serving.Server, len(servers))
	for _, s := range servers {
		next[s.ID] = s
	}
	var crashed []serving.Server
	for id, before := range g.servers {
		after, ok := next[id]
		if ok && after.Born != before.Born {
			crashed = append(crashed, before)
		}
	}
	g.servers = next
	g.mu.Unlock()
	for _, s := range crashed {
		g.crashed(s, now)
	}
}

// refused takes a server that refuses connections for crashed.
func (g *crashGuard) refused(server serving.Server, now time.Time) { g.crashed(server, now) }

func (g *crashGuard) crashed(s serving.Server, now time.Time) {
	g.tracker.RecordCrash(strike.Crash{Server: s.ID, Domain: s.Domain, Started: s.Born, HadNotice: s.State != serving.Ready}, now)
}

// memoryBound limits the bytes of request bodies in memory.
type memoryBound struct {
	mu   sync.Mutex
	left int64
}

// bodyShare is the part of the memory that bodies may take.
const bodyShare = 0.25

func newMemoryBound(memory int64) *memoryBound {
	return &memoryBound{left: int64(bodyShare * float64(memory))}
}

func (m *memoryBound) take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

func (m *memoryBound) give(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left += n
}

// discardLog drops what net/http says about connections of callers that break; each request has a line of its own.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// withPort replaces the port of an address.
func withPort(addr string, port int) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
