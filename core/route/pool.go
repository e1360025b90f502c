package route

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Pool is one host's view of the upstreams of one service.
type Pool struct {
	cfg       Config
	rng       *rand.Rand
	upstreams map[string]*UpstreamState
	synced    bool

	selfHash   uint64
	hostHashes []uint64

	// subsets caches the eligible subset for each need that a decision has had. It is
	// recomputed when the hosts or the upstreams change.
	subsets map[Need][]*UpstreamState

	scratch []*UpstreamState

	inFlight int
}

// NewPool returns an empty pool.
func NewPool(cfg Config, rng *rand.Rand) *Pool {
	return &Pool{
		cfg:       cfg.withDefaults(),
		rng:       rng,
		upstreams: make(map[string]*UpstreamState),
		subsets:   make(map[Need][]*UpstreamState),
	}
}

// SetHosts sets the hosts that share the upstreams, for the choice of subsets.
func (p *Pool) SetHosts(self string, hosts []string) {
	hashes := make([]uint64, len(hosts))
	for i, h := range hosts {
		hashes[i] = rendezvous.KeyOf(h)
	}
	slices.Sort(hashes)
	selfHash := rendezvous.KeyOf(self)
	if selfHash == p.selfHash && slices.Equal(hashes, p.hostHashes) {
		return
	}
	p.selfHash, p.hostHashes = selfHash, hashes
	p.recomputeSubsets()
}

// Sync replaces the set of upstreams. Upstreams that stay keep their state. Those that
// join after the first call begin with a slow start.
func (p *Pool) Sync(ups []Upstream, now time.Time) {
	changed := false
	seen := make(map[string]bool, len(ups))
	for _, up := range ups {
		seen[up.ID] = true
		u, ok := p.upstreams[up.ID]
		if !ok {
			p.upstreams[up.ID] = newUpstreamState(up, now, p.synced)
			changed = true
			continue
		}
		changed = changed || !u.up.equal(up)
		u.update(up)
	}
	for id, u := range p.upstreams {
		if !seen[id] {
			u.health.fire(eventRemove)
			delete(p.upstreams, id)
			changed = true
		}
	}
	p.synced = true
	if changed {
		p.recomputeSubsets()
	}
}

// recomputeSubsets chooses the subsets again. It keeps the needs, so that a host without
// requests keeps watching its upstreams, but drops those that no upstream meets.
func (p *Pool) recomputeSubsets() {
	needs := slices.Collect(maps.Keys(p.subsets))
	clear(p.subsets)
	for _, n := range needs {
		if len(p.eligible(n)) == 0 {
			delete(p.subsets, n)
		}
	}
}

// Upstream returns the upstream with the given ID, and whether there is one.
func (p *Pool) Upstream(id string) (*UpstreamState, bool) {
	u, ok := p.upstreams[id]
	return u, ok
}

// Upstreams returns all upstreams, sorted by ID.
func (p *Pool) Upstreams() []*UpstreamState {
	all := make([]*UpstreamState, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b *UpstreamState) int { return strings.Compare(a.up.ID, b.up.ID) })
	return all
}

// Watched returns, sorted by ID, the upstreams of the subsets that decisions have used and
// those that are leaving. Other upstreams need no watch.
func (p *Pool) Watched() []*UpstreamState {
	used := make(map[*UpstreamState]bool)
	for _, set := range p.subsets {
		for _, u := range set {
			used[u] = true
		}
	}
	return slices.DeleteFunc(p.Upstreams(), func(u *UpstreamState) bool { return !used[u] && !u.up.Leaving })
}

// SetLimit sets the number of requests that this host may have in flight at an upstream.
// Limits below 1 become 1.
func (p *Pool) SetLimit(id string, limit int) {
	if u, ok := p.upstreams[id]; ok {
		u.limit = max(1, limit)
	}
}

// Start counts a request that is about to be sent to u.
func (p *Pool) Start(u *UpstreamState) {
	u.inFlight++
	p.inFlight++
}

// InFlight returns the number of this host's requests in flight at all upstreams,
// including removed ones.
func (p *Pool) InFlight() int { return p.inFlight }

// Outcome is the result of an attempt, as far as it concerns the upstream.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Neutral attempts do not count for the upstream's health.
	Neutral Outcome = iota
	Succeeded
	Failed
)

// Finish counts the end of a request that was started at u.
func (p *Pool) Finish(u *UpstreamState, o Outcome, now time.Time) {
	u.inFlight--
	p.inFlight--
	switch o {
	case Succeeded:
		u.health.recordSuccess(&p.cfg, now)
	case Failed:
		if u.health.recordFailure(&p.cfg) && p.mayEject(u) {
			u.health.eject(eventEject, &p.cfg, now)
		}
	}
}

// mayEject reports whether u may be ejected. In each subset with u, u must be an outlier
// and enough other upstreams must stay in use. If most requests fail everywhere, ejection
// would only remove capacity. An upstream in the probing state may always be ejected.
func (p *Pool) mayEject(u *UpstreamState) bool {
	if u.health.probing {
		return true
	}
	for _, set := range p.subsets {
		if slices.Contains(set, u) && !p.isOutlier(set, u) {
			return false
		}
	}
	return true
}

// isOutlier reports whether the other live upstreams of the set are at least the minimum
// share and have a mean failure rate below half of the ejection rate.
func (p *Pool) isOutlier(set []*UpstreamState, u *UpstreamState) bool {
	live, rate := 0, 0.0
	for _, o := range set {
		if o != u && !o.health.ejected {
			live++
			rate += o.health.failureRate
		}
	}
	if live < max(1, int(p.cfg.MinLiveShare*float64(len(set)))) {
		return false
	}
	return rate/float64(live) < p.cfg.EjectRate/2
}

// Observe applies a load report. It subtracts this host's own requests from the reported
// load, because its own count is never late.
func (p *Pool) Observe(id string, r Report, now time.Time) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.othersLoad = max(0, float64(r.Load-u.inFlight))
	u.reportAt = now.UnixNano()
	if r.Slots > 0 {
		u.reportedSlots = r.Slots
		u.update(u.up)
	}
}

// CacheEvent applies an event of an upstream's prompt cache.
func (p *Pool) CacheEvent(id string, e CacheEvent) {
	if u, ok := p.upstreams[id]; ok {
		u.hints.apply(e, p.cfg.HintsPerUpstream)
	}
}

// ProbesDue returns the IDs of the ejected upstreams whose ejection is over, sorted.
func (p *Pool) ProbesDue(now time.Time) []string {
	var due []string
	for id, u := range p.upstreams {
		if u.health.state == StateEjected && !now.Before(u.health.ejectedUntil) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// Probed applies the result of a probe to an upstream that is ejected or probing.
func (p *Pool) Probed(id string, ok bool, now time.Time) {
	if u, known := p.upstreams[id]; known {
		u.health.applyProbe(ok, &p.cfg, now)
	}
}

// eligible returns this host's subset of the upstreams that meet n.
func (p *Pool) eligible(n Need) []*UpstreamState {
	if set, ok := p.subsets[n]; ok {
		return set
	}
	var all []*UpstreamState
	for _, u := range p.Upstreams() {
		if u.eligible(n) {
			all = append(all, u)
		}
	}
	hashes := make([]uint64, len(all))
	for i, u := range all {
		hashes[i] = u.hash
	}
	var set []*UpstreamState
	for _, i := range Subset(p.selfHash, p.hostHashes, hashes, p.cfg.SubsetSize) {
		set = append(set, all[i])
	}
	p.subsets[n] = set
	return set
}
