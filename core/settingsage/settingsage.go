// Package settingsage tells whether the settings that a host has may be out of date. Hosts read them
// from a log, and a change has to be in force everywhere within a given time.
package settingsage

import (
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
)

// Age is the age of one host's settings. It is not safe for concurrent use.
type Age struct {
	// confirmedAt is when the settings were last known to be the newest.
	confirmedAt time.Time
	position    platform.Position
	// heard holds the positions that other hosts have read and this one has not, in order.
	heard []heard
}

// heard is a position that another host has read, and when this host heard of it first.
type heard struct {
	position platform.Position
	at       time.Time
}

// maxHeard bounds the positions that are remembered. The first one matters most.
const maxHeard = 64

// margin is the part of the time for a change that is left for a request on its way.
const margin = 250 * time.Millisecond

// Confirm records that the settings were the newest at a time.
func (a *Age) Confirm(at time.Time) {
	if at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
}

// ConfirmedAgo returns the time since the settings were last known to be the newest, or a negative
// time if they never were.
func (a *Age) ConfirmedAgo(now time.Time) time.Duration {
	if a.confirmedAt.IsZero() {
		return -1
	}
	return now.Sub(a.confirmedAt)
}

// Confirmed reports whether every version that must be in force by now is. If not, a newer version may
// allow what these settings don't.
func (a *Age) Confirmed(now time.Time, apply time.Duration) bool {
	return !a.confirmedAt.IsZero() && now.Sub(a.confirmedAt) <= apply-margin
}

// SetPosition records the position up to which this host has read. It reports whether that is further
// than before.
func (a *Age) SetPosition(p platform.Position) (further bool) {
	further = p.After(a.position)
	a.position = p
	a.heard = slices.DeleteFunc(a.heard, func(h heard) bool { return !h.position.After(p) })
	return further
}

// Hear records the position that another host has read.
func (a *Age) Hear(p platform.Position, now time.Time) {
	n := len(a.heard)
	if !p.After(a.position) || n == maxHeard || n > 0 && !p.After(a.heard[n-1].position) {
		return
	}
	a.heard = append(a.heard, heard{p, now})
}

// Behind reports whether a version that another host has had to be in force by now and is not. While the
// log is out of reach for all hosts, none is behind.
func (a *Age) Behind(now time.Time, apply time.Duration) bool {
	return len(a.heard) > 0 && now.Sub(a.heard[0].at) >= apply-2*margin
}
