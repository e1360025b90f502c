package roster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fullTable has two large and eight small hosts in a failure domain, and one large in another.
func fullTable(now time.Time) *Table {
	table := NewTable(host(0, "a", 0.8))
	table.Upsert(host(1, "a", 0.8), now)
	for i := 2; i < 10; i++ {
		table.Upsert(host(i, "a", 0.19), now)
	}
	table.Upsert(host(10, "b", 0.8), now)
	return table
}

func TestFullHostIsReplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	table := fullTable(now)
	table.SetFull("h2", 1, true, now)
	require.Equal(t, []string{"h0", "h1"}, resolve(table, "a", now), "callers are not sent to small hosts anyway")
	table.SetFull("h1", 1, true, now)
	require.Equal(t, []string{"h0", "h3"}, resolve(table, "a", now), "by one small host with room")
	require.Equal(t, []string{"h10", "h0"}, resolve(table, "b", now))
	table.SetSelfFull(true)
	require.Equal(t, []string{"h0", "h1", "h3", "h4"}, resolve(table, "a", now), "full hosts carry most: they stay while no large one has room")

	table.SetSelfFull(false)

	later := now.Add(FullTTL)
	table.RecordHeartbeat("h1", 1, State{}, later)
	require.Equal(t, []string{"h0", "h1"}, resolve(table, "a", later), "what was said long ago lapses")
	table.SetFull("h1", 2, true, later)
	require.Equal(t, []string{"h0", "h1"}, resolve(table, "a", later), "another run said it")
}

// The callers of a full host must not be sent to one other host all at once.
func TestLoadOfAFullHostIsSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	table := fullTable(now)
	table.SetFull("h1", 1, true, now)
	rng := rand.New(rand.NewPCG(1, 1))
	got := make(map[string]float64)
	const answers = 4000
	for range answers {
		addresses := table.Resolve("a", now, rng.Shuffle)
		for _, a := range addresses {
			got[a.String()] += 1 / float64(len(addresses)) / answers
		}
	}
	require.Len(t, got, 9)
	for address, share := range got {
		require.Less(t, share, 0.55, "%s", address)
		if address != "10.0.0.0:80" {
			require.Less(t, share, 0.1, "%s, a quarter of the size", address)
		}
	}
}

func TestAllHostsFullAreAllNamed(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(host(0, "a", 0.8))
	table.Upsert(host(1, "b", 0.8), now)
	table.SetFull("h1", 1, true, now)
	table.SetSelfFull(true)
	require.Equal(t, []string{"h0", "h1"}, resolve(table, "a", now))
}
