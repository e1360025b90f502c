package platformhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/standin/loghttp"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkEmptyRead measures a read of the log that finds nothing new: the time
// of both ends together and the bytes in both directions.
func BenchmarkEmptyRead(b *testing.B) {
	server := httptest.NewServer(loghttp.Handler(loghttp.Services{Log: memlog.New(memlog.Options{})}))
	defer server.Close()
	var wire atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return countingConn{conn, &wire}, err
	}}
	defer transport.CloseIdleConnections()
	client := New(&http.Client{Transport: transport}, server.URL)
	calls := 0
	for b.Loop() {
		entries, err := client.Read(b.Context(), "settings", 1, 256, time.Millisecond)
		require.NoError(b, err)
		require.Empty(b, entries)
		calls++
	}
	b.ReportMetric(float64(wire.Load())/float64(calls), "wire-B")
}
