package membership

import (
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
)

// entry is what the table holds on one host.
type entry struct {
	host    platform.Host
	listed  bool
	machine *statechart.Machine
	// incarnation, leaving and version are what the host last said itself.
	incarnation record.Incarnation
	leaving     bool
	version     record.Offset
	// reports holds the newest report of each witness, this host's own included.
	reports map[record.HostID]Report
	calls   callHealth
}

// callHealth is what this host's own calls to another show.
type callHealth struct {
	failing bool
	// failingSince is when the first call failed, answersSince when the first
	// call after the last failure was answered, zero if none was.
	failingSince   time.Time
	answeringSince time.Time
	lastFailure    time.Time
	// flaps counts recent turns to failing.
	flaps int
}

// recordFailure notes a failed call and reports whether the host was well before.
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

// recordAnswer notes an answered call and reports whether the host is well again.
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

// recoveryTime is how long a host with this many recent failures must answer.
func recoveryTime(flaps int, policy *Policy) time.Duration {
	recovery := policy.MinRecovery
	for i := 1; i < flaps && recovery < policy.MaxRecovery; i++ {
		recovery *= 2
	}
	return min(recovery, policy.MaxRecovery)
}

// failingFor reports whether calls have failed for the patience.
func (e *callHealth) failingFor(now time.Time, atLeast time.Duration) bool {
	return e.failing && now.Sub(e.failingSince) >= atLeast
}

// restart forgets what was known of an earlier incarnation.
func (e *entry) restart(incarnation record.Incarnation) {
	e.incarnation = incarnation
	e.leaving = false
	e.reports = make(map[record.HostID]Report)
	e.calls = callHealth{flaps: e.calls.flaps, lastFailure: e.calls.lastFailure}
}
