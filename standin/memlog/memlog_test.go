package memlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

func TestReadWaitsForAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := New(Options{})
		go func() {
			time.Sleep(time.Second)
			_, _ = log.Append(context.Background(), "s", []byte("a"))
		}()
		start := time.Now()
		entries, err := log.Read(context.Background(), "s", 1, 10, time.Minute)
		require.NoError(t, err)
		require.Len(t, entries, 1)
		require.Equal(t, record.Offset(1), entries[0].Offset)
		require.Equal(t, time.Second, time.Since(start))
	})
}

func TestRetentionTrims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := New(Options{Retention: time.Hour})
		for range 3 {
			_, err := log.Append(ctx, "s", []byte("a"))
			require.NoError(t, err)
			time.Sleep(40 * time.Minute)
		}
		_, err := log.Read(ctx, "s", 1, 10, 0)
		require.ErrorIs(t, err, platform.ErrTrimmed)
		bounds, err := log.Bounds(ctx, "s")
		require.NoError(t, err)
		require.Equal(t, platform.Bounds{First: 3, Head: 3}, bounds)
	})
}

func TestRateLimitThrottles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := New(Options{AppendsPerSecond: 2})
		for range 2 {
			_, err := log.Append(ctx, "s", nil)
			require.NoError(t, err)
		}
		_, err := log.Append(ctx, "s", nil)
		require.ErrorIs(t, err, platform.ErrThrottled)
		time.Sleep(time.Second)
		_, err = log.Append(ctx, "s", nil)
		require.NoError(t, err)
	})
}

func TestLinkFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := New(Options{})
		link := NewLink(log)

		link.SetCut(true)
		_, err := link.Append(ctx, "s", nil)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.Zero(t, log.Appends())
		link.SetCut(false)

		link.SetLoseReply(func() bool { return true })
		_, err = link.Append(ctx, "s", nil)
		require.ErrorIs(t, err, ErrReplyLost)
		require.EqualValues(t, 1, log.Appends())
		link.SetLoseReply(nil)

		link.SetAppendDelay(time.Minute)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = link.Append(short, "s", nil)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.EqualValues(t, 1, log.Appends())
		time.Sleep(2 * time.Minute)
		require.EqualValues(t, 2, log.Appends())
	})
}
