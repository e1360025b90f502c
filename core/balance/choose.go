package balance

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
)

// Query describes a request that needs an upstream.
type Query struct {
	// Work is nil for plain services.
	Work *Work
	// Exclude lists upstreams that were tried for this request. They are used again
	// only if there is no other.
	Exclude []string
	// Version is the software version that has begun the stream, if it goes on at another
	// upstream; no other is used. It is [origin.Unknown] for requests that can begin anywhere.
	Version origin.Version
	// Resumable requests are answered by streams that can go on at another upstream.
	Resumable bool
	// Noted are the software versions at which such a stream can begin at once. At another one
	// it waits until the log has a note of the version.
	Noted map[origin.Version]bool
}

// Choice is the chosen upstream and the estimates behind the choice.
type Choice struct {
	Upstream catalog.Upstream
	// Candidates is the number of upstreams that could have been chosen.
	Candidates int
	// Wait is the estimated time until the upstream starts on the request, and Read
	// the estimated time to read the prompt.
	Wait time.Duration
	Read time.Duration
	// Delay is the time until the upstream's limit allows the request to be sent.
	Delay time.Duration
	// Generate is the estimated time from the start to the end of the answer.
	Generate time.Duration
	// Cached is the number of prompt tokens that are probably in its cache.
	Cached int64
	// FetchFrom is the address of another upstream that caches more of the prompt, by
	// Fetched tokens. It is not valid if there is none.
	FetchFrom netip.AddrPort
	Fetched   int64
	// UsualWait and UsualRead are Wait and Read at an upstream of the usual speed of the
	// service, and Slowness is the factor of this one, or zero if it is not known.
	UsualWait, UsualRead time.Duration
	Slowness             float64
	// Imposed is the time by which the request delays others at the upstream.
	Imposed time.Duration
	// Held is the number of tokens that the requests at the upstream will hold.
	Held int64
	// Running is the number of requests at the upstream.
	Running int
	// Elsewhere is by how much less the best upstream costs that is out of reach of this host
	// only, or zero.
	Elsewhere time.Duration
	// FaultCost is the cost of the upstream's recent failures and refusals.
	FaultCost time.Duration
}

// plainRoom is the room that a request at a plain service takes if no estimate is known. Requests
// are compared with those to the same service only.
const plainRoom = time.Millisecond

// Room returns the time for which the request keeps the upstream from other work: to read the
// prompt, and the part of a slot's time for the answer.
func (c Choice) Room() time.Duration {
	room := c.Read + c.Generate/time.Duration(max(1, c.Upstream.Slots))
	return max(room, plainRoom)
}

// Terms of the cost of an upstream.
const (
	// sameDomainBonus is subtracted from the cost of an upstream in the host's own
	// failure domain, because traffic between domains is not free. It is far below any
	// difference in load that callers would notice.
	sameDomainBonus = 2 * time.Millisecond
	// readWeight weighs the time to read a prompt against the time to wait. Reading
	// what another upstream has cached also takes time from later requests.
	readWeight = 1.5
	// fetchCostPer1000 is the cost of a thousand fetched tokens. A transfer costs a
	// tenth of reading them again.
	fetchCostPer1000 = 8 * time.Millisecond
	// slotCost is the cost when all slots of an upstream are in use, which slows down
	// each event of a stream.
	slotCost = 20 * time.Millisecond
	// lastOfVersionCost is the cost of beginning a stream at the only upstream of its software
	// version. If that upstream fails, the stream can't go on.
	lastOfVersionCost = 50 * time.Millisecond
	// unnotedCost is the cost of beginning a stream at a software version of which the log has
	// no note yet: the longest time for which the stream may wait for it.
	unnotedCost = time.Second
)

// Choose returns the upstream with the lowest cost, or false if there is none.
func (p *Pool) Choose(q *Query, now time.Time) (Choice, bool) {
	p.expire(now)
	candidates := p.candidates(q, now)
	open := len(candidates)
	if open == 0 {
		return Choice{}, false
	}
	if q.Work == nil && !q.Resumable {
		candidates = p.sample(candidates, now)
	}
	var keys []uint64
	var sources map[origin.Version]fetchSource
	if q.Work != nil {
		keys = chainKeys(q.Work.Parts)
		sources = p.fetchSources(keys, q.Work)
	}
	meanFailureRate := p.meanFailureRate(candidates, now)
	lastOfVersion := p.lastOfVersions(q, now)
	var best Choice
	bestCost := time.Duration(0)
	for _, i := range p.rng.Perm(len(candidates)) {
		u := candidates[i]
		c := p.estimate(u, q.Work, keys, sources[u.version], now)
		c.FaultCost = u.health.cost(meanFailureRate, now)
		cost := p.cost(u, c)
		if lastOfVersion[u.version] {
			cost += lastOfVersionCost
		}
		cost += noteCost(q, u)
		if best.Candidates == 0 || cost < bestCost {
			best, bestCost = c, cost
			best.Candidates = open
		}
	}
	best.Elsewhere = p.elsewhere(q, keys, sources, bestCost, now)
	return best, true
}

func (p *Pool) meanFailureRate(upstreams []*upstreamState, now time.Time) float64 {
	sum := 0.0
	for _, u := range upstreams {
		sum += u.health.failureRate(now)
	}
	return sum / float64(len(upstreams))
}

// candidates returns the upstreams that take a request now: those that were not tried for
// it and are within reach, or else the others. If all are at their limits, it returns the one
// that takes a request first.
func (p *Pool) candidates(q *Query, now time.Time) []*upstreamState {
	var untried, tried, first []*upstreamState
	firstDelay := time.Duration(0)
	for _, u := range p.ordered {
		delay := u.limit.delay(now)
		switch {
		case !u.open(now) || !u.fits(q) || !p.hasRoom(u, q, now):
		case delay > 0:
			if first == nil || delay < firstDelay {
				first, firstDelay = []*upstreamState{u}, delay
			}
		case slices.Contains(q.Exclude, u.up.ID) || u.outOfReach():
			tried = append(tried, u)
		default:
			untried = append(untried, u)
		}
	}
	switch {
	case len(untried) > 0:
		return untried
	case len(tried) > 0:
		return tried
	}
	return first
}

func (p *Pool) cost(u *upstreamState, c Choice) time.Duration {
	cost := c.Wait + time.Duration(float64(c.Read)*readWeight) + c.FaultCost + scale(c.Imposed, imposedWeight)
	cost += time.Duration(c.Fetched) * fetchCostPer1000 / 1000
	if u.up.Slots > 0 {
		cost += time.Duration(len(u.running)) * slotCost / time.Duration(u.up.Slots)
	}
	if u.up.FailureDomain == p.domain {
		cost -= sameDomainBonus
	}
	return cost
}
