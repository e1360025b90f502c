// Package membership detects failed and leaving hosts. Each host derives the
// state of every other host from three inputs: the platform's host list, which
// lags, the results of its own calls, and the reports of the hosts that probe
// the other host. The package does no I/O; callers pass the current time.
package membership

import (
	_ "embed" // for the state chart
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
)

//go:embed host.hujson
var chartSource []byte

var chart = statechart.MustLoad("host.hujson", chartSource)

// States of a host, as declared in host.hujson.
const (
	StateLive      statechart.State = "live"
	StateSuspected statechart.State = "suspected"
	StateLeaving   statechart.State = "leaving"
	StateGone      statechart.State = "gone"
)

const (
	eventSuspect statechart.Event = "suspect"
	eventClear   statechart.Event = "clear"
	eventLeave   statechart.Event = "leave"
	eventReturn  statechart.Event = "return"
	eventRemove  statechart.Event = "remove"
)

// Report says that a host fails the probes of another host, its witness, or
// answers them again. A report of a host on itself says that it leaves the
// fleet or, if cleared, that it has started.
type Report struct {
	Host        record.HostID
	Incarnation record.Incarnation
	// By is the witness: the host that reports.
	By record.HostID
	// Seq orders the reports of one witness on one host. Only a report with a
	// higher number replaces the one before.
	Seq uint64
	// Cleared is true if the host answers again.
	Cleared bool
}

// Transition is a change of a host's state in a table.
type Transition struct {
	Host   record.HostID
	From   statechart.State
	To     statechart.State
	Reason string
}

// Policy sets when a host is suspected and when the suspicion is cleared.
type Policy struct {
	// Watchers is the number of hosts that probe each host.
	Watchers int
	// MinWitnesses is the number of witnesses whose probes must fail before a
	// host is suspected. If fewer watchers are trusted, all of these suffice.
	MinWitnesses int
	// OwnFailureTimeout is how long a host must fail this host's own calls
	// before this host suspects it without other witnesses.
	OwnFailureTimeout time.Duration
	// MinRecovery is how long a host must answer before this host clears its
	// report. Each further recent failure doubles the time, up to MaxRecovery.
	MinRecovery time.Duration
	MaxRecovery time.Duration
	// FlapExpiry is the time after the last failure at which the count of
	// recent failures is reset.
	FlapExpiry time.Duration
	// Transmits is the number of messages in which this host sends each report.
	Transmits int
}

// DefaultPolicy returns the policy for fleets of two to a few thousand hosts.
func DefaultPolicy() Policy {
	return Policy{
		Watchers:          3,
		MinWitnesses:      2,
		OwnFailureTimeout: 2 * time.Second,
		MinRecovery:       2 * time.Second,
		MaxRecovery:       time.Minute,
		FlapExpiry:        5 * time.Minute,
		Transmits:         16,
	}
}
