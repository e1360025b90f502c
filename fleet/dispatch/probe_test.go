package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func counted(dial Dialer) http.RoundTripper {
	return &http.Transport{DialContext: CountWrites(dial)}
}

func post(t *testing.T, rt http.RoundTripper) (*Probe, error) {
	t.Helper()
	ctx, probe := WithProbe(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://up.test/", strings.NewReader("x"))
	require.NoError(t, err)
	resp, err := rt.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	return probe, err
}

func TestProbeDialFailure(t *testing.T) {
	rt := counted(func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("refused")
	})
	probe, err := post(t, rt)
	require.Error(t, err)
	require.True(t, probe.NothingSent())
}

func TestProbeConnectionLostAfterRequest(t *testing.T) {
	rt := counted(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 16))
			_ = far.Close()
		}()
		return near, nil
	})
	probe, err := post(t, rt)
	require.Error(t, err)
	require.False(t, probe.NothingSent())
}

func TestProbeWithoutCountIsConservative(t *testing.T) {
	rt := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		_ = far.Close()
		return near, nil
	}}
	probe, err := post(t, rt)
	require.Error(t, err)
	require.False(t, probe.NothingSent())
}

func TestSealStopsLaterWrites(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := NewConn(near)
	_, err := c.Write([]byte("a"))
	require.NoError(t, err)
	require.False(t, c.Seal(0), "a write has begun")
	require.True(t, c.Seal(c.Writes()))
	_, err = c.Write([]byte("b"))
	require.ErrorIs(t, err, net.ErrClosed)
}
