package entry

import (
	"container/list"
	"sync"

	"ebonypulley/engine"
)

// prefixIndex is this entry's belief about which engine caches which blocks.
// It is learned from finished prefills and corrected by the hits that engines
// report; a wrong belief only costs a longer prefill.
type prefixIndex struct {
	mu        sync.Mutex
	endpoints map[string]*blockSet
}

// blocksPerEndpoint bounds the belief about one endpoint: about 1 MB.
const blocksPerEndpoint = 8192

// blockSet is a bounded set, least recently used first out.
type blockSet struct {
	epoch  uint64
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{endpoints: make(map[string]*blockSet)} }

func newBlockSet(epoch uint64) *blockSet {
	return &blockSet{epoch: epoch, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cached returns how many tokens of a prompt the endpoint probably caches.
// Another epoch means that the engine lost its cache.
func (x *prefixIndex) cached(endpoint string, epoch uint64, blocks []uint64) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	set := x.endpoints[endpoint]
	if set == nil || set.epoch != epoch {
		return 0
	}
	return set.leading(blocks) * engine.BlockTokens
}

// learn records a finished prefill: the engine had hitTokens of it cached,
// and has all of it now.
func (x *prefixIndex) learn(endpoint string, epoch uint64, blocks []uint64, hitTokens int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	set := x.endpoints[endpoint]
	if set == nil || set.epoch != epoch {
		set = newBlockSet(epoch)
		x.endpoints[endpoint] = set
	}
	if hit := hitTokens / engine.BlockTokens; hit < set.leading(blocks) {
		set.evicted(blocks[hit])
	}
	set.add(blocks)
}

func (s *blockSet) leading(blocks []uint64) int {
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
			s.order.MoveToFront(el)
			continue
		}
		s.blocks[b] = s.order.PushFront(b)
	}
	for s.order.Len() > blocksPerEndpoint {
		el := s.order.Back()
		delete(s.blocks, el.Value.(uint64))
		s.order.Remove(el)
	}
}

// evicted forgets a block that the engine turned out not to have, and all that
// were used less recently: engines evict in that order, so they are gone too.
func (s *blockSet) evicted(block uint64) {
	for {
		el := s.order.Back()
		b := el.Value.(uint64)
		delete(s.blocks, b)
		s.order.Remove(el)
		if b == block {
			return
		}
	}
}
