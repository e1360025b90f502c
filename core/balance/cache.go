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
	prev := uint64(0)
	for i, p := range parts {
		prev = rendezvous.Mix(prev, p.ID)
		keys[i] = prev
	}
	return keys
}

// prefixCache is what an engine probably keeps, by what was sent to it. The least
// recently used parts yield.
type prefixCache struct {
	capacity int64
	used     int64
	lru      *list.List // of *cachedPart, least recently used first
	parts    map[uint64]*list.Element
}

type cachedPart struct {
	key    uint64
	tokens int64
	// read is true once an answer to a request with the part has begun: before,
	// no other engine can fetch it.
	read bool
}

func newPrefixCache(capacity int64) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), parts: make(map[uint64]*list.Element)}
}

// cached returns the tokens of the leading parts that are kept, or will be by the
// time at which the engine begins with a request sent now.
func (c *prefixCache) cached(keys []uint64, parts []Part) int64 {
	return c.leadingTokens(keys, parts, func(*cachedPart) bool { return true })
}

// fetchable returns the tokens of the leading parts that others can fetch now.
func (c *prefixCache) fetchable(keys []uint64, parts []Part) int64 {
	return c.leadingTokens(keys, parts, func(p *cachedPart) bool { return p.read })
}

func (c *prefixCache) leadingTokens(keys []uint64, parts []Part, include func(*cachedPart) bool) int64 {
	total := int64(0)
	for i, key := range keys {
		e := c.parts[key]
		if e == nil || !include(e.Value.(*cachedPart)) {
			break
		}
		total += parts[i].Tokens
	}
	return total
}

// markRead notes that parts were read.
func (c *prefixCache) markRead(keys []uint64) {
	for _, key := range keys {
		if e := c.parts[key]; e != nil {
			e.Value.(*cachedPart).read = true
		}
	}
}

// add notes that a request with the parts was sent.
func (c *prefixCache) add(keys []uint64, parts []Part) {
	// Later parts are of no use without the earlier ones, so these yield last.
	for i := len(keys) - 1; i >= 0; i-- {
		if e := c.parts[keys[i]]; e != nil {
			c.lru.MoveToBack(e)
			continue
		}
		c.parts[keys[i]] = c.lru.PushBack(&cachedPart{key: keys[i], tokens: parts[i].Tokens})
		c.used += parts[i].Tokens
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		oldest := c.lru.Front()
		part := oldest.Value.(*cachedPart)
		c.lru.Remove(oldest)
		delete(c.parts, part.key)
		c.used -= part.tokens
	}
}
