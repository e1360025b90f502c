package callerserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startServerWithStall(t *testing.T, h http.Handler, stall time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(h, Limits{HeaderBytes: 1 << 14, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}, func(err error) { t.Error(err) }, WithWriteStall(stall))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// A caller that reads nothing of its answer doesn't keep the handler for good.
func TestAnswerThatIsNotReadEnds(t *testing.T) {
	ended := make(chan error, 1)
	address := startServerWithStall(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for piece := strings.Repeat("x", 1<<16); err == nil; {
			_, err = io.WriteString(w, piece)
		}
		ended <- err
	}), 200*time.Millisecond)
	flood(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the answer is still being written")
	}
}

// A caller that reads slowly gets its whole answer, though it takes many times as long.
func TestSlowReaderGetsItsWholeAnswer(t *testing.T) {
	const size = 16 << 20
	const stall = 200 * time.Millisecond
	address := startServerWithStall(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}), stall)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	var read, n int64
	for err == nil {
		n, err = io.CopyN(io.Discard, resp.Body, 512<<10)
		read += n
		time.Sleep(stall / 4)
	}
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, size, read)
}

// A deadline that a handler sets holds beside the bound on stalls.
func TestHandlersWriteDeadlineHolds(t *testing.T) {
	ended := make(chan error, 1)
	address := startServerWithStall(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := io.WriteString(w, strings.Repeat("x", 64<<20))
		ended <- err
	}), time.Hour)
	flood(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the answer is still being written")
	}
}
