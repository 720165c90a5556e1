package admission

import "sort"

// maxCachedHashes bounds the hashes kept per target: 8192 blocks of 16 tokens
// exceed the memory of an engine. At 16 bytes each in a map they take about 300
// KB per target of a pool.
const maxCachedHashes = 8192

// prefixCache is an estimate of the prompt blocks that a target has cached.
// Events arrive late and with gaps, so it is used only as a hint.
type prefixCache struct{ hashes map[uint64]struct{} }

func newPrefixCache() prefixCache { return prefixCache{hashes: map[uint64]struct{}{}} }

func (c *prefixCache) clear() { clear(c.hashes) }

func (c *prefixCache) update(cached, evicted []uint64) {
	for _, h := range evicted {
		delete(c.hashes, h)
	}
	c.insert(cached)
}

// insert adds blocks. For a granted request it is called before the target
// reports them, so that requests with the same prefix can follow at once.
func (c *prefixCache) insert(prefix []uint64) {
	for _, h := range prefix {
		if len(c.hashes) >= maxCachedHashes {
			c.evictAny()
		}
		c.hashes[h] = struct{}{}
	}
}

func (c *prefixCache) evictAny() {
	for h := range c.hashes {
		delete(c.hashes, h)
		return
	}
}

// leadingHits counts the leading blocks that are cached. A block is cached only
// together with those before it, so binary search finds the end.
func (c *prefixCache) leadingHits(prefix []uint64) int {
	if len(c.hashes) == 0 {
		return 0
	}
	return sort.Search(len(prefix), func(i int) bool {
		_, cached := c.hashes[prefix[i]]
		return !cached
	})
}
