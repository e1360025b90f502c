package gateway

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
)

// TestReportedUsageOutOfRangeIsLimited guards against a usage that an upstream reports and whose price
// overflows, so that the answer costs nothing.
func TestReportedUsageOutOfRangeIsLimited(t *testing.T) {
	dearest := settings.Price{InputMilli: 1e9, OutputMilli: 1e9}
	for _, n := range []int64{maxPricedTokens, maxPricedTokens + 1, math.MaxInt64 / 1000, math.MaxInt64} {
		require.Equal(t, record.Tokens(2*maxPricedTokens*1e6), price(dearest, n, n), n)
	}
	require.Zero(t, price(dearest, -1, math.MinInt64))
	require.Equal(t, record.Tokens(640), price(settings.Price{InputMilli: 1000, OutputMilli: 1000}, 600, 40))
}
