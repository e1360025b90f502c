package record

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func sampleBatch(t testing.TB) []byte {
	h := Holder{Host: "a", Incarnation: 7}
	data, err := EncodeBatch(&Batch{Writer: h, Seq: 3, Epoch: 2, Ops: []Op{
		{Kind: KindEpoch},
		{Kind: KindTopUp, Budget: "m", ID: "t1", Amount: -5, By: "op"},
		{Kind: KindGrant, Budget: "m", Holder: &h, Seq: 1, Amount: 9},
		{Kind: KindReport, Holder: &h, Report: &Report{Seq: 1, Settlements: []Settlement{{Budget: "m", Key: 1 << 63, Cost: 4}},
			Returns: []Return{{Budget: "m", Amount: 2}}, Closing: true}},
		{Kind: KindOutcome, Key: 5, Holder: &h, Outcome: OutcomeNotRun, Detail: []byte("d")},
	}})
	require.NoError(t, err)
	return data
}

// FuzzDecodeBatch checks that the decoder does not panic on any input, and that a
// decoded batch is unchanged after it is encoded and decoded again.
func FuzzDecodeBatch(f *testing.F) {
	f.Add(sampleBatch(f))
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := DecodeBatch(data)
		if err != nil {
			return
		}
		again, err := EncodeBatch(batch)
		if err != nil {
			return
		}
		second, err := DecodeBatch(again)
		require.NoError(t, err)
		third, err := EncodeBatch(second)
		require.NoError(t, err)
		require.Equal(t, again, third)
	})
}

func TestDecodeSkipsUnknownFieldsAndKinds(t *testing.T) {
	newer, err := cbor.Marshal(map[int]any{
		1: []any{"a", 1}, 2: 1, 99: "new",
		4: []any{
			map[int]any{1: 2, 2: "m", 4: 10, 5: "t", 40: []int{1}},
			map[int]any{1: 77, 2: "m", 41: map[string]int{"x": 1}},
		},
	})
	require.NoError(t, err)
	batch, err := DecodeBatch(newer)
	require.NoError(t, err)
	require.Equal(t, Op{Kind: KindTopUp, Budget: "m", Amount: 10, ID: "t"}, batch.Ops[0])
	require.Equal(t, Kind(77), batch.Ops[1].Kind)
}
