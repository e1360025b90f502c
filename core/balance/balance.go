// Package balance chooses the upstream for a request. It estimates, from what
// this host and the others have sent, how long each upstream would take to begin
// the answer: the prompts that it has still to read, and the part of this prompt
// that it does not keep in its cache.
package balance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
)

// Work is what a request asks of an engine.
type Work struct {
	// Input and MaxOutput are in tokens.
	Input     int64
	MaxOutput int64
	// Parts are the parts of the prompt, in order.
	Parts []Part
}

// Query describes a request that needs an upstream.
type Query struct {
	// Work is nil for plain services.
	Work *Work
	// Exclude lists upstreams that have had the request. They are used again
	// only if there is no other.
	Exclude []string
}

// Choice is the upstream that was chosen, and why.
type Choice struct {
	Upstream catalog.Upstream
	// Candidates is the number of upstreams that could have been chosen.
	Candidates int
	// Wait is the estimated time until the upstream begins with the request, and
	// Read the time that it takes to read the prompt.
	Wait time.Duration
	Read time.Duration
	// Cached is the number of prompt tokens that it probably keeps.
	Cached int64
}

// Engine speeds that are assumed until answers show others. They are those of a
// 70-billion-parameter model on one current accelerator.
const (
	readTokensPerMilli = 40.0
	// pairMillis is the time for a million pairs of a read token and one before it.
	pairMillis = 0.6
)

// sameDomainBonus is taken off the cost of an upstream in the host's own failure
// domain, as traffic between domains has its price. It is far below any
// difference in load that callers would notice.
const sameDomainBonus = 2 * time.Millisecond

// readWeight weighs the time to read a prompt against the time to wait: reading
// what another upstream keeps takes time from later requests, too.
const readWeight = 1.5

// Pool is the state of the upstreams of one service.
type Pool struct {
	domain  string
	rng     *rand.Rand
	cache   int64
	workers map[string]*worker
}

type worker struct {
	up    catalog.Upstream
	cache *prefixCache
	// running holds the requests that were sent and have not ended.
	running map[Ticket]*running
	// unread is the time to read the prompts of those that have not begun.
	unread time.Duration
	// busyUntil is when the prompts that were sent are read, if the upstream
	// keeps to the estimates.
	busyUntil time.Time
	tokens    int64
}

type running struct {
	read   time.Duration
	tokens int64
	begun  bool
}

// Ticket names a request that was sent, fleet-wide.
type Ticket struct {
	Host string
	Seq  uint64
}

// NewPool returns an empty pool for a host in a failure domain. Cache is the
// memory of an engine in tokens, zero for plain services.
func NewPool(domain string, cache int64, rng *rand.Rand) *Pool {
	return &Pool{domain: domain, rng: rng, cache: cache, workers: make(map[string]*worker)}
}

// Sync replaces the set of upstreams. A new start of one begins with nothing.
func (p *Pool) Sync(ups []catalog.Upstream) {
	seen := make(map[string]bool, len(ups))
	for _, up := range ups {
		seen[up.ID] = true
		w, ok := p.workers[up.ID]
		if !ok || !w.up.SameStart(up) {
			w = &worker{cache: newPrefixCache(p.cache), running: make(map[Ticket]*running)}
			p.workers[up.ID] = w
		}
		w.up = up
	}
	for id := range p.workers {
		if !seen[id] {
			delete(p.workers, id)
		}
	}
}

// Choose returns the upstream with the lowest cost, or false if there is none.
func (p *Pool) Choose(q *Query, now time.Time) (Choice, bool) {
	candidates := p.candidates(q.Exclude)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	var keys []uint64
	if q.Work != nil {
		keys = chainKeys(q.Work.Parts)
	}
	var best Choice
	bestCost := time.Duration(0)
	for _, i := range p.rng.Perm(len(candidates)) {
		w := candidates[i]
		c := w.estimate(q.Work, keys, now)
		cost := w.cost(c, p.domain)
		if best.Candidates == 0 || cost < bestCost {
			best, bestCost = c, cost
			best.Candidates = len(candidates)
		}
	}
	return best, true
}

func (p *Pool) candidates(exclude []string) []*worker {
	var fresh, tried []*worker
	for _, w := range p.sorted() {
		switch {
		case w.up.Leaving:
		case slices.Contains(exclude, w.up.ID):
			tried = append(tried, w)
		default:
			fresh = append(fresh, w)
		}
	}
	if len(fresh) == 0 {
		return tried
	}
	return fresh
}

func (p *Pool) sorted() []*worker {
	all := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *worker) int { return strings.Compare(a.up.ID, b.up.ID) })
	return all
}

func (w *worker) estimate(work *Work, keys []uint64, now time.Time) Choice {
	c := Choice{Upstream: w.up, Wait: w.wait(now)}
	if work != nil {
		c.Cached = min(w.cache.cached(keys, work.Parts), work.Input-1)
		c.Read = readTime(work.Input, c.Cached)
	}
	return c
}

// readTime is the time to read a prompt of which some tokens are kept.
func readTime(input, cached int64) time.Duration {
	unread := float64(input - cached)
	pairs := unread * (float64(cached) + unread/2) / 1e6
	return time.Duration((unread/readTokensPerMilli + pairs*pairMillis) * float64(time.Millisecond))
}

// wait estimates when the prompts that were sent before will have been read.
func (w *worker) wait(now time.Time) time.Duration {
	return max(0, min(w.unread, w.busyUntil.Sub(now)))
}

// plainSlotCost is the cost of one running request of a plain service, relative
// to sameDomainBonus: the bonus decides only between equal loads.
const plainSlotCost = 10 * time.Millisecond

func (w *worker) cost(c Choice, domain string) time.Duration {
	cost := c.Wait + time.Duration(float64(c.Read)*readWeight)
	if w.up.Slots > 0 {
		cost += time.Duration(len(w.running)) * plainSlotCost / time.Duration(w.up.Slots)
	}
	if w.up.FailureDomain == domain {
		cost -= sameDomainBonus
	}
	return cost
}

// Begin counts a request that is sent to an upstream.
func (p *Pool) Begin(t Ticket, id string, work *Work, now time.Time) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	r := &running{}
	if work != nil {
		keys := chainKeys(work.Parts)
		cached := min(w.cache.cached(keys, work.Parts), work.Input-1)
		r.read = readTime(work.Input, cached)
		r.tokens = work.Input + work.MaxOutput
		w.cache.add(keys, work.Parts)
		if w.busyUntil.Before(now) {
			w.busyUntil = now
		}
		w.busyUntil = w.busyUntil.Add(r.read)
		w.unread += r.read
		w.tokens += r.tokens
	}
	w.running[t] = r
}

// First notes that the answer of a request has begun.
func (p *Pool) First(t Ticket, id string) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	if r, ok := w.running[t]; ok {
		w.begun(r)
	}
}

func (w *worker) begun(r *running) {
	if r.begun {
		return
	}
	r.begun = true
	w.unread -= r.read
}

// End notes that a request has ended at its upstream.
func (p *Pool) End(t Ticket, id string) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	r, ok := w.running[t]
	if !ok {
		return
	}
	w.begun(r)
	w.tokens -= r.tokens
	delete(w.running, t)
}
