package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

func host(i int, domain string, cores float64) Host {
	return Host{
		ID: record.HostID(fmt.Sprintf("h%d", i)), Run: 1, FailureDomain: domain, Cores: cores,
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}
}

func keepOrder(int, func(i, j int)) {}

func resolve(t *Table, domain string, now time.Time) []string {
	var out []string
	for _, addr := range t.Resolve(domain, now, keepOrder) {
		out = append(out, fmt.Sprintf("h%d", addr.Addr().As4()[3]))
	}
	return out
}

func TestResolve(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(host(0, "a", 0.8))
	table.Upsert(host(1, "a", 0.19), now)
	table.Upsert(host(2, "a", 0.8), now)
	table.Upsert(host(3, "b", 0.8), now)
	table.Upsert(host(4, "c", 0.19), now)

	require.Equal(t, []string{"h0", "h2"}, resolve(table, "a", now), "large hosts of the domain")
	require.Equal(t, []string{"h3", "h0"}, resolve(table, "b", now), "a single host of the domain is completed by another")
	require.Equal(t, []string{"h0", "h2"}, resolve(table, "c", now), "large hosts of other domains come before small ones")

	leaving := host(2, "a", 0.8)
	leaving.Leaving = true
	table.Upsert(leaving, now)
	require.Equal(t, []string{"h0", "h3"}, resolve(table, "a", now))

	later := now.Add(2 * directTimeout)
	require.Equal(t, []string{"h0"}, resolve(table, "a", later), "hosts without heartbeats are left out")
	table.SetLeaving()
	require.Empty(t, resolve(table, "a", later))
}

func TestHeartbeatOfUnknownRunIsRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(host(0, "a", 1))
	require.False(t, table.RecordHeartbeat("h1", 1, State{}, now), "not listed")
	table.Upsert(host(1, "a", 1), now)
	require.True(t, table.RecordHeartbeat("h1", 1, State{Isolated: true}, now))
	require.False(t, table.RecordHeartbeat("h1", 2, State{}, now), "another run")
	require.True(t, table.Peers()[0].State.Isolated)

	// The same description again keeps the state from heartbeats; a new run starts
	// without it.
	table.Upsert(host(1, "a", 1), now)
	require.True(t, table.Peers()[0].State.Isolated)
	next := host(1, "a", 1)
	next.Run = 2
	table.Upsert(next, now)
	require.False(t, table.Peers()[0].State.Isolated)
	table.Remove("h1")
	require.Empty(t, table.Peers())
}

func TestOlderDescriptionDoesNotClearLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(host(0, "a", 1))
	table.Upsert(host(1, "a", 1), now)
	table.RecordHeartbeat("h1", 1, State{Leaving: true}, now)
	table.Upsert(host(1, "a", 1), now) // an older description
	require.True(t, table.Peers()[0].Leaving)
}

// Hosts that are cut off from the log can't claim amounts of budgets. Callers must
// be directed to the others as long as these can carry the load.
func TestIsolatedHostsAreNotResolved(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(host(0, "a", 0.8))
	for i := 1; i < 8; i++ {
		table.Upsert(host(i, "a", 0.8), now)
	}
	isolate := func(ids ...record.HostID) {
		for _, id := range ids {
			table.RecordHeartbeat(id, 1, State{Isolated: true}, now)
		}
	}
	isolate("h1", "h2")
	require.Equal(t, []string{"h0", "h3", "h4", "h5", "h6", "h7"}, resolve(table, "a", now))
	isolate("h3", "h4", "h5", "h6")
	require.Equal(t, []string{"h0", "h7"}, resolve(table, "a", now))
	require.Equal(t, []string{"h0", "h7"}, resolve(table, "b", now))
	table.SetIsolated(true)
	require.Len(t, resolve(table, "a", now), 8, "too few connected hosts remain")
}

// In a fleet of 80 small and 8 large hosts, the small ones would saturate their
// links if each sent its events to all others.
func TestSmallHostsGossipThroughLargeOnes(t *testing.T) {
	var hosts []Host
	for i := range 88 {
		cores := 0.19
		if i < 8 {
			cores = 0.8
		}
		hosts = append(hosts, host(i, "a", cores))
	}
	_, ok := RelayFor(hosts[0], hosts[1:])
	require.False(t, ok, "a large host needs no relay")

	small := hosts[8:]
	load := make(map[record.HostID]int)
	for i, self := range small {
		relay, ok := RelayFor(self, append(append([]Host(nil), hosts[:8]...), small[:i]...))
		require.True(t, ok)
		require.Equal(t, 0.8, relay.Cores)
		load[relay.ID]++
		// The loss of other hosts doesn't change the relay.
		again, _ := RelayFor(self, append([]Host{relay}, small[:i]...))
		require.Equal(t, relay.ID, again.ID)
	}
	for id, n := range load {
		require.Less(t, n, 3*len(small)/8, "%s", id)
	}
	require.Len(t, load, 8)

	_, ok = RelayFor(small[0], small[1:])
	require.False(t, ok, "all hosts are of one size")
}
