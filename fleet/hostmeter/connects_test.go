package hostmeter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var connectsStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A full link lets no connection be opened in time, and a host that sees none must not count as calm.
func TestConnectionsThatAllTimeOutShowAFullLink(t *testing.T) {
	var opened connects
	failed := timeoutsOf(6)
	now := connectsStart.Add(300 * time.Millisecond)
	opened.add(connect{peer: "10.0.0.7:1", at: now, took: 250 * time.Millisecond})
	require.Equal(t, 300*time.Millisecond, failed.stuck(opened, 0, now))
	require.Zero(t, failed.stuck(opened, 0, now.Add(maxConnectAge)), "it is not known any more")
	opened.add(connect{peer: "10.0.0.1:1", at: now, took: time.Millisecond})
	require.Zero(t, failed.stuck(opened, 0, now), "the link is free")
}

// Machines that are down or cut off time out too, while others are reached.
func TestTimeoutsOfSomeMachinesShowNoFullLink(t *testing.T) {
	var opened connects
	opened.add(connect{peer: "10.0.1.1:1", at: connectsStart, took: time.Millisecond})
	require.Zero(t, timeoutsOf(8).stuck(opened, 0, connectsStart.Add(400*time.Millisecond)), "one machine was reached")
	require.Zero(t, timeoutsOf(8).stuck(nil, 3, connectsStart.Add(400*time.Millisecond)), "others answer on open connections")
	require.Zero(t, timeoutsOf(2).stuck(nil, 0, connectsStart), "two machines prove nothing about the others")
}

// Streams that run already still answer, while neither upstreams nor other hosts accept a connection.
func TestTimeoutsOfAllKindsOfMachinesShowAFullLink(t *testing.T) {
	failed := timeoutsOf(4)
	now := connectsStart.Add(200 * time.Millisecond)
	const answers = 200
	require.Zero(t, failed.stuck(nil, answers, now), "these are of one kind")
	for _, one := range timeoutsOf(4) {
		one.peer, one.kind = "h"+one.peer, "hosts"
		failed.add(one)
	}
	require.Equal(t, 300*time.Millisecond, failed.stuck(nil, answers, now))
	var opened connects
	opened.add(connect{peer: "10.0.1.1:1", kind: "hosts", at: now.Add(-10 * time.Millisecond), took: time.Millisecond})
	require.Zero(t, failed.stuck(opened, answers, now), "a host was reached")
}

// timeoutsOf returns the timeouts of connections to n machines, 50 ms apart.
func timeoutsOf(n int) timeouts {
	var out timeouts
	for i := range n {
		out.add(connect{peer: fmt.Sprintf("10.0.0.%d:1", i), at: connectsStart.Add(time.Duration(i) * 50 * time.Millisecond), took: 300 * time.Millisecond})
	}
	return out
}
