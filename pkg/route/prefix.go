package route

import (
	"math/bits"
	"sync"
)

const (
	indexShards   = 64
	indexWays     = 4 // blocks per set; the oldest makes room
	serversPerKey = 4

	numberBits     = 20
	numberMask     = 1<<numberBits - 1
	generationMask = 1<<(32-numberBits) - 1
)

// hint names a server, and its generation, that probably holds a block.
type hint struct {
	server uint32
	tick   uint32 // when the hint was made; 0 means none
}

type indexEntry struct {
	block uint64
	hints [serversPerKey]hint
}

func (e *indexEntry) newest() uint32 {
	var tick uint32
	for _, h := range e.hints {
		tick = max(tick, h.tick)
	}
	return tick
}

// prefixIndex maps block hashes to servers. It is a set-associative table of fixed size, so that it never allocates
// and forgets the oldest blocks.
type prefixIndex struct {
	shards [indexShards]indexShard
	sets   uint64 // per shard
}

type indexShard struct {
	mu      sync.Mutex
	entries []indexEntry
	_       [32]byte // keeps the locks of neighbouring shards on different cache lines
}

func newPrefixIndex(blocks int) *prefixIndex {
	sets := max(1, blocks/(indexShards*indexWays))
	x := &prefixIndex{sets: uint64(sets)}
	for i := range x.shards {
		x.shards[i].entries = make([]indexEntry, sets*indexWays)
	}
	return x
}

// set returns the shard and the set of a block. Blocks are hashes, so their bits are used as they are.
func (x *prefixIndex) set(block uint64) (*indexShard, []indexEntry) {
	shard := &x.shards[block%indexShards]
	first := (block / indexShards % x.sets) * indexWays
	return shard, shard.entries[first : first+indexWays]
}

func (x *prefixIndex) lookup(block uint64) (hints [serversPerKey]hint, ok bool) {
	shard, set := x.set(block)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for i := range set {
		if set[i].block == block {
			return set[i].hints, set[i].newest() > 0
		}
	}
	return hints, false
}

func (x *prefixIndex) insert(block uint64, server, tick uint32) {
	shard, set := x.set(block)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := &set[0]
	for i := range set {
		if set[i].block == block {
			entry = &set[i]
			break
		}
		if set[i].newest() < entry.newest() {
			entry = &set[i]
		}
	}
	if entry.block != block {
		*entry = indexEntry{block: block}
	}
	oldest := &entry.hints[0]
	for i := range entry.hints {
		h := &entry.hints[i]
		if h.server&numberMask == server&numberMask && h.tick > 0 {
			oldest = h
			break
		}
		if h.tick < oldest.tick {
			oldest = h
		}
	}
	*oldest = hint{server: server, tick: tick}
}

func (x *prefixIndex) remove(block uint64, server uint32) {
	shard, set := x.set(block)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for i := range set {
		if set[i].block != block {
			continue
		}
		for j := range set[i].hints {
			if set[i].hints[j].server&numberMask == server&numberMask {
				set[i].hints[j] = hint{}
			}
		}
	}
}

// The index keeps a prompt's blocks only at the depths of a ladder: each depth up to 8, then 8 per doubling. A prompt
// of 512 blocks needs 56 of them, and a shared prefix is underestimated by at most an eighth.
const rungsPerOctave = 8

// rungs returns the number of ladder depths up to n blocks.
func rungs(n int) int {
	if n <= rungsPerOctave {
		return n
	}
	octave := bits.Len(uint(n)) - 4 // 0 for 8 to 15
	return rungsPerOctave + octave*rungsPerOctave + (n>>octave - rungsPerOctave)
}

// rungDepth returns the depth in blocks of rung i, counted from 0.
func rungDepth(i int) int {
	if i < rungsPerOctave {
		return i + 1
	}
	octave := (i - rungsPerOctave + 1) / rungsPerOctave
	return (rungsPerOctave + (i-rungsPerOctave+1)%rungsPerOctave) << octave
}
