package roster

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/build"
)

// A feature is used once no listed host lacks it, whether that host is heard or not, and no
// longer once one that lacks it is listed again.
func TestFeaturesWaitForTheLowestBuild(t *testing.T) {
	now := time.Unix(1000, 0)
	of := func(i int, level build.Level) Host {
		h := host(i, "a", 1)
		h.Build.Level = level
		return h
	}
	table := NewTable(of(0, 2))
	require.True(t, table.Supports(2))
	table.Upsert(of(1, 2), now)
	table.Upsert(of(2, build.Unstated), now)
	require.EqualValues(t, "h2", table.LowestBuild().ID)
	require.False(t, table.Supports(1))
	later := now.Add(time.Hour)
	require.Len(t, table.Alive(later), 1)
	require.False(t, table.Supports(1), "it may be on the other side of a partition")

	replaced := of(2, 1)
	replaced.Run = 2
	table.Upsert(replaced, later)
	require.True(t, table.Supports(1))
	require.False(t, table.Supports(2))
	table.Remove("h2")
	require.True(t, table.Supports(2))
	back := of(3, build.Unstated)
	back.Run = 3
	table.Upsert(back, later)
	require.False(t, table.Supports(1))
}

// Entries of builds that state nothing are read, as are those with fields of later builds.
func TestEntriesOfOtherBuilds(t *testing.T) {
	var old, later Host
	require.NoError(t, json.Unmarshal([]byte(`{"id":"h1","run":7,"caller":"10.0.0.1:80","peer":"10.0.0.1:90","cores":1}`), &old))
	require.Equal(t, build.Info{}, old.Build)
	require.NoError(t, json.Unmarshal([]byte(`{"id":"h1","run":7,"caller":"10.0.0.1:80","peer":"10.0.0.1:90","cores":1,"build":{"level":9,"more":[1]},"added":{"a":1}}`), &later))
	require.True(t, later.Build.Supports(9))
}
