package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Beyond capacity, uneven plain upstreams keep nine tenths of the goodput of the best load.
func TestUnevenUpstreamsKeepTheirGoodput(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.9, 1, 1.2, 1.5} {
		peak = max(peak, runUneven(load, 1, false, chooseNow).goodput)
	}
	require.GreaterOrEqual(t, runUneven(2, 1, false, chooseNow).goodput, 0.9*peak)
}
