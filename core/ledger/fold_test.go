package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

var (
	hostA = record.Holder{Host: "a", Incarnation: 1}
	hostB = record.Holder{Host: "b", Incarnation: 1}
)

// script applies batches to a fold and checks the invariant after each.
type script struct {
	t      *testing.T
	fold   *Fold
	offset record.Offset
	now    int64
	seq    uint64
}

func newScript(t *testing.T, opts Options) *script {
	return &script{t: t, fold: New(opts), now: 1}
}

// write applies one batch under the given epoch.
func (s *script) write(writer record.Holder, epoch record.Offset, ops ...record.Op) []Result {
	s.t.Helper()
	s.seq++
	s.offset++
	batch := &record.Batch{Writer: writer, Seq: s.seq, Epoch: epoch, Ops: ops}
	results, err := s.fold.Apply(record.Entry{Offset: s.offset, TimeMillis: s.now}, batch)
	require.NoError(s.t, err)
	require.NoError(s.t, s.fold.Check())
	require.Len(s.t, results, len(ops))
	return results
}

// apply applies one operation as the owner.
func (s *script) apply(op record.Op) Result {
	s.t.Helper()
	return s.write(s.fold.Owner(), s.fold.Epoch(), op)[0]
}

// takeOver makes h the owner of the shard and returns the new epoch.
func (s *script) takeOver(h record.Holder) record.Offset {
	s.write(h, 0, record.Op{Kind: record.KindEpoch})
	return s.fold.Epoch()
}

func topUp(id string, amount record.Tokens) record.Op {
	return record.Op{Kind: record.KindTopUp, Budget: "m", ID: id, Amount: amount}
}

func grant(h record.Holder, seq uint64, amount record.Tokens) record.Op {
	return record.Op{Kind: record.KindGrant, Budget: "m", Holder: &h, Seq: seq, Amount: amount}
}

func settle(h record.Holder, seq uint64, key record.RequestKey, cost record.Tokens) record.Op {
	return report(h, record.Report{Seq: seq, Settlements: []record.Settlement{{Budget: "m", Key: key, Cost: cost}}})
}

func report(h record.Holder, r record.Report) record.Op {
	return record.Op{Kind: record.KindReport, Holder: &h, Report: &r}
}

func giveBack(h record.Holder, seq uint64, amount record.Tokens) record.Op {
	return report(h, record.Report{Seq: seq, Returns: []record.Return{{Budget: "m", Amount: amount}}})
}

func release(h record.Holder, id string) record.Op {
	return record.Op{Kind: record.KindRelease, Budget: "m", Holder: &h, ID: id, By: "op"}
}

func (s *script) requireBudget(settled, granted, available, unbilled record.Tokens) {
	s.t.Helper()
	b, ok := s.fold.Budget("m")
	require.True(s.t, ok)
	require.Equal(s.t, BudgetState{ID: "m", Prepaid: settled + granted + available, Settled: settled,
		Granted: granted, Available: available, Unbilled: unbilled, Duplicates: b.Duplicates}, b)
}

func TestGrantsNeverExceedWhatIsAvailable(t *testing.T) {
	s := newScript(t, Options{})
	s.apply(topUp("1", 100))
	require.Equal(t, ReasonStaleEpoch, s.apply(grant(hostA, 1, 10)).Reason, "the shard has no owner yet")
	first := s.takeOver(hostA)
	res := s.apply(grant(hostA, 1, 70))
	require.Equal(t, record.Tokens(70), res.Granted)
	require.Equal(t, record.Tokens(30), res.Available)
	res = s.apply(grant(hostB, 1, 70))
	require.Equal(t, ReasonExhausted, res.Reason)
	require.Equal(t, record.Tokens(30), res.Granted)
	s.takeOver(hostB)
	require.Equal(t, ReasonStaleEpoch, s.write(hostA, first, grant(hostA, 2, 1))[0].Reason)
	require.Equal(t, ReasonStaleEpoch, s.write(hostA, s.fold.Epoch(), grant(hostA, 2, 1))[0].Reason, "the writer is not the owner")
	res = s.apply(grant(hostA, 1, 70))
	require.Equal(t, ReasonDuplicate, res.Reason)
	require.Equal(t, record.Tokens(70), res.Granted, "a duplicate returns the amount of the original")
	require.Equal(t, record.Tokens(70), res.Outstanding)
	s.requireBudget(0, 100, 0, 0)
}

func TestReportsApplyOnceAndInOrder(t *testing.T) {
	s := newScript(t, Options{})
	s.takeOver(hostA)
	s.apply(topUp("1", 100))
	s.apply(grant(hostA, 1, 50))
	require.Equal(t, ReasonGap, s.apply(settle(hostA, 2, 7, 10)).Reason)
	require.True(t, s.apply(settle(hostA, 1, 7, 10)).Applied)
	require.Equal(t, ReasonDuplicate, s.apply(settle(hostA, 1, 7, 10)).Reason)
	res := s.apply(settle(hostA, 2, 7, 10))
	require.Equal(t, []ReportLine{{Budget: "m", Duplicate: 10, Outstanding: 40}}, res.Lines, "a duplicate is not deducted from the grant")
	res = s.apply(settle(hostA, 3, 8, 45))
	require.Equal(t, []ReportLine{{Budget: "m", Billed: 40, Unbilled: 5}}, res.Lines)
	s.requireBudget(50, 0, 50, 5)
	s.apply(grant(hostA, 2, 20))
	s.apply(giveBack(hostA, 4, 30))
	s.requireBudget(50, 0, 50, 5)
	s.apply(grant(hostA, 3, 20))
	s.apply(report(hostA, record.Report{Seq: 5, Closing: true}))
	s.requireBudget(50, 0, 50, 5)
	require.Equal(t, ReasonClosed, s.apply(settle(hostA, 6, 9, 1)).Reason)
	require.Equal(t, ReasonClosed, s.apply(grant(hostA, 4, 1)).Reason)
}

func TestTopUpsAndReductions(t *testing.T) {
	s := newScript(t, Options{})
	s.takeOver(hostA)
	require.Equal(t, ReasonUnknownBudget, s.apply(grant(hostA, 1, 5)).Reason)
	s.apply(topUp("1", 100))
	require.Equal(t, ReasonDuplicate, s.apply(topUp("1", 100)).Reason)
	s.apply(grant(hostA, 2, 60))
	res := s.apply(topUp("2", -70))
	require.Equal(t, record.Tokens(-40), res.Amount, "granted tokens are not taken back")
	require.Equal(t, ReasonExhausted, res.Reason)
	require.Equal(t, ReasonInvalid, s.apply(topUp("3", MaxTokens)).Reason)
	require.Equal(t, ReasonInvalid, s.apply(topUp("", 1)).Reason)
	s.requireBudget(0, 60, 0, 0)
}

func TestReleasedHolderIsBilledUpToAvailable(t *testing.T) {
	s := newScript(t, Options{})
	s.takeOver(hostB)
	s.apply(topUp("1", 100))
	s.apply(grant(hostA, 1, 60))
	require.Equal(t, record.Tokens(60), s.apply(release(hostA, "r")).Amount)
	require.Equal(t, ReasonDuplicate, s.apply(release(hostA, "r")).Reason)
	s.apply(grant(hostB, 1, 90))
	res := s.apply(report(hostA, record.Report{Seq: 1, Settlements: []record.Settlement{{Budget: "m", Key: 1, Cost: 30}},
		Returns: []record.Return{{Budget: "m", Amount: 30}}}))
	require.Equal(t, []ReportLine{{Budget: "m", Billed: 10, Unbilled: 20}}, res.Lines)
	require.Equal(t, ReasonReleased, s.apply(grant(hostA, 2, 5)).Reason)
	s.requireBudget(10, 90, 0, 20)
}

func TestGapsAndOldEntries(t *testing.T) {
	s := newScript(t, Options{})
	s.apply(topUp("1", 100))
	results, err := s.fold.Apply(record.Entry{Offset: 1}, &record.Batch{Ops: []record.Op{topUp("2", 5)}})
	require.NoError(t, err)
	require.Empty(t, results)
	_, err = s.fold.Apply(record.Entry{Offset: 3}, &record.Batch{})
	var gap *GapError
	require.ErrorAs(t, err, &gap)
	require.Equal(t, GapError{Want: 2, Got: 3}, *gap)
	s.requireBudget(0, 0, 100, 0)
}

func TestRepeatedEpochRecordDoesNotChangeOwner(t *testing.T) {
	s := newScript(t, Options{})
	s.takeOver(hostA)
	s.takeOver(hostB)
	epoch := s.fold.Epoch()
	s.seq = 0
	require.Equal(t, ReasonDuplicate, s.write(hostA, 0, record.Op{Kind: record.KindEpoch})[0].Reason)
	require.Equal(t, epoch, s.fold.Epoch())
	require.Equal(t, hostB, s.fold.Owner())
}
