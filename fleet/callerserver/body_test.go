package callerserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Strangers hold all connections with bodies that stop after a few bytes. They make room for an ordinary
// caller, who tries again.
func TestBodiesThatStopLeaveRoomForCallers(t *testing.T) {
	const limit = 16
	s := startLimitedServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }), ConnLimit{Conns: limit})
	flood(t, s.address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nshort", 2*limit)
	require.Eventually(t, func() bool {
		status, err := askOnNewConn(s.address)
		return err == nil && status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
}

// A handler refuses a request without reading its body, which then stops. The caller gets its answer.
func TestRefusalIsSentThoughTheBodyStops(t *testing.T) {
	s, l := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }))
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nshort")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	}, 10*time.Second, 10*time.Millisecond)
}
