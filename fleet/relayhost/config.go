// Package relayhost wires a host whose settings, upstreams and budgets come from
// a keyed log: it serves callers, tells them which hosts to use and keeps the
// accounts within their budgets.
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
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	// Caller serves requests, Ready the platform's readiness checks, and
	// Directory the question which hosts to use.
	Caller    netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	// Peer is for other hosts, over TCP and UDP.
	Peer netip.AddrPort
	// Metrics serves the process's own metrics.
	Metrics netip.AddrPort
}

// Limits are what the machine gives the process.
type Limits struct {
	MemoryBytes int64
	Descriptors int
	// Cores is the share of a processor core.
	Cores float64
	// LinkBits is the bandwidth of the machine's link, in bits a second.
	LinkBits float64
	// LogWrites and LogReads are how many calls a second all hosts together may
	// make to the log.
	LogWrites float64
	LogReads  float64
	// LogReadRate is how many bytes a second all hosts together may read of it.
	LogReadRate float64
}

// Bounds are the times and shares that the fleet promises to keep.
type Bounds struct {
	// Drain is how long a leaving upstream may still get new work.
	Drain time.Duration
	// Grace is the time between a request to stop and the forced end.
	Grace time.Duration
	// DirectoryTTL is the longest time that a caller may keep an answer.
	DirectoryTTL time.Duration
	// ReuseAfter is the time after which the address of an ended upstream may
	// belong to another.
	ReuseAfter time.Duration
	// RetryShare and RetrySlack bound the repeated sends of all hosts to a
	// service in any RetryWindow: the share of its requests, plus the slack.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// UpstreamHeartbeat is the interval at which upstreams renew their entries.
	UpstreamHeartbeat time.Duration
}
