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

// send places a request as a host would.
func send(t *testing.T, p *Pool, seq uint64, work *Work, now time.Time) (Ticket, Choice) {
	choice, ok := p.Choose(&Query{Work: work}, now)
	require.True(t, ok)
	ticket := Ticket{Host: "h", Run: 1, Seq: seq}
	p.Begin(ticket, choice.Upstream.ID, work, choice.Read, now)
	return ticket, choice
}

func TestSharedPromptGoesWhereItIsKept(t *testing.T) {
	p := newTestPool(4)
	ticket, first := send(t, p, 1, promptOf(7, 5000), start)
	p.First(ticket, first.Upstream.ID, start)
	p.End(ticket, first.Upstream.ID, Succeeded, start)
	_, second := send(t, p, 2, promptOf(7, 5000), start)
	require.Equal(t, first.Upstream.ID, second.Upstream.ID)
	require.Equal(t, int64(5000), second.Cached)
}

func TestBusyKeeperYields(t *testing.T) {
	p := newTestPool(4)
	_, keeper := send(t, p, 1, promptOf(7, 5000), start)
	used := map[string]int{}
	for seq := range uint64(40) {
		_, c := send(t, p, seq+2, promptOf(7, 5000), start)
		used[c.Upstream.ID]++
	}
	require.Len(t, used, 4, "a hot prompt spreads")
	require.Less(t, used[keeper.Upstream.ID], 30)
}

func TestNearbyCacheIsFetched(t *testing.T) {
	p := newTestPool(2)
	ticket, keeper := send(t, p, 1, promptOf(7, 20_000), start)
	p.First(ticket, keeper.Upstream.ID, start)
	choice, ok := p.Choose(&Query{Work: promptOf(7, 20_000), Exclude: []string{keeper.Upstream.ID}}, start)
	require.True(t, ok)
	require.NotEqual(t, keeper.Upstream.ID, choice.Upstream.ID)
	require.Equal(t, keeper.Upstream.Addr, choice.FetchFrom)
	require.Equal(t, int64(20_000), choice.Fetched)
}

func TestExcludedAndLeavingAreLastResort(t *testing.T) {
	p := newTestPool(2)
	choice, ok := p.Choose(&Query{Exclude: []string{"e0"}}, start)
	require.True(t, ok)
	require.Equal(t, "e1", choice.Upstream.ID)
	leaving := upstream(1)
	leaving.Leaving = true
	p.Sync([]catalog.Upstream{upstream(0), leaving})
	choice, ok = p.Choose(&Query{Exclude: []string{"e0"}}, start)
	require.True(t, ok, "one that was tried is better than none")
	require.Equal(t, "e0", choice.Upstream.ID)
	p.Sync([]catalog.Upstream{leaving})
	_, ok = p.Choose(&Query{}, start)
	require.False(t, ok)
}

// TestFailingUpstreamIsAvoidedAndTriedAgain replays an upstream that fails for a
// moment.
func TestFailingUpstreamIsAvoidedAndTriedAgain(t *testing.T) {
	p := newTestPool(3)
	for seq := range uint64(10) {
		ticket := Ticket{Host: "h", Run: 1, Seq: seq}
		p.Begin(ticket, "e1", nil, 0, start)
		p.End(ticket, "e1", Failed, start)
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
	require.Positive(t, used(start.Add(10*memory)))
}

// TestAllFailingAlikeAreAllUsed replays requests that fail wherever they run.
func TestAllFailingAlikeAreAllUsed(t *testing.T) {
	p := newTestPool(3)
	for seq := range uint64(30) {
		id := fmt.Sprintf("e%d", seq%3)
		ticket := Ticket{Host: "h", Run: 1, Seq: seq}
		p.Begin(ticket, id, nil, 0, start)
		p.End(ticket, id, Failed, start)
	}
	used := map[string]bool{}
	for range 60 {
		c, _ := p.Choose(&Query{}, start)
		used[c.Upstream.ID] = true
	}
	require.Len(t, used, 3)
}

func TestNewStartKeepsNothing(t *testing.T) {
	p := newTestPool(1)
	send(t, p, 1, promptOf(7, 5000), start)
	again := upstream(0)
	again.Started = 2
	p.Sync([]catalog.Upstream{again})
	c, ok := p.Choose(&Query{Work: promptOf(7, 5000)}, start)
	require.True(t, ok)
	require.Zero(t, c.Cached)
	require.Zero(t, c.Running)
}

func TestRequestsOfADeadHostAreForgotten(t *testing.T) {
	p := newTestPool(1)
	for seq := range uint64(5) {
		p.Begin(Ticket{Host: "h", Run: 1, Seq: seq + 1}, "e0", promptOf(seq, 1000), time.Second, start)
	}
	p.Forget("h", 1, 4, start)
	c, _ := p.Choose(&Query{}, start)
	require.Equal(t, 2, c.Running)
	p.Forget("h", 2, 1, start)
	c, _ = p.Choose(&Query{Work: promptOf(9, 1000)}, start)
	require.Zero(t, c.Running)
	require.Zero(t, c.Wait)
}

func TestPaceAndSlownessAreLearned(t *testing.T) {
	p := newTestPool(1)
	before, _ := p.Choose(&Query{Work: promptOf(7, 5000)}, start)
	for range 200 {
		p.Pace(60 * time.Millisecond)
		p.Learn(before, 2*(before.Wait+before.Read))
	}
	after, _ := p.Choose(&Query{Work: promptOf(7, 5000)}, start)
	require.InDelta(t, 20*60*time.Millisecond, after.Generate, float64(10*time.Millisecond))
	require.Greater(t, after.Read, 3*before.Read/2)
	p.Learn(Choice{}, time.Second) // nothing was expected, nothing is learned
}

// TestUnreadPromptIsNotFetched replays requests that share a prompt and come at once:
// until an engine has read it, no other can fetch it.
func TestUnreadPromptIsNotFetched(t *testing.T) {
	p := newTestPool(2)
	ticket, keeper := send(t, p, 1, promptOf(7, 20_000), start)
	q := &Query{Work: promptOf(7, 20_000), Exclude: []string{keeper.Upstream.ID}}
	choice, _ := p.Choose(q, start)
	require.False(t, choice.FetchFrom.IsValid())
	p.First(ticket, keeper.Upstream.ID, start)
	choice, _ = p.Choose(q, start)
	require.Equal(t, keeper.Upstream.Addr, choice.FetchFrom)
}
