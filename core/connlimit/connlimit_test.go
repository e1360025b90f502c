package connlimit

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

var one, many = netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")

func conn(p Phase, age time.Duration, address netip.Addr) Conn {
	return Conn{Phase: p, Since: now.Add(-age), Address: address}
}

func TestSilentThenIdleThenYoungConnectionsYield(t *testing.T) {
	conns := []Conn{
		conn(Busy, time.Hour, one),
		conn(Unfinished, 10*time.Millisecond, one),
		conn(Idle, 2*time.Second, one),
		conn(Idle, 9*time.Second, one),
		conn(Unfinished, 2*time.Second, one),
		conn(Unfinished, 900*time.Millisecond, one),
		conn(Ended, 100*time.Millisecond, one),
	}
	require.Equal(t, []int{4, 6, 3, 2, 5, 1}, Yielding(conns, 10, now, false))
	require.Equal(t, []int{4, 6}, Yielding(conns, 2, now, false))
	require.Equal(t, []int{4, 6, 3, 2, 5, 1, 0}, Yielding(conns, 10, now, true))
}

func TestBusyConnectionsDoNotYield(t *testing.T) {
	require.Empty(t, Yielding([]Conn{conn(Busy, time.Hour, one), conn(Busy, 0, one)}, 2, now, false))
}

// A flood from one address doesn't push out a caller that connects meanwhile.
func TestAddressWithMostConnectionsYieldsFirst(t *testing.T) {
	conns := []Conn{conn(Unfinished, 30*time.Millisecond, one)}
	for range 20 {
		conns = append(conns, conn(Unfinished, 10*time.Millisecond, many))
	}
	require.NotContains(t, Yielding(conns, 20, now, false), 0)
}

// A body that stops, or drips, yields after idle connections; one that arrives as it should does not.
func TestLateBodiesYield(t *testing.T) {
	conns := []Conn{
		conn(Receiving, Lateness(20*time.Second, 4<<20), one),
		conn(Receiving, Lateness(5*time.Second, 10), one),
		conn(Idle, time.Millisecond, one),
		conn(Unfinished, time.Millisecond, one),
	}
	require.Equal(t, []int{2, 1, 3}, Yielding(conns, 4, now, false))
}

func TestAgeCountsBeforeAddress(t *testing.T) {
	conns := []Conn{conn(Idle, time.Second, many), conn(Idle, time.Second, many), conn(Idle, 5*time.Second, one)}
	require.Equal(t, []int{2}, Yielding(conns, 1, now, false))
}

func TestSharesFitMemoryAndDescriptors(t *testing.T) {
	for _, c := range []struct {
		r    Resources
		want Limits
	}{
		{Resources{Descriptors: 4100, MemoryBytes: 112 << 20}, Limits{Callers: 448, Hosts: 448, Checks: 112}},
		{Resources{Descriptors: 4100, MemoryBytes: 284 << 20}, Limits{Callers: 1136, Hosts: 1136, Checks: 284}},
		{Resources{Descriptors: 1024, MemoryBytes: 284 << 20}, Limits{Callers: 412, Hosts: 412, Checks: 103}},
		{Resources{Descriptors: 240}, Limits{Callers: 20, Hosts: 20, Checks: 8}},
		{Resources{}, Limits{}},
	} {
		require.Equal(t, c.want, Shares(c.r), "%+v", c.r)
	}
}

// Unread and unsent bytes of all connections fit a part of the memory, and a caller can still upload.
func TestKernelBuffersFitMemory(t *testing.T) {
	for _, c := range []struct {
		r    Resources
		want Buffers
	}{
		{Resources{Descriptors: 4100, MemoryBytes: 112 << 20}, Buffers{Callers: 32 << 10, Hosts: 16 << 10, Checks: 8 << 10, Upstreams: 16 << 10}},
		{Resources{Descriptors: 4100, MemoryBytes: 284 << 20}, Buffers{Callers: 32 << 10, Hosts: 16 << 10, Checks: 8 << 10, Upstreams: 16 << 10}},
		{Resources{MemoryBytes: 1 << 20}, Buffers{Callers: 32 << 10, Hosts: 16 << 10, Checks: 8 << 10, Upstreams: 16 << 10}},
		{Resources{Descriptors: 1024, MemoryBytes: 284 << 20}, Buffers{Callers: 90350, Hosts: 45175, Checks: 22587, Upstreams: 45175}},
		{Resources{Descriptors: 4100}, Buffers{}},
	} {
		require.Equal(t, c.want, KernelBuffers(c.r), "%+v", c.r)
	}
}
