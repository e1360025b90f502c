package callerserver

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openSocket returns both ends of a connection and a second descriptor of the host's end, which stays open
// when the host closes its own.
func openSocket(t *testing.T, l net.Listener) (caller, host net.Conn, second int) {
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	host, err = l.Accept()
	require.NoError(t, err)
	raw, err := host.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var dupErr error
	require.NoError(t, raw.Control(func(fd uintptr) { second, dupErr = syscall.Dup(int(fd)) }))
	require.NoError(t, dupErr)
	return caller, host, second
}

// A request arrives at the moment at which its connection is closed as idle. What the host has read of it
// is handed to the HTTP server. The rest stays unread, which resets the connection: a caller whose request
// was read and dropped would wait for an answer.
func TestRequestIsNotReadAndDroppedAtTheCloseOfItsConnection(t *testing.T) {
	const rounds, enough = 2000, 10
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	dropped, closedAfterRead := 0, 0
	for n := 0; n < rounds && dropped < enough; n++ {
		caller, host, second := openSocket(t, l)
		c := newTrackedConn(host)
		c.setState(http.StateActive)
		c.setState(http.StateIdle)
		received, closed := 0, false
		var group sync.WaitGroup
		group.Go(func() {
			buf := make([]byte, 4<<10)
			received, _ = c.Read(buf)
		})
		group.Go(func() {
			for begun := time.Now(); !closed && time.Since(begun) < time.Millisecond; {
				closed = c.closeIdle(time.Now())
			}
		})
		_, err = caller.Write([]byte(request))
		require.NoError(t, err)
		group.Wait()
		unread := 0
		if received == 0 {
			unread = awaitUnread(second, len(request))
		}
		if received+unread != len(request) {
			dropped++
		}
		if received > 0 && closed {
			closedAfterRead++
		}
		_, _, _ = caller.Close(), c.Close(), syscall.Close(second)
	}
	require.Zero(t, dropped, "requests of which bytes were read and dropped")
	require.Zero(t, closedAfterRead, "connections closed after a request of theirs was read")
}

// awaitUnread returns how many bytes, of those sent before, can be read from a socket.
func awaitUnread(fd, sent int) int {
	buf := make([]byte, sent)
	for begun := time.Now(); time.Since(begun) < 100*time.Millisecond; {
		if n, _, _ := syscall.Recvfrom(fd, buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); n > 0 {
			return n
		}
	}
	return 0
}
