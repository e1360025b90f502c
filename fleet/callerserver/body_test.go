package callerserver

import (
	"io"
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
