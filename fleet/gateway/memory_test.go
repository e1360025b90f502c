package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The bodies of a small machine don't take most of its memory, and a large one has more room for them.
func TestBodiesFollowTheMemoryOfTheMachine(t *testing.T) {
	for memory, want := range map[int64]int64{0: 64 << 20, 112 << 20: 14 << 20, 1 << 30: 128 << 20} {
		require.Equal(t, want, Limits{MemoryBytes: memory}.withDefaults().BodiesBytes, "memory %d", memory)
	}
	limits := Limits{MemoryBytes: 16 << 20}.withDefaults()
	require.Greater(t, limits.BodiesBytes, limits.BodyBytes, "a body at the limit has room")
	require.Equal(t, int64(1<<20), Limits{MemoryBytes: 1 << 30, BodiesBytes: 1 << 20}.withDefaults().BodiesBytes)
}
