package relayhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A read that waits for records tells the way to the log only if it ends with its wait.
func TestOnlyAnswersThatCameAtOnceShowAFreeLink(t *testing.T) {
	const wait = time.Second
	require.True(t, cameAtOnce(4*time.Millisecond, 0))
	require.False(t, cameAtOnce(800*time.Millisecond, 0))
	require.True(t, cameAtOnce(wait+5*time.Millisecond, wait))
	require.False(t, cameAtOnce(wait+800*time.Millisecond, wait))
	require.False(t, cameAtOnce(600*time.Millisecond, wait), "when the records were written is not known")
}
