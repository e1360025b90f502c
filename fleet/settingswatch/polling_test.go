package settingswatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/platformhttp"
	"github.com/hazelworks/hazelworks/standin/loghttp"
	"github.com/hazelworks/hazelworks/standin/memlog"
	"github.com/hazelworks/hazelworks/standin/memnet"
)

// traffic counts the bytes and segments that one client sends and receives.
type traffic struct {
	bytes    atomic.Int64
	segments atomic.Int64
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.segments.Add(1)
	return n, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.segments.Add(1)
	return n, err
}

// maxPollingBytesPerSecond is the bound for the traffic of one host that follows the
// settings stream: a twentieth of the budget for all control traffic.
const maxPollingBytesPerSecond = 100

// TestPollingCost measures the traffic of a host that follows the settings stream over
// HTTP, without changes and with as many as in a fleet of the target size.
func TestPollingCost(t *testing.T) {
	const changesPerDay = 1900
	for _, changes := range []int{0, changesPerDay} {
		t.Run(fmt.Sprintf("changes a day=%d", changes), func(t *testing.T) {
			run(t, func(t *testing.T) {
				network := memnet.New(memnet.Options{})
				listener, err := network.Listen("log", "10.0.0.9:7000")
				require.NoError(t, err)
				log := memlog.New(memlog.Options{})
				server := &http.Server{Handler: loghttp.Handler(loghttp.Services{Log: log})}
				go func() { _ = server.Serve(listener) }()
				defer func() { _ = server.Close() }()

				c := newCluster(t, memlog.Options{}, 0)
				c.log = log
				spent := &traffic{}
				dial := network.Dialer("h000")
				transport := &http.Transport{DialContext: func(ctx context.Context, proto, addr string) (net.Conn, error) {
					conn, err := dial(ctx, proto, addr)
					return countedConn{conn, spent}, err
				}}
				defer transport.CloseIdleConnections()
				n := &node{cluster: c, id: "h000", link: memlog.NewLink(platformhttp.New(&http.Client{Transport: transport}, "http://10.0.0.9:7000"))}
				c.run(n)
				writer := c.start("h001")
				time.Sleep(time.Second)
				base := writer.publish(change("seed", 0, "firms", seedFirms))
				time.Sleep(time.Second)

				bytes, segments := spent.bytes.Load(), spent.segments.Load()
				const window = time.Hour
				for i := range changes / 24 {
					time.Sleep(window / time.Duration(changes/24))
					base = writer.publish(change(fmt.Sprint(i), base, "firms/a/accounts/x/weight", fmt.Sprint(i+1)))
				}
				if changes == 0 {
					time.Sleep(window)
				}
				perSecond := float64(spent.bytes.Load()-bytes) / window.Seconds()
				t.Logf("%.1f B/s, %.2f segments/s", perSecond, float64(spent.segments.Load()-segments)/window.Seconds())
				require.Less(t, perSecond, float64(maxPollingBytesPerSecond))
				n.stop()
				transport.CloseIdleConnections()
			})
		})
	}
}
