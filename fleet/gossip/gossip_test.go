package gossip

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

// testHost is a host on a loopback address. It records what it receives.
type testHost struct {
	self   roster.Host
	gossip *Gossip
	conn   net.PacketConn

	mu sync.Mutex
	// eventDatagrams is the number of datagrams with events that the host has sent.
	eventDatagrams int
	events         map[record.HostID][]uint64
}

func startHosts(t *testing.T, cores ...float64) []*testHost {
	var hosts []*testHost
	for i, c := range cores {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		hosts = append(hosts, &testHost{conn: conn, events: make(map[record.HostID][]uint64), self: roster.Host{
			ID: record.HostID(fmt.Sprintf("h%d", i)), Run: 1, Cores: c,
			Peer: netip.MustParseAddrPort(conn.LocalAddr().String()), State: roster.State{Active: true},
		}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, h := range hosts {
		var peers []roster.Host
		for k, other := range hosts {
			if k != i {
				peers = append(peers, other.self)
			}
		}
		h.gossip = New(Options{
			Self: h.self, Peers: func() []roster.Host { return peers }, Alive: func() []roster.Host { return peers },
			Heartbeats: func() []roster.Heartbeat { return nil }, State: func() roster.State { return h.self.State },
			Oldest: func() uint64 { return 1 }, LimitDomains: func([]string) {}, Receive: h.receive, Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
		})
		wg.Go(func() { _ = h.gossip.Run(ctx, &countingConn{PacketConn: h.conn, host: h}) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return hosts
}

// countingConn counts the datagrams with events that its host sends.
type countingConn struct {
	net.PacketConn
	host *testHost
}

func (c *countingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err == nil && len(m.Events) > 0 {
		c.host.mu.Lock()
		c.host.eventDatagrams++
		c.host.mu.Unlock()
	}
	return c.PacketConn.WriteTo(data, to)
}

func (h *testHost) receive(m *Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range m.Events {
		h.events[m.Host] = append(h.events[m.Host], e.Seq)
	}
}

func (h *testHost) eventsFrom(from record.HostID) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint64(nil), h.events[from]...)
}

// A host with a small link sends each event only to one large host, and all other
// hosts receive the event once.
func TestSmallHostSendsEventsOnceThroughRelay(t *testing.T) {
	hosts := startHosts(t, 0.8, 0.8, 0.19, 0.19, 0.19, 0.19)
	small := hosts[2]
	small.gossip.Broadcast(Event{Kind: Begun, Seq: 7})
	for _, h := range hosts {
		if h != small {
			require.Eventually(t, func() bool { return len(h.eventsFrom("h2")) > 0 }, 5*time.Second, time.Millisecond, "%s", h.self.ID)
		}
	}
	time.Sleep(50 * time.Millisecond)
	for _, h := range hosts {
		if h != small {
			require.Equal(t, []uint64{7}, h.eventsFrom("h2"), "%s", h.self.ID)
		}
	}
	small.mu.Lock()
	require.Equal(t, 1, small.eventDatagrams)
	small.mu.Unlock()

	// A large host sends its events to all hosts itself.
	hosts[0].gossip.Broadcast(Event{Kind: Ended, Seq: 9})
	for _, h := range hosts[1:] {
		require.Eventually(t, func() bool { return len(h.eventsFrom("h0")) > 0 }, 5*time.Second, time.Millisecond, "%s", h.self.ID)
	}
}

// failingConn fails its first reads, as a socket does to which the network reports that a receiver is
// down.
type failingConn struct {
	net.PacketConn
	failures int
}

// ReadFrom implements net.PacketConn.
func (c *failingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	if c.failures > 0 {
		c.failures--
		return 0, nil, syscall.ECONNREFUSED
	}
	return c.PacketConn.ReadFrom(p)
}

// A failed read of one packet must not end the process, which cuts off all answers.
func TestFailedReadsDoNotEndTheHost(t *testing.T) {
	hosts := startHosts(t, 1, 1)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	received := make(chan struct{}, 100)
	self := roster.Host{ID: "h2", Run: 1, Cores: 1, Peer: netip.MustParseAddrPort(conn.LocalAddr().String())}
	g := New(Options{
		Self: self, Peers: func() []roster.Host { return []roster.Host{hosts[0].self} }, Alive: func() []roster.Host { return nil },
		Heartbeats: func() []roster.Heartbeat { return nil }, State: func() roster.State { return roster.State{} }, Oldest: func() uint64 { return 1 },
		LimitDomains: func([]string) {}, Receive: func(*Message) { received <- struct{}{} }, Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx, &failingConn{PacketConn: conn, failures: 3}) }()
	data, err := encodeMessage(&Message{Host: "h0", Run: 1})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := hosts[0].conn.WriteTo(data, conn.LocalAddr())
		return err == nil && len(received) > 0
	}, 5*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-ended)
}
