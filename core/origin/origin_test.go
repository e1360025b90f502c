package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/catalog"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Two versions of a service, and one of another service with the same text.
var (
	v1    = VersionOf(catalog.Upstream{Service: "llm", Version: "v1"})
	v2    = VersionOf(catalog.Upstream{Service: "llm", Version: "v2"})
	other = VersionOf(catalog.Upstream{Service: "desk", Version: "v1"})
)

func TestVersionsOfServicesDiffer(t *testing.T) {
	require.NotEqual(t, v1, v2)
	require.NotEqual(t, v1, other)
	require.NotEqual(t, KeyOf("a", "r1"), KeyOf("b", "r1"), "another account's request")
}

func TestStreamsAreRememberedForTheirLifetime(t *testing.T) {
	table := NewTable()
	require.Equal(t, Unknown, table.Lookup(1, start))
	table.Record(1, v1, start)
	table.Record(1, v1, start.Add(time.Second))
	require.Equal(t, v1, table.Lookup(1, start.Add(Lifetime-1)))
	require.Equal(t, Unknown, table.Lookup(1, start.Add(Lifetime)))
	require.Zero(t, table.Len())
}

// A caller that begins two streams under one ID may take up either.
func TestStreamWithTwoOriginsHasNone(t *testing.T) {
	table := NewTable()
	table.Record(1, v1, start)
	table.Record(1, v2, start)
	table.Record(1, v1, start)
	require.Equal(t, Unknown, table.Lookup(1, start))
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxStreams {
		table.Record(Key(i), v1, start)
		require.LessOrEqual(t, table.Len(), maxStreams)
		require.LessOrEqual(t, len(table.recorded), 2*maxStreams+1)
	}
	require.Equal(t, v1, table.Lookup(3*maxStreams-1, start))
	require.Equal(t, Unknown, table.Lookup(0, start))
}

func TestSoleVersionNeedsAWholeHistory(t *testing.T) {
	h := NewHistory(time.Time{})
	require.Equal(t, Unknown, h.Sole(start), "the list was never read")
	h.Observe([]Version{v1, v1}, start)
	require.Equal(t, Unknown, h.Sole(start.Add(Lifetime-1)), "another version may have served before")
	require.Equal(t, v1, h.Sole(start.Add(Lifetime)))

	now := start.Add(2 * Lifetime)
	h.Observe([]Version{v1, v2}, now)
	require.Equal(t, Unknown, h.Sole(now))
	h.Observe([]Version{v2}, now.Add(time.Second))
	require.Equal(t, Unknown, h.Sole(now.Add(Lifetime)), "streams of the version that has left may be taken up")
	require.Equal(t, v2, h.Sole(now.Add(time.Second+Lifetime)))

	h.Gap(now.Add(3 * Lifetime))
	require.Equal(t, Unknown, h.Sole(now.Add(3*Lifetime+1)), "another version may have come and gone")
	require.Equal(t, v2, h.Sole(now.Add(4*Lifetime)))
}

// All hosts start again at once. The log tells which versions had served before.
func TestSoleVersionAfterARestartOfAllHosts(t *testing.T) {
	h := NewHistory(time.Time{})
	h.Note([]Version{v1}, true, start)
	h.Observe([]Version{v1}, start.Add(1))
	require.Equal(t, Unknown, h.Sole(start.Add(1)), "a version may have been noted and have left since the notes were read")
	h.Note([]Version{v1}, true, start.Add(1))
	require.Equal(t, v1, h.Sole(start.Add(1)))
	h.Gap(start.Add(2))
	require.Equal(t, Unknown, h.Sole(start.Add(2)))
	h.Note([]Version{v1, v2}, true, start.Add(2*time.Second))
	require.Equal(t, Unknown, h.Sole(start.Add(2*time.Second)))
	require.Equal(t, v1, h.Sole(start.Add(Lifetime+2)), "by then all streams of the other have ended")
}

// The log comes back from an older copy, in which the note of a version is missing.
func TestSoleVersionAfterTheLogLostNotes(t *testing.T) {
	h := NewHistory(time.Time{})
	h.Observe([]Version{v1}, start)
	h.Note([]Version{v1, v2}, true, start)
	now := start.Add(time.Second)
	h.Rewind(now)
	h.Note([]Version{v1}, false, now)
	require.Equal(t, []Version{v2}, h.Unnoted(now), "it has to be noted again")
	require.Equal(t, Unknown, h.Sole(now))
	h.Note([]Version{v1}, true, now)
	require.Equal(t, Unknown, h.Sole(now))
	require.False(t, h.Left(v2, now))

	restarted := NewHistory(now)
	restarted.Observe([]Version{v1}, now)
	restarted.Note([]Version{v1}, false, now)
	require.Equal(t, Unknown, restarted.Sole(now), "notes may be missing")
	restarted.Note([]Version{v1}, true, now)
	require.Equal(t, v1, restarted.Sole(now))
}
