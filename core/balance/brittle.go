package balance

import (
	"slices"
	"time"
)

// Brittleness is what an upstream states about rejections: it falls over if it has to reject more
// than PerSecond requests in a second for want of room, from all hosts together.
type Brittleness struct {
	State     LimitState
	PerSecond uint32
}

const (
	// rejectionWindow is the time over which rejections are counted.
	rejectionWindow = time.Second
	// rejectionShare is the part of the rejections that hosts use up: more requests may be under
	// way when the first is rejected.
	rejectionShare = 0.4
	// roomFactor is the factor by which the room of a brittle upstream counts as smaller after a
	// rejection, and roomRegrowth the part of the slots by which it grows in a second.
	roomFactor   = 0.75
	roomRegrowth = 0.05
)

// brittle keeps all hosts together from having a brittle upstream reject many requests. Each host
// has a part of the upstream's slots, so that what would wait at the upstream waits at its host
// instead, whatever hosts know of each other's requests.
type brittle struct {
	stated Brittleness
	// rejected has the times of the rejections to all hosts within rejectionWindow.
	rejected []time.Time
	// room is the number of requests that the upstream is assumed to take as of roomAt, or zero
	// if that is its slots.
	room   float64
	roomAt time.Time
}

func (b *brittle) active() bool { return b.stated.State == LimitPresent }

// apply applies what an answer states, and reports whether that is news.
func (b *brittle) apply(stated Brittleness) bool {
	if stated.State == LimitUnknown || stated == b.stated || stated.State == LimitAbsent && !b.active() {
		return false
	}
	*b = brittle{stated: stated}
	return true
}

// reject records that the upstream has rejected a request while it ran others.
func (b *brittle) reject(running, slots int, now time.Time) {
	b.expire(now)
	b.rejected = append(b.rejected, now)
	b.room, b.roomAt = max(1, roomFactor*min(float64(running), b.roomNow(slots, now))), now
}

func (b *brittle) expire(now time.Time) {
	b.rejected = slices.DeleteFunc(b.rejected, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
}

func (b *brittle) roomNow(slots int, now time.Time) float64 {
	if b.room == 0 {
		return float64(slots)
	}
	return min(float64(slots), b.room+roomRegrowth*float64(slots)*now.Sub(b.roomAt).Seconds())
}

// mayReject reports whether the upstream may have to reject another request. groups is the number
// of groups of hosts that don't hear of each other's requests.
func (b *brittle) mayReject(groups int, now time.Time) bool {
	b.expire(now)
	return float64(len(b.rejected)) <= rejectionShare*float64(b.stated.PerSecond)/float64(groups)
}

// SetSharers sets the hosts, with this one, that share the room of brittle upstreams: those that
// serve. self is this host's ID.
func (p *Pool) SetSharers(self string, hosts []string) {
	p.self, p.sharers = self, hosts
	for _, u := range p.ordered {
		u.sharerRank = -1
	}
}

// quota returns the number of requests of this host that an upstream may run at once: its share
// of the room. The hosts that get what can't be divided are chosen by a hash that all agree on.
func (p *Pool) quota(u *upstreamState, now time.Time) int {
	room := int(u.brittle.roomNow(u.up.Slots, now))
	if len(p.sharers) <= 1 {
		return max(1, room)
	}
	if u.sharerRank < 0 {
		u.sharerRank = rankAmong(u.up.ID, p.self, p.sharers)
	}
	return shareOf(room, u.sharerRank, len(p.sharers))
}

// hasRoom reports whether an upstream may get the request of a query: it has places or memory for
// it, and this host has a part of the room if the upstream is brittle or cold.
func (p *Pool) hasRoom(u *upstreamState, q *Query, now time.Time) bool {
	if p.coldDelay(u, now) > 0 || q.Work == nil && !p.hasPlaces(u, now) || !p.hasMemory(u, q.Work) {
		return false
	}
	if !u.brittle.active() || u.up.Slots <= 0 {
		return true
	}
	if !u.brittle.mayReject(max(1, len(p.limitDomains)), now) {
		return false
	}
	if p.hasQuota(now) {
		return p.ownRunning(u) < p.quota(u, now)
	}
	// There are more hosts than slots of the whole service. Each has few requests.
	return p.ownRunning(u) == 0 && float64(len(u.running)) < u.brittle.roomNow(u.up.Slots, now)
}

// hasQuota reports whether this host has a part of the room of any upstream.
func (p *Pool) hasQuota(now time.Time) bool {
	return slices.ContainsFunc(p.ordered, func(u *upstreamState) bool { return u.open(now) && p.quota(u, now) > 0 })
}

// ownRunning returns the number of this host's requests at an upstream.
func (p *Pool) ownRunning(u *upstreamState) int {
	n := 0
	for t := range u.running {
		if t.Host == p.self {
			n++
		}
	}
	return n
}

// Full reports whether upstreams take requests that fit a query, but none of them has room: they
// are brittle or cold.
func (p *Pool) Full(q *Query, now time.Time) bool {
	if p.exceedsMemory(q.Work) {
		return false // it won't have room later either
	}
	open := false
	for _, u := range p.ordered {
		if !u.open(now) || !u.fits(q) {
			continue
		}
		if p.hasRoom(u, q, now) {
			return false
		}
		open = true
	}
	return open
}
