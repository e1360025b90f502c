package balance

import (
	"math"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
)

// Notice is what an upstream states about itself in an answer.
type Notice struct {
	// Leaving is true if the upstream will stop and wants no new requests.
	Leaving bool
	// RetryAfter is the time in which the upstream wants no requests from this host, or
	// zero.
	RetryAfter time.Duration
	// Limit is the limit that the upstream states, if any.
	Limit Limit
	// Brittle tells how many rejections the upstream bears, if it states that.
	Brittle Brittleness
	// Load is the load of the upstream, if it states that.
	Load Load
}

// LimitState is whether an answer states a [Limit].
type LimitState uint8

// States of a limit.
const (
	// LimitUnknown is the state of answers that say nothing about limits.
	LimitUnknown LimitState = iota
	// LimitAbsent means that the upstream has no limit, which ends an earlier one.
	LimitAbsent
	// LimitPresent means that PerSecond is the limit.
	LimitPresent
)

// Limit is the rate of requests that an upstream takes from all hosts together.
type Limit struct {
	State LimitState
	// PerSecond is in requests per second.
	PerSecond float64
}

// limitPrecision is the number of steps in one request per second.
const limitPrecision = 1000

// LimitOf returns a limit, rounded so that it stays the same when hosts exchange it.
func LimitOf(perSecond float64) Limit {
	return Limit{State: LimitPresent, PerSecond: math.Round(perSecond*limitPrecision) / limitPrecision}
}

// Steps returns the limit in units of a request per 1,000 s.
func (l Limit) Steps() uint64 {
	return uint64(min(math.Round(l.PerSecond*limitPrecision), math.MaxInt64))
}

// LimitOfSteps returns the limit that [Limit.Steps] describes.
func LimitOfSteps(steps uint64) Limit { return LimitOf(float64(steps) / limitPrecision) }

// News tells which statements of a notice were not known before.
type News struct {
	Leaving bool
	Limit   bool
	Brittle bool
}

// isLeaving reports whether the upstream's entry or one of its answers states that it
// will stop.
func (u *upstreamState) isLeaving() bool { return u.up.Leaving || u.leaving }

// ApplyNotice applies a notice of one start of an upstream. A leaving mark lasts as long as
// that start is listed: the upstream may have stopped since, and there is no notice that
// takes it back. A limit lasts until a notice replaces it or states that there is none.
func (p *Pool) ApplyNotice(up catalog.Upstream, n Notice, now time.Time) News {
	u, ok := p.upstreams[up.ID]
	if !ok || !u.up.SameStart(up) {
		return News{}
	}
	if until := now.Add(n.RetryAfter); until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
	news := News{Leaving: n.Leaving && !u.leaving, Limit: u.limit.apply(n.Limit, now, p.rng), Brittle: u.brittle.apply(n.Brittle)}
	if news.Limit {
		p.shareLimit(u, now)
	}
	u.leaving = u.leaving || n.Leaving
	u.applyLoad(n.Load, now)
	return news
}

// Open returns the number of upstreams that take requests.
func (p *Pool) Open(now time.Time) int {
	n := 0
	for _, u := range p.ordered {
		if u.open(now) {
			n++
		}
	}
	return n
}

// HasVersion reports whether an upstream has a software version.
func (p *Pool) HasVersion(v origin.Version) bool {
	return slices.ContainsFunc(p.ordered, func(u *upstreamState) bool { return u.version == v })
}

// Notices calls f with what each upstream has stated and still holds for all hosts: that it
// is leaving, or its limit.
func (p *Pool) Notices(f func(catalog.Upstream, Notice)) {
	for _, u := range p.ordered {
		if n := (Notice{Leaving: u.leaving, Limit: u.limit.stated, Brittle: u.brittle.stated}); n != (Notice{}) {
			f(u.up, n)
		}
	}
}

// NextReturn returns the time until the first upstream that fits a query accepts requests
// again, if all of these that stay have asked this host to pause. Otherwise it returns false.
func (p *Pool) NextReturn(q *Query, now time.Time) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, u := range p.upstreams {
		left := u.pausedUntil.Sub(now)
		switch {
		case u.isLeaving() || u.emptied || !u.fits(q):
		case left <= 0:
			return 0, false
		case !found || left < soonest:
			soonest, found = left, true
		}
	}
	return soonest, found
}
