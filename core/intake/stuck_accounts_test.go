package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Clients of several accounts leave bodies that stopped long ago. The only body of another account, which
// arrives at full speed and is within the limit of one body, doesn't yield to them.
func TestBodyThatArrivesOutlastsStuckOnesOfOtherAccounts(t *testing.T) {
	b := New(LimitsFor(machine, 4*mib))
	for i := range 9 {
		granted, _ := take(t, b, b.Begin(fmt.Sprint("stuck-", i), start), mib, start)
		require.True(t, granted)
	}
	now := start.Add(5 * time.Second)
	x := b.Begin("ordinary", now)
	for x.Held() < 4*mib {
		held := x.Held()
		granted, _ := take(t, b, x, 16*kib, now)
		require.True(t, granted, "after %d bytes", held)
		now = now.Add(time.Millisecond)
	}
	require.True(t, b.Complete(x))
}
