package callerserver

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// latecomerConn is a connection whose first request arrives while it is closed. What the server
// answers is kept.
type latecomerConn struct {
	net.Conn
	caller net.Conn
	once   sync.Once
	answer chan []byte
}

// Close implements net.Conn.
func (c *latecomerConn) Close() error {
	c.once.Do(func() {
		_ = c.caller.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		buf := make([]byte, 1<<10)
		n, _ := c.caller.Read(buf)
		c.answer <- buf[:n]
	})
	return c.Conn.Close()
}

// A connection without a request is closed as its first one arrives. The caller sends it again elsewhere
// if the connection just ends, but not after a status that blames the request.
func TestRequestThatCrossesTheCloseGetsNoBadRequest(t *testing.T) {
	caller, host := net.Pipe()
	conn := &latecomerConn{Conn: host, caller: caller, answer: make(chan []byte, 1)}
	s := New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		Limits{HeaderBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}, func(err error) { t.Error(err) })
	t.Cleanup(func() { _ = s.Close() })
	l := newConnQueue()
	go func() { _ = s.Serve(l) }()
	require.True(t, l.push(conn))
	require.Eventually(t, func() bool {
		s.closeIdle(time.Now().Add(newConnWait))
		return len(conn.answer) > 0
	}, 5*time.Second, time.Millisecond)
	answer := <-conn.answer
	require.False(t, bytes.HasPrefix(answer, []byte("HTTP/1.1 400")), "%q", answer)
}
