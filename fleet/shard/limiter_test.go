package shard

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// At target size, 128 owners share the log's rate. Each must stay within its part without
// communication with the others.
func TestAppendLimiterKeepsToItsShareOfTheLogRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards = 128
		const total = 250.0
		limiter := newAppendLimiter(total, func() uint32 { return shards })
		start := time.Now()
		appends := 0
		for time.Since(start) < time.Minute {
			require.NoError(t, limiter.wait(t.Context()))
			appends++
		}
		allowed := total/shards*time.Minute.Seconds() + minAppendBurst + 1
		require.LessOrEqual(t, float64(appends), allowed)
		require.GreaterOrEqual(t, float64(appends), 0.95*total/shards*time.Minute.Seconds())
	})
}

func TestAppendLimiterLetsAQuietShardAppendAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newAppendLimiter(250, func() uint32 { return 16 })
		time.Sleep(time.Minute)
		start := time.Now()
		for range minAppendBurst {
			require.NoError(t, limiter.wait(t.Context()))
		}
		require.Zero(t, time.Since(start))
	})
}
