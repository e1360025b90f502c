package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func nodes(n int) []Node {
	out := make([]Node, n)
	for i := range out {
		out[i] = Node{ID: fmt.Sprintf("host-%03d", i), Weight: 1}
	}
	return out
}

func TestBestIsFirstOfOrder(t *testing.T) {
	all := nodes(17)
	for k := range 500 {
		key := KeyOf(fmt.Sprint("key", k))
		require.Equal(t, Order(key, all)[0], Best(key, all))
	}
	require.Equal(t, -1, Best(1, nil))
}

func TestOrderIgnoresInputOrder(t *testing.T) {
	all := nodes(9)
	reversed := make([]Node, len(all))
	for i, n := range all {
		reversed[len(all)-1-i] = n
	}
	for k := range 100 {
		key := uint64(k) * 7919
		a, b := Order(key, all), Order(key, reversed)
		for i := range a {
			require.Equal(t, all[a[i]].ID, reversed[b[i]].ID)
		}
	}
}

func TestLossMovesOnlyTheLostNodesKeys(t *testing.T) {
	all := nodes(16)
	rest := all[1:]
	moved := 0
	const keys = 8000
	for k := range keys {
		key := KeyOf(fmt.Sprint("account", k))
		before := all[Best(key, all)].ID
		after := rest[Best(key, rest)].ID
		if before == all[0].ID {
			moved++
			continue
		}
		require.Equal(t, before, after)
	}
	require.InDelta(t, keys/16, moved, keys/16*0.2)
}

func TestSharesFollowWeights(t *testing.T) {
	all := nodes(4)
	all[0].Weight = 3
	all[3].Weight = 0
	counts := make([]int, len(all))
	const keys = 20000
	for k := range keys {
		counts[Best(KeyOf(fmt.Sprint(k)), all)]++
	}
	require.InDelta(t, keys*3/5, counts[0], keys*0.02)
	require.InDelta(t, keys/5, counts[1], keys*0.02)
	require.Zero(t, counts[3])
}

func TestZeroWeightsAreStillOrdered(t *testing.T) {
	all := nodes(3)
	for i := range all {
		all[i].Weight = 0
	}
	require.Equal(t, []int{0, 1, 2}, Order(42, all))
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{16, 64, 620} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := nodes(n)
			for b.Loop() {
				Order(42, all)
			}
		})
	}
}
