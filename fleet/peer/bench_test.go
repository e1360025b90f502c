package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/standin/wirecount"
)

// grantOpBytes is the size of an encoded grant in bytes. Its result has about the same
// size.
const grantOpBytes = 90

type echoShards struct{ ShardServer }

func (echoShards) Submit(_ context.Context, r *connect.Request[peerpb.SubmitRequest]) (*connect.Response[peerpb.SubmitResponse], error) {
	return connect.NewResponse(&peerpb.SubmitResponse{Results: r.Msg.GetOps()}), nil
}

// BenchmarkSubmit measures a call between hosts over loopback: the time of both hosts
// together and the bytes in both directions.
func BenchmarkSubmit(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("ops=%d", n), func(b *testing.B) { benchmarkSubmit(b, n) })
	}
}

func benchmarkSubmit(b *testing.B, ops int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := NewServer(NewHandler(Services{ShardServer: echoShards{}}, testSecret), 0)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var wire atomic.Int64
	dial := wirecount.Dial(&wire)
	client := peerpbconnect.NewPeerServiceClient(NewHTTPClient(dial, testSecret), "http://"+listener.Addr().String())
	request := &peerpb.SubmitRequest{Shard: 7}
	random := rand.NewChaCha8([32]byte{})
	for range ops {
		op := make([]byte, grantOpBytes)
		_, _ = random.Read(op)
		request.Ops = append(request.Ops, op)
	}
	_, err = client.Submit(b.Context(), connect.NewRequest(request))
	require.NoError(b, err)
	wire.Store(0)
	calls := 0
	for b.Loop() {
		_, err := client.Submit(b.Context(), connect.NewRequest(request))
		require.NoError(b, err)
		calls++
	}
	b.ReportMetric(float64(wire.Load())/float64(calls), "wire-B")
}
