package entry

import (
	"container/list"
	"sync"

	"ebonypulley/engine"
)

// prefixIndex estimates which prompt blocks each engine has cached. It is
// updated from completed prefills and corrected by the cache hits that engines
// report; a wrong estimate only costs a longer prefill.
type prefixIndex struct {
	mu        sync.Mutex
	endpoints map[string]*blockSet
}

// blocksPerEndpoint bounds the blocks tracked for one endpoint, which take
// about 1 MB.
const blocksPerEndpoint = 8192

// blockSet is a bounded set of blocks that evicts the least recently used.
type blockSet struct {
	epoch  uint64
	lru    *list.List
	blocks map[uint64]*list.Element
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{endpoints: make(map[string]*blockSet)} }

func newBlockSet(epoch uint64) *blockSet {
	return &blockSet{epoch: epoch, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cachedTokens returns the estimated number of prompt tokens that the endpoint
// has cached. It is 0 for another epoch, because the engine lost its cache
// since.
func (x *prefixIndex) cachedTokens(endpoint string, epoch uint64, blocks []uint64) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	set := x.endpoints[endpoint]
	if set == nil || set.epoch != epoch {
		return 0
	}
	return set.leadingHits(blocks) * engine.BlockTokens
}

// record updates the estimate after a completed prefill: the engine had the
// first hitTokens of the prompt cached, and has all of it now.
func (x *prefixIndex) record(endpoint string, epoch uint64, blocks []uint64, hitTokens int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	set := x.endpoints[endpoint]
	if set == nil || set.epoch != epoch {
		set = newBlockSet(epoch)
		x.endpoints[endpoint] = set
	}
	if hit := hitTokens / engine.BlockTokens; hit < set.leadingHits(blocks) {
		set.evictThrough(blocks[hit])
	}
	set.add(blocks)
}

// leadingHits returns the number of leading blocks that are in the set.
func (s *blockSet) leadingHits(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := s.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (s *blockSet) add(blocks []uint64) {
	for _, b := range blocks {
		if el, ok := s.blocks[b]; ok {
			s.lru.MoveToFront(el)
			continue
		}
		s.blocks[b] = s.lru.PushFront(b)
	}
	for s.lru.Len() > blocksPerEndpoint {
		el := s.lru.Back()
		delete(s.blocks, el.Value.(uint64))
		s.lru.Remove(el)
	}
}

// evictThrough removes a block that the engine turned out not to have, and all
// blocks used less recently. Engines evict in that order, so those are gone
// too.
func (s *blockSet) evictThrough(block uint64) {
	for {
		el := s.lru.Back()
		b := el.Value.(uint64)
		delete(s.blocks, b)
		s.lru.Remove(el)
		if b == block {
			return
		}
	}
}
