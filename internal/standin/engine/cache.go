package engine

import "container/list"

// prefixCache is the KV cache: blocks of prompt prefixes and the private tokens of running sequences share one
// memory. Blocks that no running sequence uses are evicted, least recently used first. The memory may be exceeded by
// what running sequences need; admission prevents this except for the growth of answers.
type prefixCache struct {
	limit   int // tokens; 0 means no limit
	blocks  map[uint64]*cacheBlock
	unused  *list.List // of *cacheBlock without users, least recently used first
	tokens  int        // in blocks
	idle    int        // in blocks without users
	private int        // of running sequences and imports, outside blocks
	event   func(hash uint64, removed bool)
}

type cacheBlock struct {
	hash    uint64
	tokens  int
	users   int
	element *list.Element // place in unused; nil while the block has users
}

func newPrefixCache(limit int, event func(hash uint64, removed bool)) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*cacheBlock{}, unused: list.New(), event: event}
}

// match returns how many leading blocks the cache has.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin marks blocks as used, so that they are not evicted.
func (c *prefixCache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		if b.users++; b.element != nil {
			c.unused.Remove(b.element)
			b.element = nil
			c.idle -= b.tokens
		}
	}
}

// unpin reverses pin. The last block of a prefix becomes the least recently used one, since a block is of no use
// without those before it.
func (c *prefixCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		if b.users--; b.users == 0 {
			b.element = c.unused.PushBack(b)
			c.idle += b.tokens
		}
	}
	c.evict()
}

// insert moves tokens of a sequence from its private memory to blocks, and pins them.
func (c *prefixCache) insert(hashes []uint64, tokens []int) {
	for i, h := range hashes {
		c.private -= tokens[i]
		if c.blocks[h] == nil {
			// The block starts as unused, so that pin finds it in the same state as others.
			b := &cacheBlock{hash: h, tokens: tokens[i]}
			b.element = c.unused.PushBack(b)
			c.blocks[h] = b
			c.tokens += b.tokens
			c.idle += b.tokens
			c.event(h, false)
		}
		c.pin(hashes[i : i+1])
	}
	c.evict()
}

// grow adds to the private tokens and evicts blocks to make room.
func (c *prefixCache) grow(tokens int) {
	c.private += tokens
	c.evict()
}

// fits tells whether more tokens fit after the eviction of all unused blocks.
func (c *prefixCache) fits(tokens int) bool {
	return c.limit == 0 || c.tokens-c.idle+c.private+tokens <= c.limit
}

func (c *prefixCache) evict() {
	for c.limit > 0 && c.tokens+c.private > c.limit && c.unused.Len() > 0 {
		b := c.unused.Remove(c.unused.Front()).(*cacheBlock)
		delete(c.blocks, b.hash)
		c.tokens -= b.tokens
		c.idle -= b.tokens
		c.event(b.hash, true)
	}
}

// percent returns the used share of the memory.
func (c *prefixCache) percent() uint32 {
	if c.limit == 0 {
		return 0
	}
	return uint32(min(100, (c.tokens+c.private)*100/c.limit))
}
