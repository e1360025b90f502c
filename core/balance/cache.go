package balance

import (
	"container/list"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Part is one part of a prompt. Requests with the same leading parts can use each other's
// cached state on an engine.
type Part struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int64
}

// chainKeys returns one key per part. The key of a part covers all parts before it too,
// because a cached part is of use only after those.
func chainKeys(parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	prev := uint64(0)
	for i, p := range parts {
		prev = rendezvous.Mix(prev, p.ID)
		keys[i] = prev
	}
	return keys
}

// prefixCache models the prompt parts in an engine's cache, from the requests that were
// sent to it. The least recently used parts are evicted first.
type prefixCache struct {
	capacity int64
	used     int64
	lru      *list.List // of *cachedPart, least recently used first
	parts    map[uint64]*list.Element
}

type cachedPart struct {
	key    uint64
	tokens int64
	// read is true once the answer to a request with the part has started. Before that,
	// no other engine can fetch the part.
	read bool
}

func newPrefixCache(capacity int64) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), parts: make(map[uint64]*list.Element)}
}

// cached returns the number of tokens of the leading parts that are in the cache, or will
// be when the engine starts on a request that is sent now.
func (c *prefixCache) cached(keys []uint64, parts []Part) int64 {
	return c.leadingTokens(keys, parts, func(*cachedPart) bool { return true })
}

// fetchable returns the number of tokens of the leading parts that other engines can
// fetch now.
func (c *prefixCache) fetchable(keys []uint64, parts []Part) int64 {
	return c.leadingTokens(keys, parts, func(p *cachedPart) bool { return p.read })
}

// leadingTokens returns the number of tokens of the leading cached parts, up to the first
// one for which include returns false.
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

// markRead records that the engine has read the parts.
func (c *prefixCache) markRead(keys []uint64) {
	for _, key := range keys {
		if e := c.parts[key]; e != nil {
			e.Value.(*cachedPart).read = true
		}
	}
}

// add records that a request with the parts was sent, and evicts parts above the
// capacity.
func (c *prefixCache) add(keys []uint64, parts []Part) {
	// Later parts are of no use without the earlier ones. Adding in reverse order
	// evicts the earlier ones last.
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
