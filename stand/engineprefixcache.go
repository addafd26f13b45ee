package stand

import "container/list"

// enginePrefixCache is a bounded LRU cache of prompt prefixes.
type enginePrefixCache struct {
	maxBytes int64
	bytes    int64
	order    *list.List
	blocks   map[uint64]*list.Element
}

type enginePrefixBlock struct {
	hash  uint64
	bytes int64
}

func newEnginePrefixCache(maxBytes int64) *enginePrefixCache {
	return &enginePrefixCache{maxBytes: maxBytes, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached, and marks them as
// recently used.
func (enginePrefixCache *enginePrefixCache) match(blocks []uint64) int {
	for i, hash := range blocks {
		element, found := enginePrefixCache.blocks[hash]
		if !found {
			return i
		}
		enginePrefixCache.order.MoveToFront(element)
	}
	return len(blocks)
}

// add caches blocks up to freeBytes and the limit of the cache.
func (enginePrefixCache *enginePrefixCache) add(blocks []uint64, blockBytes, freeBytes int64) {
	for _, hash := range blocks {
		if _, found := enginePrefixCache.blocks[hash]; found {
			continue
		}
		for enginePrefixCache.bytes+blockBytes > enginePrefixCache.maxBytes && enginePrefixCache.evict() > 0 {
			continue
		}
		if enginePrefixCache.bytes+blockBytes > enginePrefixCache.maxBytes || blockBytes > freeBytes {
			return
		}
		freeBytes -= blockBytes
		enginePrefixCache.bytes += blockBytes
		enginePrefixCache.blocks[hash] = enginePrefixCache.order.PushFront(enginePrefixBlock{hash: hash, bytes: blockBytes})
	}
}

// evict removes the least recently used block and returns its size in bytes, or
// zero if the cache is empty.
func (enginePrefixCache *enginePrefixCache) evict() int64 {
	last := enginePrefixCache.order.Back()
	if last == nil {
		return 0
	}
	block, isBlock := enginePrefixCache.order.Remove(last).(enginePrefixBlock)
	if !isBlock {
		return 0
	}
	delete(enginePrefixCache.blocks, block.hash)
	enginePrefixCache.bytes -= block.bytes
	return block.bytes
}
