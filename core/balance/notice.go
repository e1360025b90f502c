package balance

import (
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
)

// Notice is what an upstream states about itself in an answer.
type Notice struct {
	// Leaving is true if the upstream will stop and wants no new requests.
	Leaving bool
	// RetryAfter is the time in which the upstream wants no requests from this host, or
	// zero.
	RetryAfter time.Duration
}

// isLeaving reports whether the upstream's entry or one of its answers states that it
// will stop.
func (u *upstreamState) isLeaving() bool { return u.up.Leaving || u.leaving }

// ApplyNotice applies a notice of one start of an upstream. It reports whether the notice
// is the first that the upstream is leaving. A leaving mark lasts as long as that start is
// listed: the upstream may have stopped since, and there is no notice that takes it back.
func (p *Pool) ApplyNotice(up catalog.Upstream, n Notice, now time.Time) (firstLeaving bool) {
	u, ok := p.upstreams[up.ID]
	if !ok || !u.up.SameStart(up) {
		return false
	}
	if until := now.Add(n.RetryAfter); until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
	firstLeaving = n.Leaving && !u.leaving
	u.leaving = u.leaving || n.Leaving
	return firstLeaving
}

// NextReturn returns the time until the first upstream accepts requests again, if all
// upstreams that stay have asked this host to pause. Otherwise it returns false.
func (p *Pool) NextReturn(now time.Time) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, u := range p.upstreams {
		left := u.pausedUntil.Sub(now)
		switch {
		case u.isLeaving():
		case left <= 0:
			return 0, false
		case !found || left < soonest:
			soonest, found = left, true
		}
	}
	return soonest, found
}
