package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

func TestShareOfManyHosts(t *testing.T) {
	require.Equal(t, 1.0, Share(7, 50))
	require.Equal(t, 6.0, Share(300, 50))
}
