package ledger

import (
	"slices"

	"github.com/hazelworks/hazelworks/core/record"
)

// billedKeys has the keys of the requests that a budget was billed for, by log time.
// New keys go to a map. After a segment's time span, the map becomes a sorted slice,
// which takes 8 bytes per key.
type billedKeys struct {
	sealed []segment
	active map[record.RequestKey]struct{}
	// activeFrom is the log time of the first key in active.
	activeFrom int64
	// droppedUntil is the log time up to which keys have been dropped.
	droppedUntil int64
	// count is the number of keys, active and sealed.
	count int
}

// segment has the keys billed between the log times from and to, sorted.
type segment struct {
	from int64
	to   int64
	keys []record.RequestKey
}

func (k *billedKeys) has(key record.RequestKey) bool {
	if _, ok := k.active[key]; ok {
		return true
	}
	for i := len(k.sealed) - 1; i >= 0; i-- {
		if _, ok := slices.BinarySearch(k.sealed[i].keys, key); ok {
			return true
		}
	}
	return false
}

func (k *billedKeys) add(key record.RequestKey, now, span int64) {
	if len(k.active) > 0 && now-k.activeFrom >= span {
		k.seal(now)
	}
	if k.active == nil {
		k.active = make(map[record.RequestKey]struct{})
	}
	if len(k.active) == 0 {
		k.activeFrom = now
	}
	k.active[key] = struct{}{}
	k.count++
}

// activeKeys returns the keys of the active segment, sorted.
func (k *billedKeys) activeKeys() []record.RequestKey {
	keys := make([]record.RequestKey, 0, len(k.active))
	for key := range k.active {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// seal moves the active keys to a segment that ends at now.
func (k *billedKeys) seal(now int64) {
	k.sealed = append(k.sealed, segment{from: k.activeFrom, to: now, keys: k.activeKeys()})
	k.active = nil
}

// dropBefore drops the sealed segments that end before horizon.
func (k *billedKeys) dropBefore(horizon int64) {
	for len(k.sealed) > 0 && k.sealed[0].to < horizon {
		k.dropOldest()
	}
}

func (k *billedKeys) dropOldest() {
	oldest := k.sealed[0]
	k.droppedUntil = max(k.droppedUntil, oldest.to)
	k.count -= len(oldest.keys)
	k.sealed = slices.Clone(k.sealed[1:])
}
