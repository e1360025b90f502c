package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/standin/memnet"
)

type fixedPinger struct{}

func (fixedPinger) Ping(context.Context, *connect.Request[peerpb.PingRequest]) (*connect.Response[peerpb.PingResponse], error) {
	return connect.NewResponse(&peerpb.PingResponse{Host: "b"}), nil
}

const (
	testAddr   = "10.0.0.2:7001"
	testSecret = "a secret of the fleet"
)

func serve(t *testing.T, network *memnet.Network) {
	t.Helper()
	listener, err := network.Listen("b", testAddr)
	require.NoError(t, err)
	server := NewServer(NewHandler(Services{Pinger: fixedPinger{}}, testSecret), time.Second)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func client(t *testing.T, dial DialFunc, secret string) peerpbconnect.PeerServiceClient {
	t.Helper()
	httpClient := NewHTTPClient(dial, secret)
	t.Cleanup(httpClient.CloseIdleConnections)
	return peerpbconnect.NewPeerServiceClient(httpClient, "http://"+testAddr)
}

func TestSecretIsRequired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(memnet.Options{})
		serve(t, network)
		request := connect.NewRequest(&peerpb.PingRequest{})
		_, err := client(t, network.Dialer("a"), "another secret value").Ping(t.Context(), request)
		require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
		response, err := client(t, network.Dialer("a"), testSecret).Ping(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, "b", response.Msg.Host)
	})
}

// A device between two hosts drops the state of a connection, which then goes silent.
// Calls must not wait longer for it than the ping limits allow.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(memnet.Options{})
		serve(t, network)
		var dials int
		dial := func(ctx context.Context, proto, addr string) (net.Conn, error) {
			dials++
			return network.Dialer("a")(ctx, proto, addr)
		}
		c := client(t, dial, testSecret)
		_, err := c.Ping(t.Context(), connect.NewRequest(&peerpb.PingRequest{}))
		require.NoError(t, err)
		network.Silence("a", "b")
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for {
			_, err = c.Ping(ctx, connect.NewRequest(&peerpb.PingRequest{}))
			if err == nil {
				break
			}
			require.NoError(t, ctx.Err())
		}
		require.LessOrEqual(t, time.Since(start), 3*time.Second)
		require.Equal(t, 2, dials)
	})
}

// slowPinger answers after 20 s, like a call that waits for the log.
type slowPinger struct{}

func (slowPinger) Ping(context.Context, *connect.Request[peerpb.PingRequest]) (*connect.Response[peerpb.PingResponse], error) {
	time.Sleep(20 * time.Second)
	return connect.NewResponse(&peerpb.PingResponse{Host: "b"}), nil
}

// A long call must not be taken for one over a silent connection.
func TestSlowCallIsNotCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(memnet.Options{})
		listener, err := network.Listen("b", testAddr)
		require.NoError(t, err)
		server := NewServer(NewHandler(Services{Pinger: slowPinger{}}, testSecret), time.Second)
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		_, err = client(t, network.Dialer("a"), testSecret).Ping(t.Context(), connect.NewRequest(&peerpb.PingRequest{}))
		require.NoError(t, err)
	})
}

// countingConn counts the writes of one end.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// At the target size a host has connections to many others. Connections without calls
// must cause almost no traffic.
func TestIdleConnectionIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(memnet.Options{})
		serve(t, network)
		var writes atomic.Int64
		dial := func(ctx context.Context, proto, addr string) (net.Conn, error) {
			conn, err := network.Dialer("a")(ctx, proto, addr)
			return countingConn{conn, &writes}, err
		}
		_, err := client(t, dial, testSecret).Ping(t.Context(), connect.NewRequest(&peerpb.PingRequest{}))
		require.NoError(t, err)
		before := writes.Load()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, writes.Load()-before, int64(4), "pings and their answers in a minute")
	})
}
