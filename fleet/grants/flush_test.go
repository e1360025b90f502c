package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

// TestReportsOfManyShardsCollectLonger guards against too much report traffic. At
// target size a host settles 16 requests a second in about 35 shards. One call to
// each owner every second would cost 4 KB/s for the calls alone.
func TestReportsOfManyShardsCollectLonger(t *testing.T) {
	b := &Manager{opts: Options{MinFlush: defaultMinFlush, MaxFlush: defaultMaxFlush}, clients: make(map[record.ShardID]*shardClient)}
	delays := make(map[int]time.Duration)
	for n := 1; n <= 60; n++ {
		a := newShardClient(b, record.ShardID(n))
		b.clients[a.id] = a
		delays[n] = a.flushDelay()
	}
	require.Equal(t, defaultMinFlush, delays[16], "no extra delay up to 16 shards")
	require.Greater(t, delays[35], 10*time.Second)
	require.Equal(t, maxShardFlush, delays[60])

	a := b.clients[1]
	a.outcomes = []record.Op{{Kind: record.KindOutcome}}
	require.LessOrEqual(t, a.flushDelay(), defaultMaxFlush, "outcomes of claims are waited for by other hosts")
}
