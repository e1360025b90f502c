package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// A caller announces a body and stops before its end. The request is rejected by its head, so the answer
// must not wait for the body.
func TestRejectionDoesNotWaitForTheBody(t *testing.T) {
	r := New(Options{Decoder: rejectingDecoder{}, Logger: logr.Discard(), Metrics: metrics.NewRegistry()})
	server := httptest.NewUnstartedServer(r)
	server.Config.ReadHeaderTimeout = 100 * time.Millisecond
	server.Start()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(); server.Close() })
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\npart")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
}
