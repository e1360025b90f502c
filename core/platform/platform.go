// Package platform describes the services that the platform gives to the fleet:
// the append-only log, the list of hosts and the weight store. Implementations
// for one dialect live in sub-packages; fakes live in the standin module.
package platform

import (
	"context"
	"errors"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Errors of the log service. Any other error of Append leaves its effect unknown.
var (
	// ErrUnavailable reports that the service did not take the call; an Append
	// that fails with it had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrThrottled reports that the rate limit refused the call without effect.
	ErrThrottled = errors.New("platform: throttled")
	// ErrTrimmed reports that the offset asked for is no longer kept.
	ErrTrimmed = errors.New("platform: offset is no longer kept")
)

// Bounds tells which offsets a stream keeps: First to Head, both inclusive.
// An empty stream has Head = First-1. Offsets start at 1 and have no gaps.
type Bounds struct {
	First record.Offset
	Head  record.Offset
}

// Log is the append-only log service.
type Log interface {
	// Append adds one record and returns its offset. An error other than
	// ErrUnavailable and ErrThrottled does not tell whether it took effect.
	Append(ctx context.Context, stream string, data []byte) (record.Offset, error)
	// Read returns at most limit records with offsets from 'from' on. If there
	// are none yet it waits up to wait and then returns an empty slice. It
	// returns ErrTrimmed if from lies before the first record that is kept.
	Read(ctx context.Context, stream string, from record.Offset, limit int, wait time.Duration) ([]record.Entry, error)
	// Bounds returns the offsets that the stream keeps.
	Bounds(ctx context.Context, stream string) (Bounds, error)
}

// HostState is the platform's word on a host. It lags behind the facts.
type HostState string

// States in the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID            record.HostID `json:"id"`
	FailureDomain string        `json:"failure_domain"`
	Region        string        `json:"region"`
	// CallerAddr is the ip:port that callers connect to.
	CallerAddr string `json:"caller_addr"`
	// PeerAddr is the ip:port for other hosts of the fleet.
	PeerAddr string    `json:"peer_addr"`
	State    HostState `json:"state"`
}

// Hosts is one version of the host list.
type Hosts struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	// Hosts returns the list once its version exceeds after, or the current
	// list when wait has passed.
	Hosts(ctx context.Context, after uint64, wait time.Duration) (Hosts, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Acquire asks for permission to load a model version of the given size.
	// It returns how long the transfer will take, or ErrThrottled.
	Acquire(ctx context.Context, model, version string) (time.Duration, error)
}
