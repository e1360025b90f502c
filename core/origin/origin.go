// Package origin decides at which upstreams a stream may go on. What upstreams of two software
// versions write does not fit together, so a stream goes on only at the version that has begun
// it, whichever host goes on with it and for whatever reason. If that version is not certain,
// the stream ends.
package origin

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hazelworks/hazelworks/core/catalog"
)

// Version identifies one software version of the upstreams of one service. Zero is [Unknown].
type Version uint32

// Unknown is the version of a stream whose origin is not certain.
const Unknown Version = 0

// VersionOf returns the version of an upstream.
func VersionOf(up catalog.Upstream) Version {
	h := Version(xxhash.Sum64String(up.Service + "\x00" + up.Version))
	if h == Unknown {
		return 1
	}
	return h
}

// Key identifies a stream by the request whose answer has its first event. It includes the
// account, so that no caller can change what is known of another account's streams.
type Key uint64

// KeyOf returns the key of the stream that a request of an account has begun.
func KeyOf(account, requestID string) Key {
	return Key(xxhash.Sum64String(account + "\x00" + requestID))
}
