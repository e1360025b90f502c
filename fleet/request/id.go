package request

import (
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/hazelworks/hazelworks/core/record"
)

// MaxIDBytes bounds the request IDs that callers choose.
const MaxIDBytes = 128

// issuedPrefix marks IDs made by a host. Only that host runs such an ID.
const issuedPrefix = "hz-"

// NewID returns an ID that only the given host may run.
func NewID(host record.HostID) string {
	return issuedPrefix + string(host) + "-" + strings.ToLower(rand.Text())
}

// IssuingHost returns the host that has made an ID, or false if a caller chose it.
func IssuingHost(id string) (record.HostID, bool) {
	rest, ok := strings.CutPrefix(id, issuedPrefix)
	if !ok {
		return "", false
	}
	host := rest
	if i := strings.LastIndexByte(rest, '-'); i >= 0 {
		host = rest[:i]
	}
	return record.HostID(host), true
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
