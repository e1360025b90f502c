// Package platform declares the interfaces of the services that the platform
// provides to the fleet: the append-only log, the host list and the weight store.
// Package fleet/platformhttp implements them over HTTP; another protocol gets a
// package of its own. Fakes are in the standin module.
package platform

import (
	"context"
	"errors"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Errors of the log service. After any other error of Append it is unknown whether
// the record was appended.
var (
	// ErrUnavailable means that the service did not accept the call. An Append
	// that fails with it had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrThrottled means that the rate limit of the service rejected the call. The
	// call had no effect.
	ErrThrottled = errors.New("platform: throttled")
	// ErrTrimmed means that the stream no longer keeps the requested offset.
	ErrTrimmed = errors.New("platform: offset is no longer kept")
)

// Bounds is the range of offsets that a stream keeps: First to Head, both
// inclusive. An empty stream has Head = First-1. Offsets start at 1 and have no
// gaps.
type Bounds struct {
	First record.Offset
	Head  record.Offset
}

// Log is the append-only log service.
type Log interface {
	// Append appends one record and returns its offset. After an error other than
	// ErrUnavailable and ErrThrottled the record may or may not be in the stream.
	Append(ctx context.Context, stream string, data []byte) (record.Offset, error)
	// Read returns at most limit records, starting at offset from. If there are
	// none yet, it waits for one, at most as long as wait, and then returns an
	// empty slice. It returns ErrTrimmed if from is before the first offset that
	// the stream keeps.
	Read(ctx context.Context, stream string, from record.Offset, limit int, wait time.Duration) ([]record.Entry, error)
	// Bounds returns the offsets that the stream keeps.
	Bounds(ctx context.Context, stream string) (Bounds, error)
}

// HostState is the state of a host in the platform's host list. It lags behind the
// real state.
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
	// CallerAddr is the ip:port to which callers connect.
	CallerAddr string `json:"caller_addr"`
	// PeerAddr is the ip:port to which other hosts of the fleet connect.
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
	// Hosts returns the list as soon as its version is higher than after, or the
	// current list after wait.
	Hosts(ctx context.Context, after uint64, wait time.Duration) (Hosts, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Acquire requests permission to load a model version. It returns the expected
	// duration of the transfer. It returns ErrThrottled if the store's rate limit
	// rejects the request.
	Acquire(ctx context.Context, model, version string) (time.Duration, error)
}
