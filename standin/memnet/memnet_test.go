package memnet

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const serverAddr = "10.0.0.2:80"

func pair(t *testing.T, n *Network) (client, server net.Conn) {
	t.Helper()
	l, err := n.Listen("b", serverAddr)
	require.NoError(t, err)
	client, err = n.Dialer("a")(context.Background(), "tcp", serverAddr)
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return client, server
}

func TestHTTPWithLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Latency: func(_, _ string) time.Duration { return time.Millisecond }})
		l, err := n.Listen("b", serverAddr)
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "hello")
		})}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: n.Dialer("a")}
		start := time.Now()
		response, err := (&http.Client{Transport: transport}).Get("http://" + serverAddr)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "hello", string(body))
		require.Equal(t, 4*time.Millisecond, time.Since(start))
		transport.CloseIdleConnections()
		require.NoError(t, server.Close())
	})
}

func TestCutStallsAndHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		client, server := pair(t, n)
		n.Cut("a", "b")
		_, err := client.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Minute)))
		buf := make([]byte, 1)
		_, err = server.Read(buf)
		require.ErrorContains(t, err, "timeout")
		n.Heal("a", "b")
		require.NoError(t, server.SetReadDeadline(time.Time{}))
		_, err = server.Read(buf)
		require.NoError(t, err)
		require.NoError(t, client.Close())
		require.NoError(t, server.Close())
	})
}

func TestSilenceIsWithoutError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		client, server := pair(t, n)
		require.NotZero(t, n.Silence("a", "b"))
		_, err := client.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, server.Close())
		require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Hour)))
		_, err = client.Read(make([]byte, 1))
		require.ErrorContains(t, err, "timeout")
		require.NoError(t, client.Close())
	})
}

func TestKillResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		client, _ := pair(t, n)
		n.Kill("b", false)
		_, err := client.Read(make([]byte, 1))
		require.Error(t, err)
		_, err = n.Dialer("a")(context.Background(), "tcp", serverAddr)
		require.ErrorContains(t, err, "refused")
	})
}

func TestDialAcrossCutHangsUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		l, err := n.Listen("b", serverAddr)
		require.NoError(t, err)
		n.Cut("b", "a")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = n.Dialer("a")(ctx, "tcp", serverAddr)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.NoError(t, l.Close())
	})
}
