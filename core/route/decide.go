package route

import (
	"math"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Reason names the rule that chose an upstream, or why none was chosen.
type Reason string

// Reasons of a decision.
const (
	ReasonPrefix      Reason = "prefix"       // Rendezvous hash of the leading blocks.
	ReasonCacheHint   Reason = "cache-hint"   // Longest prefix by cache events.
	ReasonLeastLoaded Reason = "least-loaded" // Better of two.
	ReasonOnly        Reason = "only"         // One was free.
	ReasonProbe       Reason = "probe"        // Trial of an upstream after ejection.
	ReasonBusy        Reason = "busy"         // None was free.
	ReasonNoneAble    Reason = "none-able"    // None is able.
)

// Query is what a decision needs to know of a request.
type Query struct {
	Need Need
	// Prefix holds a hash of each leading block of the prompt; each covers all
	// blocks before it.
	Prefix []uint64
	// Exclude lists upstreams that were tried already. They are used again only
	// if no other is able.
	Exclude []string
	// NoProbe keeps the request off upstreams that are on trial, unless no
	// other is free.
	NoProbe bool
}

// Decision is the outcome of a choice.
type Decision struct {
	// Chosen is nil if no upstream was chosen.
	Chosen *Worker
	// Candidates is the number of upstreams that were able.
	Candidates int
	Reason     Reason
}

// Decide chooses an upstream that is able and free. It does not count the
// request; the caller calls [Pool.Start].
func (p *Pool) Decide(q *Query, now time.Time) Decision {
	set := p.able(q.Need)
	if len(set) == 0 {
		return Decision{Reason: ReasonNoneAble}
	}
	pool := p.usable(set, q.Exclude)
	mean := p.meanOthers(pool, now)
	free, load, slots := p.freeOf(pool, mean, now)
	if len(free) == 0 {
		return Decision{Candidates: len(set), Reason: ReasonBusy}
	}
	d := Decision{Candidates: len(set)}
	d.Chosen, d.Reason = p.choose(q, free, mean, load/slots, now)
	return d
}

// usable returns the candidates that are neither ejected nor excluded. If that
// leaves none, excluded ones are used, and ejected ones last.
func (p *Pool) usable(set []*Worker, exclude []string) []*Worker {
	out := p.scratch[:0]
	for _, w := range set {
		if w.health.state != StateEjected && !slices.Contains(exclude, w.up.ID) {
			out = append(out, w)
		}
	}
	p.scratch = out
	if len(out) > 0 {
		return out
	}
	for _, w := range set {
		if w.health.state != StateEjected {
			out = append(out, w)
		}
	}
	if len(out) == 0 {
		out = append(out, set...)
	}
	p.scratch = out
	return out
}

// meanOthers is the mean load by other hosts over the reports that count.
func (p *Pool) meanOthers(pool []*Worker, now time.Time) float64 {
	sum, weight := 0.0, 0.0
	for _, w := range pool {
		x := w.reportWeight(now, p.cfg.ReportTTL)
		sum += x * w.others
		weight += x
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// load estimates the requests at w: the own ones, plus those of other hosts by
// a report whose weight falls with its age in favour of the mean.
func (p *Pool) load(w *Worker, mean float64, now time.Time) float64 {
	x := w.reportWeight(now, p.cfg.ReportTTL)
	return float64(w.inFlight) + x*w.others + (1-x)*mean
}

// freeOf narrows pool, in place, to those with a free slot. It also returns the
// load and the slots of the whole pool.
func (p *Pool) freeOf(pool []*Worker, mean float64, now time.Time) (free []*Worker, load, slots float64) {
	free = pool[:0]
	for _, w := range pool {
		load += p.load(w, mean, now)
		slots += float64(w.slots())
		if w.free(now, p.cfg.SlowStart) {
			free = append(free, w)
		}
	}
	return free, load, slots
}

func (p *Pool) choose(q *Query, free []*Worker, mean, perSlot float64, now time.Time) (*Worker, Reason) {
	if !q.NoProbe {
		for _, w := range free {
			if w.health.state == StateProbing {
				return w, ReasonProbe
			}
		}
	}
	if len(free) == 1 {
		return free[0], ReasonOnly
	}
	if len(q.Prefix) > 0 {
		if w, reason := p.byPrefix(q, free, mean, perSlot, now); w != nil {
			return w, reason
		}
	}
	return p.betterOfTwo(free, mean, now), ReasonLeastLoaded
}

// byPrefix chooses the upstream with the longest prefix by cache events, else
// the first in rendezvous order of the leading blocks, among those within the
// load bound.
func (p *Pool) byPrefix(q *Query, free []*Worker, mean, perSlot float64, now time.Time) (*Worker, Reason) {
	key := q.Prefix[min(len(q.Prefix), p.cfg.PrefixBlocks)-1]
	var hashed, hinted *Worker
	var top uint64
	longest := 0
	for _, w := range free {
		if !p.withinBound(w, mean, perSlot, now) {
			continue
		}
		if s := rendezvous.Mix(key, w.hash); hashed == nil || s > top {
			hashed, top = w, s
		}
		if n := w.hints.match(q.Prefix); n > longest {
			hinted, longest = w, n
		}
	}
	if hinted != nil && hinted != hashed && longest > hashed.hints.match(q.Prefix) {
		return hinted, ReasonCacheHint
	}
	return hashed, ReasonPrefix
}

// withinBound tells whether one more request keeps w below the load bound.
func (p *Pool) withinBound(w *Worker, mean, perSlot float64, now time.Time) bool {
	slots := float64(w.slots()) * w.health.ramp(now, p.cfg.SlowStart)
	bound := math.Ceil(p.cfg.LoadBound * perSlot * slots)
	return p.load(w, mean, now)+1 <= max(bound, 1)
}

func (p *Pool) betterOfTwo(free []*Worker, mean float64, now time.Time) *Worker {
	i := p.rng.IntN(len(free))
	j := p.rng.IntN(len(free) - 1)
	if j >= i {
		j++
	}
	a, b := free[i], free[j]
	if p.cost(b, mean, now) < p.cost(a, mean, now) {
		return b
	}
	return a
}

// cost is the load per slot after one more request, in proportion to the delay
// that the upstream has shown.
func (p *Pool) cost(w *Worker, mean float64, now time.Time) float64 {
	slots := float64(w.slots()) * w.health.ramp(now, p.cfg.SlowStart)
	return (p.load(w, mean, now) + 1) / slots
}
