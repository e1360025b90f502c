package callerserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldConn is a connection whose writes wait until release is closed, as for the processor.
type heldConn struct {
	net.Conn
	writing chan<- struct{}
	release <-chan struct{}
}

// Write implements net.Conn.
func (c heldConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	<-c.release
	return c.Conn.Write(p)
}

type heldListener struct {
	net.Listener
	writing chan<- struct{}
	release <-chan struct{}
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConn{c, l.writing, l.release}, nil
}

// The last part of an answer is written after its handler has returned. A stop waits for that too.
func TestStopWaitsUntilAnswersAreWritten(t *testing.T) {
	s := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }),
		Limits{HeaderBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}, func(err error) { t.Error(err) })
	t.Cleanup(func() { _ = s.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	writing, release := make(chan struct{}, 10), make(chan struct{})
	go func() { _ = s.Serve(heldListener{l, writing, release}) }()
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		answered <- err
	}()
	<-writing
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, s.Shutdown(ctx), "the answer is not written")
	close(release)
	require.NoError(t, <-answered)
}
