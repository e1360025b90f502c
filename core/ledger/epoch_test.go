package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

// A batch may take over the shard and grant in one record. A late copy of that record
// must neither open an epoch again nor grant anything.
func TestBatchOpensItsEpochOnlyOnce(t *testing.T) {
	a := record.Holder{Host: "a", Incarnation: 1}
	b := record.Holder{Host: "b", Incarnation: 1}
	grant := func(h record.Holder, seq uint64) record.Op {
		return record.Op{Kind: record.KindGrant, Budget: "m", Holder: &h, Seq: seq, Amount: 10}
	}
	open := func(w record.Holder, seq uint64, ops ...record.Op) *record.Batch {
		ops = append([]record.Op{{Kind: record.KindEpoch}}, ops...)
		return &record.Batch{Writer: w, Seq: seq, OpensEpoch: true, Ops: ops}
	}
	f := New(Options{})
	apply := func(at record.Offset, batch *record.Batch) []Result {
		res, err := f.Apply(record.Entry{Offset: at, TimeMillis: int64(at)}, batch)
		require.NoError(t, err)
		require.NoError(t, f.Check())
		return res
	}
	topUp := record.Op{Kind: record.KindTopUp, Budget: "m", ID: "1", Amount: 100}
	first := open(a, 1, topUp, grant(a, 1))
	require.Equal(t, record.Tokens(10), apply(1, first)[2].Granted)
	require.Equal(t, record.Tokens(10), apply(2, open(b, 1, grant(b, 1)))[1].Granted)

	res := apply(3, open(a, 1, grant(a, 2)))
	require.Equal(t, ReasonDuplicate, res[0].Reason, "a copy does not open an epoch")
	require.Equal(t, ReasonStaleEpoch, res[1].Reason)
	require.Equal(t, b, f.Owner())

	unopened := open(a, 2, grant(a, 2))
	unopened.OpensEpoch = false
	require.Equal(t, ReasonStaleEpoch, apply(4, unopened)[1].Reason)
}
