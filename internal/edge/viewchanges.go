package edge

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// maxRemovedServers limits the removed servers that are remembered for exports of changes.
	maxRemovedServers = 256
	// changeHeartbeats is how many heartbeat intervals a change is sent for, so that a lost datagram does not hide it.
	changeHeartbeats = 3
	// maxChangeBytes limits the size of the changes in one heartbeat; peers fetch larger ones.
	maxChangeBytes = 8 << 10
)

// errDigestMismatch means that a peer's changes did not lead to the peer's view; the whole view is needed.
var errDigestMismatch = errors.New("server changes do not lead to the view of the peer")

// removedServer is a server that was removed at a store version, with the start of its process and the sequence number
// of its last known row.
type removedServer struct {
	key      string
	version  uint64
	born     int64
	sequence int64
}

// pendingChanges determines which changes the next heartbeats contain.
type pendingChanges struct {
	// since is the version before the oldest change that is still sent, lastAt the time of the newest one.
	since  uint64
	lastAt time.Time
}

func (p *pendingChanges) add(since uint64, now time.Time) {
	if p.lastAt.IsZero() {
		p.since = since
	}
	p.lastAt = now
}

// drop removes a server and adds it to the removed ones.
func (v *serverView) drop(key string, version uint64) {
	e := v.entries[key]
	delete(v.entries, key)
	v.removed = append(v.removed, removedServer{key, version, e.server.Born, e.server.Sequence})
	if n := len(v.removed) - maxRemovedServers; n > 0 {
		v.removedFloor = max(v.removedFloor, v.removed[n-1].version)
		v.removed = v.removed[n:]
	}
}

// export returns the changes since a version, or the whole view if they are no longer available.
func (v *serverView) export(since uint64, now time.Time) *pb.ServerView {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exportLocked(since, now)
}

func (v *serverView) exportLocked(since uint64, now time.Time) *pb.ServerView {
	if since < v.removedFloor || since > v.version || platform.EraOf(since) != platform.EraOf(v.version) {
		since = 0
	}
	out := &pb.ServerView{Version: v.version, Digest: v.digest, Since: since,
		AgeMs: uint32(min(now.Sub(v.freshAsOf), time.Hour).Milliseconds())}
	for key, e := range v.entries {
		if since > 0 && e.changedVersion <= since {
			continue
		}
		entry := &pb.ServerEntry{Key: key, Value: e.value, Version: e.version}
		if !e.expiresAt.IsZero() {
			entry.GoneInMs = uint32(max(e.expiresAt.Sub(now).Milliseconds(), 1))
		}
		out.Entries = append(out.Entries, entry)
	}
	if since == 0 {
		return out
	}
	for _, r := range v.removed {
		if r.version > since && v.entries[r.key] == nil {
			out.Gone = append(out.Gone, r.key)
		}
	}
	return out
}

// heartbeatChanges returns the changes for the next heartbeat, or nil. Only changes read by this node are sent.
func (v *serverView) heartbeatChanges(interval time.Duration, now time.Time) *pb.ServerView {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pending.lastAt.IsZero() {
		return nil
	}
	if now.Sub(v.pending.lastAt) > changeHeartbeats*interval {
		v.pending = pendingChanges{}
		return nil
	}
	changes := v.exportLocked(v.pending.since, now)
	if changes.Since == 0 || proto.Size(changes) > maxChangeBytes {
		return nil
	}
	return changes
}

// merge applies a peer's newer view, or the changes that lead to it. It returns errDigestMismatch if the changes are
// not enough.
func (v *serverView) merge(view *pb.ServerView, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Version <= v.version || view.Since > v.version || (view.Since > 0 && !v.loaded.Load()) {
		return nil
	}
	before, notTaken := v.version, uint64(0) // notTaken is the digest of entries that this node knows to have vanished
	newEra := platform.EraOf(view.Version) > platform.EraOf(v.version) && v.version != 0
	if newEra {
		v.setVersion(view.Version, now)
	}
	present := make(map[string]bool, len(view.Entries))
	for _, e := range view.Entries {
		present[e.Key] = true
		if v.knowsVanished(e, before) {
			if server, err := v.records.Server(e.Key, e.Value); err == nil {
				notTaken += entryDigest(&server)
			}
			continue
		}
		v.put(e.Key, e.Value, e.Version)
		if known := v.entries[e.Key]; e.GoneInMs > 0 && known != nil {
			known.expiresAt = now.Add(time.Duration(e.GoneInMs) * time.Millisecond)
		}
	}
	if view.Since == 0 {
		for key := range v.entries {
			switch {
			case present[key]:
			case newEra:
				v.remove(key, now, view.Version) // the peer may not have known it
			default:
				v.drop(key, view.Version)
			}
		}
	}
	for _, key := range view.Gone {
		if v.entries[key] != nil {
			v.log.WithField(logline.Server, key).Info(logline.ServerGone)
			v.drop(key, view.Version)
		}
	}
	changed := v.publish()
	if view.Since > 0 && v.digest+notTaken != view.Digest {
		// The changes are right, but this view misses others. Its version is kept, so that the whole view is fetched.
		v.incomplete = true
		return errDigestMismatch
	}
	v.setVersion(view.Version, now)
	v.freshAsOf = now.Add(-time.Duration(view.AgeMs) * time.Millisecond)
	v.incomplete = false
	if changed {
		v.contentVersion = v.version
	}
	v.loaded.Store(true)
	return nil
}

// sinceVersion returns the version since which a peer has to send changes; 0 requests the whole view.
func (v *serverView) sinceVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.incomplete || !v.loaded.Load() {
		return 0
	}
	return v.version
}
