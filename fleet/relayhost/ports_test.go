package relayhost

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/connlimit"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// serveOnLoopback runs an actor of a small host and returns its address.
func serveOnLoopback(t *testing.T, actor func(*Host, netip.AddrPort) func(context.Context) error) string {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := netip.MustParseAddrPort(free.Addr().String())
	require.NoError(t, free.Close())
	h := &Host{cfg: &Config{Limits: Limits{MemoryBytes: 112 << 20, Descriptors: 1024}},
		opt: Options{Network: sockets.System{}, Logger: logr.Discard(), Metrics: metrics.NewRegistry()}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- actor(h, addr)(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", addr.String())
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	return addr.String()
}

// Strangers hold the port of readiness checks with bodies, heads without end, or nothing at all. The
// platform's check is answered.
func TestQueriesAreAnsweredBesideConnectionsThatStay(t *testing.T) {
	for name, text := range map[string]string{
		"silent":           "",
		"head without end": "GET /-/readyz HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 1000),
		"body that stops":  "GET /-/readyz HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nshort",
		"chunk that stops": "GET /-/readyz HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsh",
		"answers not read": strings.Repeat("GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n", 200),
	} {
		t.Run(name, func(t *testing.T) {
			answer := strings.Repeat("x", 1<<20)
			address := serveOnLoopback(t, func(h *Host, addr netip.AddrPort) func(context.Context) error {
				return h.serveQueries("ready", addr, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
			})
			var conns []net.Conn
			for range 200 {
				conn, err := net.Dial("tcp", address)
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				_, _ = io.WriteString(conn, text)
				conns = append(conns, conn)
			}
			client := &http.Client{Timeout: 10 * time.Second}
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://" + address + "/-/readyz")
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			require.NoError(t, err)
			require.Len(t, body, len(answer))
			require.LessOrEqual(t, stillOpen(conns), connlimit.Shares(connlimit.Resources{MemoryBytes: 112 << 20, Descriptors: 1024}).Checks)
		})
	}
}

// stillOpen returns how many connections the other end has not closed.
func stillOpen(conns []net.Conn) int {
	open := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	return open
}

// A body that doesn't end, at the port of other hosts, is neither held nor waited for.
func TestBodiesOfOtherHostsAreBounded(t *testing.T) {
	read := make(chan int64, 1)
	address := serveOnLoopback(t, func(h *Host, addr netip.AddrPort) func(context.Context) error {
		return h.serve("peers", addr, h.kernelBuffers().Hosts, callerserver.New(callerserver.LimitBodies(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			read <- n
		}), peerBodyBytes, peerBodyTimeout), peerLimits(0), func(error) {}))
	})
	for name, size := range map[string]int{"endless": 4 << 20, "stops": 100} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			go func() {
				_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n"+strings.Repeat("x", size))
			}()
			select {
			case n := <-read:
				require.LessOrEqual(t, n, int64(peerBodyBytes))
			case <-time.After(2 * peerBodyTimeout):
				t.Fatal("the body is still read")
			}
		})
	}
}
