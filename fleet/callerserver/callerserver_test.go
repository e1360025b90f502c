package callerserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer serves a handler on a loopback address.
func startServer(t *testing.T, h http.Handler) (*Server, net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(h, Limits{HeaderBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}, func(err error) { t.Error(err) })
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		_ = s.Close()
		<-done
	})
	return s, l
}

// ask sends a request on a connection and returns the status of its answer.
func ask(conn net.Conn, reader *bufio.Reader) (int, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func askOnNewConn(address string) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	return ask(conn, bufio.NewReader(conn))
}

// The limits change with each of many configurations while callers connect. No connection
// that was accepted is closed without an answer.
func TestChangedLimitsCloseNoAcceptedConnection(t *testing.T) {
	s, l := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	ctx, stop := context.WithCancel(t.Context())
	var changes sync.WaitGroup
	changes.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			s.SetLimits(Limits{HeaderBytes: 1<<14 + n, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute})
		}
	})
	var callers sync.WaitGroup
	errs := make(chan error, 1000)
	for range 8 {
		callers.Go(func() {
			for range 100 {
				if _, err := askOnNewConn(l.Addr().String()); err != nil {
					errs <- err
				}
			}
		})
	}
	callers.Wait()
	stop()
	changes.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

// Callers use open connections until the server closes them. A request whose bytes have
// arrived before an idle connection is closed is answered.
func TestShutdownAnswersRequestsThatHaveArrived(t *testing.T) {
	for round := range 30 {
		s, l := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		var conns []net.Conn
		var readers []*bufio.Reader
		for range 20 {
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			reader := bufio.NewReader(conn)
			_, err = ask(conn, reader)
			require.NoError(t, err)
			conns, readers = append(conns, conn), append(readers, reader)
		}
		for _, conn := range conns {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
		}
		go func() { _ = s.Shutdown(context.Background()) }()
		for i, reader := range readers {
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err, fmt.Sprintf("round %d, connection %d", round, i))
			_ = resp.Body.Close()
			_ = conns[i].Close()
		}
	}
}
