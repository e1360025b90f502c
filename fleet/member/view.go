// Package member tracks the hosts of the fleet. It combines the platform's host
// list, which lags behind, with this host's own probes and the reports of other
// hosts.
package member

import (
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

// State is the state of a host as this host observes it.
type State string

// States of a host. Suspicion affects only where traffic is sent; it never frees
// money.
const (
	StateLive      State = "live"
	StateSuspected State = "suspected"
	StateLeaving   State = "leaving"
	StateGone      State = "gone"
)

// Host is a host of the fleet as this host sees it.
type Host struct {
	platform.Host
	// Incarnation is zero while it is not known.
	Incarnation record.Incarnation
	// ObservedState is the state in which this host sees it.
	ObservedState State
	// SettingsVersion is the settings offset that the host last reported.
	SettingsVersion record.Offset
}

// View lists the hosts of the fleet. Implementations are safe for concurrent use.
type View interface {
	// Self returns this host's incarnation.
	Self() record.Holder
	// Hosts returns all hosts that are not gone, including this one, sorted by ID.
	Hosts() []Host
	// Client returns a client for a host's peer address, or false if the host
	// is not known.
	Client(id record.HostID) (peerpbconnect.PeerServiceClient, bool)
}
