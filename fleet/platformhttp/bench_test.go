package platformhttp

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/standin/loghttp"
	"github.com/hazelworks/hazelworks/standin/memlog"
	"github.com/hazelworks/hazelworks/standin/wirecount"
)

// BenchmarkEmptyRead measures a read of the log that finds nothing new: the time
// of both ends together and the bytes in both directions.
func BenchmarkEmptyRead(b *testing.B) {
	server := httptest.NewServer(loghttp.Handler(loghttp.Services{Log: memlog.New(memlog.Options{})}))
	defer server.Close()
	var wire atomic.Int64
	transport := &http.Transport{DialContext: wirecount.Dial(&wire)}
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
