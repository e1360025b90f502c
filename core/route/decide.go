package route

import (
	"math"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Reason is the rule that chose an upstream, or why none was chosen.
type Reason string

// Reasons of a decision.
const (
	ReasonPrefix       Reason = "prefix"       // Rendezvous hash of the leading blocks.
	ReasonCacheHint    Reason = "cache-hint"   // Longest prefix by cache events.
	ReasonLeastLoaded  Reason = "least-loaded" // Lower load of two random upstreams.
	ReasonOnly         Reason = "only"         // One upstream was free.
	ReasonProbe        Reason = "probe"        // Trial request to an upstream in the probing state.
	ReasonBusy         Reason = "busy"         // No eligible upstream was free.
	ReasonNoneEligible Reason = "none-able"    // No upstream is eligible.
)

// Query describes a request that needs an upstream.
type Query struct {
	Need Need
	// Prefix has one hash per leading block of the prompt. Each hash covers all blocks
	// before it too.
	Prefix []uint64
	// Exclude lists upstreams that were tried for this request. They are used again
	// only if no other is eligible and not ejected.
	Exclude []string
	// NoProbe keeps the request away from upstreams in the probing state, unless no
	// other is free.
	NoProbe bool
}

// Decision is the result of [Pool.Decide].
type Decision struct {
	// Chosen is nil if no upstream was chosen.
	Chosen *UpstreamState
	// Candidates is the number of eligible upstreams.
	Candidates int
	Reason     Reason
}

// Decide chooses an upstream that is eligible and has a free slot. It does not count the
// request; the caller calls [Pool.Start].
func (p *Pool) Decide(q *Query, now time.Time) Decision {
	set := p.eligible(q.Need)
	if len(set) == 0 {
		return Decision{Reason: ReasonNoneEligible}
	}
	pool, mean := p.usable(set, q.Exclude, now)
	free, loadPerSlot := p.withFreeSlot(pool, mean, now)
	if len(free) == 0 {
		return Decision{Candidates: len(set), Reason: ReasonBusy}
	}
	d := Decision{Candidates: len(set)}
	d.Chosen, d.Reason = p.choose(q, free, loadPerSlot)
	return d
}

// usable returns the upstreams that are neither ejected nor excluded. If there are none, it
// returns those that are not ejected, and if there are none either, all. It also returns
// the mean load by other hosts, weighted by the age of the reports.
func (p *Pool) usable(set []*UpstreamState, exclude []string, now time.Time) ([]*UpstreamState, float64) {
	out := p.scratch[:0]
	for _, u := range set {
		if !u.health.ejected && (len(exclude) == 0 || !slices.Contains(exclude, u.up.ID)) {
			out = append(out, u)
		}
	}
	if len(out) == 0 {
		for _, u := range set {
			if !u.health.ejected {
				out = append(out, u)
			}
		}
	}
	if len(out) == 0 {
		out = append(out, set...)
	}
	p.scratch = out
	return out, p.weighReports(out, now)
}

// weighReports sets the weight of each upstream's report, which falls with its age, and
// returns the weighted mean of the load by other hosts.
func (p *Pool) weighReports(pool []*UpstreamState, now time.Time) float64 {
	nanos, ttl := now.UnixNano(), int64(p.cfg.ReportTTL)
	sum, total := 0.0, 0.0
	for _, u := range pool {
		u.weight = u.reportWeight(nanos, ttl)
		sum += u.weight * u.othersLoad
		total += u.weight
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

// withFreeSlot filters pool, in place, to the upstreams with a free slot. It also returns
// the load per slot of the whole pool. The load of an upstream is this host's own requests
// plus the load by other hosts. For the latter, the upstream's report counts by its weight,
// and the mean counts for the rest.
func (p *Pool) withFreeSlot(pool []*UpstreamState, mean float64, now time.Time) (free []*UpstreamState, loadPerSlot float64) {
	nanos, slowStart := now.UnixNano(), int64(p.cfg.SlowStart)
	load, slots := 0.0, 0.0
	free = pool[:0]
	for _, u := range pool {
		ramp := 1.0
		if u.health.rampStartedAt != 0 {
			ramp = u.health.ramp(nanos, slowStart)
		}
		u.assumedSlots = u.capacity * ramp
		u.assumedLoad = float64(u.inFlight) + u.weight*u.othersLoad + (1-u.weight)*mean
		load += u.assumedLoad
		slots += u.assumedSlots
		if u.hasFreeSlot(ramp) {
			free = append(free, u)
		}
	}
	return free, load / slots
}

func (p *Pool) choose(q *Query, free []*UpstreamState, perSlot float64) (*UpstreamState, Reason) {
	if q.NoProbe {
		free = withoutProbing(free)
	} else if at := slices.IndexFunc(free, isProbing); at >= 0 {
		return free[at], ReasonProbe
	}
	if len(free) == 1 {
		return free[0], ReasonOnly
	}
	if len(q.Prefix) > 0 {
		if u, reason := p.byPrefix(q, free, perSlot); u != nil {
			return u, reason
		}
	}
	return p.betterOfTwo(free), ReasonLeastLoaded
}

func isProbing(u *UpstreamState) bool { return u.health.probing }

// withoutProbing filters out upstreams in the probing state, in place, unless all are.
func withoutProbing(free []*UpstreamState) []*UpstreamState {
	if !slices.ContainsFunc(free, func(u *UpstreamState) bool { return !isProbing(u) }) {
		return free
	}
	kept := free[:0]
	for _, u := range free {
		if !isProbing(u) {
			kept = append(kept, u)
		}
	}
	return kept
}

// byPrefix chooses, among the upstreams within the load bound, the one with the longest
// prefix by cache events, else the first in rendezvous order of the leading blocks.
func (p *Pool) byPrefix(q *Query, free []*UpstreamState, perSlot float64) (*UpstreamState, Reason) {
	key := q.Prefix[min(len(q.Prefix), p.cfg.PrefixBlocks)-1]
	var hashed, hinted *UpstreamState
	var topScore uint64
	longest := 0
	for _, u := range free {
		if !p.withinLoadBound(u, perSlot) {
			continue
		}
		if s := rendezvous.Mix(key, u.hash); hashed == nil || s > topScore {
			hashed, topScore = u, s
		}
		if n := u.hints.match(q.Prefix); n > longest {
			hinted, longest = u, n
		}
	}
	if hinted != nil && hinted != hashed && longest > hashed.hints.match(q.Prefix) {
		return hinted, ReasonCacheHint
	}
	return hashed, ReasonPrefix
}

// withinLoadBound reports whether u stays within the load bound with one more request.
func (p *Pool) withinLoadBound(u *UpstreamState, perSlot float64) bool {
	bound := math.Ceil(p.cfg.LoadBound * perSlot * u.assumedSlots)
	return u.assumedLoad+1 <= max(bound, 1)
}

// maxDraws is the maximum number of pairs that are drawn to find an upstream with a free
// slot.
const maxDraws = 2

// betterOfTwo draws two upstreams at random and returns the one with the lower load. If
// neither is estimated to have a free slot, it draws again, up to maxDraws times.
func (p *Pool) betterOfTwo(free []*UpstreamState) *UpstreamState {
	var best *UpstreamState
	for range maxDraws {
		i := p.rng.IntN(len(free))
		j := p.rng.IntN(len(free) - 1)
		if j >= i {
			j++
		}
		for _, u := range [2]*UpstreamState{free[i], free[j]} {
			if best == nil || u.cost() < best.cost() {
				best = u
			}
		}
		if best.cost() <= 1 {
			break
		}
	}
	return best
}

// cost returns the load per slot with one more request.
func (u *UpstreamState) cost() float64 {
	return (u.assumedLoad + 1) / u.assumedSlots
}
