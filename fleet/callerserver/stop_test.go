package callerserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// handledRequests counts, by ID, the requests whose handler has run.
type handledRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (h *handledRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.ids[r.Header.Get("Request-Id")] = true
	h.mu.Unlock()
	time.Sleep(time.Millisecond)
	_, _ = io.WriteString(w, "answer")
}

func (h *handledRequests) has(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ids[id]
}

// A stop closes idle connections while callers send their next requests on them. A request that
// reaches the handler is answered.
func TestStopAnswersEveryRequestThatIsHandled(t *testing.T) {
	const (
		stops    = 60
		callers  = 60
		maxPause = 1200 * time.Microsecond
		runTime  = 15 * time.Millisecond
	)
	for stop := range stops {
		handled := &handledRequests{ids: make(map[string]bool)}
		s, l := startServer(t, handled)
		var group sync.WaitGroup
		var mu sync.Mutex
		var lost []string
		for caller := range callers {
			group.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(stop), uint64(caller)))
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					id := fmt.Sprintf("%d-%d", caller, n)
					if err := askWithID(conn, reader, id); err != nil {
						if handled.has(id) {
							mu.Lock()
							lost = append(lost, fmt.Sprintf("stop %d, request %s: %v", stop, id, err))
							mu.Unlock()
						}
						return
					}
					time.Sleep(time.Duration(rng.Int64N(int64(maxPause))))
				}
			})
		}
		time.Sleep(runTime)
		require.NoError(t, s.Shutdown(context.Background()))
		group.Wait()
		require.Empty(t, lost)
	}
}

// askWithID sends a request with an ID on a connection and reads its answer.
func askWithID(conn net.Conn, reader *bufio.Reader, id string) error {
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", id); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// racingConn is a connection whose next request arrives while it is closed.
type racingConn struct {
	net.Conn
	caller net.Conn
	once   sync.Once
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *racingConn) Close() error {
	c.once.Do(func() {
		_ = c.caller.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c.caller, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: second\r\n\r\n")
		c.closed.Store(true)
	})
	return c.Conn.Close()
}

// A request that is read while its connection is closed as idle is not handled: its caller can't get
// an answer.
func TestRequestReadWhileItsConnectionIsClosedIsNotHandled(t *testing.T) {
	caller, host := net.Pipe()
	conn, handled := &racingConn{Conn: host, caller: caller}, make(chan struct{})
	s := New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Request-Id") == "second" {
			close(handled)
		}
	}), Limits{HeaderBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}, func(err error) { t.Error(err) })
	l := newConnQueue()
	go func() { _ = s.Serve(l) }()
	require.True(t, l.push(conn))
	require.NoError(t, askWithID(caller, bufio.NewReader(caller), "first"))
	t.Cleanup(func() { _ = s.Close() })
	require.Eventually(t, func() bool {
		s.CloseIdle()
		return conn.closed.Load()
	}, time.Second, time.Millisecond)
	select {
	case <-handled:
		t.Fatal("a request was handled whose connection is closed")
	case <-time.After(200 * time.Millisecond):
	}
}

// A caller sends two requests at once. The second one is in the server's buffer, where closing idle
// connections must not overlook it once it is handled.
func TestRequestsSentTogetherAreAnsweredIfHandled(t *testing.T) {
	handled := &handledRequests{ids: make(map[string]bool)}
	s, l := startServer(t, handled)
	ctx, stop := context.WithCancel(t.Context())
	var closer sync.WaitGroup
	closer.Go(func() {
		for ctx.Err() == nil {
			s.CloseIdle()
		}
	})
	for n := range 300 {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		ids := []string{fmt.Sprintf("%d-first", n), fmt.Sprintf("%d-second", n)}
		_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", ids[0], ids[1])
		require.NoError(t, err)
		for _, id := range ids {
			resp, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				require.False(t, handled.has(id), "request %s: %v", id, err)
				break
			}
		}
		_ = conn.Close()
	}
	stop()
	closer.Wait()
}

// A caller sends its next request, or the begin of it, together with the one before. Both are in the
// server's buffer, which looks empty from outside, as idle connections are closed. Both are answered.
func TestRequestInTheServersBufferIsAnswered(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, early := range map[string]int{"whole": len(request), "half": len(request) / 2, "two bytes": 2} {
		t.Run(name, func(t *testing.T) {
			s, l := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			ctx, stop := context.WithCancel(t.Context())
			var closer sync.WaitGroup
			closer.Go(func() {
				for ctx.Err() == nil {
					s.CloseIdle()
					time.Sleep(10 * time.Microsecond) // lets a host with one processor read
				}
			})
			defer closer.Wait()
			defer stop()
			for range 300 {
				conn, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				reader := bufio.NewReader(conn)
				_, err = io.WriteString(conn, request+request[:early])
				require.NoError(t, err)
				resp, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				_, err = io.WriteString(conn, request[early:])
				require.NoError(t, err)
				_, err = http.ReadResponse(reader, nil)
				require.NoError(t, err)
				_ = conn.Close()
			}
		})
	}
}

// A connection was accepted, but the HTTP server has not noticed it when the stop looks for open ones.
// The stop waits for its request.
func TestStopWaitsForConnectionsThatWereJustAccepted(t *testing.T) {
	s, _ := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.mu.Lock()
	unnoticed := newConnQueue()
	s.current = &generation{conns: unnoticed}
	s.mu.Unlock()
	_, host := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.serveConn(host)
	}()
	require.Eventually(t, func() bool { return s.closeIdle(time.Now()) == 1 }, time.Second, time.Millisecond)
	require.NoError(t, unnoticed.Close())
	<-served
	require.Zero(t, s.closeIdle(time.Now()), "a connection that no server takes is closed")
}
