package membership

import (
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
)

// entry is what a table stores about one host.
type entry struct {
	host platform.Host
	// listed is true if the newest list of the platform contains the host.
	listed  bool
	machine *statechart.Machine
	// incarnation, leaving and version are what the host last reported about
	// itself.
	incarnation record.Incarnation
	leaving     bool
	version     record.Offset
	// reports holds the newest report of each witness, this host's own included.
	reports map[record.HostID]Report
	// calls is the health of the host as this host's own calls show it.
	calls callHealth
}

// callHealth is the health of another host, derived from this host's own calls
// to it.
type callHealth struct {
	failing bool
	// failingSince is the time of the first failed call. answeringSince is the
	// time of the first answer after the last failed call, or zero.
	failingSince   time.Time
	answeringSince time.Time
	lastFailure    time.Time
	// flaps counts the recent changes from answering to failing.
	flaps int
}

// recordFailure records a failed call. It reports whether the host now counts as
// failing and did not before.
func (e *callHealth) recordFailure(now time.Time, flapExpiry time.Duration) bool {
	if e.flaps > 0 && now.Sub(e.lastFailure) > flapExpiry {
		e.flaps = 0
	}
	e.lastFailure = now
	e.answeringSince = time.Time{}
	if e.failing {
		return false
	}
	e.failing = true
	e.failingSince = now
	e.flaps++
	return true
}

// recordAnswer records an answered call. It reports whether the host no longer
// counts as failing and did before.
func (e *callHealth) recordAnswer(now time.Time, policy *Policy) bool {
	if !e.failing {
		return false
	}
	if e.answeringSince.IsZero() {
		e.answeringSince = now
	}
	if now.Sub(e.answeringSince) < recoveryTime(e.flaps, policy) {
		return false
	}
	e.failing = false
	return true
}

// recoveryTime returns how long a host with this many recent failures must
// answer before it no longer counts as failing.
func recoveryTime(flaps int, policy *Policy) time.Duration {
	recovery := policy.MinRecovery
	for i := 1; i < flaps && recovery < policy.MaxRecovery; i++ {
		recovery *= 2
	}
	return min(recovery, policy.MaxRecovery)
}

// failingFor reports whether the host has been failing for at least a duration.
func (e *callHealth) failingFor(now time.Time, atLeast time.Duration) bool {
	return e.failing && now.Sub(e.failingSince) >= atLeast
}

// restart drops what was known of an earlier incarnation. The count of recent
// failures is kept, so that a host that restarts often still counts as flapping.
func (e *entry) restart(incarnation record.Incarnation) {
	e.incarnation = incarnation
	e.leaving = false
	e.reports = make(map[record.HostID]Report)
	e.calls = callHealth{flaps: e.calls.flaps, lastFailure: e.calls.lastFailure}
}
