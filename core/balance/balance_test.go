package balance

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/routes"
)

var start = time.Unix(1000, 0)

func upstream(i int) catalog.Upstream {
	return catalog.Upstream{
		ID: fmt.Sprintf("e%d", i), Slots: 64,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}
}

func newTestPool(upstreams int) *Pool {
	engine := routes.Engine{CacheTokens: 100_000, TokenBytes: 163840, LinkBits: 1e12, EventTokens: 3}
	p := NewPool("", engine, rand.New(rand.NewPCG(1, 1)))
	var ups []catalog.Upstream
	for i := range upstreams {
		ups = append(ups, upstream(i))
	}
	p.Sync(ups)
	return p
}

func promptOf(id uint64, tokens int64) *Work {
	return &Work{Input: tokens + 10, MaxOutput: 100, Hint: 60, Parts: []Part{{ID: id, Tokens: tokens}}}
}

// sendRequest chooses an upstream and records the request, as a host does.
func sendRequest(t *testing.T, p *Pool, seq uint64, work *Work, now time.Time) (AttemptID, Choice) {
	choice, ok := p.Choose(&Query{Work: work}, now)
	require.True(t, ok)
	attempt := AttemptID{Host: "h", Run: 1, Seq: seq}
	p.Begin(attempt, choice.Upstream.ID, work, choice.Read, now)
	return attempt, choice
}

func TestSharedPromptGoesToTheUpstreamThatCachesIt(t *testing.T) {
	p := newTestPool(4)
	attempt, first := sendRequest(t, p, 1, promptOf(7, 5000), start)
	p.FirstEvent(attempt, first.Upstream.ID, start)
	p.End(attempt, first.Upstream.ID, Succeeded, start)
	_, second := sendRequest(t, p, 2, promptOf(7, 5000), start)
	require.Equal(t, first.Upstream.ID, second.Upstream.ID)
	require.Equal(t, int64(5000), second.Cached)
}

func TestHotPromptSpreadsToOtherUpstreams(t *testing.T) {
	p := newTestPool(4)
	_, cachedAt := sendRequest(t, p, 1, promptOf(7, 5000), start)
	used := map[string]int{}
	for seq := range uint64(40) {
		_, c := sendRequest(t, p, seq+2, promptOf(7, 5000), start)
		used[c.Upstream.ID]++
	}
	require.Len(t, used, 4, "a frequent prompt is spread over all upstreams")
	require.Less(t, used[cachedAt.Upstream.ID], 30)
}

func TestPromptIsFetchedFromAnotherUpstreamsCache(t *testing.T) {
	p := newTestPool(2)
	attempt, cachedAt := sendRequest(t, p, 1, promptOf(7, 20_000), start)
	p.FirstEvent(attempt, cachedAt.Upstream.ID, start)
	choice, ok := p.Choose(&Query{Work: promptOf(7, 20_000), Exclude: []string{cachedAt.Upstream.ID}}, start)
	require.True(t, ok)
	require.NotEqual(t, cachedAt.Upstream.ID, choice.Upstream.ID)
	require.Equal(t, cachedAt.Upstream.Addr, choice.FetchFrom)
	require.Equal(t, int64(20_000), choice.Fetched)
}

func TestExcludedIsLastResortAndLeavingIsNotChosen(t *testing.T) {
	p := newTestPool(2)
	choice, ok := p.Choose(&Query{Exclude: []string{"e0"}}, start)
	require.True(t, ok)
	require.Equal(t, "e1", choice.Upstream.ID)
	leaving := upstream(1)
	leaving.Leaving = true
	p.Sync([]catalog.Upstream{upstream(0), leaving})
	choice, ok = p.Choose(&Query{Exclude: []string{"e0"}}, start)
	require.True(t, ok, "an upstream that was tried is used if there is no other")
	require.Equal(t, "e0", choice.Upstream.ID)
	p.Sync([]catalog.Upstream{leaving})
	_, ok = p.Choose(&Query{}, start)
	require.False(t, ok)
}

// TestFailingUpstreamIsAvoidedAndTriedAgain guards against an upstream that is never
// tried again after it failed for a moment.
func TestFailingUpstreamIsAvoidedAndTriedAgain(t *testing.T) {
	p := newTestPool(3)
	for seq := range uint64(10) {
		attempt := AttemptID{Host: "h", Run: 1, Seq: seq}
		p.Begin(attempt, "e1", nil, 0, start)
		p.End(attempt, "e1", Failed, start)
	}
	used := func(now time.Time) int {
		n := 0
		for range 60 {
			c, _ := p.Choose(&Query{}, now)
			if c.Upstream.ID == "e1" {
				n++
			}
		}
		return n
	}
	require.Zero(t, used(start))
	require.Positive(t, used(start.Add(10*outcomeHalfLife)))
}

// TestEquallyFailingUpstreamsStayInUse guards against avoiding upstreams because of
// requests that fail wherever they run.
func TestEquallyFailingUpstreamsStayInUse(t *testing.T) {
	p := newTestPool(3)
	for seq := range uint64(30) {
		id := fmt.Sprintf("e%d", seq%3)
		attempt := AttemptID{Host: "h", Run: 1, Seq: seq}
		p.Begin(attempt, id, nil, 0, start)
		p.End(attempt, id, Failed, start)
	}
	used := map[string]bool{}
	for range 60 {
		c, _ := p.Choose(&Query{}, start)
		used[c.Upstream.ID] = true
	}
	require.Len(t, used, 3)
}

func TestRestartedUpstreamBeginsWithoutState(t *testing.T) {
	p := newTestPool(1)
	sendRequest(t, p, 1, promptOf(7, 5000), start)
	restarted := upstream(0)
	restarted.Started = 2
	p.Sync([]catalog.Upstream{restarted})
	c, ok := p.Choose(&Query{Work: promptOf(7, 5000)}, start)
	require.True(t, ok)
	require.Zero(t, c.Cached)
	require.Zero(t, c.Running)
}

func TestEndedRequestsOfAHostAreDropped(t *testing.T) {
	p := newTestPool(1)
	for seq := range uint64(5) {
		p.Begin(AttemptID{Host: "h", Run: 1, Seq: seq + 1}, "e0", promptOf(seq, 1000), time.Second, start)
	}
	p.DropEnded("h", 1, 4, start)
	c, _ := p.Choose(&Query{}, start)
	require.Equal(t, 2, c.Running)
	p.DropEnded("h", 2, 1, start)
	c, _ = p.Choose(&Query{Work: promptOf(9, 1000)}, start)
	require.Zero(t, c.Running)
	require.Zero(t, c.Wait)
}

func TestEventIntervalAndLatencyFactorAreLearned(t *testing.T) {
	p := newTestPool(1)
	before, _ := p.Choose(&Query{Work: promptOf(7, 5000)}, start)
	for range 200 {
		p.ObserveEventInterval(60 * time.Millisecond)
		p.ObserveLatency(before, 2*(before.Wait+before.Read))
	}
	after, _ := p.Choose(&Query{Work: promptOf(7, 5000)}, start)
	require.InDelta(t, 20*60*time.Millisecond, after.Generate, float64(10*time.Millisecond))
	require.Greater(t, after.Read, 3*before.Read/2)
	p.ObserveLatency(Choice{}, time.Second) // has no estimate and is ignored
}

// TestUnreadPromptIsNotFetched guards against a fetch from a cache that has no state yet.
// Requests with the same prompt arrive at the same time; until one engine has read the
// prompt, no other engine can fetch it.
func TestUnreadPromptIsNotFetched(t *testing.T) {
	p := newTestPool(2)
	attempt, cachedAt := sendRequest(t, p, 1, promptOf(7, 20_000), start)
	q := &Query{Work: promptOf(7, 20_000), Exclude: []string{cachedAt.Upstream.ID}}
	choice, _ := p.Choose(q, start)
	require.False(t, choice.FetchFrom.IsValid())
	p.FirstEvent(attempt, cachedAt.Upstream.ID, start)
	choice, _ = p.Choose(q, start)
	require.Equal(t, cachedAt.Upstream.Addr, choice.FetchFrom)
}
