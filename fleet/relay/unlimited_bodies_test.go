package relay

import (
	"bytes"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/intake"
)

// Without a limit in the settings, a body that fits at no time is too large, so that its caller doesn't come back
// with it; the largest that fits is taken.
func TestBodyThatNeverFitsIsTooLarge(t *testing.T) {
	const memory = 112 << 20
	k := newBodies(memory, newMeters(metrics.NewRegistry()))
	largest := intake.LimitsFor(memory, 0).Account
	for _, announced := range []bool{true, false} {
		read := func(size int64) error {
			length := int64(-1)
			if announced {
				length = size
			}
			b, err := k.read(bodySource{Reader: bytes.NewReader(make([]byte, size)), length: length, account: "a", interrupt: func() {}})
			b.release()
			return err
		}
		require.NoError(t, read(largest))
		require.ErrorIs(t, read(largest+1), errBodyTooLarge)
		require.ErrorIs(t, read(memory), errBodyTooLarge)
		require.NoError(t, read(largest))
	}
}
