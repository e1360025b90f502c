package relayhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClaimRoundsLeaveLogCallsForSettings: for any number of hosts, claim rounds use
// no more than their shares of the log's limits.
func TestClaimRoundsLeaveLogCallsForSettings(t *testing.T) {
	limits := Limits{LogWrites: 600, LogReads: 2000}
	for _, hosts := range []int{1, 8, 100, 300, 617} {
		rounds := float64(hosts) / claimSpacing(limits, hosts).Seconds()
		require.LessOrEqual(t, rounds, 0.7*600+1, "%d hosts", hosts)
		require.LessOrEqual(t, claimReads*rounds, 0.5*2000+1, "%d hosts", hosts)
	}
	require.Less(t, claimSpacing(limits, 8), 30*time.Millisecond)
	require.Zero(t, claimSpacing(Limits{}, 300), "no limits are known")
}

// TestSmallFleetsReadTheSettingsThemselves: with a limit of 80 MB/s for all
// hosts, fleets of up to 100 hosts read directly from the log.
func TestSmallFleetsReadTheSettingsThemselves(t *testing.T) {
	require.Equal(t, 100, directHosts(Limits{LogReadRate: 80e6}))
	require.Greater(t, directHosts(Limits{}), 1000, "no limit is known")
}
