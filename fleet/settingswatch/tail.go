package settingswatch

import (
	"slices"

	"github.com/hazelworks/hazelworks/core/record"
)

// Limits of a tail.
const (
	maxTailEntries = 256
	maxTailBytes   = 256 << 10
)

// tail keeps the newest entries of the settings stream, without gaps, for other hosts.
type tail struct {
	entries []record.Entry
	bytes   int
}

func (t *tail) add(e record.Entry) {
	t.entries = append(t.entries, e)
	t.bytes += len(e.Data)
	for len(t.entries) > maxTailEntries || t.bytes > maxTailBytes {
		t.bytes -= len(t.entries[0].Data)
		t.entries[0] = record.Entry{}
		t.entries = t.entries[1:]
	}
}

func (t *tail) reset() {
	*t = tail{}
}

// after returns the entries after an offset, or false if some of them are not kept.
func (t *tail) after(offset record.Offset) ([]record.Entry, bool) {
	if len(t.entries) == 0 || t.entries[0].Offset > offset+1 {
		return nil, false
	}
	i := slices.IndexFunc(t.entries, func(e record.Entry) bool { return e.Offset > offset })
	if i < 0 {
		return nil, true
	}
	return slices.Clone(t.entries[i:]), true
}
