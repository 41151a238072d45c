package route

import (
	"math/bits"
	"sync"
)

const (
	indexShards   = 64
	indexWays     = 4 // blocks per set; the oldest one is evicted
	serversPerKey = 4

	serverNumberBits = 20
	serverNumberMask = 1<<serverNumberBits - 1
	generationMask   = 1<<(32-serverNumberBits) - 1
)

// hint records a server, with its generation, that probably has a block in its cache.
type hint struct {
	server uint32
	tick   uint32 // when the hint was recorded, see Router.tick; 0 means that there is no hint
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

// prefixIndex maps block hashes to the servers that cache them. It is a set-associative table of fixed size: it does
// not allocate, and it evicts the oldest blocks.
type prefixIndex struct {
	shards [indexShards]indexShard
	sets   uint64 // per shard
}

type indexShard struct {
	mu      sync.Mutex
	entries []indexEntry
	_       [32]byte // padding: keeps the locks of neighbouring shards on different cache lines
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
		if h.server&serverNumberMask == server&serverNumberMask && h.tick > 0 {
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
			if set[i].hints[j].server&serverNumberMask == server&serverNumberMask {
				set[i].hints[j] = hint{}
			}
		}
	}
}

// The index holds a prompt's blocks only at selected depths: every depth up to 8 blocks, then 8 depths per octave
// (doubling of the depth). A prompt of 512 blocks has 56 of them, and the length of a shared prefix is underestimated
// by at most an eighth.
const depthsPerOctave = 8

// indexedDepths returns the number of indexed depths up to n blocks.
func indexedDepths(n int) int {
	if n <= depthsPerOctave {
		return n
	}
	octave := bits.Len(uint(n)) - 4 // 0 for 8 to 15
	return depthsPerOctave + octave*depthsPerOctave + (n>>octave - depthsPerOctave)
}

// indexedDepth returns the i-th indexed depth in blocks, counted from 0.
func indexedDepth(i int) int {
	if i < depthsPerOctave {
		return i + 1
	}
	octave := (i - depthsPerOctave + 1) / depthsPerOctave
	return (depthsPerOctave + (i-depthsPerOctave+1)%depthsPerOctave) << octave
}
