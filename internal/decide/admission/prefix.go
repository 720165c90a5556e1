package admission

import "sort"

// cacheLimit bounds the hashes remembered of one target: 8192 blocks of 16
// tokens are more than an engine's whole memory. At 16 bytes each in a map it
// is about 300 KB for each target of a pool.
const cacheLimit = 8192

// prefixCache is what we believe a target has cached. Events come late and
// with gaps, so it is a hint and never more.
type prefixCache struct{ hashes map[uint64]struct{} }

func newPrefixCache() prefixCache { return prefixCache{hashes: map[uint64]struct{}{}} }

func (c *prefixCache) clear() { clear(c.hashes) }

func (c *prefixCache) update(cached, evicted []uint64) {
	for _, h := range evicted {
		delete(c.hashes, h)
	}
	c.expect(cached)
}

// expect notes blocks that the target is about to cache, so that requests with
// the same prefix follow at once and not only after the event.
func (c *prefixCache) expect(prefix []uint64) {
	for _, h := range prefix {
		if len(c.hashes) >= cacheLimit {
			c.dropOne()
		}
		c.hashes[h] = struct{}{}
	}
}

func (c *prefixCache) dropOne() {
	for h := range c.hashes {
		delete(c.hashes, h)
		return
	}
}

// hits counts the leading blocks that are cached. A block is cached only with
// those before it, so that a binary search finds the end.
func (c *prefixCache) hits(prefix []uint64) int {
	if len(c.hashes) == 0 {
		return 0
	}
	return sort.Search(len(prefix), func(i int) bool {
		_, cached := c.hashes[prefix[i]]
		return !cached
	})
}
