package edge

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// mostRemoved bounds the servers that have gone and that peers can still be told of one by one.
	mostRemoved = 256
	// tellFor is how many beats tell a change, so that a lost datagram does not hide it.
	tellFor = 3
	// mostTold bounds the changes in one beat, in bytes; a peer fetches what does not fit.
	mostTold = 8 << 10
)

// errOtherDigest means that changes do not lead to the view of the peer that told them; the whole view is needed.
var errOtherDigest = errors.New("changes lead to another view than the peer's")

// removedServer is a server that is not in the store any more since a version.
type removedServer struct {
	key     string
	version uint64
}

// toldChanges remembers from which version on the next beats tell changes.
type toldChanges struct {
	// since is the version before the oldest change that is still told, lastAt the time of the newest one.
	since  uint64
	lastAt time.Time
}

func (t *toldChanges) add(since uint64, now time.Time) {
	if t.lastAt.IsZero() {
		t.since = since
	}
	t.lastAt = now
}

// drop takes a server out and remembers that it has gone.
func (v *serverView) drop(key string, version uint64) {
	delete(v.entries, key)
	v.removed = append(v.removed, removedServer{key, version})
	if n := len(v.removed) - mostRemoved; n > 0 {
		v.removedFloor = max(v.removedFloor, v.removed[n-1].version)
		v.removed = v.removed[n:]
	}
}

// export returns the changes after a version for a peer, or the whole view when they are not known.
func (v *serverView) export(since uint64, now time.Time) *pb.ServerView {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exportLocked(since, now)
}

func (v *serverView) exportLocked(since uint64, now time.Time) *pb.ServerView {
	if since < v.removedFloor || since > v.version {
		since = 0
	}
	out := &pb.ServerView{Version: v.version, Digest: v.digest, Since: since,
		AgeMs: uint32(min(now.Sub(v.freshAt), time.Hour).Milliseconds())}
	for key, e := range v.entries {
		if since > 0 && e.changedIn <= since {
			continue
		}
		entry := &pb.ServerEntry{Key: key, Value: e.value, Version: e.version}
		if !e.goneAt.IsZero() {
			entry.GoneInMs = uint32(max(e.goneAt.Sub(now).Milliseconds(), 1))
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

// tell returns what the beat tells of changes that this node has read itself, or nil.
func (v *serverView) tell(beat time.Duration, now time.Time) *pb.ServerView {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.told.lastAt.IsZero() {
		return nil
	}
	if now.Sub(v.told.lastAt) > tellFor*beat {
		v.told = toldChanges{}
		return nil
	}
	changes := v.exportLocked(v.told.since, now)
	if changes.Since == 0 || proto.Size(changes) > mostTold {
		return nil
	}
	return changes
}

// adopt takes over a peer's view that was read at a newer version, or the changes that lead to it. The error is
// errOtherDigest when the changes are not enough.
func (v *serverView) adopt(view *pb.ServerView, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Version <= v.version || view.Since > v.version || (view.Since > 0 && !v.known.Load()) {
		return nil
	}
	present := make(map[string]bool, len(view.Entries))
	for _, e := range view.Entries {
		present[e.Key] = true
		v.put(e.Key, e.Value, e.Version)
		if e.GoneInMs > 0 {
			v.entries[e.Key].goneAt = now.Add(time.Duration(e.GoneInMs) * time.Millisecond)
		}
	}
	if view.Since == 0 {
		for key := range v.entries {
			if !present[key] {
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
	if view.Since > 0 && v.digest != view.Digest {
		// What was told is right, but this view lacks something else. Its version stays, so that it is fetched.
		v.incomplete = true
		return errOtherDigest
	}
	v.version = view.Version
	v.freshAt = now.Add(-time.Duration(view.AgeMs) * time.Millisecond)
	v.incomplete = false
	if changed {
		v.contentVersion = v.version
	}
	v.known.Store(true)
	return nil
}

// since returns the version after which a peer need tell changes only; 0 asks for the whole view.
func (v *serverView) since() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.incomplete || !v.known.Load() {
		return 0
	}
	return v.version
}
