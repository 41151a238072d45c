package edge

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// readInterval is how often the first node in the order reads the servers' rows; each other node waits readStep
	// longer for its turn, up to readLatest, so that usually one node reads for all.
	readInterval = 350 * time.Millisecond
	readStep     = 100 * time.Millisecond
	readGap      = 350 * time.Millisecond
	readLatest   = 1100 * time.Millisecond
	// beatsMissed is how many beats a reader's news may take before the next node reads by itself.
	beatsMissed = 2
	// readTick is how often a node asks whether it is its turn.
	readTick = 50 * time.Millisecond
	// lapseGrace is how long rows that vanished around an outage of the store are kept: servers that live write them
	// again within two seconds of its return.
	lapseGrace = 2200 * time.Millisecond
	// outageAfter is the time without a successful read of any node after which the store counts as having been away.
	outageAfter = 1800 * time.Millisecond
)

// serverEntry is one row of the table of servers.
type serverEntry struct {
	value   []byte
	version uint64
	server  serving.Server
	bad     bool // the row names no server
	// changedIn is the version of the store that brought the last change which decisions depend on, or a later one.
	changedIn uint64
	// goneAt is when the server counts as gone after its row vanished; zero while the row exists.
	goneAt time.Time
}

// serverView is this node's view of the backend servers.
//
// It can be read from the store or taken over from a peer, both by version: what was read at a newer version of the
// store replaces what was read at an older one, never the reverse.
type serverView struct {
	store   Store
	records Records
	table   string
	log     *logrus.Entry
	// changed is called with all servers after each change.
	changed func([]serving.Server)
	// turn has the position of this node among those that read, beat is the interval at which it hears of their reads.
	turn *storeTurn
	beat func() time.Duration

	// known is set when the view was read or taken over once.
	known   atomic.Bool
	mu      sync.Mutex
	entries map[string]*serverEntry
	version uint64
	digest  uint64
	// changedAt is when the digest last changed.
	changedAt time.Time
	// freshAt is when the read was sent that the view is as new as.
	freshAt time.Time
	// returnedAt is when the store answered again after an outage.
	returnedAt time.Time
	// removed are the servers that have gone, the oldest first; removedFloor is the version of the newest one that was
	// forgotten, up to which the view cannot tell changes.
	removed      []removedServer
	removedFloor uint64
	// contentVersion is the version that brought the last change: views between it and version have the same content.
	contentVersion uint64
	// incomplete is set when changes that a peer told did not lead to the peer's view.
	incomplete bool
	// told are changes that this node has read itself and that its next beats tell.
	told toldChanges
	// news is called after this node has read a change, with the lock held.
	news func()
}

// quietFor returns how long the view has not changed.
func (v *serverView) quietFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.changedAt)
}

// state returns the version, digest and age of the view.
func (v *serverView) state(now time.Time) *pb.ServerViewState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return &pb.ServerViewState{Version: v.version, Digest: v.digest, AgeMs: uint32(min(now.Sub(v.freshAt), time.Hour).Milliseconds())}
}

// follow reads the rows when it is this node's turn, until ctx ends.
func (v *serverView) follow(ctx context.Context) {
	link := dependency{log: v.log, name: "store servers", lost: v.turn.lost}
	for clock.Sleep(ctx, readTick) {
		now := time.Now()
		v.expire(now)
		if !v.due(now) && !link.isLost() {
			continue // a lost store is tried again out of turn: others hold the node for cut off until it answers
		}
		if err := v.read(ctx); err != nil && ctx.Err() == nil {
			link.fail(err)
			clock.Sleep(ctx, v.turn.pause())
			continue
		}
		link.regained()
	}
}

func (v *serverView) due(now time.Time) bool {
	wait := readInterval
	if rank := v.turn.position(); rank > 0 {
		gap := max(readGap, beatsMissed*v.beat())
		wait = min(readInterval+gap+time.Duration(rank-1)*readStep, readLatest-readGap+gap)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.freshAt) >= wait
}

func (v *serverView) read(ctx context.Context) error {
	v.mu.Lock()
	since := v.version
	v.mu.Unlock()
	sent := time.Now()
	if since == 0 {
		return v.readAll(ctx, sent)
	}
	changes, version, err := v.store.Changes(ctx, v.table, since, 0)
	if errors.Is(err, platform.ErrHistoryGone) {
		return v.readAll(ctx, sent)
	}
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if since != v.version {
		return nil // a peer's newer view came meanwhile
	}
	v.noteReturn(sent)
	for _, c := range changes {
		if c.Deleted {
			v.remove(c.Key, sent, max(version, since))
		} else {
			v.put(c.Key, c.Value, c.Version)
		}
	}
	v.version = max(version, since)
	v.freshAt = sent
	if v.publish() {
		v.told.add(v.contentVersion, sent)
		v.contentVersion = v.version
		v.news()
	}
	return nil
}

func (v *serverView) readAll(ctx context.Context, sent time.Time) error {
	rows, version, err := v.store.Snapshot(ctx, v.table)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if version < v.version {
		return nil // older than what a peer has passed on
	}
	v.noteReturn(sent)
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		v.put(row.Key, row.Value, row.Version)
	}
	for key := range v.entries {
		if !present[key] {
			v.remove(key, sent, version)
		}
	}
	v.version = version
	v.freshAt = sent
	v.incomplete = false
	if v.publish() {
		v.contentVersion = version
		v.news()
	}
	v.known.Store(true)
	return nil
}

// noteReturn notes the first read after an outage of the store.
func (v *serverView) noteReturn(now time.Time) {
	if !v.freshAt.IsZero() && now.Sub(v.freshAt) > outageAfter {
		v.returnedAt = now
	}
}

func (v *serverView) put(key string, value []byte, version uint64) {
	e := v.entries[key]
	if e != nil && e.version >= version && e.goneAt.IsZero() {
		return
	}
	server, err := v.records.Server(key, value)
	if err != nil && (e == nil || !e.bad) {
		v.log.WithError(err).WithField("key", key).Warning("row of a server cannot be read; it is not used")
	}
	if err == nil && e != nil && !e.bad && isOlder(server, e.server) {
		// A write of the server that was delayed in the network must not undo a newer one.
		v.log.WithFields(logrus.Fields{logline.Server: key, "sequence": server.Sequence, "known": e.server.Sequence}).
			Info("older row of a server ignored")
		e.version, e.goneAt = version, time.Time{}
		return
	}
	next := &serverEntry{value: value, version: version, server: server, bad: err != nil, changedIn: version}
	if e != nil && e.bad == next.bad && e.goneAt.IsZero() && entryDigest(&e.server) == entryDigest(&server) {
		next.changedIn = e.changedIn
	} else {
		v.log.WithFields(logrus.Fields{logline.Server: key, "service": server.Service, "addr": server.Address,
			"draining": server.State == serving.Draining, "born": server.Born, "row_version": version}).Info(logline.ServerChanged)
	}
	v.entries[key] = next
}

// isOlder reports whether what a server says now was written before what is known of the same lifetime or a later one.
func isOlder(now, known serving.Server) bool {
	if now.Born != known.Born {
		return now.Born < known.Born
	}
	return now.Sequence < known.Sequence
}

// remove takes a server out at once, or after a while when its row may have lapsed because of an outage. version is the
// one of the store without the row.
func (v *serverView) remove(key string, now time.Time, version uint64) {
	e := v.entries[key]
	if e == nil || !e.goneAt.IsZero() {
		return
	}
	if until := v.returnedAt.Add(lapseGrace); e.server.State == serving.Ready && now.Before(until) {
		e.goneAt, e.changedIn = until, version
		v.log.WithField(logline.Server, key).Info(logline.ServerRowVanished)
		return
	}
	v.log.WithField(logline.Server, key).Info(logline.ServerGone)
	v.drop(key, version)
}

// expire takes out the servers whose rows did not come back.
func (v *serverView) expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key, e := range v.entries {
		if !e.goneAt.IsZero() && now.After(e.goneAt) {
			v.drop(key, v.version+1) // peers at this version drop it by themselves
		}
	}
	v.publish()
}

// publish passes the servers on when something has changed that decisions depend on, and reports whether it has.
func (v *serverView) publish() bool {
	digest := uint64(0)
	servers := make([]serving.Server, 0, len(v.entries))
	for _, e := range v.entries {
		if e.bad {
			continue
		}
		digest += entryDigest(&e.server) // the sum does not depend on the order
		servers = append(servers, e.server)
	}
	if digest == v.digest {
		return false
	}
	v.digest, v.changedAt = digest, time.Now()
	v.changed(servers)
	return true
}

// entryDigest is a hash whose bits all depend on each field: digests of entries are added up, and with a weaker hash the
// changes of two servers can cancel each other out.
func entryDigest(s *serving.Server) uint64 {
	var text []byte
	for _, field := range []string{s.ID, s.Address, s.Service, s.Domain} {
		text = append(append(text, field...), 0)
	}
	text = binary.BigEndian.AppendUint64(text, uint64(s.Born))
	return xxhash.Sum64(append(text, byte(s.State), byte(s.Slots)))
}

// heard takes the state of a peer's view and reports whether the view itself should be fetched.
func (v *serverView) heard(peer *pb.ServerViewState, now time.Time) bool {
	if peer == nil || peer.Version == 0 {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if peer.Version < v.version {
		return false
	}
	if peer.Digest != v.digest {
		return peer.Version > v.version
	}
	// The same content at a newer version: this view is as fresh as the peer's.
	if at := now.Add(-time.Duration(peer.AgeMs) * time.Millisecond); at.After(v.freshAt) && v.version != 0 {
		v.noteReturn(at)
		v.freshAt, v.version = at, peer.Version
	}
	return false
}
