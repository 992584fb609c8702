package standin

import (
	"container/list"
	"time"

	"ebonypulley/engine"
)

// blockCache is the engine's prefix cache: blocks, least recently used first
// out, with events that are published late and with gaps.
type blockCache struct {
	max    int
	lag    time.Duration
	gap    uint64
	order  *list.List
	blocks map[uint64]*list.Element
	seq    uint64
	events []datedEvent
}

type datedEvent struct {
	engine.CacheEvent
	at time.Time
}

// keepEvents bounds the history of events.
const keepEvents = 8192

func newBlockCache(maxBlocks int, lag time.Duration, gap uint64) *blockCache {
	return &blockCache{max: maxBlocks, lag: lag, gap: gap, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// hit returns how many leading blocks are cached.
func (c *blockCache) hit(blocks []uint64) int {
	for i, b := range blocks {
		el, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(blocks)
}

func (c *blockCache) store(now time.Time, blocks []uint64) {
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok {
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.publish(now, b, true)
		if c.order.Len() > c.max {
			c.evict(now)
		}
	}
}

func (c *blockCache) evict(now time.Time) {
	el := c.order.Back()
	b := el.Value.(uint64)
	c.order.Remove(el)
	delete(c.blocks, b)
	c.publish(now, b, false)
}

func (c *blockCache) publish(now time.Time, block uint64, stored bool) {
	c.seq++
	if c.seq%c.gap == 0 {
		return
	}
	c.events = append(c.events, datedEvent{engine.CacheEvent{Seq: c.seq, Stored: stored, Block: block}, now})
	if len(c.events) > keepEvents {
		c.events = c.events[len(c.events)-keepEvents:]
	}
}

// after returns the published events with a higher number.
func (c *blockCache) after(now time.Time, seq uint64) []engine.CacheEvent {
	var list []engine.CacheEvent
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.at) >= c.lag {
			list = append(list, e.CacheEvent)
		}
	}
	return list
}
