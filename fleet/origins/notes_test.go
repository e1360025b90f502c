package origins

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

type countingLog struct {
	platform.KeyedLog
	writes atomic.Int64
}

func (c *countingLog) Put(ctx context.Context, stream string, w platform.Writer, r []platform.KeyedRecord) (platform.Position, error) {
	c.writes.Add(1)
	return c.KeyedLog.Put(ctx, stream, w, r)
}

// Streams that wait for a note don't each write it while the log is away.
func TestWaitingStreamsDoNotMultiplyFailedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := memkeyed.New().Link(1)
		log := &countingLog{KeyedLog: link}
		ctx, cancel := context.WithCancel(t.Context())
		nobody := func() []roster.Host { return nil }
		k := New(Options{
			Self: roster.Host{ID: "h"}, Peers: nobody, Alive: nobody, Log: log, Stream: notesStream, Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
			ReadInterval: func() time.Duration { return time.Second },
			LowestBuild:  func() (build.Level, bool) { return build.Stated, true },
		})
		go func() { _ = k.Run(ctx) }()
		k.SetUpstreams([]catalog.Upstream{historyUpstream("v1")})
		k.ListRead()
		time.Sleep(5 * time.Second)
		link.Set(memkeyed.Faults{Unavailable: true})
		before := log.writes.Load()
		for range 200 {
			go func() { _ = k.AwaitNoted(ctx, historyUpstream("v2")) }()
			time.Sleep(5 * time.Millisecond)
		}
		require.LessOrEqual(t, log.writes.Load()-before, int64(time.Second/noteRetryDelay)+1)
		cancel()
		time.Sleep(10 * time.Second)
	})
}
