// Package membership decides what a host believes of the others. It combines the
// platform's lagging host list with this host's own probes and with the reports
// of the hosts that probe them. It does no I/O and takes the time from callers.
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

// States of a host.
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

// Report is a witness's word on a host that it probes. A report of a host on
// itself says that it leaves the fleet or, if cleared, that it has started.
type Report struct {
	Host        record.HostID
	Incarnation record.Incarnation
	// By is the witness.
	By record.HostID
	// Seq orders the reports of one witness on one host.
	Seq uint64
	// Cleared is true if the host answers again.
	Cleared bool
}

// Transition is a change of belief.
type Transition struct {
	Host   record.HostID
	From   statechart.State
	To     statechart.State
	Reason string
}

// Policy tunes suspicion.
type Policy struct {
	// Watchers is the number of hosts that probe each host.
	Watchers int
	// MinWitnesses is the number of failed witnesses that make a host suspected.
	MinWitnesses int
	// OwnFailureTimeout is how long a host must fail this host's own calls before it
	// is suspected without other witnesses.
	OwnFailureTimeout time.Duration
	// MinRecovery is how long a host must answer before a report is cleared. Each
	// recent failure doubles it, up to MaxHold.
	MinRecovery time.Duration
	MaxRecovery time.Duration
	// FlapExpiry is how long a host must stay well for its failures to be forgotten.
	FlapExpiry time.Duration
	// Transmits is the number of messages that carry each report.
	Transmits int
}

// DefaultPolicy returns the policy for fleets of two to some thousand hosts.
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
