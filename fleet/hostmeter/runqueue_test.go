package hostmeter

import (
	"math"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUpperQuantileOfWaits(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0.001, 0.01, 0.1, math.Inf(1)}
	require.Zero(t, upperQuantile([]uint64{0, 5, 4, 0}, bounds), "too few")
	require.Zero(t, upperQuantile([]uint64{95, 0, 5, 0}, bounds))
	require.Equal(t, 10*time.Millisecond, upperQuantile([]uint64{85, 0, 15, 0}, bounds))
	require.Equal(t, 100*time.Millisecond, upperQuantile([]uint64{0, 0, 85, 15}, bounds))
}

// More goroutines compute than there are processors: what wakes up waits its turn.
func TestRunQueueOfABusyProcessShows(t *testing.T) {
	q, err := NewRunQueue()
	require.NoError(t, err)
	defer func() { require.NoError(t, q.Close()) }()
	end := time.Now().Add(500 * time.Millisecond)
	var all sync.WaitGroup
	for range 20 * runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for time.Now().Before(end) {
				runtime.Gosched()
				for began := time.Now(); time.Since(began) < 2*time.Millisecond; {
				}
			}
		})
	}
	all.Wait()
	require.Greater(t, q.Wait(), 10*time.Millisecond)
}

// Input that nobody reads waits, also while it does.
func TestInputThatWaitsShows(t *testing.T) {
	p, err := newInputProbe()
	require.NoError(t, err)
	defer func() { _ = p.close() }()
	now := time.Now()
	require.Zero(t, p.next(now), "the first one")
	require.Eventually(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.sentAt.IsZero() }, time.Minute, time.Millisecond)
	require.Positive(t, p.next(now.Add(100*time.Millisecond)))
	require.NoError(t, p.out.SetReadDeadline(now)) // the reader ends
	require.Eventually(t, func() bool { _ = p.next(time.Now()); return p.next(time.Now().Add(time.Second)) >= time.Second }, time.Minute, time.Millisecond)
}
