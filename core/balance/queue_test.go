package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQueueWaits(t *testing.T) {
	const read = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	var q queue
	require.Zero(t, q.wait(5, 1, now))

	// Two of rank 1; the first of them is being read.
	q.add(1, read, now)
	q.add(1, read, now)
	require.Zero(t, q.wait(0, 1, now), "a more urgent request does not wait")
	require.Equal(t, 2*read, q.wait(1, 1, now))
	half := now.Add(read / 2)
	require.Equal(t, 2*read-read/2, q.wait(1, 1, half))

	// A less urgent request waits for both, and for more urgent ones that arrive meanwhile.
	require.Greater(t, q.wait(2, 1, half), q.wait(1, 1, half))

	// If the first prompt takes longer than estimated, the wait does not fall below the second.
	require.Equal(t, read, q.wait(1, 1, now.Add(time.Hour)))

	q.remove(1, read, half)
	require.Equal(t, read, q.wait(1, 1, half))
	q.remove(1, read, half)
	require.Zero(t, q.wait(9, 1, half))
}

func TestUrgentLoadIsBoundedAndDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var q queue
	for range 100 {
		q.add(0, 100*time.Millisecond, now)
		q.remove(0, 100*time.Millisecond, now)
	}
	q.add(2, 100*time.Millisecond, now)
	require.Equal(t, time.Duration(float64(100*time.Millisecond)/(1-maxUrgentLoad)).Round(time.Millisecond),
		q.wait(2, 1, now).Round(time.Millisecond))
	require.InDelta(t, 0, q.wait(2, 1, now.Add(20*loadWindow))-0, float64(100*time.Millisecond))
}

func TestRanksOutsideTheRangeAreClamped(t *testing.T) {
	now := time.Unix(1000, 0)
	var q queue
	q.add(-1, time.Second, now)
	q.add(100, time.Second, now)
	require.Equal(t, time.Second, q.wait(0, 1, now))
	require.GreaterOrEqual(t, q.wait(maxRank, 1, now), 2*time.Second)
	q.remove(-1, time.Second, now)
	q.remove(100, time.Second, now)
	require.Zero(t, q.waiting())
}
