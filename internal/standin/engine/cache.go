package engine

import "container/list"

// prefixCache is the KV cache. Blocks of prompt prefixes and the private tokens of running sequences share its limit.
// Blocks that no running sequence uses are evicted, least recently used first. Admission keeps running sequences within
// the limit, with two exceptions: it does not reserve memory for the growth of their responses, and it admits a request
// to an empty batch even if imported KV caches leave too little memory.
type prefixCache struct {
	limit         int // tokens; 0 means no limit
	blocks        map[uint64]*cacheBlock
	unused        *list.List // of *cacheBlock without users, least recently used first
	tokens        int        // in blocks
	unusedTokens  int        // in blocks without users
	privateTokens int        // of running sequences and imports, outside blocks
	onEvent       func(hash uint64, removed bool)
}

type cacheBlock struct {
	hash    uint64
	tokens  int
	users   int
	element *list.Element // position in unused; nil while the block has users
}

func newPrefixCache(limit int, onEvent func(hash uint64, removed bool)) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*cacheBlock{}, unused: list.New(), onEvent: onEvent}
}

// match returns the number of leading blocks that the cache has.
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
			c.unusedTokens -= b.tokens
		}
	}
}

// unpin reverses pin. The last block of a prefix becomes the least recently used one of them, because a block cannot
// be used without those before it.
func (c *prefixCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		if b.users--; b.users == 0 {
			b.element = c.unused.PushBack(b)
			c.unusedTokens += b.tokens
		}
	}
	c.evict()
}

// insert moves private tokens of a sequence to blocks and pins the blocks.
func (c *prefixCache) insert(hashes []uint64, tokens []int) {
	for i, h := range hashes {
		c.privateTokens -= tokens[i]
		if c.blocks[h] == nil {
			// The block starts as unused, the state in which pin expects it.
			b := &cacheBlock{hash: h, tokens: tokens[i]}
			b.element = c.unused.PushBack(b)
			c.blocks[h] = b
			c.tokens += b.tokens
			c.unusedTokens += b.tokens
			c.onEvent(h, false)
		}
		c.pin(hashes[i : i+1])
	}
	c.evict()
}

// addPrivate adds to the private tokens and evicts blocks to make room.
func (c *prefixCache) addPrivate(tokens int) {
	c.privateTokens += tokens
	c.evict()
}

// fits reports whether more tokens fit after the eviction of all unused blocks.
func (c *prefixCache) fits(tokens int) bool {
	return c.limit == 0 || c.tokens-c.unusedTokens+c.privateTokens+tokens <= c.limit
}

func (c *prefixCache) evict() {
	for c.limit > 0 && c.tokens+c.privateTokens > c.limit && c.unused.Len() > 0 {
		b := c.unused.Remove(c.unused.Front()).(*cacheBlock)
		delete(c.blocks, b.hash)
		c.tokens -= b.tokens
		c.unusedTokens -= b.tokens
		c.onEvent(b.hash, true)
	}
}

// percent returns the used share of the limit in percent; without a limit it is 0.
func (c *prefixCache) percent() uint32 {
	if c.limit == 0 {
		return 0
	}
	return uint32(min(100, (c.tokens+c.privateTokens)*100/c.limit))
}
