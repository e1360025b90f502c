package hostmeter

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// Callers' requests are read from the socket directly. Their bytes count as received.
func TestBytesOfCallersAreCounted(t *testing.T) {
	const size = 1 << 20
	m := New(Options{Metrics: metrics.NewRegistry()})
	l, err := m.Network(sockets.System{}).Listen(context.Background(), "127.0.0.1:0", sockets.Options{})
	require.NoError(t, err)
	s := callerserver.New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }),
		callerserver.Limits{HeaderBytes: 1 << 14, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}, func(err error) { t.Error(err) })
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	resp, err := http.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Greater(t, m.in.Load(), int64(size))
	require.Less(t, m.in.Load(), int64(2*size))
}
