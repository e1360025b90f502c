package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer"
	"github.com/hazelworks/hazelworks/standin/hostlist"
	"github.com/hazelworks/hazelworks/standin/memnet"
)

// fixtureLatency is the one-way latency, as between regions.
const fixtureLatency = 40 * time.Millisecond

const fixtureSecret = "a secret of the fleet"

// fixture is a fleet of hosts on an in-memory network.
type fixture struct {
	t       *testing.T
	network *memnet.Network
	list    *hostlist.List
	hosts   map[record.HostID]*fixtureHost
	bytes   atomic.Int64
	packets atomic.Int64
}

type fixtureHost struct {
	members *Members
	server  *peer.Server
	stop    context.CancelFunc
	host    platform.Host
}

func newFixture(t *testing.T, hosts, domains int) *fixture {
	f := &fixture{
		t:       t,
		network: memnet.New(memnet.Options{Latency: func(_, _ string) time.Duration { return fixtureLatency }}),
		list:    hostlist.New(0),
		hosts:   make(map[record.HostID]*fixtureHost),
	}
	for i := range hosts {
		f.list.Put(f.hostInfo(i, domains))
	}
	for i := range hosts {
		f.start(f.hostInfo(i, domains), 1)
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *fixture) hostInfo(i, domains int) platform.Host {
	return platform.Host{
		ID:            hostID(i),
		FailureDomain: fmt.Sprintf("d%d", i%domains),
		PeerAddr:      fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250+1),
		State:         platform.HostLive,
	}
}

func hostID(i int) record.HostID {
	return record.HostID(fmt.Sprintf("host-%03d", i))
}

func (f *fixture) start(host platform.Host, incarnation record.Incarnation) *fixtureHost {
	ctx, cancel := context.WithCancel(f.t.Context())
	h := &fixtureHost{host: host, stop: cancel}
	h.members = New(Options{
		Self:       record.Holder{Host: host.ID, Incarnation: incarnation},
		SelfHost:   host,
		List:       f.list,
		Dial:       f.countTraffic(f.network.Dialer(string(host.ID))),
		PeerSecret: fixtureSecret,
		Logger:     logr.Discard(),
		Rand:       rand.New(rand.NewPCG(7, uint64(len(f.hosts)))),
	})
	listener, err := f.network.Listen(string(host.ID), host.PeerAddr)
	require.NoError(f.t, err)
	h.server = peer.NewServer(peer.NewHandler(peer.Services{Pinger: h.members}, fixtureSecret), time.Second)
	go func() { _ = h.server.Serve(listener) }()
	go func() { _ = h.members.Run(ctx) }()
	f.hosts[host.ID] = h
	return h
}

// kill stops a host without notice. If silent, nothing refuses connections either,
// as after a power loss.
func (f *fixture) kill(id record.HostID, silent bool) {
	h := f.hosts[id]
	delete(f.hosts, id)
	h.stop()
	if silent {
		f.isolate(id)
		f.t.Cleanup(func() { _ = h.server.Close() })
		return
	}
	f.network.Kill(string(id), false)
	_ = h.server.Close()
}

// isolate cuts the links between a host and all others, in both directions.
func (f *fixture) isolate(id record.HostID) {
	for other := range f.hosts {
		f.network.Cut(string(other), string(id))
		f.network.Cut(string(id), string(other))
	}
}

func (f *fixture) stopAll() {
	for _, h := range f.hosts {
		h.stop()
		_ = h.server.Close()
	}
	for _, h := range f.hosts {
		f.network.Kill(string(h.host.ID), false)
	}
	time.Sleep(5 * time.Second)
}

// countObserved counts the hosts that see a host in a state.
func (f *fixture) countObserved(id record.HostID, state State) int {
	count := 0
	for _, h := range f.hosts {
		if observed, ok := h.members.ObservedState(id); ok && observed == state {
			count++
		}
	}
	return count
}

// countKnown counts the hosts to which a host is known.
func (f *fixture) countKnown(id record.HostID) int {
	return f.countObserved(id, StateLive) + f.countObserved(id, StateSuspected) + f.countObserved(id, StateLeaving)
}

// waitUntil waits for a condition and returns how long it took.
func (f *fixture) waitUntil(limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !done() {
		if time.Since(start) > limit {
			require.Fail(f.t, "the condition was not met", "within %s", limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// countedConn counts the bytes and packets that a host sends and receives.
type countedConn struct {
	net.Conn
	f *fixture
}

func (f *fixture) countTraffic(dial peer.DialFunc) peer.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, f: f}, nil
	}
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.f.bytes.Add(int64(n))
	c.f.packets.Add(1)
	return n, err
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.f.bytes.Add(int64(n))
	if n > 0 {
		c.f.packets.Add(1)
	}
	return n, err
}

func runWithFakeTime(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, test)
}

// watchers returns the hosts that probe a host, according to the first host's table.
func (f *fixture) watchers(id record.HostID) []record.HostID {
	m := f.hosts[hostID(0)].members
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Watchers(id)
}
