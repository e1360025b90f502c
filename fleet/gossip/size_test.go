package gossip

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/roster"
)

// The bounds on control traffic in core/roster assume this size of a heartbeat.
func TestHeartbeatIsSmall(t *testing.T) {
	data, err := cbor.Marshal(&Message{Host: "front-germiston-1043", Run: 1 << 63, State: roster.State{Active: true}, Oldest: 1 << 40, Watch: true})
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), 60)
}

// An empty digest says that all hosts are well; without a digest nothing is said.
func TestEmptyDigestIsNotNone(t *testing.T) {
	for _, digest := range [][]byte{nil, {}} {
		data, err := cbor.Marshal(&Message{Digest: digest})
		require.NoError(t, err)
		var m Message
		require.NoError(t, cbor.Unmarshal(data, &m))
		require.Equal(t, digest == nil, m.Digest == nil)
	}
}
