package model

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// journalSlots bounds the cache events kept; an older reader sees a gap.
const journalSlots = 1024

// CacheNews is what changed in the prefix cache after a sequence number.
type CacheNews struct {
	// Sequence is to be passed in the next call.
	Sequence uint64
	// Gap says that events are missing.
	Gap             bool
	Cached, Evicted []uint64
}

type cacheEvent struct {
	sequence uint64
	at       time.Duration
	lost     bool
	cached   []uint64
	evicted  []uint64
}

// prefixCache holds the blocks of prompt prefixes, least recently used first
// out.
type prefixCache struct {
	limit    int
	lag      time.Duration
	loss     float64
	random   *rand.Rand
	blocks   map[uint64]*list.Element
	recent   *list.List
	sequence uint64
	journal  []cacheEvent
}

func newPrefixCache(cfg Config, random *rand.Rand) *prefixCache {
	return &prefixCache{
		limit: cfg.CacheBlocks, lag: cfg.CacheLag, loss: cfg.CacheLoss, random: random,
		blocks: map[uint64]*list.Element{}, recent: list.New(),
	}
}

// hit counts the leading blocks of a chain that are cached, and refreshes them.
func (c *prefixCache) hit(chain []uint64) int {
	for i, hash := range chain {
		block, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.recent.MoveToFront(block)
	}
	return len(chain)
}

// insert caches the blocks of a chain and evicts the oldest beyond the limit.
func (c *prefixCache) insert(now time.Duration, chain []uint64) {
	event := cacheEvent{at: now}
	for _, hash := range chain {
		if c.blocks[hash] == nil {
			c.blocks[hash] = c.recent.PushFront(hash)
			event.cached = append(event.cached, hash)
		}
	}
	for c.recent.Len() > c.limit {
		oldest := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, oldest)
		event.evicted = append(event.evicted, oldest)
	}
	if len(event.cached)+len(event.evicted) > 0 {
		c.note(event)
	}
}

func (c *prefixCache) note(event cacheEvent) {
	c.sequence++
	event.sequence = c.sequence
	event.lost = c.loss > 0 && c.random.Float64() < c.loss
	c.journal = append(c.journal, event)
	if len(c.journal) > 2*journalSlots {
		c.journal = append([]cacheEvent(nil), c.journal[len(c.journal)-journalSlots:]...)
	}
}

// news gives the events after a sequence number that are old enough to show. A
// number from an earlier incarnation is a gap, and the events start over.
func (c *prefixCache) news(now time.Duration, after uint64) CacheNews {
	n := CacheNews{Sequence: after}
	if after > c.sequence {
		n.Sequence, n.Gap = 0, true
	}
	for _, event := range c.journal {
		if event.sequence <= n.Sequence || event.at > now-c.lag {
			continue
		}
		n.Gap = n.Gap || event.lost || event.sequence > n.Sequence+1
		n.Sequence = event.sequence
		if !event.lost {
			n.Cached = append(n.Cached, event.cached...)
			n.Evicted = append(n.Evicted, event.evicted...)
		}
	}
	return n
}

// CacheEvents gives what changed in the prefix cache after a sequence number,
// late and with gaps.
func (e *Engine) CacheEvents(now time.Duration, after uint64) CacheNews {
	e.catchUp(now)
	return e.cache.news(e.now, after)
}
