package platformhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/loghttp"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

func newClient(t *testing.T, log platform.Log) (*Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(loghttp.Handler(loghttp.Services{Log: log}))
	t.Cleanup(server.Close)
	return New(server.Client(), server.URL), server
}

func TestAppendAndRead(t *testing.T) {
	ctx := context.Background()
	client, _ := newClient(t, memlog.New(memlog.Options{}))
	offset, err := client.Append(ctx, "shard-001", []byte{0, 1, 2})
	require.NoError(t, err)
	require.Equal(t, record.Offset(1), offset)
	entries, err := client.Read(ctx, "shard-001", 1, 10, time.Second)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, []byte{0, 1, 2}, entries[0].Data)
	bounds, err := client.Bounds(ctx, "shard-001")
	require.NoError(t, err)
	require.Equal(t, platform.Bounds{First: 1, Head: 1}, bounds)
}

func TestResponsesMapToPlatformErrors(t *testing.T) {
	ctx := context.Background()
	log := memlog.New(memlog.Options{AppendsPerSecond: 1, Retention: time.Nanosecond})
	client, server := newClient(t, log)
	_, err := client.Append(ctx, "s", nil)
	require.NoError(t, err)
	_, err = client.Append(ctx, "s", nil)
	require.ErrorIs(t, err, platform.ErrThrottled)
	time.Sleep(5 * time.Millisecond)
	_, err = client.Read(ctx, "s", 1, 1, 0)
	require.ErrorIs(t, err, platform.ErrTrimmed)
	log.SetDown(true)
	_, err = client.Bounds(ctx, "s")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	server.Close()
	_, err = client.Append(ctx, "s", nil)
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestReplyLostAfterTheCallIsNotUnavailable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	client := New(server.Client(), server.URL)
	_, err := client.Append(context.Background(), "s", []byte("x"))
	require.Error(t, err)
	require.NotErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrThrottled)
}

func TestNextAddressIsTriedOnlyWithoutEffect(t *testing.T) {
	ctx := context.Background()
	log := memlog.New(memlog.Options{})
	_, server := newClient(t, log)
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	client := New(server.Client(), unreachable.URL, server.URL)
	_, err := client.Append(ctx, "s", []byte("x"))
	require.NoError(t, err)
	require.EqualValues(t, 1, log.Appends())

	lossy := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = log.Append(r.Context(), "s", nil)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(lossy.Close)
	client = New(lossy.Client(), lossy.URL, server.URL)
	_, err = client.Append(ctx, "s", []byte("x"))
	require.Error(t, err)
	require.EqualValues(t, 2, log.Appends(), "a call that may have taken effect is not sent elsewhere")
}
