package shardfold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

var (
	hostA = record.Holder{Host: "a", Incarnation: 1}
	hostB = record.Holder{Host: "b", Incarnation: 1}
)

func entry(t *testing.T, offset record.Offset, batch *record.Batch) record.Entry {
	t.Helper()
	data, err := record.EncodeBatch(batch)
	require.NoError(t, err)
	return record.Entry{Offset: offset, TimeMillis: int64(offset), Data: data}
}

func TestBudgetsAndClaimsShareOneOffset(t *testing.T) {
	claimOp := func(h record.Holder) record.Op {
		return record.Op{Kind: record.KindClaim, Holder: &h, Key: 9, Attempt: 1, Budget: "m"}
	}
	f := New(Options{})
	batches := []*record.Batch{
		{Writer: hostA, Seq: 1, Ops: []record.Op{{Kind: record.KindEpoch}, claimOp(hostA)}},
		{Writer: hostA, Seq: 2, Epoch: 1, Ops: []record.Op{
			{Kind: record.KindTopUp, Budget: "m", ID: "1", Amount: 50}, claimOp(hostB), claimOp(hostA),
			{Kind: record.KindGrant, Budget: "m", Holder: &hostA, Seq: 1, Amount: 20},
		}},
	}
	res, err := f.Apply(entry(t, 1, batches[0]))
	require.NoError(t, err)
	require.Equal(t, ledger.ReasonStaleEpoch, res[1].Reason, "the batch is not marked as opening the epoch")
	res, err = f.Apply(entry(t, 2, batches[1]))
	require.NoError(t, err)
	require.True(t, res[1].Won)
	require.False(t, res[2].Won)
	require.Equal(t, ledger.ReasonTaken, res[2].Reason)
	require.Equal(t, hostB, *res[2].Winner)
	require.Equal(t, record.Tokens(20), res[3].Granted)

	res, err = f.Apply(record.Entry{Offset: 3, Data: []byte("not a batch")})
	require.NoError(t, err)
	require.Empty(t, res)
	require.Equal(t, uint64(1), f.Skipped())

	data, err := f.Snapshot(time.UnixMilli(5))
	require.NoError(t, err)
	covers, err := Covers(data)
	require.NoError(t, err)
	require.Equal(t, record.Offset(3), covers)
	g, err := Restore(data)
	require.NoError(t, err)
	again, err := g.Snapshot(time.UnixMilli(5))
	require.NoError(t, err)
	require.Equal(t, data, again)
	_, err = g.Apply(entry(t, 5, batches[1]))
	var gap *ledger.GapError
	require.ErrorAs(t, err, &gap)
	_, err = Restore([]byte("junk"))
	require.ErrorIs(t, err, ErrSnapshotInvalid)

	encoded, err := ledger.EncodeResult(repeatedClaim(t, g))
	require.NoError(t, err)
	decoded, err := ledger.DecodeResult(encoded)
	require.NoError(t, err)
	require.Equal(t, repeatedClaim(t, g).Winner, decoded.Winner)
}

// repeatedClaim returns the result of a repeated claim, which does not change the fold.
func repeatedClaim(t *testing.T, f *Fold) ledger.Result {
	t.Helper()
	op := record.Op{Kind: record.KindClaim, Holder: &hostB, Key: 9, Attempt: 1}
	res := f.Claims().Apply(&op, false)
	require.True(t, res.Won, "a copy of the winning claim wins")
	require.False(t, res.Applied)
	return res
}

func TestUnknownKindsHaveNoEffect(t *testing.T) {
	f := New(Options{})
	before, err := f.Snapshot(time.UnixMilli(0))
	require.NoError(t, err)
	require.NotEmpty(t, before)
	res, err := f.Apply(entry(t, 1, &record.Batch{Writer: hostA, Ops: []record.Op{
		{Kind: 77, Budget: "m", Holder: &hostB, Amount: 5}, {Kind: record.KindTopUp, Budget: "m", ID: "t", Amount: 5}}}))
	require.NoError(t, err)
	require.Equal(t, ledger.ReasonUnknownKind, res[0].Reason)
	require.True(t, res[1].Applied, "the other operations of the batch apply")
	require.Empty(t, f.Ledger().Holders("m"))
}

// FuzzRestore checks that Restore does not panic on any input, that the amounts of a
// restored fold add up, and that its snapshot restores to the same state.
func FuzzRestore(f *testing.F) {
	fold := New(Options{})
	h := hostA
	ops := []record.Op{{Kind: record.KindTopUp, Budget: "m", ID: "t", Amount: 9},
		{Kind: record.KindClaim, Key: 4, Holder: &h, Attempt: 1},
		{Kind: record.KindGrant, Budget: "m", Holder: &h, Seq: 1, Amount: 5},
		{Kind: record.KindReport, Holder: &h, Report: &record.Report{Seq: 1, Settlements: []record.Settlement{{Budget: "m", Key: 3, Cost: 2}}}}}
	for i, batch := range []*record.Batch{{Writer: h, Ops: []record.Op{{Kind: record.KindEpoch}}}, {Writer: h, Epoch: 1, Ops: ops}} {
		data, err := record.EncodeBatch(batch)
		require.NoError(f, err)
		_, err = fold.Apply(record.Entry{Offset: record.Offset(i + 1), TimeMillis: 1e9, Data: data})
		require.NoError(f, err)
	}
	seed, err := fold.Snapshot(time.UnixMilli(1))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		restored, err := Restore(data)
		if err != nil {
			return
		}
		require.NoError(t, restored.Check())
		first, err := restored.Snapshot(time.UnixMilli(1))
		require.NoError(t, err)
		again, err := Restore(first)
		require.NoError(t, err)
		second, err := again.Snapshot(time.UnixMilli(1))
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}
