package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

const testConns = 16

func withTestConns() Option {
	return WithConnLimit(ConnLimit{Conns: testConns, Logger: logr.Discard(), Metrics: metrics.NewRegistry()})
}

// pingOnce pings a server over a connection of its own.
func pingOnce(t *testing.T, address string) error {
	httpClient := NewHTTPClient((&net.Dialer{}).DialContext, testSecret)
	defer httpClient.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := peerpbconnect.NewPeerServiceClient(httpClient, "http://"+address).Ping(ctx, connect.NewRequest(&peerpb.PingRequest{}))
	return err
}

// Strangers without the secret open more connections than there may be, silent or with a request whose answer
// they don't take, and stay. Another host's call is answered.
func TestStrangersLeaveRoomForHosts(t *testing.T) {
	for name, dial := range map[string]func(*testing.T, string){
		"silent": func(t *testing.T, address string) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
		},
		"asking": func(t *testing.T, address string) { dialStranger(t, address) },
	} {
		t.Run(name, func(t *testing.T) {
			s, address := serveOnLoopback(t, Services{Pinger: fixedPinger{}}, withTestConns())
			for range 4 * testConns {
				dial(t, address)
			}
			require.Eventually(t, func() bool { return pingOnce(t, address) == nil }, 20*time.Second, 50*time.Millisecond)
			require.LessOrEqual(t, s.openConns(), testConns)
		})
	}
}

// waitingPinger answers once release is closed.
type waitingPinger struct {
	begun   chan<- struct{}
	release <-chan struct{}
}

// Ping implements Pinger.
func (p waitingPinger) Ping(context.Context, *connect.Request[peerpb.PingRequest]) (*connect.Response[peerpb.PingResponse], error) {
	p.begun <- struct{}{}
	<-p.release
	return connect.NewResponse(&peerpb.PingResponse{Host: "b"}), nil
}

// Strangers take all connections that may be open beside calls in progress. These are answered.
func TestCallsInProgressDoNotYieldToStrangers(t *testing.T) {
	const calls = testConns / 2
	begun, release := make(chan struct{}, calls), make(chan struct{})
	s, address := serveOnLoopback(t, Services{Pinger: waitingPinger{begun, release}}, withTestConns())
	var group sync.WaitGroup
	answers := make(chan error, calls)
	for range calls {
		group.Go(func() { answers <- pingOnce(t, address) })
	}
	for range calls {
		<-begun
	}
	for range 8 * testConns {
		dialStranger(t, address)
		time.Sleep(10 * time.Millisecond)
	}
	require.LessOrEqual(t, s.openConns(), testConns)
	require.Positive(t, s.room.yielded.Count())
	close(release)
	group.Wait()
	for range calls {
		require.NoError(t, <-answers)
	}
}
