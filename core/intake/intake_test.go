package intake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const kib, mib = 1 << 10, 1 << 20

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// machine is the memory of the smallest machine, in bytes.
const machine = 112 << 20

// take takes n bytes for a body, and ends those that yield. It returns whether the body got them.
func take(t require.TestingT, b *Budget, x *Body, n int64, now time.Time) (granted bool, ended []*Body) {
	verdict, ended := b.Take(x, n, now)
	for _, y := range ended {
		require.True(t, y.Yields())
		b.End(y)
	}
	if verdict == Wait {
		verdict, _ = b.Take(x, n, now)
		require.Equal(t, Granted, verdict, "the bytes are free once those that yield have ended")
	}
	if verdict == Yield {
		require.Empty(t, ended, "none yields for a body that yields itself")
		b.End(x)
	}
	return verdict == Granted, ended
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
		held    []held
		asks    held
		granted bool
		// yields is the index of the body that yields, or -1.
		yields int
	}{
		"the one that is later for its size":       {[]held{{"a", 4 * mib, 3, false}, {"a", 3 * mib, 8, false}, {"a", mib, 9, false}}, held{"a", 128 * kib, 0, false}, true, 1},
		"the newest if none is late":               {[]held{{"a", 4 * mib, 1, false}, {"a", 4 * mib, .5, false}}, held{"a", 128 * kib, 0, false}, false, -1},
		"one of the account that holds most":       {[]held{{"a", 7 * mib, .1, false}, {"b", 3 * mib, 4, false}}, held{"c", mib, 0, false}, true, 0},
		"one that stands still for seconds":        {[]held{{"a", 7 * mib, .1, false}, {"b", 3 * mib, 20, false}}, held{"c", mib, 0, false}, true, 1},
		"one of the account that asks":             {[]held{{"a", 7 * mib, 9, false}, {"b", mib, 20, false}}, held{"a", 2 * mib, 0, false}, true, 0},
		"one of an account at its limit":           {[]held{{"a", 7 * mib, 9, true}, {"a", mib / 2, 9, false}, {"b", 2 * mib, 20, false}}, held{"a", mib * 3 / 4, 0, false}, true, 1},
		"the asker if the others are whole":        {[]held{{"a", 6 * mib, 9, true}, {"b", 4 * mib, 9, true}}, held{"c", mib, 0, false}, false, -1},
		"none for a small one":                     {[]held{{"a", 7 * mib, 9, false}, {"b", 3 * mib, 9, false}}, held{"c", 64 * kib, 0, false}, true, -1},
		"none for an account that holds its limit": {[]held{{"a", 8 * mib, 9, true}}, held{"b", 2 * mib, 0, false}, true, -1},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(LimitsFor(machine, 4*mib))
			var all []*Body
			for _, h := range c.held {
				began := start.Add(-time.Duration(h.age * float64(time.Second)))
				x := b.Begin(h.account, began)
				granted, _ := take(t, b, x, h.bytes, began)
				require.True(t, granted)
				require.True(t, !h.whole || b.Complete(x))
				all = append(all, x)
			}
			granted, ended := take(t, b, b.Begin(c.asks.account, start), c.asks.bytes, start)
			require.Equal(t, c.granted, granted)
			if c.yields < 0 {
				require.Empty(t, ended)
				return
			}
			require.Equal(t, []*Body{all[c.yields]}, ended)
		})
	}
}

// Thousands of connections with a few bytes each, which then wait, keep no newer one out.
func TestSlowSmallBodiesYieldToNewerOnes(t *testing.T) {
	b := New(LimitsFor(machine, 4*mib))
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		granted, _ := take(t, b, b.Begin("", now), 4*kib, now)
		require.True(t, granted, i)
		require.LessOrEqual(t, b.Held(), b.limits.Total)
	}
}

// Bodies begin, grow, arrive whole, yield and end in any order. The sums stay within the limits, and whole
// bodies never yield.
func TestAnyOrderOfBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := LimitsFor(machine, 4*mib)
		b, now := New(limits), start
		live, whole := []*Body{}, map[*Body]bool{}
		forget := func(x *Body) { live = slices.DeleteFunc(live, func(y *Body) bool { return x == y }) }
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if len(live) == 0 || rapid.IntRange(0, 4).Draw(t, "begin") == 0 {
				live = append(live, b.Begin(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), now))
			}
			x, action := rapid.SampledFrom(live).Draw(t, "body"), rapid.IntRange(0, 9).Draw(t, "action")
			switch {
			case action == 0:
				b.End(x)
				forget(x)
			case action == 1 && !whole[x]:
				whole[x] = b.Complete(x)
			case !whole[x]:
				granted, ended := take(t, b, x, rapid.Int64Range(1, mib).Draw(t, "n"), now)
				for _, y := range ended {
					require.False(t, whole[y])
					forget(y)
				}
				if !granted {
					forget(x)
				}
			}
			requireWithin(t, b, limits, live)
		}
		for _, x := range live {
			b.End(x)
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
		require.LessOrEqual(t, of[x.account.name], l.Account)
	}
	require.Equal(t, all, b.all.held)
	require.LessOrEqual(t, all.all, l.Total)
	require.LessOrEqual(t, all.large, l.Large)
}

// One account sends large bodies that stop short of their end, as fast as it can. Another one's body at
// the limit, and small ones of all, are taken all the time.
func TestOneAccountDoesNotKeepOutOthers(t *testing.T) {
	const block = 16 * kib
	b, now := New(LimitsFor(machine, 4*mib)), start
	crowd := make([]*Body, 60)
	for range 20 {
		ordinary := b.Begin("ordinary", now)
		for range 4 * mib / block {
			now = now.Add(time.Millisecond)
			for i, x := range crowd {
				if x == nil || x.Yields() {
					crowd[i] = b.Begin("crowd", now)
				}
				_, _ = take(t, b, crowd[i], block, now)
			}
			small := b.Begin("crowd", now)
			for _, x := range []*Body{ordinary, small} {
				granted, _ := take(t, b, x, block, now)
				require.True(t, granted)
			}
			b.End(small)
		}
		require.True(t, b.Complete(ordinary))
		b.End(ordinary)
	}
}

// A body at the limit of the settings fits, and without one the largest size that does is known.
func TestSingleBodyFits(t *testing.T) {
	for _, memory := range []int64{0, 1 << 20, 112 << 20, 284 << 20} {
		for _, maxBody := range []int64{0, 1, 64 << 10, 4 << 20, 64 << 20} {
			limits := LimitsFor(memory, maxBody)
			largest := limits.Body()
			require.GreaterOrEqual(t, largest, maxBody)
			for size, want := range map[int64]Verdict{largest: Granted, largest + 1: Yield} {
				b := New(limits)
				verdict, _ := b.Take(b.Begin("a", time.Time{}), size, time.Time{})
				require.Equal(t, want, verdict, "%d of %+v", size, limits)
			}
		}
	}
}
