package request

import (
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/hazelworks/hazelworks/core/record"
)

// MaxIDBytes is the maximum length of a request ID that a caller sends.
const MaxIDBytes = 128

// issuedPrefix is the prefix of IDs that a host has issued. Only that host may run
// such an ID.
const issuedPrefix = "hz-"

// NewID returns an ID that only the given host may run.
func NewID(host record.HostID) string {
	return issuedPrefix + string(host) + "-" + strings.ToLower(rand.Text())
}

// IssuingHost returns the host that issued an ID, or false if a caller chose it.
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

// UpstreamID returns the request ID that is sent to upstreams. It contains the
// account, since the IDs that callers choose are unique only within an account.
func UpstreamID(account, id string) string {
	return account + ":" + id
}
