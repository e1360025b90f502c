package settingswatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer"
	"github.com/hazelworks/hazelworks/standin/hostlist"
	"github.com/hazelworks/hazelworks/standin/memlog"
	"github.com/hazelworks/hazelworks/standin/memnet"
)

const fleetSecret = "a secret of the fleet"

// networkHost is a host with real membership and real calls between hosts.
type networkHost struct {
	link    *memlog.Link
	watcher *Watcher
}

func startNetworkHost(t *testing.T, network *memnet.Network, list *hostlist.List, log platform.Log, host platform.Host) *networkHost {
	link := memlog.NewLink(log)
	members := member.New(member.Options{
		Self:       record.Holder{Host: host.ID, Incarnation: 1},
		SelfHost:   host,
		List:       list,
		Dial:       network.Dialer(string(host.ID)),
		PeerSecret: fleetSecret,
		Logger:     logr.Discard(),
	})
	w := &networkHost{link: link, watcher: New(Options{Log: link, View: members, Logger: logr.Discard()})}
	members.SetSettingsVersionSource(w.watcher.Version)
	listener, err := network.Listen(string(host.ID), host.PeerAddr)
	require.NoError(t, err)
	services := peer.Services{Pinger: members, SettingsServer: w.watcher}
	server := peer.NewServer(peer.NewHandler(services, fleetSecret), time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = server.Serve(listener) }()
	go func() { _ = members.Run(ctx) }()
	go func() { _ = w.watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		network.Kill(string(host.ID), false)
		_ = server.Close()
	})
	return w
}

// TestChangesReachHostsWithoutTheLogOverTheNetwork checks with real membership and
// calls that changes reach a failure domain that is cut off from the log, and a host
// that starts during an outage of the log.
func TestChangesReachHostsWithoutTheLogOverTheNetwork(t *testing.T) {
	run(t, func(t *testing.T) {
		latency := func(_, _ string) time.Duration { return 20 * time.Millisecond }
		network := memnet.New(memnet.Options{Latency: latency})
		list := hostlist.New(0)
		log := memlog.New(memlog.Options{Latency: 20 * time.Millisecond})
		describe := func(i int) platform.Host {
			return platform.Host{
				ID:            record.HostID(fmt.Sprintf("h%d", i)),
				FailureDomain: fmt.Sprintf("d%d", i%3),
				PeerAddr:      fmt.Sprintf("10.0.0.%d:7001", i+1),
				State:         platform.HostLive,
			}
		}
		const hosts = 9
		for i := range hosts + 1 {
			list.Put(describe(i))
		}
		var fleet []*networkHost
		for i := range hosts {
			fleet = append(fleet, startNetworkHost(t, network, list, log, describe(i)))
		}
		t.Cleanup(func() { time.Sleep(10 * time.Second) })
		time.Sleep(5 * time.Second)
		publish := func(id string, base record.Offset, path, value string) record.Offset {
			d, err := fleet[0].watcher.Publish(t.Context(), change(id, base, path, value))
			require.NoError(t, err)
			return d.Offset
		}
		base := publish("seed", 0, "firms", seedFirms)
		for i := 1; i < hosts; i += 3 {
			fleet[i].link.SetCut(true)
		}
		time.Sleep(30 * time.Second)
		for k := range 5 {
			base = publish(fmt.Sprint(k), base, "firms/a/accounts/x/weight", fmt.Sprint(k+2))
			time.Sleep(6 * time.Second)
			for i, h := range fleet {
				require.Equal(t, base, h.watcher.Version(), "host %d", i)
			}
		}
		log.SetDown(true)
		time.Sleep(30 * time.Second)
		fresh := startNetworkHost(t, network, list, log, describe(hosts))
		time.Sleep(5 * time.Second)
		require.Equal(t, base, fresh.watcher.Version())
	})
}
