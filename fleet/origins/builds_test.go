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
	"github.com/hazelworks/hazelworks/core/origin"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// Hosts of earlier builds begin streams without notes. Beside them and for a minute after, a host
// that starts does not take the listed version for the only one, also if it has not seen them.
func TestNotesAreNotWholeBesideEarlierBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memkeyed.New()
		ctx, cancel := context.WithCancel(t.Context())
		start := func(level *atomic.Uint32) *Keeper {
			nobody := func() []roster.Host { return nil }
			k := New(Options{
				Self: roster.Host{ID: "h"}, Peers: nobody, Alive: nobody, Log: log.Link(1), Stream: notesStream, Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
				ReadInterval: func() time.Duration { return time.Second },
				LowestBuild:  func() (build.Level, bool) { return build.Level(level.Load()), true },
			})
			go func() { _ = k.Run(ctx) }()
			go func() {
				for ctx.Err() == nil {
					k.SetUpstreams([]catalog.Upstream{historyUpstream("v2")})
					k.ListRead()
					time.Sleep(time.Second)
				}
			}()
			return k
		}
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		v2 := origin.VersionOf(historyUpstream("v2"))
		var mixed, alone atomic.Uint32
		alone.Store(uint32(build.Stated))

		first := start(&mixed)
		time.Sleep(10 * time.Second)
		require.Equal(t, origin.Unknown, first.Sole("llm"), "v1 may have served at the earlier build, and left")
		mixed.Store(uint32(build.Stated))
		time.Sleep(5 * time.Second)
		second := start(&alone)
		time.Sleep(10 * time.Second)
		require.Equal(t, origin.Unknown, second.Sole("llm"), "the earlier build was listed 15 s ago")
		time.Sleep(origin.Lifetime)
		third := start(&alone)
		time.Sleep(5 * time.Second)
		for _, k := range []*Keeper{first, second, third} {
			require.Equal(t, v2, k.Sole("llm"))
		}
	})
}

// A fleet in which all hosts state their builds goes by its notes at once.
func TestNotesAreWholeAmongHostsOfThisBuild(t *testing.T) {
	k := &Keeper{opt: Options{LowestBuild: func() (build.Level, bool) { return build.Stated, true }}, changed: make(chan struct{})}
	require.False(t, k.whole(), "the builds of the others are not known yet")
	k.observeBuilds(time.Now())
	require.True(t, k.whole())
}
