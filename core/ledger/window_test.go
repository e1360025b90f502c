package ledger

import (
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

const minute = int64(time.Minute / time.Millisecond)

// busyBudget returns a script in which both holders have a grant. A has not reported
// since minute 1000; B has billed requests 1 to 3 at minutes 1005, 1030 and 1055.
func busyBudget(t *testing.T, opts Options) *script {
	s := newScript(t, opts)
	s.now = 1000 * minute
	s.takeOver(hostB)
	s.apply(topUp("1", 1000))
	s.apply(grant(hostA, 1, 100))
	s.apply(grant(hostB, 1, 500))
	s.apply(settle(hostA, 1, 100, 1))
	for i, at := range []int64{1005, 1030, 1055} {
		s.now = at * minute
		s.apply(settle(hostB, uint64(i+1), record.RequestKey(i+1), 10))
	}
	return s
}

func (s *script) applyAt(minutes int64, op record.Op) ReportLine {
	s.now = minutes * minute
	res := s.apply(op)
	require.Len(s.t, res.Lines, 1)
	return res.Lines[0]
}

func TestHolderUnreachableForDaysCannotBillTwice(t *testing.T) {
	s := busyBudget(t, Options{})
	const back = 1000 + 3*24*60
	for i := int64(0); i < 3*24; i++ {
		s.applyAt(1060+i*60, settle(hostB, uint64(i+4), record.RequestKey(1000+i), 1))
	}
	require.Equal(t, record.Tokens(10), s.applyAt(back, settle(hostA, 2, 1, 10)).Duplicate)
	require.Equal(t, record.Tokens(10), s.applyAt(back+50, settle(hostA, 3, 2, 10)).Duplicate, "at the second report, the time before the silence still counts")
	require.Equal(t, record.Tokens(10), s.applyAt(back+200, settle(hostA, 4, 3, 10)).Duplicate, "after another silence, it counts as well")
	require.Equal(t, record.Tokens(10), s.applyAt(back+210, settle(hostA, 5, 50, 10)).Billed)
}

func TestKeysAreDroppedOnceAllHoldersHaveReported(t *testing.T) {
	s := busyBudget(t, Options{})
	s.applyAt(1056, settle(hostA, 2, 101, 1))
	for i := int64(0); i < 40; i++ {
		s.applyAt(1060+i*10, settle(hostA, uint64(i+3), record.RequestKey(200+i), 1))
		s.applyAt(1061+i*10, settle(hostB, uint64(i+4), record.RequestKey(300+i), 1))
	}
	b := s.fold.budgets["m"]
	require.False(t, b.keys.has(1), "six hours are longer than the window")
	require.True(t, b.keys.has(339))
	require.Less(t, b.keys.count, 30, "12 keys per hour, plus those of one more segment")
	require.Equal(t, record.Tokens(10), s.applyAt(1500, settle(hostB, 44, 1, 10)).Billed, "after the window, a late retry is billed again, as documented")
}

func TestReleasedHolderPastTheWindowIsNotBilled(t *testing.T) {
	s := busyBudget(t, Options{})
	s.apply(release(hostA, "gone"))
	require.Equal(t, record.Tokens(10), s.applyAt(1057, settle(hostA, 2, 1, 10)).Duplicate, "a duplicate is recognised after the release")
	require.Equal(t, record.Tokens(10), s.applyAt(1058, settle(hostA, 3, 102, 10)).Billed)
	for i := int64(0); i < 40; i++ {
		s.applyAt(1060+i*10, settle(hostB, uint64(i+4), record.RequestKey(300+i), 1))
	}
	require.Equal(t, record.Tokens(10), s.applyAt(1460, settle(hostA, 4, 2, 10)).Unbilled)
	require.Equal(t, record.Tokens(10), s.applyAt(1461, settle(hostA, 5, 103, 10)).Unbilled)
}

func TestHolderIsNotBilledOnceMaxKeysDroppedItsKeys(t *testing.T) {
	s := busyBudget(t, Options{MaxKeys: 10})
	for i := int64(0); i < 40; i++ {
		s.applyAt(1060+i*10, settle(hostB, uint64(i+4), record.RequestKey(300+i), 1))
	}
	b := s.fold.budgets["m"]
	require.LessOrEqual(t, b.keys.count, 20)
	require.Equal(t, record.Tokens(10), s.applyAt(1460, settle(hostA, 2, 1, 10)).Unbilled, "billed before, but its key was dropped")
	require.Equal(t, record.Tokens(1), s.applyAt(1461, settle(hostB, 44, 500, 1)).Billed, "a holder that keeps reporting is not affected")
}

func TestDroppingEndedHoldersKeepsAmounts(t *testing.T) {
	s := busyBudget(t, Options{})
	closing := report(hostA, record.Report{Seq: 2, Closing: true, Settlements: []record.Settlement{{Budget: "m", Key: 4, Cost: 5}}})
	s.apply(closing)
	before := s.fold.budgets["m"].state()
	s.now += 8 * 24 * 60 * minute
	s.apply(topUp("2", 1))
	require.NotContains(t, s.fold.holders, hostA)
	require.Equal(t, record.Tokens(1), s.applyAt(s.now/minute, settle(hostA, 1, 100, 1)).Duplicate, "B has been silent, so the key is kept")
	require.Equal(t, record.Tokens(1), s.applyAt(s.now/minute, settle(hostA, 2, 999, 1)).Unbilled, "a late record finds no grant")
	after := s.fold.budgets["m"].state()
	require.Equal(t, before.Settled, after.Settled)
	require.Equal(t, before.Granted, after.Granted)
}

func TestReleaseWithoutBudgetCoversAllBudgets(t *testing.T) {
	s := busyBudget(t, Options{})
	op := release(hostA, "gone")
	op.Budget = ""
	require.Equal(t, record.Tokens(99), s.apply(op).Amount)
	require.Equal(t, ReasonDuplicate, s.apply(op).Reason)
	other := grant(hostA, 2, 5)
	other.Budget = "other"
	require.Equal(t, ReasonReleased, s.apply(other).Reason)
}

// A snapshot of more holders than the decoder's default limit on arrays must be readable:
// hosts that start are otherwise left without a fold.
func TestLargeSnapshotIsRestored(t *testing.T) {
	const holders = 1<<17 + 1
	images := make([]holderImage, holders)
	for i := range images {
		images[i].Holder = record.Holder{Host: record.HostID(strconv.Itoa(i)), Incarnation: 1}
	}
	data, err := cbor.Marshal(snapshot{Version: snapshotVersion, Holders: images, Options: optionsImage{Window: time.Hour, HolderRetention: time.Hour, MaxKeys: 10}})
	require.NoError(t, err)
	f, err := Restore(data)
	require.NoError(t, err)
	require.Len(t, f.holders, holders)
}
