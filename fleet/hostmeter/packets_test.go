package hostmeter

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// A stream of small events takes twice the bytes of its payload, in both directions.
func TestHeadersOfSmallPacketsCountTowardTheLink(t *testing.T) {
	m := New(Options{Metrics: metrics.NewRegistry()})
	const events, size = 1000, 66
	for range events {
		m.addReceived(size)
		m.addSent(size)
	}
	require.EqualValues(t, events*(size+2*headerBytes), m.in.Load())
	require.Equal(t, m.in.Load(), m.out.Load())

	m = New(Options{Metrics: metrics.NewRegistry()})
	m.addReceived(10 * segmentBytes)
	m.addReceived(0)
	require.EqualValues(t, 10*(segmentBytes+headerBytes), m.in.Load())
	require.EqualValues(t, 5*headerBytes, m.out.Load())
}
