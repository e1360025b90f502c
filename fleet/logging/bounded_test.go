package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestFloodDoesNotDropOtherMessages logs one message at a high rate and another one
// once: the rate limit drops lines of the first message only.
func TestFloodDoesNotDropOtherMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out lockedBuffer
		b, err := NewBounded(&out, "info", Limits{PerSecond: 10, Buffered: 1000})
		require.NoError(t, err)
		const seconds = 6
		for range seconds * 100 {
			for range 10 {
				b.Logger.Info("Request sent.")
			}
			time.Sleep(10 * time.Millisecond)
		}
		b.Logger.Info("Request refused.", "request", "r1")
		b.Close()
		sent := strings.Count(out.String(), "Request sent.")
		require.LessOrEqual(t, sent, 10*(seconds+1))
		require.GreaterOrEqual(t, sent, 10*seconds)
		require.Contains(t, out.String(), `"request":"r1"`)
		require.Contains(t, out.String(), "Lines left out.")
		require.Contains(t, out.String(), `"over_budget":`)
	})
}

// TestSuccessesDoNotDropFailedRequests logs the same message for many successful and
// a few failed requests: all lines about failed requests are written.
func TestSuccessesDoNotDropFailedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out lockedBuffer
		b, err := NewBounded(&out, "info", Limits{PerSecond: 10, Buffered: 1000})
		require.NoError(t, err)
		log := b.Logger.WithName("relay")
		failed := Failed(log)
		for i := range 500 {
			log.Info("Request ended.", "status", 200)
			if i%100 == 99 {
				failed.Info("Request ended.", "status", 503)
			}
		}
		b.Close()
		require.Equal(t, 5, strings.Count(out.String(), `"status":503`))
		require.Equal(t, 10, strings.Count(out.String(), `"status":200`))
		require.Equal(t, 5, strings.Count(out.String(), `"part":"relay","msg":"Request ended.","failed":true`))
	})
}

// TestStoppedReaderDoesNotBlockLogging logs to a pipe that is never read.
func TestStoppedReaderDoesNotBlockLogging(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	b, err := NewBounded(writer, "info", Limits{PerSecond: 1 << 20, Buffered: 100})
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			b.Logger.Info("Request sent.")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks")
	}
	require.Positive(t, b.out.dropped.Load())
	b.Close()
}

// BenchmarkLine measures the cost of a log line for the caller.
func BenchmarkLine(b *testing.B) {
	logger, err := NewBounded(io.Discard, "info", Limits{PerSecond: 1 << 30, Buffered: 4096})
	require.NoError(b, err)
	defer logger.Close()
	b.ReportAllocs()
	for b.Loop() {
		logger.Logger.Info("Request sent.", "request", "9c41d07be2a35f68", "service", "svc", "upstream", "i-7f3a91c2",
			"wait", time.Millisecond, "read", time.Millisecond, "cached", int64(100), "took", time.Second, "fate", 0)
	}
}
