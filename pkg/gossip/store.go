package gossip

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// shardCount is the number of item maps; each has its own lock.
	shardCount = 16
	// bucketCount is the number of hashes in a digest.
	bucketCount = 64
	// shortLivedTTL is the TTL up to which items are left out of digests. They are replaced before a digest could repair
	// them, and their changes would make every digest differ.
	shortLivedTTL = 30 * time.Second
)

// entry is a stored item.
type entry struct {
	item    *pb.GossipItem
	expires time.Time // zero means never
	stored  time.Time
	hash    uint64 // versionHash of the item
	bucket  int    // index into the digest
}

type shard struct {
	mu    sync.RWMutex
	items map[string]entry
}

// store keeps items in shards by the hash of their key. All items of a digest bucket are in the same shard.
type store struct {
	shards [shardCount]shard
}

func newStore() *store {
	s := &store{}
	for i := range s.shards {
		s.shards[i].items = map[string]entry{}
	}
	return s
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

func (s *store) shard(key string) *shard { return &s.shards[bucketOf(key)%shardCount] }

// versionHash identifies one version of one key.
func versionHash(item *pb.GossipItem) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, item.Key...)
	buffer = binary.BigEndian.AppendUint64(buffer, item.Incarnation)
	buffer = binary.BigEndian.AppendUint64(buffer, item.Sequence)
	return xxhash.Sum64(buffer)
}

// put stores the item and returns true, unless a version at least as new is stored or the shard is full.
func (s *store) put(now time.Time, item *pb.GossipItem) bool {
	sh := s.shard(item.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old, ok := sh.items[item.Key]
	if ok && !Newer(item, old.item) {
		return false
	}
	if !ok && len(sh.items) >= maxItems/shardCount {
		return false
	}
	e := entry{item: item, stored: now, hash: versionHash(item), bucket: bucketOf(item.Key)}
	if item.TtlMs > 0 {
		e.expires = now.Add(time.Duration(item.TtlMs) * time.Millisecond)
	}
	sh.items[item.Key] = e
	return true
}

func (s *store) remove(key string) {
	sh := s.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.items, key)
}

func (s *store) get(key string) (*pb.GossipItem, bool) {
	e, ok := s.entry(key)
	return e.item, ok
}

func (s *store) entry(key string) (entry, bool) {
	sh := s.shard(key)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	e, ok := sh.items[key]
	return e, ok
}

func (s *store) each(prefix string, fn func(*pb.GossipItem) bool) {
	for i := range s.shards {
		if !s.shards[i].each(prefix, fn) {
			return
		}
	}
}

func (sh *shard) each(prefix string, fn func(*pb.GossipItem) bool) bool {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	for key, e := range sh.items {
		if strings.HasPrefix(key, prefix) && !fn(e.item) {
			return false
		}
	}
	return true
}

func (s *store) len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.RLock()
		n += len(s.shards[i].items)
		s.shards[i].mu.RUnlock()
	}
	return n
}

// expire removes expired items.
func (s *store) expire(now time.Time) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for key, e := range sh.items {
			if !e.expires.IsZero() && now.After(e.expires) {
				delete(sh.items, key)
			}
		}
		sh.mu.Unlock()
	}
}

// versions returns the low 32 bits of the version hashes in one bucket.
func (s *store) versions(n int) []uint32 {
	var out []uint32
	for _, e := range s.bucket(n) {
		out = append(out, uint32(e.hash))
	}
	return out
}

// withVersions returns the entries whose version hash, in its low 32 bits, is wanted.
func (s *store) withVersions(wanted map[uint32]bool) []entry {
	var out []entry
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		for _, e := range sh.items {
			if wanted[uint32(e.hash)] {
				out = append(out, e)
			}
		}
		sh.mu.RUnlock()
	}
	return out
}

// eachRecentUrgent calls fn for each urgent item stored after since.
func (s *store) eachRecentUrgent(since time.Time, fn func(entry)) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		for _, e := range sh.items {
			if e.item.Urgent && e.stored.After(since) {
				fn(e)
			}
		}
		sh.mu.RUnlock()
	}
}

// inDigest reports whether digests cover the item.
func (e entry) inDigest() bool {
	return e.item.TtlMs == 0 || time.Duration(e.item.TtlMs)*time.Millisecond > shortLivedTTL
}

// buckets returns the digest: per bucket the XOR of the version hashes, which does not depend on their order.
func (s *store) buckets() []uint64 {
	out := make([]uint64, bucketCount)
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		for _, e := range sh.items {
			if e.inDigest() {
				out[e.bucket] ^= e.hash
			}
		}
		sh.mu.RUnlock()
	}
	return out
}

// bucket returns the entries of one bucket that digests cover.
func (s *store) bucket(n int) []entry {
	sh := &s.shards[n%shardCount]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	var out []entry
	for _, e := range sh.items {
		if e.bucket == n && e.inDigest() {
			out = append(out, e)
		}
	}
	sortEntries(out)
	return out
}

// sortEntries orders entries by key, because the iteration order of a map differs between runs.
func sortEntries(entries []entry) {
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.item.Key, b.item.Key) })
}

// withRemainingTTL returns a copy of the item with the remaining TTL, or nil when it has expired.
func (e entry) withRemainingTTL(now time.Time) *pb.GossipItem {
	out := &pb.GossipItem{Key: e.item.Key, Incarnation: e.item.Incarnation, Sequence: e.item.Sequence,
		Value: e.item.Value, Urgent: e.item.Urgent}
	if e.expires.IsZero() {
		return out
	}
	left := e.expires.Sub(now).Milliseconds()
	if left <= 0 {
		return nil
	}
	out.TtlMs = uint32(left)
	return out
}
