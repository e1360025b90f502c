// Package catalog describes the upstreams that the platform lists.
package catalog

import (
	"net/netip"
	"time"
)

// Upstream is one start of an upstream, as described by the upstream's own entry.
type Upstream struct {
	// ID identifies the upstream. It may keep its ID when it restarts.
	ID string
	// Started is when the upstream started, in Unix milliseconds, or zero if the entry
	// does not have it. It distinguishes two starts with one ID.
	Started int64
	// Version is the version of the upstream's software.
	Version       string
	Service       string
	Addr          netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// Lapsed upstreams have no entry now. They are used for a moment after an outage of the
	// list, until they have renewed it.
	Lapsed bool
	// ColdLeft is how long the upstream stays cold, as of its entry, or negative if the entry
	// does not tell.
	ColdLeft time.Duration
	// ReadAt is when this host read the entry.
	ReadAt time.Time
}

// ColdUntil returns the end of the time in which the upstream is cold, as its entry states it. It
// is not before the true end, because entries are read after they were written. If the entry does
// not tell, the upstream counts as cold for coldStart after its start.
func (u Upstream) ColdUntil(coldStart time.Duration) time.Time {
	left := u.ColdLeft
	if left < 0 {
		age := u.ReadAt.Sub(time.UnixMilli(u.Started))
		left = min(coldStart, coldStart-age)
	}
	return u.ReadAt.Add(max(0, left))
}

// SameFacts reports whether two entries state the same, apart from times that differ with each
// heartbeat.
func (u Upstream) SameFacts(o Upstream) bool {
	u.ColdLeft, u.ReadAt = o.ColdLeft, o.ReadAt
	return u == o
}

// SameStart reports whether two entries are of the same start of an upstream.
func (u Upstream) SameStart(o Upstream) bool {
	return u.ID == o.ID && u.Started == o.Started && u.Addr == o.Addr && u.Service == o.Service
}
