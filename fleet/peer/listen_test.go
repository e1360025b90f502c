package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveOnLoopback starts a server and returns its address.
func serveOnLoopback(t *testing.T, services Services, options ...Option) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(NewHandler(services, testSecret), 5*time.Second, options...)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

// HTTP/2 frames of a stranger who takes nothing of the answer to its request.
const (
	preface      = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	windowOfZero = "\x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x04\x00\x00\x00\x00"
	getRoot      = "\x00\x00\x03\x01\x05\x00\x00\x00\x01\x82\x86\x84"
	ping         = "\x00\x00\x08\x06\x00\x00\x00\x00\x00pingping"
)

// dialStranger opens a connection that asks without the secret, reads what is sent and takes no answer.
func dialStranger(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, preface+windowOfZero+getRoot) // it may be closed already
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return conn
}

// A stranger takes nothing of its answer and keeps its connection in use.
func TestStrangersDoNotHoldUpTheStop(t *testing.T) {
	s, address := serveOnLoopback(t, Services{Pinger: fixedPinger{}})
	conn := dialStranger(t, address)
	go func() {
		for {
			if _, err := io.WriteString(conn, ping); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 1
	}, 5*time.Second, 10*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // the request is there
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx))
}
