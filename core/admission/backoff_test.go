package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
)

func TestBackoffDoublesUpToItsBound(t *testing.T) {
	b := Backoff{First: 100 * time.Millisecond, Most: time.Second}
	var means []time.Duration
	for failures := 1; failures <= 6; failures++ {
		means = append(means, b.Pause(failures, 0.5))
	}
	ms := time.Millisecond
	require.Equal(t, []time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, time.Second, time.Second}, means)
	require.Equal(t, 50*ms, b.Pause(1, 0))
	require.Equal(t, 1500*ms, b.Pause(100, 1))
}

func TestOnlyRefusalsByTheLimitAreCounted(t *testing.T) {
	n := Throttled(0, fmt.Errorf("read: %w", platform.ErrThrottled))
	require.Equal(t, 1, n)
	require.Equal(t, 2, Throttled(n, platform.ErrThrottled))
	require.Zero(t, Throttled(n, platform.ErrUnavailable))
}

func TestShareOfManyHosts(t *testing.T) {
	require.Equal(t, 1.0, Share(7, 50))
	require.Equal(t, 6.0, Share(300, 50))
}
