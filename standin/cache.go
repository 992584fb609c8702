package standin

import (
	"container/list"
	"time"

	"ebonypulley/engine"
)

// blockCache is the engine's prefix cache, an LRU cache of blocks. It publishes
// its events after a lag and loses one in lossInterval of them.
type blockCache struct {
	max          int // maximum number of blocks
	lag          time.Duration
	lossInterval uint64
	lru          *list.List
	blocks       map[uint64]*list.Element
	seq          uint64
	events       []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// maxEvents is the number of cache events kept for readers.
const maxEvents = 8192

func newBlockCache(maxBlocks int, lag time.Duration, lossInterval uint64) *blockCache {
	return &blockCache{max: maxBlocks, lag: lag, lossInterval: lossInterval, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookup returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *blockCache) lookup(blocks []uint64) int {
	for i, b := range blocks {
		el, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.lru.MoveToFront(el)
	}
	return len(blocks)
}

func (c *blockCache) insert(now time.Time, blocks []uint64) {
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok {
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.record(now, b, true)
		if c.lru.Len() > c.max {
			c.evict(now)
		}
	}
}

func (c *blockCache) evict(now time.Time) {
	el := c.lru.Back()
	b := el.Value.(uint64)
	c.lru.Remove(el)
	delete(c.blocks, b)
	c.record(now, b, false)
}

func (c *blockCache) record(now time.Time, block uint64, stored bool) {
	c.seq++
	if c.seq%c.lossInterval == 0 {
		return
	}
	c.events = append(c.events, timedEvent{engine.CacheEvent{Seq: c.seq, Stored: stored, Block: block}, now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// visibleAfter returns the events with a higher sequence number than seq that are
// older than the lag.
func (c *blockCache) visibleAfter(now time.Time, seq uint64) []engine.CacheEvent {
	var list []engine.CacheEvent
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.at) >= c.lag {
			list = append(list, e.CacheEvent)
		}
	}
	return list
}
