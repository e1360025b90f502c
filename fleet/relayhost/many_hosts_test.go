package relayhost

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/connlimit"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
)

// 300 hosts keep more connections to a small host than it allows. Each of their calls is answered, since idle
// connections yield.
func TestManyHostsKeepConnections(t *testing.T) {
	const hosts, connsOfHost, rounds, atATime = 300, 2, 3, 32
	limit := connlimit.Shares(connlimit.Resources{MemoryBytes: 112 << 20, Descriptors: 1024}).Hosts
	require.Less(t, limit, hosts*connsOfHost)
	address := serveOnLoopback(t, func(h *Host, addr netip.AddrPort) func(context.Context) error {
		answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "here") })
		return h.serve("peers", addr, h.kernelBuffers().Hosts, callerserver.New(answer, peerLimits(0), func(error) {}, callerserver.WithConnLimit(h.connLimit("peers", limit))))
	})
	var clients []*http.Client
	for range hosts * connsOfHost {
		c := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
		defer c.CloseIdleConnections()
		clients = append(clients, c)
	}
	for range rounds {
		var calls sync.WaitGroup
		turns := make(chan struct{}, atATime)
		for _, c := range clients {
			turns <- struct{}{}
			calls.Go(func() {
				defer func() { <-turns }()
				resp, err := c.Get("http://" + address + "/")
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = resp.Body.Close() }()
				_, err = io.Copy(io.Discard, resp.Body)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Error(resp.StatusCode, err)
				}
			})
		}
		calls.Wait()
	}
}
