package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/knownfault"
	"github.com/hazelworks/hazelworks/core/rendezvous"
)

const (
	// burstTime is the time in which the tokens of a burst accumulate, beyond those that
	// the spread of the thresholds needs.
	burstTime = 250 * time.Millisecond
	// thresholdSpread is the range of the thresholds, in tokens. Hosts with different
	// thresholds don't use the same token before they hear of each other.
	thresholdSpread = 1.0
	// minDomainRate is the least rate, in requests per second, that is worth a failure
	// domain's own share of a limit.
	minDomainRate = 2.0
	// probeRate is the least rate of all hosts together, in requests per second, because
	// only an answer tells that a limit has ended.
	probeRate = 0.25
	// maxTokenDelay bounds the wait for a token, so that it can be added to other times.
	maxTokenDelay = time.Hour
)

// rateLimit keeps all hosts together within the limit that an upstream has stated. It is
// a token bucket that no host owns: each host takes a token for each request that it
// sends and for each that another host tells it of. The zero value limits nothing.
type rateLimit struct {
	stated Limit
	// rate is the part of the limit, in requests per second, that this host shares with
	// the hosts that it tells of its requests.
	rate float64
	// tokens is the number of tokens at refilledAt. It is negative if more requests
	// were sent than the limit allows, or if requests wait for a token.
	tokens     float64
	refilledAt time.Time
	// threshold is the number of tokens from which this host uses one.
	threshold float64
}

func (l *rateLimit) active() bool { return l.stated.State == LimitPresent }

// apply applies what an answer states and reports whether that is new. A new limit begins
// without tokens: it is not known what was sent before.
func (l *rateLimit) apply(stated Limit, now time.Time, rng *rand.Rand) bool {
	if stated.State == LimitUnknown || stated == l.stated || stated.State == LimitAbsent && !l.active() {
		return false
	}
	if stated.State == LimitAbsent {
		*l = rateLimit{}
		return true
	}
	if l.active() {
		l.refill(now)
	} else {
		l.refilledAt = now
		l.drawThreshold(rng)
	}
	l.stated = stated
	return true
}

func (l *rateLimit) drawThreshold(rng *rand.Rand) { l.threshold = 1 + thresholdSpread*rng.Float64() }

// setRate sets the part of the limit that this host shares.
func (l *rateLimit) setRate(rate float64, now time.Time) {
	l.refill(now)
	l.rate = rate
}

func (l *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		burst := 1 + thresholdSpread + l.rate*burstTime.Seconds()
		l.tokens = min(l.tokens+l.rate*elapsed.Seconds(), burst)
		l.refilledAt = now
	}
}

// take takes a token for a request of any host.
func (l *rateLimit) take(now time.Time, rng *rand.Rand) {
	l.refill(now)
	l.tokens--
	l.drawThreshold(rng)
}

// delay returns the time until this host may send a request.
func (l *rateLimit) delay(now time.Time) time.Duration {
	if !l.active() || knownfault.IgnoreLimits {
		return 0
	}
	l.refill(now)
	missing := l.threshold - l.tokens
	if missing <= 0 {
		return 0
	}
	seconds := min(missing/l.rate, maxTokenDelay.Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// TakeToken takes a token of the upstream's limit for a request of any host. It reports
// whether there is a limit.
func (p *Pool) TakeToken(id string, now time.Time) bool {
	u, ok := p.upstreams[id]
	if !ok || !u.limit.active() {
		return false
	}
	u.limit.take(now, p.rng)
	return true
}

// SetLimitDomains sets the failure domains among which limits are divided, because only
// hosts of one domain tell each other of their requests, or nil if all hosts do.
func (p *Pool) SetLimitDomains(domains []string, now time.Time) {
	if slices.Equal(domains, p.limitDomains) {
		return
	}
	p.limitDomains = slices.Clone(domains)
	for _, u := range p.upstreams {
		p.shareLimit(u, now)
	}
}

// shareLimit sets the rate of an upstream's limit. A small limit is divided among few
// failure domains, so that each of them can use its part. The others send probes.
func (p *Pool) shareLimit(u *upstreamState, now time.Time) {
	if !u.limit.active() {
		return
	}
	limit := u.limit.stated.PerSecond
	if len(p.limitDomains) == 0 {
		u.limit.setRate(max(limit, probeRate), now)
		return
	}
	leastRate := probeRate / float64(len(p.limitDomains))
	users := min(len(p.limitDomains), max(1, int(limit/minDomainRate)))
	rank := rankAmong(u.up.ID, p.domain, p.limitDomains)
	if rate := limit / float64(users); rate > leastRate && rank >= 0 && rank < users {
		u.limit.setRate(rate, now)
		return
	}
	if u.limit.rate == 0 {
		// Spreads the first probes of the domains over the time between two probes of one.
		u.limit.tokens = -domainScore(u.up.ID, p.domain)
	}
	u.limit.setRate(leastRate, now)
}

// domainScore returns a number in [0, 1) that differs at random between failure domains.
func domainScore(upstream, domain string) float64 {
	return float64(rendezvous.Mix(rendezvous.KeyOf(upstream), rendezvous.KeyOf(domain))>>11) / (1 << 53)
}

// Accepts reports whether one start of an upstream still takes requests: it is listed,
// stays, is in no emptied failure domain, and has not asked this host to pause.
func (p *Pool) Accepts(up catalog.Upstream, now time.Time) bool {
	u, ok := p.upstreams[up.ID]
	return ok && u.up.SameStart(up) && u.open(now)
}

// Leaving reports whether one start of an upstream is not listed or will stop.
func (p *Pool) Leaving(up catalog.Upstream) bool {
	u, ok := p.upstreams[up.ID]
	return !ok || !u.up.SameStart(up) || u.isLeaving()
}

// open reports whether the upstream stays, is in no emptied failure domain, and has not asked this
// host to pause.
func (u *upstreamState) open(now time.Time) bool {
	return !u.isLeaving() && !u.emptied && !now.Before(u.pausedUntil)
}
