package settingsage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

const apply = 2 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSettingsCountAsConfirmedForLessThanTheTimeOfAChange(t *testing.T) {
	var a Age
	require.False(t, a.Confirmed(start, apply), "never read")
	require.Negative(t, a.ConfirmedAgo(start))
	a.Confirm(start)
	a.Confirm(start.Add(-time.Second)) // an answer that is older than one before
	require.True(t, a.Confirmed(start.Add(apply-margin), apply))
	require.False(t, a.Confirmed(start.Add(apply), apply))
}

// Versions come faster than a host reads them, but each is in force in time.
func TestHostThatKeepsUpIsNotBehind(t *testing.T) {
	var a Age
	position := func(n int) platform.Position { return platform.Position{Offset: record.Offset(max(0, n))} }
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		a.Hear(position(i), now)
		a.SetPosition(position(i - 10))
		require.False(t, a.Behind(now, apply), "second %v", now.Sub(start))
	}
	require.True(t, a.Behind(start.Add(20*time.Second+apply), apply), "it reads nothing any more")
	a.SetPosition(position(199))
	require.False(t, a.Behind(start.Add(time.Minute), apply))
}

// A log that came back from an older copy has lower offsets.
func TestPositionsOfAnEarlierEraAreNotNewer(t *testing.T) {
	var a Age
	a.SetPosition(platform.Position{Era: 2, Offset: 5})
	a.Hear(platform.Position{Era: 1, Offset: 90}, start)
	require.False(t, a.Behind(start.Add(time.Minute), apply))
	a.Hear(platform.Position{Era: 3, Offset: 4}, start)
	require.True(t, a.Behind(start.Add(time.Minute), apply))
}
