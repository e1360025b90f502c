package member

import (
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer"
	"github.com/hazelworks/hazelworks/standin/hostlist"
)

// BenchmarkProbe measures a probe and its answer over loopback, both hosts together.
func BenchmarkProbe(b *testing.B) {
	list := hostlist.New(0)
	var members []*Members
	for _, id := range []record.HostID{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		host := platform.Host{ID: id, PeerAddr: listener.Addr().String(), State: platform.HostLive}
		list.Put(host)
		m := New(Options{
			Self:       record.Holder{Host: id, Incarnation: 1},
			SelfHost:   host,
			List:       list,
			Dial:       (&net.Dialer{}).DialContext,
			PeerSecret: fixtureSecret,
			Logger:     logr.Discard(),
		})
		server := peer.NewServer(peer.NewHandler(peer.Services{Pinger: m}, fixtureSecret), time.Second)
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(func() { _ = server.Close() })
		members = append(members, m)
	}
	hosts, err := list.Hosts(b.Context(), 0, time.Second)
	require.NoError(b, err)
	members[0].setList(hosts.Hosts)
	client, ok := members[0].Client("b")
	require.True(b, ok)
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Ping(b.Context(), connect.NewRequest(members[0].pingRequest()))
		require.NoError(b, err)
		members[0].applyResponse(b.Context(), response.Msg)
	}
}
