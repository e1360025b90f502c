package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of a cached prompt block.
const blockBytes = 256

// CacheEvent tells that a prompt block was stored or evicted.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// blockCache keeps the most recently used prompt blocks.
type blockCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	events []CacheEvent
	seq    uint64
}

const maxCacheEvents = 4096

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// touch stores blocks and returns the share of leading ones that were there.
func (c *blockCache) touch(blocks []uint64) float64 {
	if len(blocks) == 0 {
		return 0
	}
	hits := 0
	leading := true
	for _, b := range blocks {
		element, ok := c.blocks[b]
		if ok {
			c.order.MoveToFront(element)
			if leading {
				hits++
			}
			continue
		}
		leading = false
		c.blocks[b] = c.order.PushFront(b)
		c.note(b, true)
	}
	c.evict()
	return float64(hits) / float64(len(blocks))
}

func (c *blockCache) evict() {
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		block, _ := c.order.Remove(oldest).(uint64)
		delete(c.blocks, block)
		c.note(block, false)
	}
}

func (c *blockCache) note(block uint64, stored bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Block: block, Stored: stored})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *blockCache) since(seq uint64) []CacheEvent {
	for i, event := range c.events {
		if event.Seq > seq {
			return append([]CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}

// blocksOf hashes the prompt's blocks, each together with all before it.
func blocksOf(messages []message) []uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var blocks []uint64
	filled := 0
	for _, m := range messages {
		content := m.Content
		for len(content) > 0 {
			n := min(blockBytes-filled, len(content))
			_, _ = digest.Write(content[:n])
			content = content[n:]
			filled += n
			if filled == blockBytes {
				blocks = append(blocks, digest.Sum64())
				filled = 0
			}
		}
	}
	return blocks
}
