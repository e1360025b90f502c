package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIdleHostKeepsWatchingItsUpstreams guards against a host that stops watching all
// upstreams when one of them changes. Its next request would then go to an upstream whose
// state is outdated.
func TestIdleHostKeepsWatchingItsUpstreams(t *testing.T) {
	p := NewPool(Config{}, rand.New(rand.NewPCG(1, 1)))
	serves := []Serving{{Model: "m", Version: "1"}}
	ups := []Upstream{{ID: "a", Serves: serves, Slots: 1}, {ID: "b", Serves: serves, Slots: 1}, {ID: "c", Serves: serves, Slots: 1}}
	p.Sync(ups, time.Unix(0, 0))
	require.Empty(t, p.Watched(), "no decision has used a subset")
	require.Len(t, p.eligible(Need{Model: "m"}), 3)
	ups[0].Leaving = true
	p.Sync(ups, time.Unix(1, 0))
	require.Len(t, p.Watched(), 3)
	p.SetHosts("h1", []string{"h1", "h2"})
	require.Len(t, p.Watched(), 3)
	p.Sync(ups[:1], time.Unix(2, 0))
	require.Empty(t, p.subsets, "a need that no upstream meets is dropped")
}
