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
	own     evidence
}

// evidence is what this host's own calls to another show.
type evidence struct {
	failing bool
	// failedSince is when the first call failed, answersSince when the first
	// call after the last failure was answered, zero if none was.
	failedSince  time.Time
	answersSince time.Time
	lastFailure  time.Time
	// flaps counts recent turns to failing.
	flaps int
}

// fail notes a failed call and reports whether the host was well before.
func (e *evidence) fail(now time.Time, memory time.Duration) bool {
	if e.flaps > 0 && now.Sub(e.lastFailure) > memory {
		e.flaps = 0
	}
	e.lastFailure = now
	e.answersSince = time.Time{}
	if e.failing {
		return false
	}
	e.failing = true
	e.failedSince = now
	e.flaps++
	return true
}

// answer notes an answered call and reports whether the host is well again.
func (e *evidence) answer(now time.Time, policy *Policy) bool {
	if !e.failing {
		return false
	}
	if e.answersSince.IsZero() {
		e.answersSince = now
	}
	if now.Sub(e.answersSince) < holdTime(e.flaps, policy) {
		return false
	}
	e.failing = false
	return true
}

// holdTime is how long a host with this many recent failures must answer.
func holdTime(flaps int, policy *Policy) time.Duration {
	hold := policy.MinHold
	for i := 1; i < flaps && hold < policy.MaxHold; i++ {
		hold *= 2
	}
	return min(hold, policy.MaxHold)
}

// persistent reports whether calls have failed for the patience.
func (e *evidence) persistent(now time.Time, patience time.Duration) bool {
	return e.failing && now.Sub(e.failedSince) >= patience
}

// restart forgets what was known of an earlier incarnation.
func (e *entry) restart(incarnation record.Incarnation) {
	e.incarnation = incarnation
	e.leaving = false
	e.reports = make(map[record.HostID]Report)
	e.own = evidence{flaps: e.own.flaps, lastFailure: e.own.lastFailure}
}
