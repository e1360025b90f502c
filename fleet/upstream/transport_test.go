package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// resetConn is a connection to an upstream that answers a request while its body is written, and resets the
// connection then. As of a socket, only the write is told of the reset.
type resetConn struct {
	net.Conn
	answer  string
	written int
	// writing is closed once the body is being written, reset once the connection is reset, and deadline
	// once that of writes has passed.
	writing, reset, deadline chan struct{}
	once                     sync.Once
	reads                    int
}

func newResetConn(answer string) *resetConn {
	return &resetConn{answer: answer, writing: make(chan struct{}), reset: make(chan struct{}), deadline: make(chan struct{})}
}

// takenBytes is what the upstream takes of a request.
const takenBytes = 64 << 10

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.written += len(p)
	if c.written < takenBytes {
		return len(p), nil
	}
	close(c.writing)
	<-c.deadline
	select {
	case <-c.reset:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	default:
		return 0, os.ErrDeadlineExceeded
	}
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	<-c.writing
	c.reads++
	if c.reads == 1 {
		return copy(p, c.answer), nil
	}
	return 0, io.EOF
}

// SetWriteDeadline implements net.Conn.
func (c *resetConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

// Close implements net.Conn.
func (c *resetConn) Close() error { return c.SetWriteDeadline(time.Now()) }

// roundTrip sends a request with a long body on a connection and reads the answer.
func roundTrip(t *testing.T, conn net.Conn) (status int, body string, err error) {
	tr := newTransport(func(context.Context, string, string) (net.Conn, error) { return conn, nil }, func(headerReport) {})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://u.test/", strings.NewReader(strings.Repeat("x", 3<<20)))
	require.NoError(t, err)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// TestResetIsNotTheEndOfAnAnswer guards against a part of an answer that passes for all of it, if the
// connection is reset while the request is written.
func TestResetIsNotTheEndOfAnAnswer(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.0 200 OK\r\n\r\npart", "HTTP/1.1 500 Internal Server Error\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n"} {
		conn := newResetConn(answer)
		close(conn.reset)
		_, _, err := roundTrip(t, conn)
		require.ErrorIs(t, err, syscall.ECONNRESET, "%q", answer)
	}
}

// An upstream may answer early, and end its answer in order with the connection.
func TestEarlyAnswerEndsWithItsConnection(t *testing.T) {
	status, body, err := roundTrip(t, newResetConn("HTTP/1.1 200 OK\r\n\r\nwhole"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "whole", body)
}

// answerConn is a connection to an upstream that sends an answer, as it is, to the first request.
func answerConn(answer string) net.Conn {
	near, far := net.Pipe()
	go func() {
		_, _ = far.Read(make([]byte, dispatch.BufferBytes))
		_, _ = io.WriteString(far, answer)
		_, _ = io.Copy(io.Discard, far)
		_ = far.Close()
	}()
	return near
}

// malformedHeads are heads of answers that are not valid.
var malformedHeads = []string{
	"HTTP/1.1 000 None\r\nContent-Length: 0\r\n",
	"HTTP/1.1 099 Almost\r\nContent-Length: 0\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n",
	"HTTP/1.1 600 Beyond\r\nContent-Length: 0\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Custom: 1\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Custom : 1\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 0\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX\x01Custom: 1\r\n",
}

// TestMalformedHeadsAreNoAnswers guards against heads of answers that package net/http accepts. What they report
// is not believed either.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	for _, head := range malformedHeads {
		conn := answerConn(head + HeaderLeaving + ": true\r\n\r\n")
		tr := newTransport(func(context.Context, string, string) (net.Conn, error) { return conn, nil },
			func(headerReport) { t.Errorf("the report of %q is believed", head) })
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u.test/", nil)
		require.NoError(t, err)
		resp, err := tr.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		require.ErrorContains(t, err, "malformed", "%q", head)
		_ = conn.Close()
	}
}

// TestCodingInHTTP10IsMalformed guards against the sizes of chunks in a body: HTTP/1.0 has no transfer codings
// (RFC 9112, section 6.1), and package net/http drops the field that names one.
func TestCodingInHTTP10IsMalformed(t *testing.T) {
	conn := answerConn("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 16\r\n\r\n6\r\nanswer\r\n0\r\n\r\n")
	defer func() { _ = conn.Close() }()
	tr := newTransport(func(context.Context, string, string) (net.Conn, error) { return conn, nil }, func(headerReport) {})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u.test/", nil)
	require.NoError(t, err)
	resp, err := tr.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Error(t, err)
}
