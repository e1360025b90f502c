package route

// CacheEvent reports blocks that an upstream has added to or removed from its prompt
// cache. The events of one epoch are numbered from 1 without gaps. A new epoch starts
// with an empty cache.
type CacheEvent struct {
	Epoch   uint64   `json:"epoch"`
	Seq     uint64   `json:"seq"`
	Added   []uint64 `json:"added,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
	Cleared bool     `json:"cleared,omitempty"`
}

// hintSet is the set of blocks that an upstream has probably cached.
type hintSet struct {
	epoch  uint64
	seq    uint64
	blocks map[uint64]struct{}
}

// apply applies an event. Duplicate and older events are dropped. After a gap the known
// blocks may be wrong, so they are dropped. At most limit blocks are kept.
func (h *hintSet) apply(e CacheEvent, limit int) {
	if e.Epoch < h.epoch || (e.Epoch == h.epoch && e.Seq <= h.seq) {
		return
	}
	if e.Epoch != h.epoch || e.Seq != h.seq+1 || e.Cleared {
		h.blocks = nil
	}
	h.epoch, h.seq = e.Epoch, e.Seq
	for _, b := range e.Removed {
		delete(h.blocks, b)
	}
	if len(e.Added) > 0 && h.blocks == nil {
		h.blocks = make(map[uint64]struct{})
	}
	for _, b := range e.Added {
		if len(h.blocks) >= limit {
			return
		}
		h.blocks[b] = struct{}{}
	}
}

// match returns the number of leading blocks of a prompt that are probably cached.
func (h *hintSet) match(prefix []uint64) int {
	if len(h.blocks) == 0 {
		return 0
	}
	for n := len(prefix); n > 0; n-- {
		if _, ok := h.blocks[prefix[n-1]]; ok {
			return n
		}
	}
	return 0
}
