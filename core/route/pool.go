package route

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Pool holds the upstreams of one service as one host sees them.
type Pool struct {
	cfg     Config
	rng     *rand.Rand
	workers map[string]*Worker
	synced  bool

	selfHash   uint64
	hostHashes []uint64

	// subsets caches the able subset for each need that decisions have had; any
	// change of what the upstreams serve or of the hosts refreshes it.
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

// SetHosts gives the hosts that share the upstreams, for the choice of subsets.
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

// Sync replaces the set of upstreams. State of those that stay is kept; those
// that join later than the first call begin with a slow start.
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

// recomputeSubsets chooses the subsets again. The needs are kept, so that a host without
// requests goes on watching its upstreams; one that nobody can meet is dropped.
func (p *Pool) recomputeSubsets() {
	needs := slices.Collect(maps.Keys(p.subsets))
	clear(p.subsets)
	for _, n := range needs {
		if len(p.eligible(n)) == 0 {
			delete(p.subsets, n)
		}
	}
}

// Worker returns the upstream with the given ID.
func (p *Pool) Worker(id string) (*Worker, bool) {
	w, ok := p.workers[id]
	return w, ok
}

// Workers returns all upstreams, by ID.
func (p *Pool) Workers() []*Worker {
	all := make([]*Worker, 0, len(p.workers))
	for _, w := range p.workers {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *Worker) int { return strings.Compare(a.up.ID, b.up.ID) })
	return all
}

// Watched returns, by ID, the upstreams of the subsets that decisions have used,
// and those that are leaving. Others need not be watched.
func (p *Pool) Watched() []*Worker {
	used := make(map[*Worker]bool)
	for _, set := range p.subsets {
		for _, w := range set {
			used[w] = true
		}
	}
	return slices.DeleteFunc(p.Workers(), func(w *Worker) bool { return !used[w] && !w.up.Leaving })
}

// SetLimit sets how many requests this host may have in flight at an upstream.
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

// InFlight returns the number of this host's requests at all upstreams, those
// included that have been removed.
func (p *Pool) InFlight() int { return p.inFlight }

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Neutral says nothing about the upstream.
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

// mayEject tells whether w is worse than its peers, and keeps the floor: in each
// set that w belongs to, enough others stay in use. If most requests fail
// everywhere, ejection would only take capacity away.
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

// Observe takes in a load report. The part that this host causes itself is
// subtracted, since the own count is never late.
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

// CacheEvent takes in a hint about an upstream's prompt cache.
func (p *Pool) CacheEvent(id string, e CacheEvent) {
	if w, ok := p.workers[id]; ok {
		w.hints.apply(e, p.cfg.HintsPerUpstream)
	}
}

// ProbesDue returns the ejected upstreams whose ejection has passed.
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

// Probed applies the result of a poll to an upstream that is ejected or on trial.
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
