package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const kib, mib = 1 << 10, 1 << 20

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// machine is the memory of the smallest machine, in bytes.
const machine = 112 << 20

// fill takes n bytes for a new body.
func fill(t require.TestingT, b *Budget, account string, n int64, now time.Time) *Body {
	x := b.Begin(account, now)
	verdict, victims := b.Take(x, n, now)
	require.Equal(t, Granted, verdict)
	require.Empty(t, victims)
	return x
}

func TestLimits(t *testing.T) {
	for _, c := range []struct{ memory, maxBody, total int64 }{
		{112 << 20, 4 << 20, 14 << 20},
		{284 << 20, 4 << 20, 284 << 17},
		{0, 4 << 20, 32 << 20},
		{112 << 20, 0, 14 << 20},
	} {
		require.Equal(t, c.total, LimitsFor(c.memory, c.maxBody).Total, "%+v", c)
	}
	for _, memory := range []int64{1, 16 << 20, 112 << 20, 1 << 34} {
		for _, maxBody := range []int64{1, SmallBytes, 4 << 20, 64<<20 + 1} {
			l := LimitsFor(memory, maxBody)
			require.GreaterOrEqual(t, l.Account, maxBody, "one body at the limit is served")
			require.GreaterOrEqual(t, l.Large, l.Account)
			require.Greater(t, l.Total, l.Large, "small ones have a part of their own")
		}
	}
}

// Each case fills the large part with bodies and has another one ask for its first block.
func TestWhoYields(t *testing.T) {
	type held struct {
		account string
		bytes   int64
		// age is how long ago the body began, in seconds.
		age   float64
		whole bool
	}
	for name, c := range map[string]struct {
		held  []held
		asks  held
		wants Verdict
		// yields is the index of the body that yields, or -1.
		yields int
	}{
		"the one that is later for its size":       {[]held{{"a", 4 * mib, 3, false}, {"a", 3 * mib, 8, false}, {"a", mib, 9, false}}, held{"a", 128 * kib, 0, false}, Wait, 1},
		"the newest if none is late":               {[]held{{"a", 4 * mib, 1, false}, {"a", 4 * mib, .5, false}}, held{"a", 128 * kib, 0, false}, Yield, -1},
		"one of the account that holds most":       {[]held{{"a", 7 * mib, .1, false}, {"b", 3 * mib, 20, false}}, held{"c", mib, 0, false}, Wait, 0},
		"one of the account that asks":             {[]held{{"a", 7 * mib, 9, false}, {"b", mib, 20, false}}, held{"a", 2 * mib, 0, false}, Wait, 0},
		"the asker if the others are whole":        {[]held{{"a", 6 * mib, 9, true}, {"b", 4 * mib, 9, true}}, held{"c", mib, 0, false}, Yield, -1},
		"none for a small one":                     {[]held{{"a", 7 * mib, 9, false}, {"b", 3 * mib, 9, false}}, held{"c", 64 * kib, 0, false}, Granted, -1},
		"none for an account that holds its limit": {[]held{{"a", 8 * mib, 9, true}}, held{"b", 2 * mib, 0, false}, Granted, -1},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(LimitsFor(machine, 4*mib))
			var all []*Body
			for _, h := range c.held {
				x := fill(t, b, h.account, h.bytes, start.Add(-time.Duration(h.age*float64(time.Second))))
				if h.whole {
					require.True(t, b.Complete(x))
				}
				all = append(all, x)
			}
			asks := b.Begin(c.asks.account, start)
			verdict, victims := b.Take(asks, c.asks.bytes, start)
			require.Equal(t, c.wants, verdict)
			if c.yields < 0 {
				require.Empty(t, victims)
				return
			}
			require.Equal(t, []*Body{all[c.yields]}, victims)
			b.End(victims[0])
			verdict, _ = b.Take(asks, c.asks.bytes, start)
			require.Equal(t, Granted, verdict)
		})
	}
}

// Thousands of connections with a few bytes each, which then wait, keep no newer one out.
func TestSlowSmallBodiesYieldToNewerOnes(t *testing.T) {
	b := New(LimitsFor(machine, 4*mib))
	yielded := 0
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		x := b.Begin("", now)
		verdict, victims := b.Take(x, 4*kib, now)
		for _, y := range victims {
			b.End(y)
			yielded++
		}
		if verdict == Wait {
			verdict, _ = b.Take(x, 4*kib, now)
		}
		require.Equal(t, Granted, verdict, i)
	}
	require.Greater(t, yielded, 10_000)
}

// Bodies begin, grow, arrive whole, yield and end in any order. The sums stay within the limits, whole
// bodies never yield, and a body that waits gets its bytes once those that yield have ended.
func TestAnyOrderOfBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := LimitsFor(machine, 4*mib)
		b, now := New(limits), start
		live, done := []*Body{}, map[*Body]bool{}
		end := func(x *Body) {
			b.End(x)
			for i, y := range live {
				if x == y {
					live = append(live[:i], live[i+1:]...)
					return
				}
			}
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if len(live) == 0 || rapid.IntRange(0, 4).Draw(t, "begin") == 0 {
				live = append(live, b.Begin(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), now))
			}
			x := rapid.SampledFrom(live).Draw(t, "body")
			switch {
			case rapid.IntRange(0, 9).Draw(t, "ends") == 0:
				end(x)
			case done[x]:
			case rapid.IntRange(0, 9).Draw(t, "whole") == 0:
				done[x] = b.Complete(x)
				require.True(t, done[x])
			default:
				n := rapid.Int64Range(1, mib).Draw(t, "n")
				verdict, victims := b.Take(x, n, now)
				for _, y := range victims {
					require.NotSame(t, x, y)
					require.False(t, done[y], "whole bodies don't yield")
					require.True(t, y.Yields())
					end(y)
				}
				if verdict == Wait {
					verdict, victims = b.Take(x, n, now)
					require.Equal(t, Granted, verdict)
					require.Empty(t, victims)
				}
				if verdict == Yield {
					require.Empty(t, victims, "none yields for a body that yields itself")
					end(x)
				}
			}
			requireWithin(t, b, limits, live)
		}
		for len(live) > 0 {
			end(live[0])
		}
		require.Equal(t, bodies{}, b.all)
		require.Empty(t, b.accounts)
		require.Empty(t, b.arriving)
	})
}

// requireWithin fails if the sums of the bodies exceed the limits, or are not what the bodies hold.
func requireWithin(t require.TestingT, b *Budget, l Limits, live []*Body) {
	var all sum
	of := map[string]int64{}
	for _, x := range live {
		all.grow(0, x.held)
		of[x.account.name] += largePart(x.held)
	}
	require.Equal(t, all, b.all.held)
	require.LessOrEqual(t, all.all, l.Total)
	require.LessOrEqual(t, all.large, l.Large)
	for account, large := range of {
		require.LessOrEqual(t, large, l.Account, account)
	}
}

// One account sends large bodies that stop short of their end, as fast as it can. Another one's body at
// the limit, and small ones of all, are taken all the time.
func TestOneAccountDoesNotKeepOutOthers(t *testing.T) {
	const block = 16 * kib
	b, now := New(LimitsFor(machine, 4*mib)), start
	take := func(x *Body) bool {
		for {
			verdict, victims := b.Take(x, block, now)
			for _, y := range victims {
				b.End(y)
			}
			if verdict == Yield {
				b.End(x)
			}
			if verdict != Wait {
				return verdict == Granted
			}
		}
	}
	var crowd []*Body
	for range 60 {
		crowd = append(crowd, b.Begin("crowd", now))
	}
	for range 20 {
		ordinary := b.Begin("ordinary", now)
		for range 4 * mib / block {
			now = now.Add(time.Millisecond)
			for i, x := range crowd {
				if x.Yields() || !take(x) { // it has ended
					crowd[i] = b.Begin("crowd", now)
				}
			}
			require.True(t, take(ordinary))
			small := b.Begin("crowd", now)
			require.True(t, take(small))
			b.End(small)
		}
		require.True(t, b.Complete(ordinary))
		b.End(ordinary)
	}
}
