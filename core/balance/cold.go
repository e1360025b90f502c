package balance

import (
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/knownfault"
)

const (
	// coldWindow is the time in which the hosts together send as many requests to a cold
	// upstream as it takes in a second. The rest is for requests that arrive later than others.
	coldWindow = 1100 * time.Millisecond
	// coldDoubtTime is how long entries that are read may have been written before an upstream
	// became cold. They are written each 1.2 s or so, and read up to as much later.
	coldDoubtTime = 2 * time.Second
	// noRoomDelay is the time until a cold upstream takes a request of a host without a part.
	noRoomDelay = time.Hour
)

// cold keeps all hosts together within the rate that an upstream takes while it is cold. Each host
// has a part of the rate, whatever hosts know of each other's requests. Parts that aren't used are
// lost.
type cold struct {
	// until is when the upstream is warm.
	until time.Time
	// doubtedUntil is the time until which entries don't end the time in which it is cold.
	doubtedUntil time.Time
	// sent has the times of this host's last requests, the oldest first.
	sent []time.Time
	// rank is this host's rank among the members for the upstream, if ranked is true.
	rank   int
	ranked bool
}

// doubt marks an upstream as cold until an entry of later states otherwise.
func (c *cold) doubt(start time.Duration, now time.Time) {
	c.doubtedUntil = now.Add(coldDoubtTime)
	if until := now.Add(max(start, coldDoubtTime)); until.After(c.until) {
		c.until = until
	}
}

// apply applies what an entry states that was read at a time.
func (c *cold) apply(until, readAt time.Time) {
	if until.After(c.until) || !readAt.Before(c.doubtedUntil) {
		c.until = until
	}
}

// SetCold sets how many requests per second a cold upstream takes from all hosts together, or zero
// if upstreams are never cold, and how long they are cold after a start.
func (p *Pool) SetCold(perSecond float64, start time.Duration) {
	p.coldPerSecond, p.coldStart = perSecond, start
}

// SetMembers sets the hosts of the fleet, which may all send to cold upstreams, whether they are in
// touch or not. Without this host, or if they aren't known, it has no part.
func (p *Pool) SetMembers(hosts []string) {
	if slices.Equal(hosts, p.members) {
		return
	}
	p.members = slices.Clone(hosts)
	for _, u := range p.ordered {
		u.cold.ranked = false
	}
}

// coldPart returns the number of requests that this host may send to a cold upstream in a time.
// Of a rate below one in a window, one host has all.
func (p *Pool) coldPart(u *upstreamState) (int, time.Duration) {
	if !u.cold.ranked {
		u.cold.rank, u.cold.ranked = rankAmong(u.up.ID, p.self, p.members), true
	}
	total, window := int(p.coldPerSecond), coldWindow
	if total == 0 {
		total, window = 1, time.Duration(float64(coldWindow)/p.coldPerSecond)
	}
	return shareOf(total, u.cold.rank, len(p.members)), window
}

// isCold reports whether an upstream takes few requests because it has just started, or has become
// cold again.
func (p *Pool) isCold(u *upstreamState, now time.Time) bool {
	return p.coldPerSecond > 0 && now.Before(u.cold.until) && !knownfault.IgnoreCold
}

// coldDelay returns the time until an upstream takes a request of this host, if it is cold.
func (p *Pool) coldDelay(u *upstreamState, now time.Time) time.Duration {
	if !p.isCold(u, now) {
		return 0
	}
	part, window := p.coldPart(u)
	delay := noRoomDelay
	switch {
	case len(u.cold.sent) < part:
		return 0
	case part > 0:
		delay = window - now.Sub(u.cold.sent[len(u.cold.sent)-part])
	}
	return max(0, min(delay, u.cold.until.Sub(now)))
}

// countColdSend records a request of this host, also to a warm upstream, which may become cold.
func (p *Pool) countColdSend(u *upstreamState, now time.Time) {
	if p.coldPerSecond <= 0 {
		return
	}
	if most := max(1, int(p.coldPerSecond)); len(u.cold.sent) >= most {
		u.cold.sent = slices.Delete(u.cold.sent, 0, len(u.cold.sent)-most+1)
	}
	u.cold.sent = append(u.cold.sent, now)
}

// RoomDelay returns the time until an upstream takes a request that fits a query, as far as cold
// upstreams determine it.
func (p *Pool) RoomDelay(q *Query, now time.Time) time.Duration {
	soonest := noRoomDelay
	for _, u := range p.ordered {
		if u.open(now) && u.fits(q) {
			soonest = min(soonest, p.coldDelay(u, now))
		}
	}
	return soonest
}
