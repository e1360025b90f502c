package relayhost

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// failingListener fails its first accept with an error that the kernel passes on from a connection.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EPROTO}
	}
	return l.Listener.Accept()
}

type failingAccepts struct{ sockets.Network }

// Listen implements sockets.Network.
func (n failingAccepts) Listen(ctx context.Context, address string, o sockets.Options) (net.Listener, error) {
	l, err := n.Network.Listen(ctx, address, o)
	return &failingListener{Listener: l}, err
}

// A failed accept at the address for other hosts, readiness checks or callers' queries must not end the
// process, which cuts off all answers.
func TestFailedAcceptsDoNotEndTheHost(t *testing.T) {
	h := &Host{opt: Options{Network: failingAccepts{sockets.System{}}}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		server := callerserver.New(http.NotFoundHandler(), callerserver.Limits{HeaderTimeout: time.Second}, func(error) {})
		ended <- h.serve("port", netip.MustParseAddrPort("127.0.0.1:0"), 0, server)(ctx)
	}()
	select {
	case err := <-ended:
		t.Fatalf("the part ended, and the host with it: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	cancel()
	require.NoError(t, <-ended)
}
