package host

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Strangers' connections leave descriptors to the host's own, whatever the settings say.
func TestCallersConnectionsLeaveDescriptors(t *testing.T) {
	require.Equal(t, 412, callerConns(20000, 1024))
	require.Equal(t, 100, callerConns(100, 1024))
	require.Equal(t, 20000, callerConns(20000, 0))
	require.Equal(t, 412, hostConns(1024))
	require.Zero(t, hostConns(0))
	require.Positive(t, descriptors())
}
