package callerserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testDoor is a door whose answers a test sets.
type testDoor struct{ refuses, full, closed atomic.Bool }

func (d *testDoor) Connect() bool { return !d.refuses.Load() }
func (d *testDoor) Request() bool { return !d.full.Load() }
func (d *testDoor) ClosedFor() time.Duration {
	if d.closed.Load() {
		return time.Hour
	}
	return 0
}

func startServerWithDoor(t *testing.T, h http.Handler) (*Server, string, *testDoor) {
	door := &testDoor{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(h, Limits{HeaderBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}, func(err error) { t.Error(err) }, WithDoor(door),
		WithListen(func() (net.Listener, error) { return net.Listen("tcp", l.Addr().String()) }))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s, l.Addr().String(), door
}

// Callers may repeat any request whose connection was closed unread.
func TestFullHostReadsNothingOfRefusedConnections(t *testing.T) {
	var served atomic.Int64
	_, address, door := startServerWithDoor(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	door.refuses.Store(true)
	for range 20 {
		_, err := askOnNewConn(address)
		require.Error(t, err)
	}
	require.Zero(t, served.Load())
	door.refuses.Store(false)
	status, err := askOnNewConn(address)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// What a full host has read it answers; then the caller chooses a host anew.
func TestFullHostEndsKeptConnectionsAfterTheirAnswers(t *testing.T) {
	_, address, door := startServerWithDoor(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // as streams do
	}))
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	door.full.Store(true)
	status, err := ask(conn, reader)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, "the first request of a connection was counted with it")
	status, err = ask(conn, reader)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func TestFullHostClosesIdleConnections(t *testing.T) {
	s, address, _ := startServerWithDoor(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_, err = ask(conn, reader)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		s.CloseIdle()
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := reader.ReadByte()
		return err == io.EOF
	}, 5*time.Second, 10*time.Millisecond)
}

// While the door is closed callers are refused at once and send nothing. It opens again soon, so that
// callers don't take the host for lost.
func TestClosedDoorRefusesConnectionsForAShortTime(t *testing.T) {
	var served atomic.Int64
	_, address, door := startServerWithDoor(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	door.closed.Store(true)
	_, _ = askOnNewConn(address) // the one for which the server waits
	refused := 0
	for end := time.Now().Add(3 * maxClosed); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			refused++
			continue
		}
		_ = conn.Close()
	}
	require.Greater(t, refused, 50)
	door.closed.Store(false)
	require.Eventually(t, func() bool {
		status, err := askOnNewConn(address)
		return err == nil && status == http.StatusOK
	}, 2*maxClosed, 10*time.Millisecond)
}
