package origin

import "time"

const (
	// Lifetime is the longest time from the first event of a stream until its caller takes it
	// up again. Routes allow some seconds for an answer.
	Lifetime = time.Minute
	// maxStreams bounds the streams in a [Table]; the oldest are forgotten first.
	maxStreams = 1 << 16
)

// Table holds the versions that have begun the streams of the last [Lifetime]. It is not safe
// for concurrent use.
type Table struct {
	versions map[Key]Version
	// recorded holds the keys in the order in which they were recorded, from first on.
	recorded []recorded
	first    int
}

type recorded struct {
	key Key
	at  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{versions: make(map[Key]Version)} }

// Record records the version that has begun a stream. If two versions are recorded for one
// key, the version is unknown.
func (t *Table) Record(key Key, v Version, now time.Time) {
	t.expire(now)
	old, known := t.versions[key]
	if known {
		if old != v {
			t.versions[key] = Unknown
		}
		return
	}
	t.versions[key] = v
	t.recorded = append(t.recorded, recorded{key: key, at: now})
}

// Lookup returns the version that has begun a stream, or [Unknown].
func (t *Table) Lookup(key Key, now time.Time) Version {
	t.expire(now)
	return t.versions[key]
}

// Len returns the number of streams.
func (t *Table) Len() int { return len(t.versions) }

// expire forgets the streams that are too old or too many.
func (t *Table) expire(now time.Time) {
	for t.first < len(t.recorded) {
		r := t.recorded[t.first]
		if now.Sub(r.at) < Lifetime && len(t.recorded)-t.first < maxStreams {
			break
		}
		delete(t.versions, r.key)
		t.first++
	}
	if t.first > len(t.recorded)/2 {
		t.recorded = append(t.recorded[:0], t.recorded[t.first:]...)
		t.first = 0
	}
}
