package model

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// maxJournalEvents is the number of cache events that are kept at least. A reader
// that is further behind sees a gap.
const maxJournalEvents = 1024

// CacheChanges lists the changes of the prefix cache after a sequence number.
type CacheChanges struct {
	// Sequence is the number to pass in the next call.
	Sequence uint64
	// Gap is set if events are missing.
	Gap             bool
	Cached, Evicted []uint64
}

type cacheEvent struct {
	sequence uint64
	at       time.Duration
	dropped  bool
	cached   []uint64
	evicted  []uint64
}

// prefixCache is an LRU cache of prompt prefix blocks, with a journal of its
// changes.
type prefixCache struct {
	maxBlocks int
	lag       time.Duration
	lossRate  float64
	rng       *rand.Rand
	blocks    map[uint64]*list.Element
	lru       *list.List
	sequence  uint64
	journal   []cacheEvent
}

func newPrefixCache(cfg Config, rng *rand.Rand) *prefixCache {
	return &prefixCache{
		maxBlocks: cfg.CacheBlocks, lag: cfg.CacheLag, lossRate: cfg.CacheLossRate, rng: rng,
		blocks: map[uint64]*list.Element{}, lru: list.New(),
	}
}

// lookup returns the number of leading blocks of a chain that are cached, and
// marks them as recently used.
func (c *prefixCache) lookup(chain []uint64) int {
	for i, hash := range chain {
		block, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.lru.MoveToFront(block)
	}
	return len(chain)
}

// insert caches the blocks of a chain and evicts the least recently used blocks
// beyond maxBlocks.
func (c *prefixCache) insert(now time.Duration, chain []uint64) {
	event := cacheEvent{at: now}
	for _, hash := range chain {
		if c.blocks[hash] == nil {
			c.blocks[hash] = c.lru.PushFront(hash)
			event.cached = append(event.cached, hash)
		}
	}
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, oldest)
		event.evicted = append(event.evicted, oldest)
	}
	if len(event.cached)+len(event.evicted) > 0 {
		c.appendEvent(event)
	}
}

func (c *prefixCache) appendEvent(event cacheEvent) {
	c.sequence++
	event.sequence = c.sequence
	event.dropped = c.lossRate > 0 && c.rng.Float64() < c.lossRate
	c.journal = append(c.journal, event)
	if len(c.journal) > 2*maxJournalEvents {
		c.journal = append([]cacheEvent(nil), c.journal[len(c.journal)-maxJournalEvents:]...)
	}
}

// changesAfter returns the events after a sequence number that are older than
// the lag. A number from an earlier incarnation gives a gap, and the events from
// the start.
func (c *prefixCache) changesAfter(now time.Duration, after uint64) CacheChanges {
	changes := CacheChanges{Sequence: after}
	if after > c.sequence {
		changes.Sequence, changes.Gap = 0, true
	}
	for _, event := range c.journal {
		if event.sequence <= changes.Sequence || event.at > now-c.lag {
			continue
		}
		changes.Gap = changes.Gap || event.dropped || event.sequence > changes.Sequence+1
		changes.Sequence = event.sequence
		if !event.dropped {
			changes.Cached = append(changes.Cached, event.cached...)
			changes.Evicted = append(changes.Evicted, event.evicted...)
		}
	}
	return changes
}

// CacheEvents returns the changes of the prefix cache after a sequence number,
// delayed by Config.CacheLag and with gaps for lost events.
func (e *Engine) CacheEvents(now time.Duration, after uint64) CacheChanges {
	e.advanceTo(now)
	return e.cache.changesAfter(e.now, after)
}
