// Package catalog describes the upstreams that the platform lists.
package catalog

import "net/netip"

// Upstream is one start of an upstream, as its own entry describes it.
type Upstream struct {
	// ID names the upstream. One that starts again may keep its ID.
	ID string
	// Started is the Unix millisecond of the start, or zero if the upstream
	// doesn't say. It tells apart two starts under one ID.
	Started       int64
	Service       string
	Addr          netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
}

// SameStart tells whether two entries are of the same start.
func (u Upstream) SameStart(o Upstream) bool {
	return u.ID == o.ID && u.Started == o.Started && u.Addr == o.Addr && u.Service == o.Service
}
