package connlimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Each port is full. Descriptors remain for the host's own connections, of which each request of a caller
// needs one to an upstream.
func TestPortsTogetherLeaveDescriptorsForUpstreams(t *testing.T) {
	// queryPorts are those of readiness, the directory and metrics.
	const queryPorts = 3
	for _, r := range []Resources{{Descriptors: 1024, MemoryBytes: 284 << 20}, {Descriptors: 400}, {Descriptors: 4100, MemoryBytes: 1 << 30}} {
		l := Shares(r)
		require.LessOrEqual(t, l.Callers+l.Hosts+queryPorts*l.Checks+l.Callers, r.Descriptors-reservedDescriptors, "%+v: %+v", r, l)
	}
}
