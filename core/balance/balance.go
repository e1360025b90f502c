// Package balance chooses the upstream for a request. It estimates how long each
// upstream would take to start the answer, from the requests that this host and the
// other hosts have sent. The estimate counts the prompts that the upstream has still to
// read, and the part of this prompt that is neither in its cache nor in the cache of
// another upstream that it could fetch from.
package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
	"github.com/hazelworks/hazelworks/core/routes"
)

// Pool is the state of the upstreams of one service. It is not safe for concurrent use.
type Pool struct {
	domain    string
	rng       *rand.Rand
	engine    routes.Engine
	upstreams map[string]*upstreamState
	// ordered has the same upstreams, ordered by ID.
	ordered []*upstreamState
	// requests holds the running requests of each host, with the IDs of their upstreams.
	requests map[string]map[AttemptID]string
	// limitDomains is set by SetLimitDomains, self and sharers by SetSharers.
	limitDomains []string
	self         string
	sharers      []string
	// members is set by SetMembers, coldPerSecond and coldStart by SetCold, emptied by SetEmptied.
	members       []string
	coldPerSecond float64
	coldStart     time.Duration
	emptied       []string
	// latencyFactor is the learned ratio of the measured time to the start of an
	// answer to its estimate.
	latencyFactor float64
	// eventInterval is the learned time between the events of an answer.
	eventInterval time.Duration
	// plain is the usual work of plain services, outputs the length of answers of engines.
	plain   plainWork
	outputs outputs
	// usualSpeeds is set by UseUsualSpeeds.
	usualSpeeds bool
	// expiredAt is when requests without news were last dropped.
	expiredAt time.Time
	// heardAt is when other hosts last told which of their requests run.
	heardAt map[string]time.Time
	// meanSlowness is the mean over all upstreams as of meanSlownessAt.
	meanSlowness   float64
	meanSlownessAt time.Time
	overhead       overhead
}

type upstreamState struct {
	up      catalog.Upstream
	version origin.Version
	// leaving is true once the upstream has stated in an answer that it will stop.
	leaving bool
	// pausedUntil is the end of the time in which the upstream wants no requests from
	// this host, as it has stated in an answer.
	pausedUntil time.Time
	// outOfReachSince is when connections of this host to the upstream began to fail, or zero.
	// othersAt is when the upstream last answered another host.
	outOfReachSince time.Time
	othersAt        time.Time
	// limit is the limit on the requests of all hosts that the upstream has stated.
	limit rateLimit
	// brittle is what the upstream has stated of rejections.
	brittle brittle
	// sharerRank is this host's rank among the sharers for the upstream, or negative if it has
	// not been computed.
	sharerRank int
	// cold tells until when the upstream is cold.
	cold cold
	// emptied is true while its failure domain is emptied.
	emptied bool
	cache   *prefixCache
	// running are the requests that were sent and have not ended.
	running map[AttemptID]*runningRequest
	// queue estimates the wait from those whose answer has not started.
	queue queue
	// tokens is the number of tokens that the running requests will probably hold.
	tokens int64
	health health
	speed  speed
	// places is how many requests a plain upstream takes.
	places places
	// hidden is the number of requests that only the upstream's statement of hiddenAt shows.
	hidden   float64
	hiddenAt time.Time
}

// NewPool returns an empty pool for a host in the failure domain. engine is zero for
// plain services.
func NewPool(domain string, engine routes.Engine, rng *rand.Rand) *Pool {
	return &Pool{domain: domain, rng: rng, engine: engine, upstreams: make(map[string]*upstreamState),
		requests: make(map[string]map[AttemptID]string), heardAt: make(map[string]time.Time), latencyFactor: 1, eventInterval: stepTime}
}

// Sync replaces the set of upstreams. An upstream that has restarted loses its state.
func (p *Pool) Sync(ups []catalog.Upstream) {
	seen := make(map[string]bool, len(ups))
	for _, up := range ups {
		seen[up.ID] = true
		u, ok := p.upstreams[up.ID]
		if !ok || !u.up.SameStart(up) {
			p.forgetRequests(u)
			before := u
			u = &upstreamState{sharerRank: -1, cache: newPrefixCache(p.engine.CacheTokens), running: make(map[AttemptID]*runningRequest)}
			if before != nil {
				u.cold.sent = before.cold.sent
			}
			p.upstreams[up.ID] = u
		}
		u.up, u.version = up, origin.VersionOf(up)
		u.emptied = p.isEmptied(up)
		u.cold.apply(up.ColdUntil(p.coldStart), up.ReadAt)
	}
	for id, u := range p.upstreams {
		if !seen[id] {
			p.forgetRequests(u)
			delete(p.upstreams, id)
		}
	}
	p.ordered = slices.SortedFunc(maps.Values(p.upstreams), func(a, b *upstreamState) int { return strings.Compare(a.up.ID, b.up.ID) })
}

// forgetRequests drops the running requests of an upstream that has ended. u may be nil.
func (p *Pool) forgetRequests(u *upstreamState) {
	if u == nil {
		return
	}
	for t := range u.running {
		delete(p.requests[t.Host], t)
	}
}
