package relayhost

import (
	"math"
	"time"

	"github.com/hazelworks/hazelworks/core/admission"
)

// scaledPause returns the pause between calls for the current number of hosts. base is
// the pause in a small fleet, and maxPause the upper bound.
func (h *Host) scaledPause(base, maxPause time.Duration) time.Duration {
	hosts, _ := h.hosts.count()
	return min(maxPause, time.Duration(float64(base)*admission.PauseFactor(hosts, fullRateHosts)))
}

// hostsPause returns the pause between reads of the list of hosts.
func (h *Host) hostsPause() time.Duration { return h.scaledPause(listPause, maxHostsPause) }

// Shares of the log's limits that claim rounds may use. Each round makes one write and
// two or three reads. The rest is for the settings and lists.
const (
	claimWriteShare = 0.7
	claimReadShare  = 0.5
	claimReads      = 3
)

const (
	// settingsReadWindow is the time in which all hosts may read new settings from the log.
	// It is a third of the shortest time in which they must be in force.
	settingsReadWindow = time.Second
	// settingsBytes is the assumed size of the settings, with about a thousand budgets
	// or routes.
	settingsBytes = 800e3
)

// settingsLinkShare is the share of a host's link that reading the settings from the log may take for
// the time of [settingsReadWindow].
const settingsLinkShare = 0.25

// directHosts returns the number of hosts up to which each reads the settings from the
// log. A host with a small link reads them from other hosts, which send them compressed.
func directHosts(limits Limits) int {
	if limits.LinkBits > 0 && 8*settingsBytes/limits.LinkBits > settingsLinkShare*settingsReadWindow.Seconds() {
		return 0
	}
	if limits.LogReadRate <= 0 {
		return math.MaxInt
	}
	return int(limits.LogReadRate * settingsReadWindow.Seconds() / settingsBytes)
}

// claimSpacing returns the minimum time between a host's claim rounds, or zero if the
// log's limits are not known.
func claimSpacing(limits Limits, hosts int) time.Duration {
	if limits.LogWrites <= 0 || limits.LogReads <= 0 {
		return 0
	}
	writes := float64(hosts) / (claimWriteShare * limits.LogWrites)
	reads := claimReads * float64(hosts) / (claimReadShare * limits.LogReads)
	return time.Duration(max(writes, reads) * float64(time.Second))
}

func (h *Host) claimSpacing() time.Duration {
	hosts, _ := h.hosts.count()
	return claimSpacing(h.cfg.Limits, hosts)
}
