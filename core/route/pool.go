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
	cfg     Config
	rng     *rand.Rand
	workers map[string]*Worker
	synced  bool

	selfHash   uint64
	hostHashes []uint64

	// subsets caches the eligible subset for each need that a decision has had. It is
	// recomputed when the hosts or the upstreams change.
	subsets map[Need][]*Worker

	scratch []*Worker

	inFlight int
}

// NewPool returns an empty pool.
func NewPool(cfg Config, rng *rand.Rand) *Pool {
	return &Pool{
		cfg:     cfg.withDefaults(),
		rng:     rng,
		workers: make(map[string]*Worker),
		subsets: make(map[Need][]*Worker),
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
		w, ok := p.workers[up.ID]
		if !ok {
			p.workers[up.ID] = newWorker(up, now, p.synced)
			changed = true
			continue
		}
		changed = changed || !w.up.equal(up)
		w.update(up)
	}
	for id, w := range p.workers {
		if !seen[id] {
			w.health.fire(eventRemove)
			delete(p.workers, id)
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

// Worker returns the upstream with the given ID, and whether there is one.
func (p *Pool) Worker(id string) (*Worker, bool) {
	w, ok := p.workers[id]
	return w, ok
}

// Workers returns all upstreams, sorted by ID.
func (p *Pool) Workers() []*Worker {
	all := make([]*Worker, 0, len(p.workers))
	for _, w := range p.workers {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *Worker) int { return strings.Compare(a.up.ID, b.up.ID) })
	return all
}

// Watched returns, sorted by ID, the upstreams of the subsets that decisions have used and
// those that are leaving. Other upstreams need no watch.
func (p *Pool) Watched() []*Worker {
	used := make(map[*Worker]bool)
	for _, set := range p.subsets {
		for _, w := range set {
			used[w] = true
		}
	}
	return slices.DeleteFunc(p.Workers(), func(w *Worker) bool { return !used[w] && !w.up.Leaving })
}

// SetLimit sets the number of requests that this host may have in flight at an upstream.
// Limits below 1 become 1.
func (p *Pool) SetLimit(id string, limit int) {
	if w, ok := p.workers[id]; ok {
		w.limit = max(1, limit)
	}
}

// Start counts a request that is about to be sent to w.
func (p *Pool) Start(w *Worker) {
	w.inFlight++
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

// Finish counts the end of a request that was started at w.
func (p *Pool) Finish(w *Worker, o Outcome, now time.Time) {
	w.inFlight--
	p.inFlight--
	switch o {
	case Succeeded:
		w.health.recordSuccess(&p.cfg, now)
	case Failed:
		if w.health.recordFailure(&p.cfg) && p.mayEject(w) {
			w.health.eject(eventEject, &p.cfg, now)
		}
	}
}

// mayEject reports whether w may be ejected. In each subset with w, w must be an outlier
// and enough other upstreams must stay in use. If most requests fail everywhere, ejection
// would only remove capacity. An upstream in the probing state may always be ejected.
func (p *Pool) mayEject(w *Worker) bool {
	if w.health.probing {
		return true
	}
	for _, set := range p.subsets {
		if slices.Contains(set, w) && !p.isOutlier(set, w) {
			return false
		}
	}
	return true
}

// isOutlier reports whether the other live upstreams of the set are at least the minimum
// share and have a mean failure rate below half of the ejection rate.
func (p *Pool) isOutlier(set []*Worker, w *Worker) bool {
	live, rate := 0, 0.0
	for _, o := range set {
		if o != w && !o.health.ejected {
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
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.othersLoad = max(0, float64(r.Load-w.inFlight))
	w.reportAt = now.UnixNano()
	if r.Slots > 0 {
		w.reportedSlots = r.Slots
		w.update(w.up)
	}
}

// CacheEvent applies an event of an upstream's prompt cache.
func (p *Pool) CacheEvent(id string, e CacheEvent) {
	if w, ok := p.workers[id]; ok {
		w.hints.apply(e, p.cfg.HintsPerUpstream)
	}
}

// ProbesDue returns the IDs of the ejected upstreams whose ejection is over, sorted.
func (p *Pool) ProbesDue(now time.Time) []string {
	var due []string
	for id, w := range p.workers {
		if w.health.state == StateEjected && !now.Before(w.health.ejectedUntil) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// Probed applies the result of a probe to an upstream that is ejected or probing.
func (p *Pool) Probed(id string, ok bool, now time.Time) {
	if w, known := p.workers[id]; known {
		w.health.applyProbe(ok, &p.cfg, now)
	}
}

// eligible returns this host's subset of the upstreams that meet n.
func (p *Pool) eligible(n Need) []*Worker {
	if set, ok := p.subsets[n]; ok {
		return set
	}
	var all []*Worker
	for _, w := range p.Workers() {
		if w.eligible(n) {
			all = append(all, w)
		}
	}
	hashes := make([]uint64, len(all))
	for i, w := range all {
		hashes[i] = w.hash
	}
	var set []*Worker
	for _, i := range Subset(p.selfHash, p.hostHashes, hashes, p.cfg.SubsetSize) {
		set = append(set, all[i])
	}
	p.subsets[n] = set
	return set
}
