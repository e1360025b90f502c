package balance

import (
	"container/list"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Part is one part of a prompt. Requests that share their leading parts can use
// each other's cached state on an engine.
type Part struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int64
}

// chainKeys returns a key for each leading run of parts: the key of a part covers
// all parts before it, as a cached part is of use only after those.
func chainKeys(parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	last := uint64(0)
	for i, p := range parts {
		last = rendezvous.Mix(last, p.ID)
		keys[i] = last
	}
	return keys
}

// prefixCache is what an engine probably keeps, by what was sent to it. The least
// recently used parts yield.
type prefixCache struct {
	capacity int64
	used     int64
	order    *list.List // of *cachedPart, least recently used first
	parts    map[uint64]*list.Element
}

type cachedPart struct {
	key    uint64
	tokens int64
}

func newPrefixCache(capacity int64) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), parts: make(map[uint64]*list.Element)}
}

// cached returns the tokens of the leading parts that are kept.
func (c *prefixCache) cached(keys []uint64, parts []Part) int64 {
	total := int64(0)
	for i, key := range keys {
		if c.parts[key] == nil {
			break
		}
		total += parts[i].Tokens
	}
	return total
}

// add notes that all parts were read.
func (c *prefixCache) add(keys []uint64, parts []Part) {
	// Later parts are of no use without the earlier ones, so these yield last.
	for i := len(keys) - 1; i >= 0; i-- {
		if e := c.parts[keys[i]]; e != nil {
			c.order.MoveToBack(e)
			continue
		}
		c.parts[keys[i]] = c.order.PushBack(&cachedPart{keys[i], parts[i].Tokens})
		c.used += parts[i].Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Front()
		part := oldest.Value.(*cachedPart)
		c.order.Remove(oldest)
		delete(c.parts, part.key)
		c.used -= part.tokens
	}
}
