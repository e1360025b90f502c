package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

var start = time.Unix(1_000_000, 0)

func ids(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%03d", prefix, i)
	}
	return out
}

func upstreams(n, slots int) []Upstream {
	out := make([]Upstream, n)
	for i, id := range ids("worker", n) {
		out[i] = Upstream{ID: id, Slots: slots}
	}
	return out
}

func newTestPool(cfg Config, ups []Upstream) *Pool {
	p := NewPool(cfg, rand.New(rand.NewPCG(7, 7)))
	p.Sync(ups, start)
	return p
}

func TestOnlyEligibleUpstreamsAreChosen(t *testing.T) {
	full := Serving{Model: "m", Version: "2", Adapters: []string{"a"}}
	cases := []struct {
		name string
		up   Upstream
		need Need
		able bool
	}{
		{"serves any", Upstream{AnyModel: true}, Need{Model: "m"}, true},
		{"serves none", Upstream{}, Need{Model: "m"}, false},
		{"model", Upstream{Serves: []Serving{full}}, Need{Model: "m"}, true},
		{"other model", Upstream{Serves: []Serving{full}}, Need{Model: "n"}, false},
		{"version", Upstream{Serves: []Serving{full}}, Need{Model: "m", Version: "2"}, true},
		{"old version", Upstream{Serves: []Serving{full}}, Need{Model: "m", Version: "1"}, false},
		{"adapter", Upstream{Serves: []Serving{full}}, Need{Model: "m", Adapter: "a"}, true},
		{"missing adapter", Upstream{Serves: []Serving{full}}, Need{Model: "m", Adapter: "b"}, false},
		{"role", Upstream{Role: "prefill"}, Need{Role: "prefill"}, true},
		{"part of a request only", Upstream{Role: "prefill"}, Need{}, false},
		{"leaving", Upstream{Leaving: true}, Need{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.up.ID = "only"
			p := newTestPool(Config{}, []Upstream{c.up})
			d := p.Decide(&Query{Need: c.need}, start)
			require.Equal(t, c.able, d.Chosen != nil)
			if !c.able {
				require.Equal(t, ReasonNoneEligible, d.Reason)
			}
		})
	}
}

func hashes(ids []string) []uint64 {
	out := make([]uint64, len(ids))
	for i, id := range ids {
		out[i] = rendezvous.KeyOf(id)
	}
	return out
}

func TestSubsetsCoverUpstreamsEvenly(t *testing.T) {
	for _, n := range []struct{ hosts, ups, size int }{{8, 12, 20}, {40, 85, 20}, {620, 200, 20}} {
		hosts, ups := hashes(ids("host", n.hosts)), hashes(ids("worker", n.ups))
		users := make([]int, n.ups)
		for _, h := range hosts {
			for _, i := range Subset(h, hosts, ups, n.size) {
				users[i]++
			}
		}
		even := float64(n.hosts*min(n.size, n.ups)) / float64(n.ups)
		for i := range users {
			require.GreaterOrEqual(t, users[i], int(even*0.75), "upstream %d of %+v", i, n)
			require.LessOrEqual(t, users[i], int(math.Ceil(even))+1, "upstream %d of %+v", i, n)
		}
	}
}

func TestLossOfAHostMovesFewSubsetMembers(t *testing.T) {
	hosts, ups := hashes(ids("host", 60)), hashes(ids("worker", 200))
	kept, total := 0, 0
	for _, h := range hosts[1:] {
		before := make(map[int]bool)
		for _, i := range Subset(h, hosts, ups, 20) {
			before[i] = true
		}
		for _, i := range Subset(h, hosts[1:], ups, 20) {
			total++
			if before[i] {
				kept++
			}
		}
	}
	require.Greater(t, float64(kept)/float64(total), 0.85)
}

func TestPrefixAffinityHoldsUntilTheLoadBound(t *testing.T) {
	p := newTestPool(Config{}, upstreams(10, 8))
	q := &Query{Prefix: []uint64{11, 12, 13}}
	first := p.Decide(q, start)
	require.Equal(t, ReasonPrefix, first.Reason)
	for _, u := range p.Upstreams() { // an even load of 4
		for range 4 {
			p.Start(u)
		}
	}
	require.Equal(t, first.Chosen, p.Decide(q, start).Chosen)
	p.Start(first.Chosen)
	p.Start(first.Chosen) // 6 of a mean of 4.2: one more is above 1.25 times
	second := p.Decide(q, start)
	require.NotEqual(t, first.Chosen, second.Chosen)
	require.Equal(t, ReasonPrefix, second.Reason)
}

func TestCacheHintsAreForgottenAfterAGap(t *testing.T) {
	p := newTestPool(Config{}, upstreams(4, 8))
	q := &Query{Prefix: []uint64{1, 2, 3}}
	hashed := p.Decide(q, start).Chosen
	other := p.Upstreams()[0]
	if other == hashed {
		other = p.Upstreams()[1]
	}
	p.CacheEvent(other.ID(), CacheEvent{Epoch: 5, Seq: 1, Added: []uint64{1, 2}})
	d := p.Decide(q, start)
	require.Equal(t, other, d.Chosen)
	require.Equal(t, ReasonCacheHint, d.Reason)
	p.CacheEvent(other.ID(), CacheEvent{Epoch: 5, Seq: 1, Removed: []uint64{1, 2}}) // repeated
	require.Equal(t, other, p.Decide(q, start).Chosen)
	p.CacheEvent(other.ID(), CacheEvent{Epoch: 5, Seq: 3, Added: []uint64{9}}) // gap
	require.Equal(t, hashed, p.Decide(q, start).Chosen)
	p.CacheEvent(other.ID(), CacheEvent{Epoch: 5, Seq: 4, Added: []uint64{1, 2}})
	require.Equal(t, other, p.Decide(q, start).Chosen)
	p.CacheEvent(other.ID(), CacheEvent{Epoch: 4, Seq: 9, Added: []uint64{3}}) // late
	require.Equal(t, other, p.Decide(q, start).Chosen)
	p.CacheEvent(other.ID(), CacheEvent{Epoch: 6, Seq: 1}) // restarted
	require.Equal(t, hashed, p.Decide(q, start).Chosen)
}

func fail(p *Pool, u *UpstreamState, times int) {
	for range times {
		p.Start(u)
		p.Finish(u, Failed, start)
	}
}

func TestEjectionAndReentry(t *testing.T) {
	p := newTestPool(Config{}, upstreams(3, 8))
	bad := p.Upstreams()[0]
	p.Decide(&Query{}, start)
	fail(p, bad, 5)
	require.Equal(t, StateEjected, bad.State())
	for range 50 {
		require.NotEqual(t, bad, p.Decide(&Query{}, start).Chosen)
	}
	require.Empty(t, p.ProbesDue(start))
	later := start.Add(5 * time.Second)
	require.Equal(t, []string{bad.ID()}, p.ProbesDue(later))
	p.Probed(bad.ID(), false, later)
	require.Empty(t, p.ProbesDue(later.Add(9*time.Second)), "the second ejection is twice as long")
	later = later.Add(10 * time.Second)
	p.Probed(bad.ID(), true, later)
	require.Equal(t, StateProbing, bad.State())
	for range 3 {
		d := p.Decide(&Query{}, later)
		require.Equal(t, bad, d.Chosen)
		require.Equal(t, ReasonProbe, d.Reason)
		p.Start(bad)
		require.NotEqual(t, bad, p.Decide(&Query{}, later).Chosen, "one at a time")
		p.Finish(bad, Succeeded, later)
	}
	require.Equal(t, StateLive, bad.State())
}

// TestNonRepeatableRequestsAreNotUsedAsProbes also checks that polls alone return an upstream
// to the live state if no request may be used as a probe.
func TestNonRepeatableRequestsAreNotUsedAsProbes(t *testing.T) {
	p := newTestPool(Config{}, upstreams(3, 100))
	bad := p.Upstreams()[0]
	p.Decide(&Query{}, start)
	fail(p, bad, 5)
	later := start.Add(5 * time.Second)
	p.Probed(bad.ID(), true, later)
	for range 100 {
		for _, prefix := range [][]uint64{nil, {p.rng.Uint64()}} {
			require.NotEqual(t, bad, p.Decide(&Query{NoProbe: true, Prefix: prefix}, later).Chosen)
		}
	}
	for range 3 {
		require.Equal(t, StateProbing, bad.State())
		p.Probed(bad.ID(), true, later)
	}
	require.Equal(t, StateLive, bad.State())
}

func TestEjectionKeepsTheMinimumShareLive(t *testing.T) {
	p := newTestPool(Config{}, upstreams(10, 8))
	p.Decide(&Query{}, start)
	for _, u := range p.Upstreams() {
		fail(p, u, 5)
		u.health.failureRate = 0 // the other upstreams look healthy
	}
	ejected := 0
	for _, u := range p.Upstreams() {
		if u.State() == StateEjected {
			ejected++
		}
	}
	require.Equal(t, 5, ejected)
	require.NotNil(t, p.Decide(&Query{}, start).Chosen)
}

func TestNoneIsEjectedWhenAllFail(t *testing.T) {
	p := newTestPool(Config{}, upstreams(10, 8))
	p.Decide(&Query{}, start)
	for range 20 {
		for _, u := range p.Upstreams() {
			fail(p, u, 1)
			p.Start(u)
			p.Finish(u, Succeeded, start)
		}
	}
	for _, u := range p.Upstreams() {
		fail(p, u, 5)
		require.Equal(t, StateLive, u.State())
	}
}

func TestEjectedUpstreamsServeIfNoOtherIsLeft(t *testing.T) {
	ups := upstreams(2, 8)
	p := newTestPool(Config{}, ups)
	p.Decide(&Query{}, start)
	fail(p, p.Upstreams()[0], 5)
	ups[1].Leaving = true
	p.Sync(ups, start)
	require.Equal(t, "worker-000", p.Decide(&Query{}, start).Chosen.ID())
}

func TestNewUpstreamStartsSlowly(t *testing.T) {
	p := newTestPool(Config{}, upstreams(4, 100))
	p.Sync(upstreams(5, 100), start)
	fresh, _ := p.Upstream("worker-004")
	for _, u := range p.Upstreams() {
		if u != fresh {
			for range 50 {
				p.Start(u)
			}
		}
	}
	share := func(at time.Time) int {
		n := 0
		for range 90 {
			d := p.Decide(&Query{}, at)
			p.Start(d.Chosen)
			if d.Chosen == fresh {
				n++
			}
		}
		return n
	}
	require.LessOrEqual(t, share(start), 10)
	require.Greater(t, share(start.Add(20*time.Second)), 20)
}

func TestExcludedUpstreamsAreTheLastResort(t *testing.T) {
	p := newTestPool(Config{}, upstreams(2, 1))
	q := &Query{Exclude: []string{"worker-000"}}
	d := p.Decide(q, start)
	require.Equal(t, "worker-001", d.Chosen.ID())
	p.Start(d.Chosen)
	require.Equal(t, ReasonBusy, p.Decide(q, start).Reason, "a retry waits for another upstream")
	q.Exclude = []string{"worker-000", "worker-001"}
	require.Equal(t, "worker-000", p.Decide(q, start).Chosen.ID())
}

func TestOldReportsGiveWayToTheMean(t *testing.T) {
	p := newTestPool(Config{ReportTTL: 4 * time.Second}, upstreams(2, 8))
	idle, busy := p.Upstreams()[0], p.Upstreams()[1]
	p.Observe(busy.ID(), Report{Load: 6}, start)
	p.Observe(idle.ID(), Report{Load: 0}, start)
	choose := func(at time.Time) *UpstreamState { return p.Decide(&Query{}, at).Chosen }
	require.Equal(t, idle, choose(start))
	for age, load := range map[time.Duration]float64{0: 4.5, 2 * time.Second: 3.75, time.Minute: 0} {
		at := start.Add(age)
		pool, mean := p.usable(p.Upstreams(), nil, at)
		p.withFreeSlot(pool, mean, at)
		require.InDelta(t, load, busy.assumedLoad, 0.01, "age %s", age)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{20, 50, 200} {
		for _, prefix := range [][]uint64{nil, {1, 2, 3, 4}} {
			b.Run(fmt.Sprintf("candidates=%d/prefix=%t", n, prefix != nil), func(b *testing.B) {
				p := newTestPool(Config{SubsetSize: -1}, upstreams(n, 8))
				for i, u := range p.Upstreams() {
					p.Observe(u.ID(), Report{Load: i % 9}, start)
				}
				b.ReportAllocs()
				for b.Loop() {
					p.Decide(&Query{Prefix: prefix}, start)
				}
			})
		}
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, hosts := range []int{8, 64, 620} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			all, ups := hashes(ids("host", hosts)), hashes(ids("worker", 200))
			for b.Loop() {
				Subset(all[0], all, ups, 20)
			}
		})
	}
}
