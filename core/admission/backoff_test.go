package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
)

func TestBackoffDoublesUpToItsBound(t *testing.T) {
	b := Backoff{Initial: 100 * time.Millisecond, Max: time.Second}
	var means []time.Duration
	for failures := 1; failures <= 6; failures++ {
		means = append(means, b.Delay(failures, 0.5))
	}
	ms := time.Millisecond
	require.Equal(t, []time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, time.Second, time.Second}, means)
	require.Equal(t, 50*ms, b.Delay(1, 0))
	require.Equal(t, 1500*ms, b.Delay(100, 1))
}

func TestOnlyThrottledErrorsAreCounted(t *testing.T) {
	n := CountThrottled(0, fmt.Errorf("read: %w", platform.ErrThrottled))
	require.Equal(t, 1, n)
	require.Equal(t, 2, CountThrottled(n, platform.ErrThrottled))
	require.Zero(t, CountThrottled(n, platform.ErrUnavailable))
}

func TestPauseFactorGrowsWithTheNumberOfHosts(t *testing.T) {
	require.Equal(t, 1.0, PauseFactor(7, 50))
	require.Equal(t, 6.0, PauseFactor(300, 50))
}
