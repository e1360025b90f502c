package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The requests that an upstream holds must not exceed its memory, because it crashes then. Callers'
// hints are a third of the answers, which is learned from those that have ended. Memory that others
// have free is used, and requests that fit nowhere wait.
func TestNoUpstreamHoldsMoreThanItsMemory(t *testing.T) {
	p := newTestPool(3) // 100,000 tokens each
	now := start
	work := func(id uint64) *Work {
		return &Work{Input: 8000, MaxOutput: 8000, Hint: 500, Parts: []Part{{ID: id, Tokens: 7000}}}
	}
	for i := range uint64(60) {
		attempt, c := sendRequest(t, p, i+1, work(i), now)
		now = now.Add(100 * time.Millisecond)
		p.FirstEvent(attempt, c.Upstream.ID, now)
		p.ObserveOutput(work(i), 1500)
		p.End(attempt, c.Upstream.ID, Succeeded, now)
	}
	held := map[string]int64{}
	sent := 0
	for i := range uint64(100) {
		q := &Query{Work: work(7)}
		choice, ok := p.Choose(q, now)
		if !ok {
			require.True(t, p.Full(q, now))
			break
		}
		require.False(t, p.Full(q, now))
		p.Begin(AttemptID{Host: "h", Run: 1, Seq: 1000 + i}, choice.Upstream.ID, q.Work, choice.Read, now)
		held[choice.Upstream.ID] += 8000 + 1500
		sent++
	}
	require.Len(t, held, 3)
	for id, tokens := range held {
		require.LessOrEqual(t, tokens, int64(100_000), id)
	}
	require.GreaterOrEqual(t, sent, 27, "none stands empty for fear of it")

	// A request that is larger than any upstream's memory is not sent; one at a time that is
	// nearly as large is.
	large := &Work{Input: 98_000, MaxOutput: 100, Parts: []Part{{ID: 9, Tokens: 98_000}}}
	fresh := newTestPool(1)
	choice, ok := fresh.Choose(&Query{Work: large}, now)
	require.True(t, ok)
	fresh.Begin(AttemptID{Host: "h", Run: 1, Seq: 1}, choice.Upstream.ID, large, choice.Read, now)
	_, ok = fresh.Choose(&Query{Work: large}, now)
	require.False(t, ok, "a second one would make it crash")
	fresh.End(AttemptID{Host: "h", Run: 1, Seq: 1}, choice.Upstream.ID, Succeeded, now)
	_, ok = fresh.Choose(&Query{Work: large}, now)
	require.True(t, ok)
}

// The requests of hosts that have died, and those whose end was not heard of, don't take room for
// ever. Those of this host, and of others that serve, stay.
func TestRequestsWithoutNewsLeaveTheCount(t *testing.T) {
	p := newTestPool(1)
	p.SetSharers("self", []string{"self", "alive", "dead"})
	for _, host := range []string{"self", "alive", "dead"} {
		p.Begin(AttemptID{Host: host, Run: 1, Seq: 1}, "e0", promptOf(1, 25_000), 0, start)
	}
	held := func(after time.Duration) int64 {
		now := start.Add(after)
		p.expire(now)
		return p.upstreams["e0"].tokens
	}
	one := held(10*time.Second) / 3
	require.Positive(t, one)
	p.SetSharers("self", []string{"self", "alive"})
	require.Equal(t, 2*one, held(12*time.Second))
	require.Equal(t, 2*one, held(50*time.Second))
	require.Equal(t, one, held(2*time.Minute))
	require.Empty(t, p.requests["dead"])
}

// A host that serves too few requests to share in anything keeps what it runs in the count while it is
// heard of, and loses it once it is not.
func TestRequestsOfAQuietHostStayInTheCount(t *testing.T) {
	p := newTestPool(1)
	p.SetSharers("self", []string{"self"})
	p.Begin(AttemptID{Host: "quiet", Run: 1, Seq: 1}, "e0", promptOf(1, 25_000), 0, start)
	for ms := 500; ms <= 20_000; ms += 500 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		p.DropEnded("quiet", 1, 1, now)
		p.expire(now)
		require.Positive(t, p.upstreams["e0"].tokens, "after %d ms", ms)
	}
	p.expire(start.Add(26 * time.Second))
	require.Zero(t, p.upstreams["e0"].tokens)
}
