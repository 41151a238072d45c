package stream

import (
	"hash/maphash"
	"sync"
	"time"
)

const storeShards = 32

// Store holds the logs of a node in shards, each with its own lock.
type Store struct {
	seed   maphash.Seed
	shards [storeShards]storeShard
}

type storeShard struct {
	mu   sync.Mutex
	logs map[string]*Log
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].logs = map[string]*Log{}
	}
	return s
}

func (s *Store) shard(id string) *storeShard {
	return &s.shards[maphash.String(s.seed, id)%storeShards]
}

// Add stores a log unless one with the same id exists. It returns the stored log.
func (s *Store) Add(log *Log) *Log {
	id := log.Meta().ID
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if existing, ok := shard.logs[id]; ok {
		return existing
	}
	shard.logs[id] = log
	return log
}

// Get returns the log with the given id, or nil.
func (s *Store) Get(id string) *Log {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.logs[id]
}

// Remove deletes the log of a response that was never accepted.
func (s *Store) Remove(id string) {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.logs, id)
}

// Each calls fn for every log; no lock is held during the calls.
func (s *Store) Each(fn func(*Log)) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		logs := make([]*Log, 0, len(shard.logs))
		for _, log := range shard.logs {
			logs = append(logs, log)
		}
		shard.mu.Unlock()
		for _, log := range logs {
			fn(log)
		}
	}
}

// Expire deletes the logs that have not changed for longer than the retention time and have no reader. It returns how
// many it deleted.
func (s *Store) Expire(now time.Time, retention time.Duration) int {
	expired := 0
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for id, log := range shard.logs {
			if log.expired(now, retention) {
				delete(shard.logs, id)
				expired++
			}
		}
		shard.mu.Unlock()
	}
	return expired
}

// Len returns the number of logs.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].logs)
		s.shards[i].mu.Unlock()
	}
	return n
}

func (l *Log) expired(now time.Time, retention time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.readers) == 0 && now.Sub(l.changedAt) > retention
}
