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

// Bound on a second's requests to a cold upstream, as the users' pages state it.
func coldBound(perSecond float64) int { return int(perSecond*1.5 + 5) }

// coldFleet is a fleet in which no host hears of another's requests.
type coldFleet struct {
	names     []string
	pools     []*Pool
	perSecond float64
	rng       *rand.Rand
	now       time.Time
	// freezes is the share of requests at which their host is frozen before they leave.
	freezes     float64
	frozenUntil []time.Time
	// sent are the times at which requests leave.
	sent []time.Time
}

func coldUpstream(left time.Duration, readAt time.Time) catalog.Upstream {
	up := upstream(0)
	up.ColdLeft, up.ReadAt = left, readAt
	return up
}

func newColdFleet(hosts int, perSecond float64) *coldFleet {
	f := &coldFleet{perSecond: perSecond, rng: rand.New(rand.NewPCG(uint64(hosts), 1)), now: start, frozenUntil: make([]time.Time, hosts)}
	for i := range hosts {
		f.names = append(f.names, fmt.Sprint("h", i))
		f.pools = append(f.pools, f.newPool(i))
	}
	return f
}

func (f *coldFleet) newPool(i int) *Pool {
	p := NewPool("", routes.Engine{}, f.rng)
	p.SetCold(f.perSecond, 3*time.Second)
	p.SetSharers(f.names[i], nil)
	p.Sync([]catalog.Upstream{coldUpstream(time.Hour, start)})
	return p
}

// run has all hosts send whenever they may, for a time.
func (f *coldFleet) run(d time.Duration, each func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(5 * time.Millisecond) {
		each()
		for _, i := range f.rng.Perm(len(f.pools)) {
			choice, ok := f.pools[i].Choose(&Query{}, f.now)
			if !ok || f.now.Before(f.frozenUntil[i]) {
				continue
			}
			f.pools[i].Begin(AttemptID{Host: f.names[i], Seq: uint64(len(f.sent))}, choice.Upstream.ID, nil, 0, f.now)
			leaves := f.now
			if f.rng.Float64() < f.freezes {
				leaves = f.now.Add(time.Duration(f.rng.Float64() * float64(3*time.Second)))
				f.frozenUntil[i] = leaves
			}
			f.sent = append(f.sent, leaves)
		}
	}
}

func (f *coldFleet) mostInASecond() int {
	slices.SortFunc(f.sent, time.Time.Compare)
	most, first := 0, 0
	for last := range f.sent {
		for f.sent[last].Sub(f.sent[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// All hosts together keep to the rate at any size of the fleet, and use most of it.
func TestColdUpstreamsGetTheirRateFromAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 3, 8, 75, 617} {
		for _, perSecond := range []float64{0.4, 1, 7.7, 40, 200} {
			f := newColdFleet(hosts, perSecond)
			for _, p := range f.pools {
				p.SetMembers(f.names)
			}
			f.run(8*time.Second, func() {})
			require.LessOrEqual(t, f.mostInASecond(), max(1, int(perSecond)), "%d hosts, %g a second", hosts, perSecond)
			require.GreaterOrEqual(t, float64(len(f.sent)), 0.6*perSecond*8, "%d hosts, %g a second", hosts, perSecond)
		}
	}
}

// The bound holds although hosts are added that others don't know yet, hosts restart and forget
// what they have sent, are frozen, and hear nothing of each other.
func TestColdUpstreamsAreSafeFromHostsOutOfTouch(t *testing.T) {
	for _, hosts := range []int{3, 8, 75, 200} {
		for _, perSecond := range []float64{0.4, 1, 4, 7.7, 12} {
			f := newColdFleet(hosts, perSecond)
			known := f.names[:hosts-hosts/3] // by those that have not read the list since
			for i, p := range f.pools {
				members := f.names
				if i < len(known) && f.rng.Float64() < 0.7 {
					members = known
				}
				p.SetMembers(members)
			}
			f.freezes = 0.2
			restartedAt := make(map[int]time.Time)
			f.run(15*time.Second, func() {
				if i := f.rng.IntN(hosts); f.rng.Float64() < 0.02*float64(hosts)/8 && restartedAt[i].IsZero() {
					f.pools[i], restartedAt[i] = f.newPool(i), f.now
				}
				for i, at := range restartedAt {
					if !at.IsZero() && f.now.Sub(at) >= 1400*time.Millisecond {
						f.pools[i].SetMembers(f.names)
						restartedAt[i] = time.Time{}
					}
				}
			})
			require.LessOrEqual(t, f.mostInASecond(), coldBound(perSecond), "%d hosts, %g a second", hosts, perSecond)
		}
	}
}

// A host without a list of hosts has no part, nor one that is not on it.
func TestHostsWithoutAPartSendNothingToColdUpstreams(t *testing.T) {
	f := newColdFleet(2, 8)
	f.pools[1].SetMembers(f.names[:1])
	f.run(3*time.Second, func() {})
	require.Empty(t, f.sent)
	require.True(t, f.pools[0].Full(&Query{}, f.now))
	require.Greater(t, f.pools[0].RoomDelay(&Query{}, f.now), time.Minute)
}

// An entry that was read later ends the time in which an upstream is cold, or makes it cold again.
// An entry without a statement counts from the upstream's start.
func TestEntriesTellHowLongUpstreamsAreCold(t *testing.T) {
	p := NewPool("", routes.Engine{}, rand.New(rand.NewPCG(1, 1)))
	p.SetCold(2, 3*time.Second)
	cold := func(now time.Time) bool { return p.isCold(p.upstreams["e0"], now) }
	p.Sync([]catalog.Upstream{coldUpstream(0, start)})
	require.False(t, cold(start))
	p.Sync([]catalog.Upstream{coldUpstream(time.Second, start)})
	require.True(t, cold(start.Add(900*time.Millisecond)))
	require.False(t, cold(start.Add(time.Second)))
	p.Sync([]catalog.Upstream{coldUpstream(0, start.Add(100*time.Millisecond))})
	require.False(t, cold(start.Add(200*time.Millisecond)))

	unstated := coldUpstream(-1, start)
	unstated.Started = start.Add(-2 * time.Second).UnixMilli()
	p.Sync([]catalog.Upstream{unstated})
	require.True(t, cold(start.Add(900*time.Millisecond)))
	require.False(t, cold(start.Add(time.Second)))
}

// The upstreams of a domain that is taken back are cold until an entry says otherwise that can't
// have been written before.
func TestUpstreamsAreColdWhenTheirDomainIsTakenBack(t *testing.T) {
	p := NewPool("", routes.Engine{}, rand.New(rand.NewPCG(1, 1)))
	p.SetCold(2, 3*time.Second)
	entry := func(readAt time.Time) catalog.Upstream {
		up := coldUpstream(0, readAt)
		up.FailureDomain = "z"
		return up
	}
	p.Sync([]catalog.Upstream{entry(start), upstream(1)})
	p.SetEmptied([]string{"z"}, start)
	require.False(t, p.Accepts(entry(start), start))
	require.False(t, p.AllEmptied(&Query{}))
	require.Equal(t, 1, p.Open(start))
	p.Sync([]catalog.Upstream{entry(start.Add(time.Second))})
	require.True(t, p.AllEmptied(&Query{}))
	_, found := p.Choose(&Query{}, start)
	require.False(t, found)

	back := start.Add(2 * time.Second)
	p.SetEmptied(nil, back)
	require.True(t, p.Accepts(entry(start), back))
	p.Sync([]catalog.Upstream{entry(back.Add(time.Second))})
	require.True(t, p.isCold(p.upstreams["e0"], back.Add(time.Second)), "the entry may be an old one")
	p.Sync([]catalog.Upstream{entry(back.Add(coldDoubtTime))})
	require.False(t, p.isCold(p.upstreams["e0"], back.Add(coldDoubtTime)))
}
