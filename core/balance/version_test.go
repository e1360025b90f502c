package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
)

// versionPool returns a pool of upstreams with the given versions.
func versionPool(versions ...string) (*Pool, []catalog.Upstream) {
	p := newTestPool(0)
	var ups []catalog.Upstream
	for i, v := range versions {
		up := upstream(i)
		up.Version = v
		ups = append(ups, up)
	}
	p.Sync(ups)
	return p, ups
}

// A stream goes on at its version only, however busy or faulty the upstreams of that version
// are, and whichever were tried.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	p, ups := versionPool("v1", "v2", "v2", "v3")
	work := promptOf(7, 5000)
	for seq := range uint64(40) {
		p.Begin(AttemptID{Host: "h", Run: 1, Seq: seq}, ups[1].ID, work, time.Second, start)
	}
	v2 := origin.VersionOf(ups[1])
	for range 20 {
		c, ok := p.Choose(&Query{Work: work, Version: v2}, start)
		require.True(t, ok)
		require.Equal(t, ups[2].ID, c.Upstream.ID)
	}
	c, ok := p.Choose(&Query{Work: work, Version: v2, Exclude: []string{ups[1].ID, ups[2].ID}}, start)
	require.True(t, ok)
	require.Equal(t, "v2", c.Upstream.Version)

	p.ApplyNotice(ups[1], Notice{Leaving: true}, start)
	p.ApplyNotice(ups[2], Notice{RetryAfter: 2 * time.Second}, start)
	_, ok = p.Choose(&Query{Work: work, Version: v2}, start)
	require.False(t, ok, "one is leaving, the other wants a pause")
	left, paused := p.NextReturn(&Query{Version: v2}, start)
	require.True(t, paused)
	require.Equal(t, 2*time.Second, left)
	_, paused = p.NextReturn(&Query{}, start)
	require.False(t, paused)
}

// The software of an upstream whose entry has lapsed may have changed.
func TestLapsedUpstreamTakesUpNoStream(t *testing.T) {
	p, ups := versionPool("v1", "v1")
	ups[0].Lapsed, ups[1].Lapsed = true, true
	p.Sync(ups)
	_, ok := p.Choose(&Query{Version: origin.VersionOf(ups[0])}, start)
	require.False(t, ok)
	_, ok = p.Choose(&Query{}, start)
	require.True(t, ok)
}

// The memory that one version has written is of no use to another.
func TestPromptIsFetchedFromTheSameVersionOnly(t *testing.T) {
	p, ups := versionPool("v1", "v2", "v2")
	work := promptOf(7, 5000)
	attempt := AttemptID{Host: "h", Run: 1, Seq: 1}
	p.Begin(attempt, ups[0].ID, work, time.Second, start)
	p.FirstEvent(attempt, ups[0].ID, start)
	p.End(attempt, ups[0].ID, Succeeded, start)
	for range 20 {
		c, ok := p.Choose(&Query{Work: work, Version: origin.VersionOf(ups[1])}, start)
		require.True(t, ok)
		require.False(t, c.FetchFrom.IsValid())
	}
}

// A stream begins where it can go on if its upstream fails, unless that costs its caller more.
func TestStreamBeginsWhereItCanGoOn(t *testing.T) {
	p, ups := versionPool("v1", "v2", "v2")
	for range 50 {
		c, ok := p.Choose(&Query{Resumable: true}, start)
		require.True(t, ok)
		require.Equal(t, "v2", c.Upstream.Version)
	}
	counts := make(map[string]int)
	for range 300 {
		c, _ := p.Choose(&Query{}, start)
		counts[c.Upstream.Version]++
	}
	require.Greater(t, counts["v1"], 50, "a request that can't go on elsewhere begins anywhere")

	work := promptOf(9, 6000)
	for seq := range uint64(6) {
		p.Begin(AttemptID{Host: "h", Run: 1, Seq: seq}, ups[1+seq%2].ID, work, time.Second, start)
	}
	c, ok := p.Choose(&Query{Work: promptOf(11, 500), Resumable: true}, start)
	require.True(t, ok)
	require.Equal(t, "v1", c.Upstream.Version, "the others are busy")
}

// A version is listed that the log has no note of yet. Streams that may have to go on elsewhere
// begin at the others, unless there is none.
func TestStreamBeginsAtANotedVersion(t *testing.T) {
	p, ups := versionPool("v1", "v1", "v2", "v2")
	noted := map[origin.Version]bool{origin.VersionOf(ups[0]): true}
	for range 50 {
		c, ok := p.Choose(&Query{Resumable: true, Noted: noted}, start)
		require.True(t, ok)
		require.Equal(t, "v1", c.Upstream.Version)
		c, ok = p.Choose(&Query{Resumable: true, Noted: noted, Exclude: []string{ups[0].ID, ups[1].ID}}, start)
		require.True(t, ok)
		require.Equal(t, "v2", c.Upstream.Version)
		require.Zero(t, c.Elsewhere, "another host would wait as well")
	}
}
