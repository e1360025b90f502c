package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/routes"
)

func limitOf(perSecond float64) Notice {
	return Notice{Limit: Limit{State: LimitPresent, PerSecond: perSecond}}
}

// limitedFleet is a fleet whose hosts choose between a limited upstream and another one,
// and hear of each other's requests after a delay.
type limitedFleet struct {
	pools []*Pool
	hosts int // in each domain
	now   time.Time
	rng   *rand.Rand
	lost  float64
	// onWay are the messages that have not arrived.
	onWay []limitMessage
	// sent are the times of the requests to the limited upstream.
	sent []time.Time
}

type limitMessage struct {
	to int
	at time.Time
}

const limitGossipDelay = 15 * time.Millisecond

func newLimitedFleet(domains, hosts int, perSecond, lost float64) *limitedFleet {
	f := &limitedFleet{hosts: hosts, now: start, rng: rand.New(rand.NewPCG(uint64(domains), uint64(hosts))), lost: lost}
	var names []string
	for d := range domains {
		names = append(names, fmt.Sprintf("z%d", d))
	}
	for d := range domains {
		for h := range hosts {
			p := NewPool(names[d], routes.Engine{}, rand.New(rand.NewPCG(uint64(d), uint64(h))))
			p.Sync([]catalog.Upstream{upstream(0), upstream(1)})
			if domains > 1 {
				p.SetLimitDomains(names, start)
			}
			p.ApplyNotice(upstream(0), limitOf(perSecond), start)
			f.pools = append(f.pools, p)
		}
	}
	return f
}

// run offers requests at a rate for a time.
func (f *limitedFleet) run(perSecond float64, d time.Duration) {
	const step = time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		for due := perSecond * step.Seconds(); due > 0 && f.rng.Float64() < due; due-- {
			f.request(f.rng.IntN(len(f.pools)))
		}
	}
}

func (f *limitedFleet) deliver() {
	f.onWay = slices.DeleteFunc(f.onWay, func(m limitMessage) bool {
		if m.at.After(f.now) {
			return false
		}
		f.pools[m.to].TakeToken("e0", f.now)
		return true
	})
}

func (f *limitedFleet) request(host int) {
	p := f.pools[host]
	if p.upstreams["e0"].limit.delay(f.now) > 0 || !p.TakeToken("e0", f.now) {
		return
	}
	f.sent = append(f.sent, f.now)
	first := host / f.hosts * f.hosts
	for other := first; other < first+f.hosts; other++ {
		if other != host && f.rng.Float64() >= f.lost {
			f.onWay = append(f.onWay, limitMessage{to: other, at: f.now.Add(limitGossipDelay)})
		}
	}
}

// mostInWindow returns the most requests that the limited upstream got within 4 s.
func (f *limitedFleet) mostInWindow() int {
	most, first := 0, 0
	for last := range f.sent {
		for f.sent[last].Sub(f.sent[first]) > 4*time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// All hosts together keep to a limit, at any size of the fleet and while a tenth of their
// messages is lost. They also use most of what it allows.
func TestHostsTogetherKeepALimit(t *testing.T) {
	for _, size := range []struct {
		domains, hosts int
		offered        float64
	}{{1, 1, 50}, {1, 7, 60}, {1, 49, 400}, {6, 49, 1600}, {15, 41, 2500}} {
		for _, limit := range []float64{0.5, 1.2, 1.8, 6, 20, 100} {
			t.Run(fmt.Sprintf("%dx%d hosts, %g a second", size.domains, size.hosts, limit), func(t *testing.T) {
				const length = 30 * time.Second
				f := newLimitedFleet(size.domains, size.hosts, limit, 0.1)
				f.run(size.offered, length)
				require.LessOrEqual(t, f.mostInWindow(), int(1.5*limit*4)+5)
				usable := min(limit, size.offered) * length.Seconds()
				require.GreaterOrEqual(t, float64(len(f.sent)), 0.7*usable-2)
			})
		}
	}
}

// A limit of zero leaves a probe now and then, which learns that the limit has ended.
func TestLimitOfZeroIsProbed(t *testing.T) {
	f := newLimitedFleet(6, 49, 0, 0)
	f.run(1600, 2*time.Minute)
	require.LessOrEqual(t, f.mostInWindow(), 5)
	require.NotEmpty(t, f.sent)
}

// An upstream at its limit is passed over; a caller is not sent to it in preference to one
// that failed. The limit ends with an answer that states none, or with a new start.
func TestLimitLastsUntilItIsLifted(t *testing.T) {
	p := newTestPool(2)
	require.Equal(t, News{Limit: true}, p.ApplyNotice(upstream(0), limitOf(2), start))
	require.Zero(t, p.ApplyNotice(upstream(0), limitOf(2), start))
	require.Zero(t, p.ApplyNotice(upstream(0), Notice{}, start), "an answer that says nothing changes nothing")
	for range 20 {
		choice, ok := p.Choose(&Query{Exclude: []string{"e1"}}, start)
		require.True(t, ok)
		require.Equal(t, "e1", choice.Upstream.ID)
	}
	require.Equal(t, News{Limit: true}, p.ApplyNotice(upstream(0), limitOf(3), start))
	require.Equal(t, News{Limit: true}, p.ApplyNotice(upstream(0), Notice{Limit: Limit{State: LimitAbsent}}, start))
	choice, ok := p.Choose(&Query{Exclude: []string{"e1"}}, start)
	require.True(t, ok)
	require.Equal(t, "e0", choice.Upstream.ID)

	p.ApplyNotice(upstream(0), limitOf(1), start)
	next := upstream(0)
	next.Started = 7
	p.Sync([]catalog.Upstream{next, upstream(1)})
	require.Zero(t, p.ApplyNotice(upstream(0), limitOf(1), start), "a late notice of the run before")
	require.Zero(t, p.upstreams["e0"].limit.delay(start))
}

// If all upstreams are at their limits, the choice is the one that takes a request first,
// and tells when. Each request that is promised a token delays the next one.
func TestRequestsWaitForTheNextToken(t *testing.T) {
	p := newTestPool(2)
	p.ApplyNotice(upstream(0), limitOf(1), start)
	p.ApplyNotice(upstream(1), limitOf(10), start)
	first, ok := p.Choose(&Query{}, start)
	require.True(t, ok)
	require.Equal(t, "e1", first.Upstream.ID)
	require.Positive(t, first.Delay)
	require.LessOrEqual(t, first.Delay, 200*time.Millisecond)
	require.True(t, p.TakeToken("e1", start))
	second, _ := p.Choose(&Query{}, start)
	require.InDelta(t, 200*time.Millisecond, second.Delay, float64(101*time.Millisecond))
	p.ApplyNotice(upstream(1), Notice{Leaving: true}, start)
	require.False(t, p.Accepts(upstream(1), start))
	require.True(t, p.Accepts(upstream(0), start))
}
