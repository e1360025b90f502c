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

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/connlimit"
)

// limitedServer is a server with a limit of connections.
type limitedServer struct {
	*Server
	address string
	metrics metrics.Registry
}

func startLimitedServer(t *testing.T, h http.Handler, limit ConnLimit) *limitedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limit.Port, limit.Logger, limit.Metrics = "test", logr.Discard(), metrics.NewRegistry()
	s := New(h, Limits{HeaderBytes: 1 << 14, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}, func(err error) { t.Error(err) }, WithConnLimit(limit))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return &limitedServer{Server: s, address: l.Addr().String(), metrics: limit.Metrics}
}

// openConns returns the number of connections that the server has open.
func (s *limitedServer) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// flood opens connections that send a text and stay. It returns how many were opened.
func flood(t *testing.T, address, text string, n int) int {
	opened := 0
	for range n {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		opened++
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, text)
	}
	return opened
}

// Strangers open connections and send no whole head. The server keeps few of them, and answers an
// ordinary caller.
func TestFloodWithoutRequestsLeavesRoomForCallers(t *testing.T) {
	const limit = 32
	for name, text := range map[string]string{"silent": "", "head without end": "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + string(make([]byte, 1000))} {
		t.Run(name, func(t *testing.T) {
			s := startLimitedServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnLimit{Conns: limit})
			require.Greater(t, flood(t, s.address, text, 10*limit), limit)
			require.LessOrEqual(t, s.openConns(), limit)
			status, err := askOnNewConn(s.address)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Positive(t, metrics.GetOrRegisterCounter("connections.yielded.test", s.metrics).Count())
		})
	}
}

// awaitIdle waits until the server counts all of its open connections as idle.
func (s *limitedServer) awaitIdle(t *testing.T) {
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if c.describe(time.Now()).Phase != connlimit.Idle {
				return false
			}
		}
		return true
	}, 10*time.Second, time.Millisecond)
}

// The connections that strangers keep after a short request yield before one that was used since.
func TestConnectionInUseOutlastsIdleOnes(t *testing.T) {
	const limit = 32
	s := startLimitedServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnLimit{Conns: limit})
	conn, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_, err = ask(conn, reader)
	require.NoError(t, err)
	for range 8 {
		for range limit / 2 {
			stranger, err := net.Dial("tcp", s.address)
			require.NoError(t, err)
			t.Cleanup(func() { _ = stranger.Close() })
			_, err = ask(stranger, bufio.NewReader(stranger))
			require.NoError(t, err)
		}
		s.awaitIdle(t)
		status, err := ask(conn, reader)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		s.awaitIdle(t)
	}
	require.Positive(t, metrics.GetOrRegisterCounter("connections.yielded.test", s.metrics).Count())
}

// A request that is handled keeps its connection, also one that was sent together with the one before
// it. If that leaves no room for others, these are closed unread; afterwards there is room again.
func TestHandledRequestsDoNotYield(t *testing.T) {
	const limit = 8
	release, handled := make(chan struct{}), make(chan struct{}, limit)
	s := startLimitedServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Request-Id") == "second" {
			handled <- struct{}{}
			<-release
		}
	}), ConnLimit{Conns: limit})
	var callers sync.WaitGroup
	for range limit {
		callers.Go(func() {
			conn, err := net.Dial("tcp", s.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nRequest-Id: second\r\n\r\n")
			reader := bufio.NewReader(conn)
			for range 2 {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
	for range limit {
		<-handled
	}
	_, err := askOnNewConn(s.address)
	require.Error(t, err)
	close(release)
	callers.Wait()
	require.Eventually(t, func() bool {
		_, err := askOnNewConn(s.address)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
}

// Where requests have no effect, callers that keep their request from ending yield too.
func TestHandledRequestsYieldWhereTheyHaveNoEffect(t *testing.T) {
	const limit = 8
	stuck := func(_ http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
	s := startLimitedServer(t, http.HandlerFunc(stuck), ConnLimit{Conns: limit, Interrupt: true})
	flood(t, s.address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nshort", 2*limit)
	status, err := askOnNewConn(s.address)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// Connections yield all the while, also those of callers who send two requests at once. A request that
// reaches the handler is answered.
func TestYieldingAnswersEveryRequestThatIsHandled(t *testing.T) {
	const limit, callers, rounds = 16, 48, 60
	handled := &handledRequests{ids: make(map[string]bool)}
	s := startLimitedServer(t, handled, ConnLimit{Conns: limit})
	flood(t, s.address, "", 4*limit)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for round := range rounds {
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					continue
				}
				reader := bufio.NewReader(conn)
				ids := []string{fmt.Sprintf("%d-%d-first", caller, round), fmt.Sprintf("%d-%d-second", caller, round)}
				_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", ids[0], ids[1])
				for _, id := range ids {
					resp, err := http.ReadResponse(reader, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err != nil {
						if handled.has(id) {
							t.Errorf("request %s: %v", id, err)
						}
						break
					}
				}
				defer func() { _ = conn.Close() }() // idle until then
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, s.openConns(), limit)
	require.Positive(t, metrics.GetOrRegisterCounter("connections.yielded.test", s.metrics).Count())
	require.NoError(t, s.Shutdown(context.Background()))
}
