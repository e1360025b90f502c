package balance

import (
	"time"

	"github.com/hazelworks/hazelworks/core/origin"
)

// fetchSource is the upstream from which the most tokens of a prompt can be fetched, and their
// number.
type fetchSource struct {
	upstream *upstreamState
	tokens   int64
}

// fetchSources returns the source of each software version that has one. An upstream can't use
// the memory of another version.
func (p *Pool) fetchSources(keys []uint64, work *Work) map[origin.Version]fetchSource {
	sources := make(map[origin.Version]fetchSource, 1)
	for _, u := range p.upstreams {
		if u.emptied {
			continue // it would be asked for a transfer
		}
		if n := min(u.cache.fetchable(keys, work.Parts), work.Input-1); n > sources[u.version].tokens {
			sources[u.version] = fetchSource{upstream: u, tokens: n}
		}
	}
	return sources
}

// lastOfVersions returns the versions of which only one upstream takes requests, if the query
// is for a stream that begins and may have to go on at another upstream.
func (p *Pool) lastOfVersions(q *Query, now time.Time) map[origin.Version]bool {
	if !q.Resumable || q.Version != origin.Unknown {
		return nil
	}
	counts := make(map[origin.Version]int, 1)
	for _, u := range p.ordered {
		if u.open(now) {
			counts[u.version]++
		}
	}
	last := make(map[origin.Version]bool, len(counts))
	for version, n := range counts {
		last[version] = n == 1
	}
	return last
}

// noteCost returns the cost of waiting for the note of an upstream's version.
func noteCost(q *Query, u *upstreamState) time.Duration {
	if q.Resumable && q.Version == origin.Unknown && !q.Noted[u.version] {
		return unnotedCost
	}
	return 0
}

// fits reports whether an upstream may answer the request of a query. The software of a lapsed
// upstream may have changed.
func (u *upstreamState) fits(q *Query) bool {
	return q.Version == origin.Unknown || u.version == q.Version && !u.up.Lapsed
}
