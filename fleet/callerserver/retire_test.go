package callerserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// askWithHeader sends a request with a header of a size and returns the status of the answer.
func askWithHeader(conn net.Conn, size int) (int, error) {
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Large: %s\r\n\r\n", strings.Repeat("x", size)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// A connection is kept while the limit of heads is raised. Requests that the new limit allows are not
// denied by the old one: the connection is closed before, and the caller opens another one.
func TestRaisedLimitsHoldForKeptConnections(t *testing.T) {
	const low, high, headerBytes = 8 << 10, 64 << 10, 24 << 10
	begun, proceed := make(chan struct{}, 10), make(chan struct{})
	s, l := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			begun <- struct{}{}
			<-proceed
		}
	}))
	limits := Limits{HeaderBytes: low, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	s.SetLimits(limits)
	open := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		return conn
	}
	idle, busy := open(), open()
	status, err := ask(idle, bufio.NewReader(idle))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	_, err = busy.Write([]byte("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	<-begun

	limits.HeaderBytes = high
	s.SetLimits(limits)
	close(proceed)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	require.NoError(t, err, "the request in progress is answered")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	for _, conn := range []net.Conn{idle, busy} {
		_, err = askWithHeader(conn, headerBytes)
		require.Error(t, err, "an answer by the old limit")
	}
	status, err = askWithHeader(open(), headerBytes)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
