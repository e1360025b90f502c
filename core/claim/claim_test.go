package claim

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

var (
	hostA = record.Holder{Host: "a", Incarnation: 1}
	hostB = record.Holder{Host: "b", Incarnation: 1}
)

func claimOp(h record.Holder, number uint32) *record.Op {
	return &record.Op{Kind: record.KindClaim, Key: 1, Holder: &h, Attempt: number}
}

func outcomeOp(h record.Holder, number uint32, outcome record.Outcome, detail string) *record.Op {
	return &record.Op{Kind: record.KindOutcome, Key: 1, Holder: &h, Attempt: number, Outcome: outcome, Detail: []byte(detail)}
}

func TestFirstClaimWins(t *testing.T) {
	f := New(Options{MaxDetail: 4})
	require.Equal(t, ledger.ReasonStaleEpoch, f.Apply(claimOp(hostA, 1), false).Reason)
	res := f.Apply(claimOp(hostB, 1), true)
	require.True(t, res.Won, "a void claim has no effect")
	res = f.Apply(claimOp(hostA, 2), true)
	require.False(t, res.Won)
	require.Equal(t, ledger.ReasonTaken, res.Reason)
	require.Equal(t, hostB, *res.Winner)
	require.Equal(t, ledger.ReasonTaken, f.Apply(claimOp(hostB, 2), true).Reason, "another attempt of the winner is a different claim")
	res = f.Apply(claimOp(hostB, 1), false)
	require.True(t, res.Won, "a copy of the winning claim wins under any epoch")
	require.False(t, res.Applied)

	require.Equal(t, ledger.ReasonNotWinner, f.Apply(outcomeOp(hostA, 2, record.OutcomeAnswered, ""), true).Reason)
	require.Equal(t, ledger.ReasonInvalid, f.Apply(outcomeOp(hostB, 1, record.OutcomePending, ""), true).Reason)
	require.True(t, f.Apply(outcomeOp(hostB, 1, record.OutcomeAnswered, "cut"), false).Applied)
	res = f.Apply(outcomeOp(hostB, 1, record.OutcomeUnknown, "late"), true)
	require.Equal(t, ledger.ReasonDuplicate, res.Reason)
	state, ok := f.Get(1)
	require.True(t, ok)
	require.Equal(t, State{Winner: hostB, Attempt: 1, Outcome: record.OutcomeAnswered, Detail: []byte("cut")}, state)
}

func TestRequestThatDidNotRunMayBeClaimedAgain(t *testing.T) {
	f := New(Options{MaxDetail: 4})
	f.Apply(claimOp(hostA, 1), true)
	f.Apply(outcomeOp(hostA, 1, record.OutcomeNotRun, "too long"), true)
	state, _ := f.Get(1)
	require.Empty(t, state.Detail, "a detail above MaxDetail is dropped")
	require.True(t, f.Apply(claimOp(hostB, 1), true).Won)
	f.Apply(outcomeOp(hostB, 1, record.OutcomeNotRun, ""), true)
	require.False(t, f.Apply(claimOp(hostA, 1), true).Won, "a late copy of an ended claim does not win")
	require.True(t, f.Apply(claimOp(hostA, 2), true).Won)
}

func TestClaimsAreDroppedAfterRetention(t *testing.T) {
	f := New(Options{})
	f.Advance(1, noneEnded)
	f.Apply(claimOp(hostA, 1), true)
	f.Advance((23 * time.Hour).Milliseconds(), noneEnded)
	require.Equal(t, 1, f.Len())
	f.Apply(outcomeOp(hostA, 1, record.OutcomeAnswered, ""), true)
	f.Advance((46 * time.Hour).Milliseconds(), noneEnded)
	require.Equal(t, 1, f.Len(), "the retention starts again at the outcome")
	f.Advance((48 * time.Hour).Milliseconds(), noneEnded)
	require.Zero(t, f.Len())
}

func noneEnded(record.Holder) bool { return false }

// A holder that won a claim and was paused for days may still run the request when it
// resumes. If its claim were dropped, another holder could claim the request and run
// it a second time.
func TestPendingClaimOutlivesRetention(t *testing.T) {
	f := New(Options{})
	f.Advance(1, noneEnded)
	f.Apply(claimOp(hostA, 1), true)
	f.Advance((100 * time.Hour).Milliseconds(), noneEnded)
	require.False(t, f.Apply(claimOp(hostB, 1), true).Won)
	f.Advance((101 * time.Hour).Milliseconds(), func(h record.Holder) bool { return h == hostA })
	require.True(t, f.Apply(claimOp(hostB, 1), true).Won, "the holder has closed or was released")
}

// TestAtMostOneRun checks that at most one attempt may run at a time, and that another
// attempt may run only if the outcome of all earlier ones is "not run".
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(Options{})
		running := map[attempt]bool{}
		ran := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := rapid.SampledFrom([]record.Holder{hostA, hostB}).Draw(t, "holder")
			claimant := attempt{holder: h, number: rapid.Uint32Range(1, 4).Draw(t, "attempt")}
			if rapid.Bool().Draw(t, "claim") {
				res := f.Apply(claimOp(h, claimant.number), rapid.Bool().Draw(t, "current"))
				if res.Applied && (ran || len(running) > 0) {
					t.Fatalf("%v may run although %v are running (a request has run: %v)", claimant, running, ran)
				}
				if res.Applied {
					running[claimant] = true
				}
			} else if running[claimant] {
				outcome := record.Outcome(rapid.IntRange(1, 3).Draw(t, "outcome"))
				f.Apply(outcomeOp(h, claimant.number, outcome, ""), false)
				delete(running, claimant)
				ran = ran || outcome != record.OutcomeNotRun
			}
			data, err := f.Snapshot()
			require.NoError(t, err)
			f, err = Restore(data)
			require.NoError(t, err)
		}
	})
}

func TestRestoreRejectsInvalidSnapshot(t *testing.T) {
	_, err := Restore([]byte{0xff})
	require.ErrorIs(t, err, ErrSnapshotInvalid)
	twice := snapshot{Claims: []claimImage{{Key: 1}, {Key: 1}}}
	data, err := cbor.Marshal(twice)
	require.NoError(t, err)
	_, err = Restore(data)
	require.ErrorIs(t, err, ErrSnapshotInvalid)
}
