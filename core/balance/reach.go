package balance

import (
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
)

// SetOutOfReach records whether connections of this host to one start of an upstream fail. It
// returns false if that was known.
func (p *Pool) SetOutOfReach(up catalog.Upstream, outOfReach bool, now time.Time) bool {
	u, ok := p.upstreams[up.ID]
	if !ok || !u.up.SameStart(up) || u.outOfReach() == outOfReach {
		return false
	}
	u.outOfReachSince = time.Time{}
	if outOfReach {
		u.outOfReachSince = now
	}
	return true
}

func (u *upstreamState) outOfReach() bool { return !u.outOfReachSince.IsZero() }

// OthersReached records that an upstream has answered another host.
func (p *Pool) OthersReached(id string, now time.Time) {
	if u, ok := p.upstreams[id]; ok {
		u.othersAt = now
	}
}

const (
	// othersNewsTime is the time that the news of an answer to another host may take.
	othersNewsTime = 100 * time.Millisecond
	// othersReachTime is how long after such an answer the upstream counts as within reach of
	// other hosts.
	othersReachTime = 2 * time.Second
)

// onlyOthersReach reports whether an upstream is out of reach of this host, and answers others.
func (u *upstreamState) onlyOthersReach(now time.Time) bool {
	return u.outOfReach() && u.othersAt.After(u.outOfReachSince.Add(othersNewsTime)) && now.Sub(u.othersAt) < othersReachTime
}

// elsewhere returns by how much less than cost the best upstream costs that only other hosts
// reach.
func (p *Pool) elsewhere(q *Query, keys []uint64, sources map[origin.Version]fetchSource, cost time.Duration, now time.Time) time.Duration {
	gain := time.Duration(0)
	for _, u := range p.ordered {
		if u.onlyOthersReach(now) && u.open(now) && u.fits(q) && !slices.Contains(q.Exclude, u.up.ID) {
			gain = max(gain, cost-noteCost(q, u)-p.cost(u, p.estimate(u, q.Work, keys, sources[u.version], now)))
		}
	}
	return gain
}
