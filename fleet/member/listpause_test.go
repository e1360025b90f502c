package member

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
)

// At the target size the list changes about 2,000 times a day, once in 43 s. If it
// were read at each change, this alone would exceed the 2 KB/s of control traffic
// that a host may use.
func TestLargeListIsReadSlowly(t *testing.T) {
	const hosts = 620
	const bytesPerSecond = 2048
	host := platform.Host{
		ID:            "north-east-router-0123",
		FailureDomain: "north-east-domain-3",
		Region:        "north-east",
		CallerAddr:    "10.200.100.101:7000",
		PeerAddr:      "10.200.100.101:7001",
		State:         platform.HostLive,
	}
	data, err := json.Marshal(host)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), listEntryBytes)
	require.LessOrEqual(t, float64(hosts*len(data))/listPause(hosts).Seconds(), float64(bytesPerSecond)/2)
	require.Zero(t, listPause(16), "small lists are read at each change")
	require.Less(t, listPause(hosts), 3*time.Minute)
}
