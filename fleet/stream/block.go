package stream

import "math"

// blockBytes is the size from which a block is full. A block may exceed it by its
// last event.
const blockBytes = 4 << 10

// entryBytes is the memory of an event's entry besides its data.
const entryBytes = 8

// block keeps consecutive events. The first event is stored in full. The others
// store only the part that differs from it, since the events of one stream mostly
// share their start and end and differ in the text between.
type block struct {
	base     uint64
	arena    []byte
	entries  []entry
	firstLen int // length of the first event
}

// entry describes the data of one event: its start in the arena and the lengths of
// the prefix and suffix that it shares with the first event.
type entry struct {
	start  uint32
	prefix uint16
	suffix uint16
}

func (b *block) next() uint64 { return b.base + uint64(len(b.entries)) }

func (b *block) full() bool { return len(b.arena) >= blockBytes }

func (b *block) size() int { return len(b.arena) + entryBytes*len(b.entries) }

func (b *block) add(data []byte) {
	e := entry{start: uint32(len(b.arena))}
	if len(b.entries) == 0 {
		b.firstLen = len(data)
	} else {
		first := b.arena[:b.firstLen]
		prefix := commonPrefix(first, data)
		suffix := commonSuffix(first[prefix:], data[prefix:])
		e.prefix = uint16(prefix)
		e.suffix = uint16(suffix)
		data = data[prefix : len(data)-suffix]
	}
	b.arena = append(b.arena, data...)
	b.entries = append(b.entries, e)
}

// appendEvent appends the event with the given index to dst.
func (b *block) appendEvent(dst []byte, index uint64) []byte {
	i := int(index - b.base)
	e := b.entries[i]
	end := len(b.arena)
	if i+1 < len(b.entries) {
		end = int(b.entries[i+1].start)
	}
	first := b.arena[:b.firstLen]
	dst = append(dst, first[:e.prefix]...)
	dst = append(dst, b.arena[e.start:end]...)
	return append(dst, first[b.firstLen-int(e.suffix):]...)
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b), math.MaxUint16)
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b), math.MaxUint16)
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}
