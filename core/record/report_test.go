package record

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func TestReportRoundTrip(t *testing.T) {
	report := Report{
		Seq: 7,
		Settlements: []Settlement{
			{Budget: "a/x", Key: 1, Cost: 10},
			{Budget: "a/y", Key: 2, Cost: 0},
			{Budget: "a/x", Key: 3, Cost: 30},
		},
		Returns: []Return{{Budget: "a/z", Amount: 5}, {Budget: "a/y", Amount: 6}},
		Closing: true,
	}
	data, err := cbor.Marshal(report)
	require.NoError(t, err)
	var got Report
	require.NoError(t, cbor.Unmarshal(data, &got))
	require.Equal(t, report, got)
}

func TestReportWithUnknownBudgetIndexIsRejected(t *testing.T) {
	data, err := cbor.Marshal(reportWire{Seq: 1, Budgets: []BudgetID{"a/x"}, Settlements: []settlementWire{{Budget: 1}}})
	require.NoError(t, err)
	require.ErrorContains(t, cbor.Unmarshal(data, new(Report)), "budget 1 of 1")
}

// A settlement must stay small: a fleet of the target size makes 10,000 per second.
func TestSettlementSize(t *testing.T) {
	const maxBytes = 16
	small, err := EncodeBatch(reportBatch(100))
	require.NoError(t, err)
	large, err := EncodeBatch(reportBatch(1100))
	require.NoError(t, err)
	require.LessOrEqual(t, float64(len(large)-len(small))/1000, float64(maxBytes))
}
