// Package member tracks the hosts of the fleet. It combines the platform's
// lagging host list with this host's own probes.
package member

import (
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

// State is what this host believes about another.
type State string

// States of a host. Suspicion steers traffic; it never frees money.
const (
	StateLive      State = "live"
	StateSuspected State = "suspected"
	StateLeaving   State = "leaving"
	StateGone      State = "gone"
)

// Host is a host of the fleet as this host sees it.
type Host struct {
	platform.Host
	// Incarnation is zero until the host has been heard.
	Incarnation   record.Incarnation
	ObservedState State
	// SettingsVersion is the settings offset that the host last reported.
	SettingsVersion record.Offset
}

// View gives the hosts of the fleet. Implementations are safe for concurrent use.
type View interface {
	// Self returns this host's incarnation.
	Self() record.Holder
	// Hosts returns all hosts that are not gone, this one included, by ID.
	Hosts() []Host
	// Client returns a client for a host's peer address, or false if the host
	// is not known.
	Client(id record.HostID) (peerpbconnect.PeerServiceClient, bool)
}
