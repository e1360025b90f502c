package request

import (
	"crypto/rand"
	"fmt"
	"strings"
)

// MaxIDBytes bounds the request IDs that callers choose.
const MaxIDBytes = 128

// generatedPrefix marks IDs made by a host. Such an ID is known to one host
// only, so a request that arrives with one is looked up and never run.
const generatedPrefix = "hz-"

// NewID returns an ID for a request whose caller chose none.
func NewID() string {
	return generatedPrefix + strings.ToLower(rand.Text())
}

// Generated reports whether an ID was made by a host.
func Generated(id string) bool {
	return strings.HasPrefix(id, generatedPrefix)
}

// CheckID returns an error if an ID cannot be used: it must have 1 to
// [MaxIDBytes] printable ASCII characters and no space.
func CheckID(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return fmt.Errorf("a request ID has 1 to %d characters", MaxIDBytes)
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return fmt.Errorf("a request ID has printable ASCII characters only")
		}
	}
	return nil
}

// UpstreamID returns the ID of a request towards upstreams. IDs of callers are
// unique only within their account.
func UpstreamID(account, id string) string {
	return account + ":" + id
}
