// Package relayhost assembles a host process whose settings, upstreams and budgets
// come from a keyed log. The host serves callers, answers which hosts they can use,
// and enforces the accounts' budgets.
package relayhost

import (
	"net/netip"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Config is the configuration of a host process.
type Config struct {
	Host          record.HostID
	Region        string
	FailureDomain string
	Listen        Listen
	// StoreAddr is the address of the keyed log.
	StoreAddr netip.AddrPort
	Limits    Limits
	Bounds    Bounds
	// AccountShares is true if accounts compete for too little room at times, and each is to
	// get its share then.
	AccountShares bool
	// TurnCallersAway is true if hosts that are full turn callers away, who then go to other
	// hosts.
	TurnCallersAway bool
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	// Caller serves requests, Ready the platform's readiness checks, and Directory
	// the list of hosts that callers can use.
	Caller    netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	// Peer is for other hosts, over TCP and UDP.
	Peer netip.AddrPort
	// Metrics serves the process's own metrics.
	Metrics netip.AddrPort
}

// Limits are the resources of the process, and its limits on calls to the log.
type Limits struct {
	MemoryBytes int64
	Descriptors int
	// Cores is the number of processor cores, which may be a fraction.
	Cores float64
	// LinkBits is the bandwidth of the network link, in bits per second.
	LinkBits float64
	// LogWrites and LogReads are the limits on calls to the log, in calls per second
	// for all hosts together. Zero means that the limit is not known.
	LogWrites float64
	LogReads  float64
	// LogReadRate is the limit on data read from the log, in bytes per second for all
	// hosts together. Zero means that the limit is not known.
	LogReadRate float64
}

// Bounds are the times and shares that the fleet must keep.
type Bounds struct {
	// Drain is how long a leaving upstream may still get new requests.
	Drain time.Duration
	// SettingsApply is the time within which a version of the settings must be in force at all hosts.
	SettingsApply time.Duration
	// Grace is the time between the signal to stop and the forced kill.
	Grace time.Duration
	// DirectoryTTL is the maximum TTL of a directory answer.
	DirectoryTTL time.Duration
	// ReuseAfter is the time after which another upstream may get the address of a
	// stopped one.
	ReuseAfter time.Duration
	// RetryShare and RetrySlack bound the retries of all hosts to a service in any
	// RetryWindow: RetryShare times its requests, plus RetrySlack.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// UpstreamHeartbeat is the interval at which upstreams renew their entries.
	UpstreamHeartbeat time.Duration
}
