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
	// The first node by readerRank polls the servers' rows every readInterval. The second waits at least
	// minFailoverDelay longer and each further one another readStagger, so that usually one node reads for all.
	// maxReadDelay limits the total; both limits grow with missedHeartbeats in a large deployment.
	readInterval     = 350 * time.Millisecond
	readStagger      = 100 * time.Millisecond
	minFailoverDelay = 350 * time.Millisecond
	maxReadDelay     = 1100 * time.Millisecond
	// missedHeartbeats is how many heartbeat intervals pass without a report of a read before the next node reads by
	// itself.
	missedHeartbeats = 2
	// readCheckInterval is how often a node checks whether it should read.
	readCheckInterval = 50 * time.Millisecond
	// vanishedRowGrace is how long rows that vanished around a store outage are kept: live servers write them again
	// within two seconds of the store's recovery.
	vanishedRowGrace = 2200 * time.Millisecond
	// outageThreshold is the time without a successful read by any node after which a store outage is assumed.
	outageThreshold = 1800 * time.Millisecond
)

// serverEntry is one row of the server table.
type serverEntry struct {
	value   []byte
	version uint64
	server  serving.Server
	invalid bool // the row could not be decoded
	// changedVersion is the store version of the last change that affects decisions, or a later one.
	changedVersion uint64
	// expiresAt is when the server is removed after its row vanished; zero while the row exists.
	expiresAt time.Time
}

// serverView is this node's view of the backend servers.
//
// It is read from the store or received from a peer. In both cases content of a newer store version replaces that of an
// older one, never the reverse.
type serverView struct {
	store   Store
	records Records
	table   string
	log     *logrus.Entry
	// onChange is called with all servers after each change.
	onChange func([]serving.Server)
	// readers determines this node's rank among the store readers; heartbeatInterval is the interval at which it learns
	// of their reads.
	readers           *readerSelection
	heartbeatInterval func() time.Duration
	// awaitSettled delays the first read from the store shortly after its return from a copy.
	awaitSettled func(ctx context.Context) (held bool, err error)

	// loaded is set once the view has been read or received.
	loaded  atomic.Bool
	mu      sync.Mutex
	entries map[string]*serverEntry
	version uint64
	digest  uint64
	// changedAt is when the digest last changed.
	changedAt time.Time
	// freshAsOf is the start time of the read that this view is as fresh as.
	freshAsOf time.Time
	isolation isolation
	// storeRecoveredAt is when the store was first read after an outage or a return from a copy.
	storeRecoveredAt time.Time
	// copyVersion is the first version at which this view was read in the store's current era, if it was also read in an
	// earlier one. Rows up to this version may come from the copy and be older than what this node knows.
	copyVersion uint64
	// unconfirmed holds the versions of rows that did not change while a node that started shortly after a return of the
	// store waited: without any node that remembers the time before, a server counts only once it has written its row.
	unconfirmed map[string]uint64
	// removed lists removed servers, oldest first. removedFloor is the version of the newest one that was dropped from
	// the list; changes since versions before it cannot be exported.
	removed      []removedServer
	removedFloor uint64
	// contentVersion is the version of the last change: from there up to version the content is the same.
	contentVersion uint64
	// incomplete is set when a peer's changes did not lead to the peer's view.
	incomplete bool
	// pending are the changes read by this node that its next heartbeats contain.
	pending pendingChanges
	// onStoreChange is called after this node has read a change from the store, with mu held.
	onStoreChange func()
}

// unchangedFor returns how long the view has not changed.
func (v *serverView) unchangedFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.changedAt)
}

// state returns the version, digest and age of the view.
func (v *serverView) state(now time.Time) *pb.ServerViewState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return &pb.ServerViewState{Version: v.version, Digest: v.digest, AgeMs: uint32(min(now.Sub(v.freshAsOf), time.Hour).Milliseconds())}
}

// watch reads the rows whenever a read by this node is due, until ctx ends.
func (v *serverView) watch(ctx context.Context) {
	dep := dependency{log: v.log, name: "store servers", lost: v.readers.lost}
	for clock.Sleep(ctx, readCheckInterval) {
		now := time.Now()
		v.expire(now)
		if !v.readDue(now) && !dep.isLost() {
			continue // retry a failed store even if no read is due: peers consider this node cut off until a read succeeds
		}
		if err := v.read(ctx); err != nil && ctx.Err() == nil {
			dep.markLost(err)
			clock.Sleep(ctx, v.readers.retryDelay())
			continue
		}
		if dep.isLost() {
			v.readers.storeRecovered()
		}
		dep.markAvailable()
	}
}

func (v *serverView) readDue(now time.Time) bool {
	wait := readInterval
	if rank := v.readers.readerRank(); rank > 0 {
		gap := max(minFailoverDelay, missedHeartbeats*v.heartbeatInterval())
		wait = min(readInterval+gap+time.Duration(rank-1)*readStagger, maxReadDelay-minFailoverDelay+gap)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.freshAsOf) >= wait
}

func (v *serverView) read(ctx context.Context) error {
	v.mu.Lock()
	since := v.version
	v.mu.Unlock()
	sent := time.Now()
	if since == 0 {
		return v.readAll(ctx)
	}
	changes, version, err := v.store.Changes(ctx, v.table, since, 0)
	if errors.Is(err, platform.ErrHistoryGone) {
		return v.readAll(ctx)
	}
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if since != v.version {
		return nil // a newer view has been received from a peer
	}
	v.recordStoreRecovery(sent)
	for _, c := range changes {
		if c.Deleted {
			v.remove(c.Key, sent, max(version, since))
		} else {
			v.put(c.Key, c.Value, c.Version)
		}
	}
	v.setVersion(max(version, since), sent)
	v.freshAsOf = sent
	if v.publish() {
		v.pending.add(v.contentVersion, sent)
		v.contentVersion = v.version
		v.onStoreChange()
	}
	return nil
}

func (v *serverView) readAll(ctx context.Context) error {
	snapshot, err := readSettled(ctx, v.store, v.table, v.awaitSettled)
	if err != nil {
		return err
	}
	rows, version, sent := snapshot.rows, snapshot.version, snapshot.sentAt
	v.mu.Lock()
	defer v.mu.Unlock()
	if version < v.version {
		return nil // older than a view received from a peer
	}
	v.unconfirmed = make(map[string]uint64, len(snapshot.before))
	for _, row := range snapshot.before {
		v.unconfirmed[row.Key] = row.Version
	}
	v.recordStoreRecovery(sent)
	newEra := v.setVersion(version, sent)
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
	v.freshAsOf = sent
	v.incomplete = false
	changed := v.publish()
	if changed {
		v.contentVersion = version
	}
	if changed || newEra {
		v.onStoreChange() // peers adopt the version of the new era
	}
	v.loaded.Store(true)
	return nil
}

// setVersion sets the store version of the view, and reports whether it belongs to a later era than the one before.
func (v *serverView) setVersion(version uint64, now time.Time) (newEra bool) {
	newEra = v.version != 0 && platform.EraOf(version) > platform.EraOf(v.version)
	if newEra {
		v.storeRecoveredAt, v.copyVersion, v.contentVersion = now, version, version
		v.pending = pendingChanges{}
		v.log.WithFields(logrus.Fields{"version": platform.FormatVersion(version), "before": platform.FormatVersion(v.version)}).
			Info("view of backend servers continues in a new era of the store")
	}
	v.version = version
	return newEra
}

// recordStoreRecovery records the first read after a store outage, or after this node was cut off from store and peers.
func (v *serverView) recordStoreRecovery(now time.Time) {
	if v.freshAsOf.IsZero() || now.Sub(v.freshAsOf) <= outageThreshold {
		return
	}
	if v.isolation.isOutage(v.freshAsOf, now) {
		v.storeRecoveredAt = now
	}
	v.readers.storeRecovered()
}

func (v *serverView) put(key string, value []byte, version uint64) {
	e := v.entries[key]
	if e != nil && e.version >= version && e.expiresAt.IsZero() {
		return
	}
	if v.unconfirmed[key] == version && version != 0 {
		return
	}
	server, err := v.records.Server(key, value)
	if err == nil && e == nil && v.isRemoved(key, server, version) {
		return
	}
	if err != nil && (e == nil || !e.invalid) {
		v.log.WithError(err).WithField("key", key).Warning("decoding row of a server failed; ignoring it")
	}
	if err == nil && e != nil && !e.invalid && isOlder(server, e.server) {
		// A server's write that was delayed in the network must not undo a newer one.
		v.log.WithFields(logrus.Fields{logline.Server: key, "sequence": server.Sequence, "known": e.server.Sequence}).
			Info("ignoring older row of a server")
		e.version, e.expiresAt = version, time.Time{}
		return
	}
	next := &serverEntry{value: value, version: version, server: server, invalid: err != nil, changedVersion: version}
	if e != nil && e.invalid == next.invalid && e.expiresAt.IsZero() && entryDigest(&e.server) == entryDigest(&server) {
		next.changedVersion = e.changedVersion
	} else {
		v.log.WithFields(logrus.Fields{logline.Server: key, "service": server.Service, "addr": server.Address,
			"draining": server.State == serving.Draining, "born": server.Born, "row_version": platform.FormatVersion(version)}).Info(logline.ServerChanged)
	}
	v.entries[key] = next
}

// isRemoved reports whether a row describes a server as it was before this node removed it. In a row from a copy it
// always does; a later one may have been under way for long.
func (v *serverView) isRemoved(key string, server serving.Server, version uint64) bool {
	if v.copyVersion == 0 {
		return false
	}
	for i := len(v.removed) - 1; i >= 0; i-- {
		r := &v.removed[i]
		if r.key == key {
			return server.Born <= r.born && (version <= v.copyVersion || server.Sequence < r.sequence)
		}
	}
	return false
}

// isOlder reports whether row now was written before row known, by the same process of the server or an earlier one.
func isOlder(now, known serving.Server) bool {
	if now.Born != known.Born {
		return now.Born < known.Born
	}
	return now.Sequence < known.Sequence
}

// remove removes a server at once, or after vanishedRowGrace if its row may have expired because of a store outage.
// version is the store version without the row.
func (v *serverView) remove(key string, now time.Time, version uint64) {
	e := v.entries[key]
	if e == nil || !e.expiresAt.IsZero() {
		return
	}
	if until := v.storeRecoveredAt.Add(vanishedRowGrace); e.server.State == serving.Ready && now.Before(until) {
		e.expiresAt, e.changedVersion = until, version
		v.log.WithField(logline.Server, key).Info(logline.ServerRowVanished)
		return
	}
	v.log.WithField(logline.Server, key).Info(logline.ServerGone)
	v.drop(key, version)
}

// expire removes the servers whose rows did not come back.
func (v *serverView) expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key, e := range v.entries {
		if !e.expiresAt.IsZero() && now.After(e.expiresAt) {
			v.drop(key, v.version+1) // peers at this version remove it by themselves
		}
	}
	v.publish()
}

// publish calls onChange if anything that affects decisions has changed, and reports whether it has.
func (v *serverView) publish() bool {
	digest := uint64(0)
	servers := make([]serving.Server, 0, len(v.entries))
	for _, e := range v.entries {
		if e.invalid {
			continue
		}
		digest += entryDigest(&e.server) // independent of the iteration order
		servers = append(servers, e.server)
	}
	if digest == v.digest {
		return false
	}
	v.digest, v.changedAt = digest, time.Now()
	v.onChange(servers)
	return true
}

// entryDigest hashes a server. Each bit of the hash depends on every field: digests of entries are summed, and with a
// weaker hash the changes of two servers could cancel each other out.
func entryDigest(s *serving.Server) uint64 {
	var text []byte
	for _, field := range []string{s.ID, s.Address, s.Service, s.Domain, s.Version} {
		text = append(append(text, field...), 0)
	}
	text = binary.BigEndian.AppendUint64(text, uint64(s.Born))
	return xxhash.Sum64(append(text, byte(s.State), byte(s.Slots)))
}

// observePeer compares a peer's view with this one and reports whether the peer's should be fetched.
func (v *serverView) observePeer(peer *pb.ServerViewState, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isolation.heard(now)
	if peer == nil || peer.Version == 0 {
		return false
	}
	if peer.Version < v.version {
		return false
	}
	if peer.Digest != v.digest {
		return peer.Version > v.version
	}
	// The same content at a newer version: this view is as fresh as the peer's.
	if at := now.Add(-time.Duration(peer.AgeMs) * time.Millisecond); at.After(v.freshAsOf) && v.version != 0 {
		v.recordStoreRecovery(at)
		v.setVersion(peer.Version, now)
		v.freshAsOf = at
	}
	return false
}
